/// \file
/// Liveness of peers, look-up answers, store readers and senders to cold
/// upstreams.
#include "steer/fleet.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <span>
#include <tuple>

namespace mustardspoke::steer {
namespace {

/// Load reports older than this are not counted.
constexpr Duration LoadReportMaxAge = 1500ms;
/// Limit for extrapolating the load reports of some VMs to all of them; beyond
/// it, the sample is too small.
constexpr double MaxExtrapolation = 2;
/// For this long after a failure, a peer relays nothing at all; for the rest of
/// its pause it comes after all others, as it may be the only one.
constexpr Duration MinRelayPause = 200ms;
/// Keeps a VM that states no capacity from a division by zero.
constexpr double MinRelayCapacity = 0.01;

std::uint32_t shortHash(const VmName &Vm) {
  return std::uint32_t(stableHash(Vm.str()) & ((1U << PeerAge::HashBits) - 1));
}

std::uint32_t shortIncarnation(const EntryVm &Vm) {
  return std::uint32_t(Vm.m_Incarnation &
                       ((1U << PeerAge::IncarnationBits) - 1));
}

} // namespace

void Fleet::addPeer(const EntryVm &Vm) {
  if (Vm.m_Vm == m_Self.m_Vm)
    return;
  auto [At, New] = m_Peers.try_emplace(Vm.m_Vm);
  Peer &Known = At->second;
  m_ByHash[shortHash(Vm.m_Vm)] = &Known;
  if (!New && Known.m_State.m_Incarnation >= Vm.m_Incarnation)
    return;
  m_StoreReaders.erase(shortHash(Vm.m_Vm));
  Known.m_State = Vm;
  Known.m_LastHeardAt.reset();
  Known.m_ContactAt.reset();
  Known.m_Loads.clear();
  Known.m_Contacted = false;
}

void Fleet::removePeer(const VmName &Vm) {
  m_ByHash.erase(shortHash(Vm));
  m_StoreReaders.erase(shortHash(Vm));
  m_Peers.erase(Vm);
}

bool Fleet::receivedHeartbeat(const EntryVm &Vm, TimePoint Now) {
  if (Vm.m_Vm == m_Self.m_Vm)
    return false;
  auto [At, New] = m_Peers.try_emplace(Vm.m_Vm);
  Peer &Known = At->second;
  m_ByHash[shortHash(Vm.m_Vm)] = &Known;
  if (!New && Known.m_State.m_Incarnation > Vm.m_Incarnation &&
      isLive(Known, Now))
    return false;
  bool Changed = New || !isLive(Known, Now) ||
                 Known.m_State.m_Incarnation != Vm.m_Incarnation ||
                 Known.m_State.m_Ready != Vm.m_Ready ||
                 Known.m_State.m_Links != Vm.m_Links ||
                 Known.m_State.m_Leaving != Vm.m_Leaving;
  if (Known.m_State.m_Incarnation != Vm.m_Incarnation)
    Known.m_Contacted = false;
  Known.m_State = Vm;
  Known.m_LastHeardAt = Now;
  Known.m_ContactAt.reset();
  if (Vm.m_ContactAge)
    Known.m_ContactAt = Now - *Vm.m_ContactAge;
  if (Vm.m_Region == m_Self.m_Region && Vm.m_FollowsStore && !Vm.m_Leaving)
    m_StoreReaders[shortHash(Vm.m_Vm)] = {shortIncarnation(Vm), Now};
  else
    m_StoreReaders.erase(shortHash(Vm.m_Vm));
  return Changed;
}

void Fleet::setPeerLoads(const VmName &Vm, std::vector<PeerLoad> Loads,
                         TimePoint Now) {
  auto Found = m_Peers.find(Vm);
  if (Found == m_Peers.end())
    return;
  if (!Loads.empty())
    Found->second.m_CarriedAt = Now;
  Found->second.m_Loads = std::move(Loads);
  Found->second.m_LoadsReceivedAt = Now;
}

std::map<std::uint32_t, double> Fleet::peerActiveRequests(TimePoint Now) const {
  unsigned Live = 0;
  unsigned Reported = 0;
  auto IsLocal = [this](const Peer &Entry) {
    return Entry.m_State.m_Region == m_Self.m_Region;
  };
  for (const auto &[Vm, Entry] : m_Peers) {
    Live += IsLocal(Entry) && isLive(Entry, Now) ? 1U : 0U;
    Reported +=
        IsLocal(Entry) && Now - Entry.m_LoadsReceivedAt < LoadReportMaxAge ? 1U
                                                                           : 0U;
  }
  double Factor = Reported == 0 ? 1
                                : std::clamp(double(Live) / Reported, 1.0,
                                             MaxExtrapolation);
  std::map<std::uint32_t, double> Sum;
  for (const auto &[Vm, Entry] : m_Peers)
    if (Now - Entry.m_LoadsReceivedAt < LoadReportMaxAge)
      for (const PeerLoad &Load : Entry.m_Loads)
        Sum[Load.m_UpstreamKey] +=
            Load.m_ActiveRequests * (IsLocal(Entry) ? Factor : 1);
  return Sum;
}

PeerAge Fleet::ageOf(const Peer &Entry, TimePoint Now) {
  return {shortHash(Entry.m_State.m_Vm), shortIncarnation(Entry.m_State),
          Now - *Entry.m_LastHeardAt};
}

void Fleet::receivedAge(const PeerAge &Report, TimePoint Now) {
  auto Found = m_ByHash.find(Report.m_VmHash);
  if (Found == m_ByHash.end())
    return;
  Peer &Known = *Found->second;
  if (!Known.m_LastHeardAt ||
      shortIncarnation(Known.m_State) != Report.m_IncarnationLow)
    return;
  Known.m_LastHeardAt = std::max(*Known.m_LastHeardAt, Now - Report.m_Age);
}

std::uint64_t Fleet::pseudoRandom(std::uint64_t Number) const {
  return stableHash(m_Self.m_Vm.str(), Number);
}

std::vector<PeerAge> Fleet::agesToSend(TimePoint Now, unsigned Round) const {
  std::vector<PeerAge> Live;
  if (isSmall())
    return Live;
  for (const auto &[Vm, Entry] : m_Peers)
    if (Entry.m_State.m_Region == m_Self.m_Region && isLive(Entry, Now))
      Live.push_back(ageOf(Entry, Now));
  if (Live.size() <= m_Tuning.m_MaxAgesPerHeartbeat)
    return Live;
  // A random range of the live VMs: if every VM sent only the most recent ages,
  // all of them would report the same VMs.
  std::rotate(Live.begin(),
              Live.begin() + std::ptrdiff_t(pseudoRandom(Round) % Live.size()),
              Live.end());
  Live.resize(m_Tuning.m_MaxAgesPerHeartbeat);
  return Live;
}

std::vector<Fleet::Recipient>
Fleet::nextRecipients(unsigned Round, TimePoint Now, bool Carries) {
  std::vector<Recipient> Result;
  std::vector<const EntryVm *> Local;
  std::vector<const EntryVm *> LocalCarriers;
  std::vector<const EntryVm *> Remote;
  std::size_t MaxFirstContacts =
      isSmall() ? m_Peers.size() : m_Tuning.m_FirstContactsPerHeartbeat;
  for (auto &[Vm, Entry] : m_Peers) {
    if (!Entry.m_Contacted && Result.size() < MaxFirstContacts) {
      Entry.m_Contacted = true;
      Result.push_back({Entry.m_State, true});
      if (isSmall())
        continue;
    }
    bool IsLocal = Entry.m_State.m_Region == m_Self.m_Region;
    (IsLocal ? Local : Remote).push_back(&Entry.m_State);
    if (IsLocal && Entry.m_CarriedAt &&
        Now - *Entry.m_CarriedAt < m_Tuning.m_CarrierTimeout)
      LocalCarriers.push_back(&Entry.m_State);
  }
  if (isSmall()) {
    for (const EntryVm *Vm : Local)
      Result.push_back({*Vm});
    if (Round % m_Tuning.m_RemoteHeartbeatInterval == 0)
      for (const EntryVm *Vm : Remote)
        Result.push_back({*Vm});
    return Result;
  }
  // Recipients are random: with the same fixed rotation on all VMs,
  // information would circulate among the same few of them.
  auto Add = [&](std::span<const EntryVm *const> Vms, std::size_t Count) {
    for (std::size_t I = 0; I < std::min(Count, Vms.size()); ++I) {
      std::size_t Random = pseudoRandom(std::uint64_t(Round) * Count + I);
      Result.push_back({*Vms[Vms.size() <= Count ? I : Random % Vms.size()]});
    }
  };
  std::size_t Scaled = m_Tuning.m_MaxLocalPeersPerHeartbeat *
                       m_Tuning.m_FullRateFleetSize / m_Peers.size();
  std::size_t LocalCount =
      std::clamp(Scaled, m_Tuning.m_MinLocalPeersPerHeartbeat,
                 m_Tuning.m_MaxLocalPeersPerHeartbeat);
  // At least one recipient is any VM, so that the ages reach all of them.
  std::size_t CarrierCount =
      Carries ? std::min(LocalCarriers.size(), LocalCount - 1) : 0;
  Add(LocalCarriers, CarrierCount);
  Add(Local, LocalCount - CarrierCount);
  Add(Remote, m_Tuning.m_RemotePeersPerHeartbeat);
  return Result;
}

const EntryVm *Fleet::findPeer(std::uint64_t NameHash,
                               Incarnation Expected) const {
  auto Matches = [&](const Peer &Entry) {
    return Entry.m_State.m_Incarnation == Expected &&
           stableHash(Entry.m_State.m_Vm.str()) == NameHash;
  };
  auto Found =
      m_ByHash.find(std::uint32_t(NameHash & ((1U << PeerAge::HashBits) - 1)));
  if (Found != m_ByHash.end() && Matches(*Found->second))
    return &Found->second->m_State;
  // Two peers may share the short hash.
  for (const auto &[Vm, Entry] : m_Peers)
    if (Matches(Entry))
      return &Entry.m_State;
  return nullptr;
}

std::vector<EntryVm> Fleet::peers() const {
  std::vector<EntryVm> Result;
  for (const auto &[Vm, Entry] : m_Peers)
    Result.push_back(Entry.m_State);
  return Result;
}

bool Fleet::isLive(const Peer &Entry, TimePoint Now) const {
  Duration Timeout =
      isSmall() ? m_Tuning.m_PeerTimeout : m_Tuning.m_LargeFleetPeerTimeout;
  return Entry.m_LastHeardAt && Now - *Entry.m_LastHeardAt < Timeout;
}

bool Fleet::isAlive(const VmName &Vm, TimePoint Now) const {
  auto Found = m_Peers.find(Vm);
  return Found != m_Peers.end() && isLive(Found->second, Now);
}

double Fleet::senderFraction(std::uint64_t UpstreamHash,
                             const RegionName &Region, unsigned MaxSenders,
                             TimePoint Now) const {
  if (!m_IsComplete)
    return 0;
  bool IsLocal = m_Self.m_Region == Region;
  bool AnyRegion =
      !IsLocal && std::ranges::none_of(m_Peers, [&](const auto &Entry) {
        return Entry.second.m_State.m_Region == Region &&
               isLive(Entry.second, Now);
      });
  if (!IsLocal && !AnyRegion)
    return 0;
  auto RankOf = [UpstreamHash](const VmName &Vm) {
    return stableHash(Vm.str(), UpstreamHash);
  };
  std::uint64_t OwnRank = RankOf(m_Self.m_Vm);
  unsigned Candidates = 1;
  unsigned HigherRanked = 0;
  for (const auto &[Vm, Entry] : m_Peers) {
    if (!AnyRegion && Entry.m_State.m_Region != Region)
      continue;
    ++Candidates;
    HigherRanked += RankOf(Vm) > OwnRank ? 1U : 0U;
  }
  unsigned Senders = std::min(Candidates, MaxSenders);
  return HigherRanked < Senders ? 1.0 / Senders : 0;
}

unsigned Fleet::turnOf(std::uint64_t Hash, TimePoint Now,
                       bool CarriersOnly) const {
  std::uint64_t OwnRank = stableHash(m_Self.m_Vm.str(), Hash);
  return unsigned(std::ranges::count_if(m_Peers, [&](const auto &Entry) {
    const Peer &Vm = Entry.second;
    bool Carries =
        Vm.m_CarriedAt && Now - *Vm.m_CarriedAt < m_Tuning.m_CarrierTimeout;
    return isLive(Vm, Now) && !Vm.m_State.m_Leaving &&
           (Carries || !CarriersOnly) &&
           stableHash(Entry.first.str(), Hash) > OwnRank;
  }));
}

bool Fleet::mustFollowStore(TimePoint Now, bool Follows) const {
  std::uint32_t OwnRank = shortHash(m_Self.m_Vm);
  auto CountReaders = [&](Duration MaxAge, bool HigherRankedOnly) {
    return std::ranges::count_if(m_StoreReaders, [&](const auto &Entry) {
      return Now - Entry.second.m_ReachedStoreAt < MaxAge &&
             (!HigherRankedOnly || Entry.first > OwnRank);
    });
  };
  auto Needed = std::ptrdiff_t(m_Tuning.m_ReadersPerRegion);
  bool KeepRole = Follows || isSmall();
  if (CountReaders(readerTimeout(), KeepRole) >= Needed)
    return false;
  return KeepRole ||
         CountReaders(readerTimeout() + takeoverDelay(Now), false) < Needed;
}

Duration Fleet::takeoverDelay(TimePoint Now) const {
  std::uint32_t OwnRank = shortHash(m_Self.m_Vm);
  auto HigherRanked = std::ranges::count_if(m_Peers, [&](const auto &Entry) {
    return Entry.second.m_State.m_Region == m_Self.m_Region &&
           isLive(Entry.second, Now) && shortHash(Entry.first) > OwnRank;
  });
  return std::min(m_Tuning.m_TakeoverGroupDelay *
                      (HigherRanked / m_Tuning.m_TakeoverGroupSize),
                  m_Tuning.m_MaxTakeoverDelay);
}

bool Fleet::isFirstReader(TimePoint Now) const {
  std::uint32_t OwnRank = shortHash(m_Self.m_Vm);
  return std::ranges::none_of(m_StoreReaders, [&](const auto &Entry) {
    return Entry.first > OwnRank &&
           Now - Entry.second.m_ReachedStoreAt < readerTimeout();
  });
}

bool Fleet::isStoreReader(const VmName &Vm, TimePoint Now) const {
  auto Found = m_StoreReaders.find(shortHash(Vm));
  return Found != m_StoreReaders.end() &&
         Now - Found->second.m_ReachedStoreAt < readerTimeout();
}

void Fleet::receivedReaderAge(const PeerAge &Report, TimePoint Now) {
  if (Report.m_VmHash == shortHash(m_Self.m_Vm))
    return;
  StoreReader &Reader = m_StoreReaders[Report.m_VmHash];
  Reader.m_IncarnationLow = Report.m_IncarnationLow;
  Reader.m_ReachedStoreAt =
      std::max(Reader.m_ReachedStoreAt, Now - Report.m_Age);
  std::erase_if(m_StoreReaders, [&](const auto &Entry) {
    return Now - Entry.second.m_ReachedStoreAt >
           m_Tuning.m_LargeFleetReaderTimeout + m_Tuning.m_MaxTakeoverDelay;
  });
}

std::vector<PeerAge> Fleet::readerAgesToSend(TimePoint Now) const {
  std::vector<PeerAge> Result;
  if (isSmall())
    return Result;
  for (const auto &[Hash, Reader] : m_StoreReaders)
    if (Now - Reader.m_ReachedStoreAt < readerTimeout())
      Result.push_back(
          {Hash, Reader.m_IncarnationLow, Now - Reader.m_ReachedStoreAt});
  // During a change of readers there may be many for a moment; receivers need
  // only the ones that will remain.
  std::ranges::sort(Result, std::ranges::greater{}, &PeerAge::m_VmHash);
  Result.resize(
      std::min<std::size_t>(Result.size(), 2 * m_Tuning.m_ReadersPerRegion));
  return Result;
}

std::optional<Duration> Fleet::readerAge(TimePoint Now) const {
  std::optional<Duration> Result;
  for (const auto &[Hash, Reader] : m_StoreReaders)
    Result = std::min(Result.value_or(Duration::max()),
                      Now - Reader.m_ReachedStoreAt);
  return Result;
}

void Fleet::dropSmallVms(std::vector<LookupCandidate> &Vms) const {
  double Largest = 0;
  for (const LookupCandidate &Each : Vms)
    Largest = std::max(Largest, Each.m_Vm->m_Capacity);
  auto IsLarge = [&](const LookupCandidate &Each) {
    return Each.m_Vm->m_Capacity >= Largest * m_Tuning.m_SmallVmFraction;
  };
  std::size_t Count = 0;
  bool Busy = false;
  for (const LookupCandidate &Each : Vms)
    if (IsLarge(Each)) {
      ++Count;
      Busy = Busy || Each.m_Vm->m_TimerLag > m_Tuning.m_BusyTimerLag;
    }
  if (!Busy && Count >= m_Tuning.m_MinLookupAddresses)
    std::erase_if(Vms,
                  [&](const LookupCandidate &Each) { return !IsLarge(Each); });
}

void Fleet::dropUnlinkedVms(std::vector<LookupCandidate> &Vms) const {
  auto IsUnlinked = [](const LookupCandidate &Each) {
    return Each.m_Vm->m_Links == LinkState::Lost;
  };
  auto Unlinked = std::ranges::count_if(Vms, IsUnlinked);
  double Linked = double(Vms.size()) - double(Unlinked);
  if (Linked > 0 && Linked >= double(Vms.size()) * m_Tuning.m_MinLinkedFraction)
    std::erase_if(Vms, IsUnlinked);
}

bool Fleet::mayRelay(const Peer &Entry, TimePoint Now) const {
  Duration MaxAge = isSmall() ? m_Tuning.m_RelayContactAge
                              : m_Tuning.m_LargeFleetRelayContactAge;
  const EntryVm &Vm = Entry.m_State;
  return isLive(Entry, Now) && Vm.m_Ready && !Vm.m_Leaving &&
         Vm.m_Links != LinkState::Lost &&
         Now >= Entry.m_NoRelayUntil - m_Tuning.m_RelayPause + MinRelayPause &&
         Entry.m_ContactAt && Now - *Entry.m_ContactAt < MaxAge;
}

bool Fleet::hasRelay(TimePoint Now) const {
  return std::ranges::any_of(
      m_Peers, [&](const auto &Entry) { return mayRelay(Entry.second, Now); });
}

const EntryVm *Fleet::selectRelay(const RelayNeed &Need, TimePoint Now) const {
  // Weighted rendezvous hashing: the lowest value is selected.
  auto RankOf = [&](const EntryVm &Vm) {
    std::uint64_t Hash = stableHash(
        m_Self.m_Vm.str(), stableHash(Vm.m_Vm.str(), Need.m_UpstreamHash));
    double Uniform = (double(Hash >> 11) + 1) * 0x1p-53;
    return -std::log(Uniform) / std::max(Vm.m_Capacity, MinRelayCapacity);
  };
  const EntryVm *Best = nullptr;
  std::tuple<bool, bool, bool, bool, double> BestOrder;
  for (const auto &[Name, Entry] : m_Peers) {
    const EntryVm &Vm = Entry.m_State;
    if (!mayRelay(Entry, Now) || !Need.m_Residency.allows(Vm.m_Region))
      continue;
    bool HasFailed = Now < Entry.m_NoRelayUntil;
    bool OnlyOpenConnections = Vm.m_Links != LinkState::Up;
    bool IsOnTheWay =
        Vm.m_Region == m_Self.m_Region || Vm.m_Region == Need.m_UpstreamRegion;
    bool IsBusy = Vm.m_TimerLag > m_Tuning.m_BusyTimerLag;
    std::tuple Order(HasFailed, OnlyOpenConnections, !IsOnTheWay, IsBusy,
                     RankOf(Vm));
    if (Best && Order >= BestOrder)
      continue;
    Best = &Vm;
    BestOrder = Order;
  }
  return Best;
}

void Fleet::recordRelayFailure(const VmName &Vm, TimePoint Now) {
  auto Found = m_Peers.find(Vm);
  if (Found != m_Peers.end())
    Found->second.m_NoRelayUntil = Now + m_Tuning.m_RelayPause;
}

void Fleet::recordRelayAnswer(const VmName &Vm, TimePoint Now) {
  auto Found = m_Peers.find(Vm);
  if (Found != m_Peers.end())
    Found->second.m_RelayAnswerAt = Now;
}

bool Fleet::hasRelayAnsweredSince(const VmName &Vm, TimePoint Since) const {
  auto Found = m_Peers.find(Vm);
  return Found != m_Peers.end() && Found->second.m_RelayAnswerAt >= Since;
}

bool Fleet::anyPeerDoubtsLinks(TimePoint Now) const {
  return std::ranges::any_of(m_Peers, [&](const auto &Entry) {
    return Entry.second.m_State.m_DoubtsLinks && isLive(Entry.second, Now);
  });
}

bool Fleet::knowsRegion(const RegionName &Region, TimePoint Now) const {
  if (Now - m_ListensSince >= m_Tuning.m_ListeningTime)
    return true;
  double Known = 0;
  double Heard = 0;
  for (const auto &[Vm, Entry] : m_Peers) {
    if (Entry.m_State.m_Region != Region)
      continue;
    Known += 1;
    Heard += Entry.m_LastHeardAt && *Entry.m_LastHeardAt >= m_ListensSince;
  }
  return m_IsComplete && Heard >= Known * m_Tuning.m_MinHeardFraction;
}

LookupAnswer Fleet::answerLookup(const Placement &Caller, TimePoint Now) const {
  LookupAnswer Answer;
  std::vector<LookupCandidate> Local;
  std::vector<LookupCandidate> Remote;
  auto Add = [&](const EntryVm &Vm, Duration Age) {
    if (Vm.m_Ready && !Vm.m_Leaving)
      (Vm.m_Region == Caller.m_Region ? Local : Remote).push_back({&Vm, Age});
  };
  auto CountKnown = [&](const EntryVm &Vm) {
    Answer.m_KnownCount += Vm.m_Region == Caller.m_Region ? 1U : 0U;
  };
  CountKnown(m_Self);
  Add(m_Self, Duration::zero());
  for (const auto &[Vm, Entry] : m_Peers) {
    CountKnown(Entry.m_State);
    if (isLive(Entry, Now))
      Add(Entry.m_State, Now - *Entry.m_LastHeardAt);
  }
  Answer.m_ReadyCount = Local.size();
  if (Local.size() < m_Tuning.m_MinLookupAddresses &&
      !knowsRegion(Caller.m_Region, Now)) {
    Answer.m_IsTooEarly = true;
    return Answer;
  }
  dropUnlinkedVms(Local);
  dropSmallVms(Local);
  bool IsOneEnough =
      Local.size() == 1 &&
      Local.front().m_Vm->m_TimerLag <= m_Tuning.m_BusyTimerLag &&
      Local.front().m_Vm->m_Links != LinkState::Lost;
  auto Name = [&](const LookupCandidate &Each) {
    Answer.m_Addresses.push_back(Each.m_Vm->m_CallerAddress);
    Answer.m_OldestAge = std::max(Answer.m_OldestAge, Each.m_Age);
  };
  Local.resize(std::min(Local.size(), m_Tuning.m_MaxLookupAddresses));
  std::ranges::for_each(Local, Name);
  for (const LookupCandidate &Each : Remote) {
    if (IsOneEnough ||
        Answer.m_Addresses.size() >= m_Tuning.m_MinLookupAddresses)
      break;
    Name(Each);
    ++Answer.m_RemoteCount;
  }
  return Answer;
}

} // namespace mustardspoke::steer
