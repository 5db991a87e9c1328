/// \file
/// Liveness of peers, look-up answers, and who may warm a cold upstream.
#include "steer/fleet.h"

#include <algorithm>

namespace mustardspoke::steer {
namespace {

/// Reports of in-flight requests older than this are left out of the sum.
constexpr Duration LoadsLife = 1500ms;

} // namespace

void Fleet::meet(const EntryVm &One) {
  if (One.m_Vm == m_Self.m_Vm)
    return;
  auto [At, New] = m_Peers.try_emplace(One.m_Vm);
  Peer &Known = At->second;
  if (!New && Known.m_Vm.m_Incarnation >= One.m_Incarnation)
    return;
  Known.m_Vm = One;
  Known.m_HeardAt.reset();
  Known.m_Loads.clear();
}

void Fleet::part(const VmName &Vm) { m_Peers.erase(Vm); }

bool Fleet::heard(const EntryVm &One, TimePoint Now) {
  if (One.m_Vm == m_Self.m_Vm)
    return false;
  auto [At, New] = m_Peers.try_emplace(One.m_Vm);
  Peer &Known = At->second;
  if (!New && Known.m_Vm.m_Incarnation > One.m_Incarnation && live(Known, Now))
    return false;
  bool News = New || !live(Known, Now) ||
              Known.m_Vm.m_Incarnation != One.m_Incarnation ||
              Known.m_Vm.m_Ready != One.m_Ready ||
              Known.m_Vm.m_Leaving != One.m_Leaving;
  Known.m_Vm = One;
  Known.m_HeardAt = Now;
  return News;
}

void Fleet::loads(const VmName &Vm, std::vector<PeerLoad> Of, TimePoint Now) {
  auto Found = m_Peers.find(Vm);
  if (Found == m_Peers.end())
    return;
  Found->second.m_Loads = std::move(Of);
  Found->second.m_LoadsAt = Now;
}

std::map<std::uint64_t, double> Fleet::peersBusy(TimePoint Now) const {
  std::map<std::uint64_t, double> Sum;
  for (const auto &[Vm, One] : m_Peers)
    if (Now - One.m_LoadsAt < LoadsLife)
      for (const PeerLoad &Load : One.m_Loads)
        Sum[Load.m_UpstreamHash] += Load.m_Busy;
  return Sum;
}

std::vector<EntryVm> Fleet::peers() const {
  std::vector<EntryVm> Result;
  for (const auto &[Vm, One] : m_Peers)
    Result.push_back(One.m_Vm);
  return Result;
}

bool Fleet::live(const Peer &One, TimePoint Now) const {
  return One.m_HeardAt && Now - *One.m_HeardAt < m_Tuning.m_SilentAfter;
}

bool Fleet::alive(const VmName &Vm, TimePoint Now) const {
  auto Found = m_Peers.find(Vm);
  return Found != m_Peers.end() && live(Found->second, Now);
}

bool Fleet::sendsCold(std::uint64_t UpstreamHash, unsigned Senders) const {
  auto RankOf = [UpstreamHash](const VmName &Vm) {
    return stableHash(Vm.str(), UpstreamHash);
  };
  std::uint64_t Own = RankOf(m_Self.m_Vm);
  unsigned Before = 0;
  for (const auto &[Vm, One] : m_Peers)
    Before += RankOf(Vm) > Own ? 1U : 0U;
  return Before < Senders;
}

bool Fleet::mustRead(TimePoint Now) const {
  std::uint64_t Own = stableHash(m_Self.m_Vm.str());
  unsigned Before = 0;
  for (const auto &[Vm, One] : m_Peers)
    if (isReader(Vm, Now) && stableHash(Vm.str()) > Own)
      ++Before;
  return Before < m_Tuning.m_Readers;
}

bool Fleet::isReader(const VmName &Vm, TimePoint Now) const {
  auto Found = m_Peers.find(Vm);
  if (Found == m_Peers.end())
    return false;
  const Peer &One = Found->second;
  return One.m_HeardAt && Now - *One.m_HeardAt < m_Tuning.m_ReaderSilentAfter &&
         One.m_Vm.m_Reading && !One.m_Vm.m_Leaving &&
         One.m_Vm.m_Region == m_Self.m_Region;
}

void Fleet::dropSmall(std::vector<const EntryVm *> &From) const {
  double Largest = 0;
  for (const EntryVm *One : From)
    Largest = std::max(Largest, One->m_Capacity);
  auto Large = [&](const EntryVm *One) {
    return One->m_Capacity >= Largest * m_Tuning.m_SmallPart;
  };
  std::size_t Count = 0;
  bool Busy = false;
  for (const EntryVm *One : From)
    if (Large(One)) {
      ++Count;
      Busy = Busy || One->m_Lag > m_Tuning.m_BusyLag;
    }
  if (!Busy && Count >= m_Tuning.m_LeastNamed)
    std::erase_if(From, [&](const EntryVm *One) { return !Large(One); });
}

std::vector<std::string> Fleet::named(const Placement &At,
                                      TimePoint Now) const {
  std::vector<const EntryVm *> Near;
  std::vector<const EntryVm *> Far;
  auto Add = [&](const EntryVm &One) {
    if (One.m_Ready && !One.m_Leaving)
      (One.m_Region == At.m_Region ? Near : Far).push_back(&One);
  };
  Add(m_Self);
  for (const auto &[Vm, One] : m_Peers)
    if (live(One, Now))
      Add(One.m_Vm);
  dropSmall(Near);
  std::vector<std::string> Result;
  for (const EntryVm *One : Near)
    Result.push_back(One->m_CallerAddress);
  for (const EntryVm *One : Far)
    if (Result.size() < m_Tuning.m_LeastNamed)
      Result.push_back(One->m_CallerAddress);
  if (Result.size() > m_Tuning.m_MostNamed)
    Result.resize(m_Tuning.m_MostNamed);
  return Result;
}

} // namespace mustardspoke::steer
