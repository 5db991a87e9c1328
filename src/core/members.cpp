/// \file
/// Merging of heartbeats and queries on the member table.
#include "core/members.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace mustardspoke {
namespace {

bool isNewer(const MemberInfo &A, const MemberInfo &B) {
  return std::tie(A.m_Identity.m_Incarnation, A.m_HeartbeatCount) >
         std::tie(B.m_Identity.m_Incarnation, B.m_HeartbeatCount);
}

template <class T> void shuffle(std::vector<T> &Items, Random &Rng) {
  for (std::size_t I = Items.size(); I > 1; --I)
    std::swap(Items[I - 1], Items[Rng(std::uint32_t(I))]);
}

} // namespace

std::vector<MemberInfo> MemberTable::mostRecent(Random &Rng) const {
  std::vector<const KnownMember *> ByRecency;
  for (const auto &[Vm, Known] : m_KnownMembers)
    ByRecency.push_back(&Known);
  shuffle(ByRecency, Rng);
  std::ranges::stable_sort(
      ByRecency, std::ranges::greater{},
      [](const KnownMember *K) { return K->m_LastHeartbeatAt; });
  if (ByRecency.size() + 1 > m_Tuning.m_MaxEntries)
    ByRecency.resize(m_Tuning.m_MaxEntries - 1);
  std::vector<MemberInfo> Result{m_Self};
  for (const KnownMember *K : ByRecency)
    Result.push_back(K->m_Info);
  return Result;
}

void MemberTable::merge(std::span<const MemberInfo> Infos, TimePoint Now) {
  for (const MemberInfo &Info : Infos) {
    if (!Info.m_TicketSuccessor.m_Vm.empty())
      m_Successors.insert_or_assign(Info.m_Identity, Info.m_TicketSuccessor);
    if (Info.m_Identity.m_Vm == m_Self.m_Identity.m_Vm)
      continue;
    auto [At, IsNew] = m_KnownMembers.try_emplace(Info.m_Identity.m_Vm,
                                                  KnownMember{Info, Now});
    if (IsNew || !isNewer(Info, At->second.m_Info))
      continue;
    if (At->second.m_Info.m_Identity != Info.m_Identity)
      At->second.m_VerifiedCount = 0;
    At->second.m_Info = Info;
    At->second.m_LastHeartbeatAt = Now;
  }
}

void MemberTable::applyVmList(std::span<const ListedVm> List, TimePoint Now) {
  std::map<VmName, ListedVm> Next;
  for (const ListedVm &Vm : List) {
    Next.emplace(Vm.m_Vm, Vm);
    m_UnlistedSince.erase(Vm.m_Vm);
  }
  for (const auto &[Vm, Entry] : m_ListedVms)
    if (!Next.contains(Vm))
      m_UnlistedSince.try_emplace(Vm, Now);
  m_ListedVms = std::move(Next);
}

std::vector<std::string> MemberTable::pickPeers(TimePoint Now, Random &Rng) {
  std::vector<std::string> Alive;
  std::vector<std::string> Silent;
  for (const auto &[Vm, Known] : m_KnownMembers) {
    if (m_UnlistedSince.contains(Vm) ||
        Known.m_Info.m_State == MemberState::Left)
      continue;
    (isAlive(Vm, Now) ? Alive : Silent).push_back(Known.m_Info.m_PeerAddress);
  }
  for (const auto &[Vm, Entry] : m_ListedVms)
    if (Vm != m_Self.m_Identity.m_Vm && !m_KnownMembers.contains(Vm))
      Silent.push_back(Entry.m_PeerAddress);
  shuffle(Alive, Rng);
  shuffle(Silent, Rng);
  if (Alive.size() > m_Tuning.m_Fanout)
    Alive.resize(m_Tuning.m_Fanout);
  // One VM that isn't known to be alive is contacted each time, so that the
  // sides of a network partition find each other again once it heals.
  if (!Silent.empty())
    Alive.push_back(Silent.front());
  return Alive;
}

