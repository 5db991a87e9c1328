/// \file
/// Node: timers, membership, look-ups, bundles, store, load reports, shutdown.
#include "core/node.h"

#include <algorithm>
#include <cmath>

namespace mustardspoke {
namespace {

constexpr Duration DecayEvery = 1s;

} // namespace

Node::Node(const MemberInfo &Self, Tuning Constants, Strategies Rules,
           std::uint64_t Seed, TimePoint Now)
    : m_Tuning(Constants), m_Rules(Rules), m_Rng(Seed),
      m_Members(Self, Constants.m_Gossip), m_Limits(Rules.m_Lease),
      m_Shares(Self.m_Identity, Constants.m_Shares, Rules.m_Reclaim,
               Rules.m_Pending, Rules.m_Divide),
      m_BundleTracker(Rules.m_Adopt, Constants.m_ConfirmLease),
      m_Tickets(Self.m_Identity, Now, Constants.m_TicketLifeSeconds,
                Constants.m_MaxTickets) {}

void Node::tick(TimePoint Now) {
  failOverdue(Now);
  if (Now - m_LastDecayAt >= DecayEvery) {
    m_LastDecayAt = Now;
    m_Limits.decayDemand();
    m_Tickets.prune(Now);
    advanceShifts(Now);
  }
  dispatchQueued(Now);
}

std::vector<std::string> Node::heartbeat(TimePoint Now) {
  MemberInfo &Self = m_Members.self();
  ++Self.m_HeartbeatCount;
  Self.m_TicketClock = m_Tickets.clock(Now);
  Self.m_BundleVersion = m_BundleTracker.version();
  Self.m_ServiceSlots = serviceSlots(Now);
  if (Self.m_State == MemberState::Starting && bundle())
    Self.m_State = MemberState::Live;
  Self.m_DrainingUpstreams.clear();
  for (const auto &[Name, U] : m_Upstreams)
    if (U->m_Report && U->m_Report->m_Draining &&
        U->isDraining(Now, m_Tuning.m_Upstreams))
      Self.m_DrainingUpstreams.push_back(Name);
  return m_Members.pickPeers(Now, m_Rng);
}

GossipPush Node::makeGossipPush() { return {m_Members.mostRecent(m_Rng)}; }

GossipReply Node::onGossipPush(const GossipPush &Push, TimePoint Now) {
  m_Members.merge(Push.m_Members, Now);
  applyDrainNotices(Push.m_Members, Now);
  return {m_Members.mostRecent(m_Rng), m_BundleTracker.version(),
          m_BundleTracker.confirmationAge(Now)};
}

void Node::onGossipReply(const GossipReply &Reply, TimePoint SentAt,
                         TimePoint Now) {
  m_Members.merge(Reply.m_Members, Now);
  m_Members.verifyLiveness(Reply.m_Members, SentAt);
  applyDrainNotices(Reply.m_Members, Now);
  // The age is counted from before the request was sent, so that network delay
  // can only make it older.
  if (Reply.m_ConfirmationAge)
    m_BundleTracker.recordConfirmation(Reply.m_BundleVersion,
                                       SentAt - *Reply.m_ConfirmationAge);
}

void Node::applyDrainNotices(std::span<const MemberInfo> Infos, TimePoint Now) {
  for (const MemberInfo &Info : Infos) {
    m_BundleTracker.noteVersion(Info.m_BundleVersion);
    if (!m_Members.isAlive(Info.m_Identity.m_Vm, Now))
      continue;
    for (const UpstreamName &Name : Info.m_DrainingUpstreams)
      if (auto At = m_Upstreams.find(Name); At != m_Upstreams.end())
        At->second->recordDrain(Now);
  }
}

std::vector<std::uint32_t> Node::serviceSlots(TimePoint Now) const {
  std::vector<std::uint32_t> Result;
  if (!bundle())
    return Result;
  for (const Service &S : bundle()->m_Services) {
    std::uint32_t Units = 0;
    auto At = m_Services.find(S.m_Name);
    if (At != m_Services.end())
      for (const UpstreamRef &U : At->second.m_Routes.front().m_Upstreams)
        if (!m_Rules.m_Drain(*U, Now, m_Tuning.m_Upstreams))
          Units += m_Limits.usable(*U->m_SlotLimit, Now);
    Result.push_back(Units);
  }
  return Result;
}

std::vector<ServiceHeadroom> Node::headrooms(TimePoint Now) const {
  std::vector<ServiceHeadroom> Result;
  for (const auto &[Name, State] : m_Services) {
    std::uint32_t Free = 0;
    for (const Route &Path : State.m_Routes)
      for (const UpstreamRef &U : Path.m_Upstreams)
        Free += m_Limits.headroom(*U->m_SlotLimit, Now);
    Result.push_back({Name, Free});
  }
  return Result;
}

std::uint32_t Node::memberSlots(const MemberInfo &Member,
                                std::size_t ServiceIndex) const {
  if (Member.m_BundleVersion != m_BundleTracker.version() ||
      ServiceIndex >= Member.m_ServiceSlots.size())
    return 1;
  return Member.m_ServiceSlots[ServiceIndex];
}

LookupAnswer Node::lookUp(const LookupRequest &Request, TimePoint Now) {
  ++m_Counters.m_Lookups;
  LookupAnswer Answer;
  if (!bundle()) {
    Answer.m_Error = ErrorKind::NoBundle;
    return Answer;
  }
  auto Services = std::span(bundle()->m_Services);
  auto Found = std::ranges::find(Services, Request.m_Service, &Service::m_Name);
  if (Found == Services.end()) {
    Answer.m_Error = ErrorKind::UnknownService;
    return Answer;
  }
  auto ServiceIndex = std::size_t(Found - Services.begin());
  const RegionName *Home =
      Request.m_Client ? m_Clients.find(*Request.m_Client) : nullptr;
  if (!Home)
    Home = &m_Members.self().m_Region;

  struct Ranked {
    int m_Tier;
    double m_SampleKey;
    const MemberInfo *m_Info;
  };
  std::vector<Ranked> Ranking;
  auto AddIfUsable = [&](const MemberInfo &Info) {
    if (Info.m_State != MemberState::Live ||
        m_Members.isListedLeaving(Info.m_Identity.m_Vm) ||
        !m_Members.isAlive(Info.m_Identity.m_Vm, Now))
      return;
    std::uint32_t Units = memberSlots(Info, ServiceIndex);
    int Tier = (Units == 0 ? 2 : 0) + (Info.m_Region == *Home ? 0 : 1);
    // Weighted random sampling: a VM with twice the shares comes first twice as
    // often. Ranking by free units would send all callers to the same VM until
    // the next heartbeat.
    double SampleKey =
        -std::log(std::max(uniform(), 1e-9)) / (double(Units) + 0.1);
    Ranking.push_back({Tier, SampleKey, &Info});
  };
  AddIfUsable(m_Members.self());
  for (const auto &[Vm, Other] : m_Members.others())
    AddIfUsable(Other.m_Info);
  std::ranges::sort(Ranking, [](const Ranked &A, const Ranked &B) {
    return A.m_Tier != B.m_Tier ? A.m_Tier < B.m_Tier
                                : A.m_SampleKey < B.m_SampleKey;
  });
  if (Ranking.empty()) {
    Answer.m_Error = ErrorKind::NoCapacity;
    return Answer;
  }
  if (Ranking.size() > m_Tuning.m_VmsPerLookup)
    Ranking.resize(m_Tuning.m_VmsPerLookup);
  for (const Ranked &R : Ranking)
    Answer.m_Vms.push_back(
        {R.m_Info->m_Identity.m_Vm, R.m_Info->m_CallerAddress});
  Answer.m_Lifetime = m_Tuning.m_LookupLife;
  if (!Found->m_Repeatable) {
    const MemberInfo &Owner = *Ranking.front().m_Info;
    auto Random64 = [&] { return std::uint64_t(m_Rng()) << 32 | m_Rng(); };
    TicketId Id{Random64(), Random64()};
    Answer.m_Ticket =
        Ticket{Id, Found->m_Name, Owner.m_Identity, Owner.m_TicketClock};
  }
  return Answer;
}

std::optional<StoreRequest> Node::nextStoreRequest(TimePoint Now) {
  return m_Shares.nextRequest(bundle().get(), m_Limits, m_Members, Now, m_Rng);
}

void Node::onStoreReply(const StoreReply &Reply, TimePoint Now) {
  bool Scanned = m_Shares.onReply(Reply, m_Limits, Now);
  if (Scanned && m_Shares.head())
    m_BundleTracker.recordConfirmation(m_Shares.head()->m_Version,
                                       *m_Shares.scannedAt());
  dispatchQueued(Now);
}

bool Node::adopt(BundleRef Offered, TimePoint Now) {
  if (!m_BundleTracker.adopt(std::move(Offered)))
    return false;
  m_Limits.applyBundle(*bundle());
  m_Shares.applyHoldings(m_Limits);
  m_Clients = PrefixTable(bundle()->m_Clients);
  rebuildUpstreams(Now);
  rebuildRoutes();
  dispatchQueued(Now);
  return true;
}

void Node::rebuildUpstreams(TimePoint Now) {
  bool IsFirstBundle = m_Upstreams.empty();
  std::map<UpstreamName, UpstreamRef> Next;
  for (const Service &S : bundle()->m_Services) {
    for (const Upstream &Spec : S.m_Upstreams) {
      auto Old = m_Upstreams.find(Spec.m_Name);
      UpstreamRef State;
      if (Old != m_Upstreams.end()) {
        State = Old->second;
        if (State->m_Spec.m_Leaving && !Spec.m_Leaving)
          State->m_WarmUpSince = Now;
        State->m_Spec = Spec;
      } else {
        State = new UpstreamState(Spec);
        if (!IsFirstBundle)
          State->m_WarmUpSince = Now;
      }
      State->m_SlotLimit = m_Limits.find(limitName(Spec.m_Name));
      Next.emplace(Spec.m_Name, std::move(State));
    }
  }
  m_Upstreams = std::move(Next);
}

void Node::rebuildRoutes() {
  const RegionName &Home = m_Members.self().m_Region;
  for (auto &[Name, State] : m_Services)
    State.m_Routes.clear();
  for (const Service &S : bundle()->m_Services) {
    std::vector<Route> &Routes = m_Services[S.m_Name].m_Routes;
    Routes.push_back({&Home, nullptr, {}, {}});
    for (const Shift &Crossing : bundle()->m_Shifts)
      if (Crossing.m_Service == S.m_Name && Crossing.m_From == Home)
        Routes.push_back({&Crossing.m_To,
                          &Crossing,
                          {{m_Limits.find(limitName(Crossing.m_Name))}},
                          {}});
    for (Route &Path : Routes) {
      if (LimitRef Cap = m_Limits.find(limitName(*Path.m_Region)))
        Path.m_LimitUses.push_back({Cap, 1});
      if (const Link *Crossing = bundle()->findLink(Home, *Path.m_Region))
        Path.m_LimitUses.push_back(
            {m_Limits.find(limitName(*Crossing)), S.m_LinkUnits});
      for (const Upstream &U : S.m_Upstreams)
        if (U.m_Region == *Path.m_Region)
          Path.m_Upstreams.push_back(m_Upstreams.at(U.m_Name));
    }
  }
}

bool Node::mayServe(TimePoint Now) const {
  if (superseded())
    return false;
  auto Age = m_BundleTracker.confirmationAge(Now);
  // The majority is computed only if there is no recent confirmation. A VM that
  // knows of a newer bundle knows that its own is outdated, so the majority
  // doesn't matter then.
  bool Confirmed = Age && *Age <= m_BundleTracker.confirmationLease();
  bool SeesMajority = !Confirmed && !m_BundleTracker.versionToFetch() &&
                      m_Members.seesMajority(Now);
  return m_Rules.m_Serve(Age, m_BundleTracker.confirmationLease(),
                         SeesMajority);
}

std::vector<Upstream> Node::upstreamsToPoll(TimePoint Now) const {
  std::vector<Upstream> Mine;
  const VmName &Self = m_Members.self().m_Identity.m_Vm;
  std::vector<VmName> Alive;
  for (const Participant &Member : m_Members.participants(Now))
    if (m_Members.isAlive(Member.m_Vm, Now))
      Alive.push_back(Member.m_Vm);
  for (const auto &[Name, U] : m_Upstreams) {
    std::uint64_t Seed = stableHash(Name.str());
    std::uint64_t SelfHash = stableHash(Self.str(), Seed);
    auto Rank = std::ranges::count_if(Alive, [&](const VmName &Vm) {
      return Vm != Self && stableHash(Vm.str(), Seed) < SelfHash;
    });
    if (std::size_t(Rank) < m_Tuning.m_PollersPerUpstream)
      Mine.push_back(U->m_Spec);
  }
  return Mine;
}

void Node::onLoadReport(const UpstreamName &Name, const LoadReport &Report,
                        TimePoint Now) {
  if (auto At = m_Upstreams.find(Name); At != m_Upstreams.end())
    At->second->recordReport(Report, Now, m_Tuning.m_Upstreams);
}

void Node::onDrainSignal(const UpstreamName &Name, TimePoint Now) {
  auto At = m_Upstreams.find(Name);
  if (At == m_Upstreams.end())
    return;
  std::uint32_t Slots = At->second->m_Spec.m_Slots;
  At->second->recordReport({Slots, Slots, true}, Now, m_Tuning.m_Upstreams);
}

void Node::advanceShifts(TimePoint Now) {
  if (!bundle())
    return;
  for (const Shift &S : bundle()->m_Shifts) {
    ShiftState &State = m_Shifts[S.m_Name];
    if (State.m_Percent >= S.m_Percent) {
      State.m_Percent = S.m_Percent;
      State.m_BaselineLatency.reset();
      continue;
    }
    if (Now - State.m_LastStepAt < m_Tuning.m_ShiftStepEvery)
      continue;
    State.m_LastStepAt = Now;
    Duration Latency = meanRegionLatency(S.m_Service, S.m_To);
    if (!State.m_BaselineLatency && Latency > Duration::zero())
      State.m_BaselineLatency = Latency;
    // The target region's latency has reached twice its baseline: no more
    // traffic for now.
    if (State.m_BaselineLatency && Latency > *State.m_BaselineLatency * 2)
      continue;
    State.m_Percent =
        std::min(State.m_Percent + m_Tuning.m_ShiftStepPercent, S.m_Percent);
  }
}

Duration Node::meanRegionLatency(const ServiceName &Wanted,
                                 const RegionName &Region) const {
  Duration Sum{};
  int Count = 0;
  for (const auto &[Name, U] : m_Upstreams) {
    if (U->m_Spec.m_Region != Region || U->m_Latency == Duration::zero())
      continue;
    const Service *S = bundle()->findService(Wanted);
    bool Serves =
        S && std::ranges::find(S->m_Upstreams, Name, &Upstream::m_Name) !=
                 S->m_Upstreams.end();
    if (!Serves)
      continue;
    Sum += U->m_Latency;
    ++Count;
  }
  return Count > 0 ? Sum / Count : Duration::zero();
}

void Node::startLeaving(TimePoint Now) {
  m_Members.self().m_State = MemberState::Leaving;
  (void)heartbeat(Now);
}

const MemberInfo *Node::successor(TimePoint Now) const {
  const MemberInfo *Best = nullptr;
  const RegionName &Home = m_Members.self().m_Region;
  for (const auto &[Vm, Other] : m_Members.others()) {
    if (Other.m_Info.m_State != MemberState::Live ||
        !m_Members.isAlive(Vm, Now))
      continue;
    if (!Best || (Best->m_Region != Home && Other.m_Info.m_Region == Home))
      Best = &Other.m_Info;
  }
  return Best;
}

TicketHandover Node::handOverTickets(const VmIncarnation &Successor,
                                     TimePoint Now) {
  m_Members.self().m_TicketSuccessor = Successor;
  return m_Tickets.handOver(Now);
}

} // namespace mustardspoke
