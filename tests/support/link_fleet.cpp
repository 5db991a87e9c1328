/// \file
/// Requests, heartbeats and probes of the simulated fleet.
#include "support/link_fleet.h"

#include <algorithm>
#include <cmath>

namespace mustardspoke::test {

using namespace steer;

namespace {

constexpr const char *Regions[] = {"east", "west", "south"};
constexpr Duration Deadline = 2s;
/// The shortest `contact` of the users' deployments.
constexpr Duration Contact = 3s;
constexpr Duration ConnectTimeout = 400ms;
constexpr Duration ProbeTime = 300ms;
constexpr Duration RoundTrip = 10ms;
constexpr Duration WatchInterval = 50ms;
constexpr Duration HeartbeatDelay = 5ms;
constexpr unsigned MaxAttempts = 6;

std::string vmName(unsigned Vm) { return "vm" + std::to_string(Vm); }

} // namespace

bool LinkFleetResult::breaksRule() const {
  double All = m_AtCutVms.m_Sent + m_AtOthers.m_Sent;
  double Failed = m_AtCutVms.m_Sent - m_AtCutVms.m_Served;
  return m_AtCutVms.served() < m_AtOthers.served() * 2 / 3 &&
         Failed > 10 + All / 50;
}

LinkFleet::LinkFleet(LinkFleetPlan Plan)
    : m_Plan(std::move(Plan)), m_Rng(m_Plan.m_Seed) {
  for (unsigned I = 0; I < 36; ++I) {
    UpstreamRegistration Facts;
    Facts.m_Id = "u" + std::to_string(I);
    Facts.m_Service = ServiceName("s");
    Facts.m_Region = RegionName(Regions[I % 3]);
    Facts.m_Domain = FailureDomainName(std::string(Regions[I % 3]) +
                                       (I / 3 % 2 == 0 ? "-a" : "-b"));
    (void)m_Upstreams.put(Facts, m_Events.m_Now);
    m_All.push_back(m_Upstreams.find(Facts.m_Id));
  }
  for (unsigned I = 0; I < m_Plan.m_Vms; ++I) {
    EntryVm Self;
    Self.m_Vm = VmName(vmName(I));
    Self.m_Incarnation = 1;
    Self.m_Region = RegionName(Regions[regionOf(I)]);
    Self.m_Domain = FailureDomainName(std::string(Regions[regionOf(I)]) +
                                      (domainOf(I) == 0 ? "-a" : "-b"));
    Self.m_Ready = true;
    m_Vms.push_back(std::make_unique<Vm>(Self, m_Events.m_Now));
  }
  for (const auto &Each : m_Vms)
    for (const auto &Other : m_Vms)
      Each->m_Fleet.addPeer(Other->m_Fleet.m_Self);
}

void LinkFleet::cut(const std::function<bool(unsigned)> &Matches,
                    LinkFault Fault, Duration From, Duration To) {
  m_FirstCutAt = std::min(m_FirstCutAt, m_Events.m_Now + From);
  for (unsigned I = 0; I < m_Vms.size(); ++I) {
    if (!Matches(I))
      continue;
    Vm &Each = *m_Vms[I];
    m_Events.after(From, [this, &Each, Fault] {
      Each.m_Fault = Fault;
      Each.m_CutSince = m_Events.m_Now;
    });
    m_Events.after(To, [this, &Each] {
      Each.m_Fault = LinkFault::None;
      Each.m_HealedAt = m_Events.m_Now;
    });
  }
}

LinkFleetResult LinkFleet::run(Duration Length) {
  m_End = m_Events.m_Now + Length;
  for (unsigned I = 0; I < m_Vms.size(); ++I) {
    m_Events.after(m_Rng(100) * 1ms, [this, I] { sendHeartbeats(I); });
    m_Events.after(m_Rng(50) * 1ms, [this, I] { watch(I); });
    scheduleRequest(I);
  }
  m_Events.run();
  return m_Result;
}

void LinkFleet::scheduleRequest(unsigned At) {
  double Seconds = -std::log(1 - uniform() * 0.999999) / m_Plan.m_RequestsPerVm;
  m_Events.after(Duration(std::int64_t(Seconds * 1e6)), [this, At] {
    if (m_Events.m_Now >= m_End)
      return;
    auto Current = std::make_shared<Request>();
    Current->m_Vm = At;
    Current->m_SentAt = m_Events.m_Now;
    Current->m_IsRepeatable = uniform() < 0.6;
    attempt(Current);
    scheduleRequest(At);
  });
}

void LinkFleet::sendHeartbeats(unsigned Sender) {
  Vm &Each = *m_Vms[Sender];
  EntryVm State = Each.m_Fleet.m_Self;
  if (Each.m_Links.hadContact())
    State.m_ContactAge = m_Events.m_Now - Each.m_Links.contactAt();
  State.m_Links = Each.m_IsLost ? LinkState::Lost : LinkState::Up;
  State.m_DoubtsLinks = Each.m_Links.isInDoubt(m_Events.m_Now);
  bool IsSmall = Each.m_Fleet.isSmall();
  for (const Fleet::Recipient &To :
       Each.m_Fleet.nextRecipients(Each.m_Round++, m_Events.m_Now, true)) {
    auto Index = unsigned(std::stoul(To.m_State.m_Vm.str().substr(2)));
    m_Events.after(HeartbeatDelay, [this, Index, State] {
      (void)m_Vms[Index]->m_Fleet.receivedHeartbeat(State, m_Events.m_Now);
    });
  }
  if (m_Events.m_Now < m_End)
    m_Events.after(IsSmall ? 100ms : 250ms,
                   [this, Sender] { sendHeartbeats(Sender); });
}

UpstreamPtr LinkFleet::randomUpstream() {
  return m_All[m_Rng(std::uint32_t(m_All.size()))];
}

bool LinkFleet::reaches(const Vm &Each, const steer::Upstream &Target) const {
  return Each.m_Fault == LinkFault::None &&
         Target.m_Registration.m_Region.str() != m_Plan.m_LostRegion;
}

void LinkFleet::update(Vm &Each) {
  bool WasLost = Each.m_IsLost;
  LinkScope Scope = linkScope(m_Upstreams, m_Events.m_Now);
  Scope.m_HasPeers = !WasLost && Each.m_Fleet.hasRelay(m_Events.m_Now);
  Each.m_IsLost = Each.m_Links.state(Scope) != LinkState::Up;
  bool Recent = m_Events.m_Now - Each.m_HealedAt < 1s;
  bool IsCut =
      Each.m_Fault != LinkFault::None && Each.m_Fault != LinkFault::Congested;
  if (Each.m_IsLost && !WasLost && !IsCut && !Recent)
    ++m_Result.m_FalseAlarms;
  if (!Each.m_IsLost || WasLost || !m_Plan.m_Relays)
    return;
  // Requests that hang, and may be repeated, go on over a peer's link.
  for (const RequestPtr &Current : std::exchange(m_Hanging, {}))
    if (Current->m_Done || m_Vms[Current->m_Vm].get() != &Each ||
        !Current->m_IsRepeatable)
      m_Hanging.push_back(Current);
    else
      attempt(Current);
}

void LinkFleet::watch(unsigned At) {
  Vm &Each = *m_Vms[At];
  if (Each.m_Links.isInDoubt(m_Events.m_Now))
    probe(At);
  if (m_Events.m_Now < m_End)
    m_Events.after(Each.m_IsLost ? 200ms : WatchInterval,
                   [this, At] { watch(At); });
}

void LinkFleet::probe(unsigned At) {
  Vm &Each = *m_Vms[At];
  if (Each.m_Fault != LinkFault::Congested)
    m_Events.after(RoundTrip, [this, &Each] {
      Each.m_Links.recordPeerReached(m_Events.m_Now);
      update(Each);
    });
  for (const UpstreamPtr &Target : Each.m_Links.probeTargets(
           m_Upstreams, {Each.m_Fleet.m_Self.m_Region, {}}, 4, ++Each.m_Round,
           m_Events.m_Now)) {
    TimePoint Began = m_Events.m_Now;
    bool Hangs = Each.m_Fault == LinkFault::Hang ||
                 Each.m_Fault == LinkFault::Congested ||
                 (Each.m_Fault == LinkFault::None && !reaches(Each, *Target));
    m_Events.after(
        Hangs ? ProbeTime : 2 * RoundTrip, [this, &Each, Target, Began] {
          if (reaches(Each, *Target))
            Each.m_Links.recordProbe(m_Events.m_Now);
          else
            Each.m_Links.recordOpenFailure(Target->m_Registration, Began, true);
          update(Each);
        });
  }
}

void LinkFleet::attempt(const RequestPtr &Current) {
  if (Current->m_Done)
    return;
  if (++Current->m_Attempts > MaxAttempts)
    return finish(Current, false);
  if (m_Vms[Current->m_Vm]->m_IsLost && m_Plan.m_Relays)
    return relay(Current);
  attemptDirectly(Current);
}

void LinkFleet::relay(const RequestPtr &Current) {
  Vm &Each = *m_Vms[Current->m_Vm];
  UpstreamPtr Target = randomUpstream();
  const EntryVm *Peer = Each.m_Fleet.selectRelay(
      {Target->m_IdHash, Target->m_Registration.m_Region,
       Residency::anywhere()},
      m_Events.m_Now);
  if (!Peer)
    return finish(Current, false);
  ++m_Result.m_Relayed;
  Vm &Carrier = *m_Vms[unsigned(std::stoul(Peer->m_Vm.str().substr(2)))];
  m_Events.after(RoundTrip, [this, Current, &Each, &Carrier, Target] {
    if (reaches(Carrier, *Target))
      return m_Events.after(m_Plan.m_WorkTime, [this, Current, &Carrier] {
        Carrier.m_Links.recordAnswer(m_Events.m_Now);
        finish(Current, true);
      });
    // The peer states that it has no links, or can't open a connection.
    Each.m_Fleet.recordRelayFailure(Carrier.m_Fleet.m_Self.m_Vm,
                                    m_Events.m_Now);
    m_Events.after(Carrier.m_IsLost ? Duration() : ConnectTimeout,
                   [this, Current] { attempt(Current); });
  });
}

void LinkFleet::attemptDirectly(const RequestPtr &Current) {
  Vm &Each = *m_Vms[Current->m_Vm];
  UpstreamPtr Target = randomUpstream();
  TimePoint Began = m_Events.m_Now;
  bool Kept = uniform() < m_Plan.m_KeptConnections;
  bool Works =
      reaches(Each, *Target) || (Kept && Each.m_Fault == LinkFault::RefuseNew);
  if (Works) {
    Each.m_Links.beginWait(Began);
    Duration Work(
        std::int64_t(double(m_Plan.m_WorkTime.count()) * (1 + uniform())));
    return m_Events.after(Work, [this, Current, &Each] {
      Each.m_Links.endWait();
      bool Arrives = Each.m_Fault == LinkFault::None ||
                     Each.m_Fault == LinkFault::RefuseNew;
      if (Arrives)
        Each.m_Links.recordAnswer(m_Events.m_Now);
      update(Each);
      if (Arrives)
        finish(Current, true);
      else if (Current->m_IsRepeatable)
        attempt(Current);
      else
        finish(Current, false);
    });
  }
  bool Hangs =
      Each.m_Fault != LinkFault::Reset && Each.m_Fault != LinkFault::RefuseNew;
  if (Kept && Hangs) {
    Each.m_Links.beginWait(Began);
    m_Hanging.push_back(Current);
    return m_Events.after(Deadline, [this, Current, &Each] {
      Each.m_Links.endWait();
      finish(Current, false);
    });
  }
  m_Events.after(Hangs ? ConnectTimeout : RoundTrip, [this, Current, &Each,
                                                      Target, Began] {
    Each.m_Links.recordOpenFailure(Target->m_Registration, Began);
    update(Each);
    attempt(Current);
  });
}

void LinkFleet::finish(const RequestPtr &Current, bool Served) {
  if (std::exchange(Current->m_Done, true))
    return;
  const Vm &Each = *m_Vms[Current->m_Vm];
  bool InTime = m_Events.m_Now - Current->m_SentAt <= Deadline;
  if (Current->m_SentAt < m_FirstCutAt)
    return;
  bool IsCut = Each.m_Fault != LinkFault::None;
  if (IsCut && Current->m_SentAt < Each.m_CutSince + Contact)
    return;
  LinkTally &Tally = IsCut ? m_Result.m_AtCutVms : m_Result.m_AtOthers;
  ++Tally.m_Sent;
  Tally.m_Served += Served && InTime ? 1 : 0;
}

} // namespace mustardspoke::test