bool MemberTable::isAlive(const VmName &Vm, TimePoint Now) const {
  if (Vm == m_Self.m_Identity.m_Vm)
    return true;
  auto At = m_KnownMembers.find(Vm);
  return At != m_KnownMembers.end() &&
         At->second.m_Info.m_State != MemberState::Left &&
         Now - At->second.m_LastHeartbeatAt <= m_Tuning.m_SuspectAfter;
}

const MemberInfo *MemberTable::find(const VmName &Vm) const {
  if (Vm == m_Self.m_Identity.m_Vm)
    return &m_Self;
  auto At = m_KnownMembers.find(Vm);
  return At == m_KnownMembers.end() ? nullptr : &At->second.m_Info;
}

std::size_t MemberTable::aliveCount(TimePoint Now) const {
  return 1 + std::size_t(
                 std::ranges::count_if(m_KnownMembers, [&](const auto &Item) {
                   return isAlive(Item.first, Now);
                 }));
}

std::size_t MemberTable::knownCount(TimePoint Now) const {
  std::set<VmName> Names{m_Self.m_Identity.m_Vm};
  for (const auto &[Vm, Entry] : m_ListedVms)
    Names.insert(Vm);
  for (const auto &[Vm, Known] : m_KnownMembers) {
    bool Ended = Known.m_Info.m_State == MemberState::Left ||
                 m_UnlistedSince.contains(Vm) ||
                 Now - Known.m_LastHeartbeatAt > m_Tuning.m_ForgetAfter;
    if (!Ended)
      Names.insert(Vm);
    else if (Known.m_Info.m_State == MemberState::Left)
      Names.erase(Vm);
  }
  return Names.size();
}

void MemberTable::verifyLiveness(std::span<const MemberInfo> Infos,
                                 TimePoint SentAt) {
  for (const MemberInfo &Info : Infos) {
    auto At = m_KnownMembers.find(Info.m_Identity.m_Vm);
    if (At == m_KnownMembers.end() ||
        At->second.m_Info.m_Identity != Info.m_Identity ||
        Info.m_HeartbeatCount <= At->second.m_VerifiedCount)
      continue;
    At->second.m_VerifiedCount = Info.m_HeartbeatCount;
    At->second.m_VerifiedAt = std::max(At->second.m_VerifiedAt, SentAt);
  }
}

bool MemberTable::seesMajority(TimePoint Now) const {
  auto Proven = std::ranges::count_if(m_KnownMembers, [&](const auto &Item) {
    return Item.second.m_Info.m_State != MemberState::Left &&
           Now - Item.second.m_VerifiedAt <= m_Tuning.m_SuspectAfter;
  });
  return (std::size_t(Proven) + 1) * 2 > knownCount(Now);
}

std::optional<TimePoint> MemberTable::unlistedSince(const VmName &Vm) const {
  auto At = m_UnlistedSince.find(Vm);
  return At == m_UnlistedSince.end() ? std::nullopt : std::optional(At->second);
}

bool MemberTable::isListedLeaving(const VmName &Vm) const {
  auto At = m_ListedVms.find(Vm);
  return At != m_ListedVms.end() && At->second.m_Leaving;
}

VmIncarnation MemberTable::ticketOwner(VmIncarnation Owner) const {
  constexpr int MaxHandovers = 8;
  for (int I = 0; I < MaxHandovers; ++I) {
    auto At = m_Successors.find(Owner);
    if (At == m_Successors.end())
      break;
    Owner = At->second;
  }
  return Owner;
}

std::vector<Participant> MemberTable::participants(TimePoint Now) const {
  std::vector<Participant> Result;
  for (const auto &[Vm, Known] : m_KnownMembers) {
    MemberState State = Known.m_Info.m_State;
    bool IsLeaving =
        State == MemberState::Leaving || State == MemberState::Left;
    if (!IsLeaving && !m_UnlistedSince.contains(Vm) &&
        Now - Known.m_LastHeartbeatAt <= m_Tuning.m_ForgetAfter)
      Result.push_back({Vm, Known.m_Info.m_Region});
  }
  if (m_Self.m_State != MemberState::Leaving)
    Result.push_back({m_Self.m_Identity.m_Vm, m_Self.m_Region});
  std::ranges::sort(Result, {}, &Participant::m_Vm);
  return Result;
}

} // namespace mustardspoke
