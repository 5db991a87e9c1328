/// \file
/// Division of a limit: max-min shares, floors and reclaim delays.
#include "core/shares.h"

#include <algorithm>
#include <numeric>

namespace mustardspoke {

Duration reclaimAfterExpiry(const ShareTuning &Tuning, Duration Lease,
                            Duration MaxCallDeadline) {
  Duration Drift = (Lease + MaxCallDeadline) * Tuning.m_ClockDriftPercent / 100;
  return Lease + MaxCallDeadline + Drift + Tuning.m_LapseMargin;
}

std::uint32_t assumeLesser(std::uint32_t Before, std::uint32_t After) {
  return std::min(Before, After);
}

std::vector<std::uint32_t>
maxMinShares(std::uint32_t Capacity, std::span<const std::uint32_t> Demands) {
  std::vector<std::size_t> Order(Demands.size());
  std::iota(Order.begin(), Order.end(), std::size_t(0));
  std::ranges::stable_sort(Order, {},
                           [&](std::size_t I) { return Demands[I]; });
  std::vector<std::uint32_t> Shares(Demands.size(), 0);
  std::uint32_t Remaining = Capacity;
  for (std::size_t Rank = 0; Rank < Order.size(); ++Rank) {
    auto Unserved = std::uint32_t(Order.size() - Rank);
    std::uint32_t EqualShare = Remaining / Unserved;
    std::size_t I = Order[Rank];
    Shares[I] = std::min(Demands[I], EqualShare);
    Remaining -= Shares[I];
  }
  for (std::size_t I = 0; I < Demands.size() && Remaining > 0; ++I) {
    if (Shares[I] < Demands[I]) {
      ++Shares[I];
      --Remaining;
    }
  }
  return Shares;
}

std::vector<std::uint32_t>
homeFirstShares(std::uint32_t Capacity, std::span<const std::uint32_t> Demands,
                std::span<const std::uint8_t> IsHome) {
  std::vector<std::uint32_t> Shares(Demands.size(), 0);
  for (std::uint8_t Group : {std::uint8_t(1), std::uint8_t(0)}) {
    std::vector<std::uint32_t> GroupDemands;
    for (std::size_t I = 0; I < Demands.size(); ++I)
      GroupDemands.push_back(IsHome[I] == Group ? Demands[I] : 0);
    auto GroupShares = maxMinShares(Capacity, GroupDemands);
    for (std::size_t I = 0; I < GroupShares.size(); ++I) {
      Shares[I] += GroupShares[I];
      Capacity -= GroupShares[I];
    }
  }
  return Shares;
}

std::uint32_t floorShare(const Limit &Spec, const VmName &Self,
                         std::span<const Participant> Participants,
                         std::uint32_t FloorPercent) {
  std::uint64_t Pool = std::uint64_t(Spec.m_Capacity) * FloorPercent / 100;
  std::uint64_t Seed = Spec.m_RoundingGroup;
  std::uint64_t SelfHash = stableHash(Self.str(), Seed);
  std::uint64_t Rank = 0;
  std::uint64_t Count = 0;
  bool IsParticipant = false;
  for (const Participant &Member : Participants) {
    if (!Spec.isHomeRegion(Member.m_Region))
      continue;
    ++Count;
    if (Member.m_Vm == Self)
      IsParticipant = true;
    else if (stableHash(Member.m_Vm.str(), Seed) < SelfHash)
      ++Rank;
  }
  if (!IsParticipant)
    return 0;
  std::uint64_t Base = Pool / Count;
  std::uint64_t Remainder = Pool % Count;
  std::uint64_t Position = (Rank + Spec.m_IndexInGroup * Remainder) % Count;
  std::uint64_t Extra = Position < Remainder ? 1 : 0;
  return std::uint32_t(Base + Extra);
}

} // namespace mustardspoke
