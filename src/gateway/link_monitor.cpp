/// \file
/// Timing of the probes.
#include "gateway/link_monitor.h"

#include "gateway/task.h"

#include "observe/log.h"

namespace mustardspoke::steer {
namespace {

/// Between two looks at the evidence while requests wait for answers.
constexpr Duration TickInterval = 50ms;
/// A round trip on the longest path takes 110 ms.
constexpr Duration ProbeTimeout = 300ms;
/// An accepted connection may be reset a moment later.
constexpr Duration ProbeSettleTime = 20ms;
/// The first probe goes to the own region.
constexpr Duration FirstProbeTime = 60ms;
constexpr Duration PollInterval = 10ms;
/// Between two rounds of probes while the links are lost.
constexpr Duration ProbeInterval = 200ms;
constexpr Duration ProbedIdleTimeout = 1s;
/// A VM whose last contact is older probes when a peer asks.
constexpr Duration OldContact = 1s;
/// An answer to another request soon shows that the links work.
constexpr Duration OtherAnswerTime = 50ms;
/// Upstreams that are probed to verify the end of one.
constexpr std::size_t MaxOthers = 4;

} // namespace

awaitable<bool> probeUpstream(GatewayState &State, UpstreamPool &Pool,
                              UpstreamPtr Target) {
  ++State.m_OwnLinks.m_Counters.m_Probes;
  TimePoint Began = steadyNow();
  NetError Error;
  UpstreamConnectionPtr Connection =
      co_await Pool.open(Target, ProbeTimeout, Error);
  if (Connection) {
    co_await sleepFor(State.m_Io, ProbeSettleTime);
    if (peek(Connection->m_Socket) == PeekResult::Nothing) {
      State.m_OwnLinks.recordProbe();
      Connection->m_IdleTimeout = ProbedIdleTimeout;
      Pool.release(*Target, Connection, steadyNow());
      co_return true;
    }
  }
  if (!isLocalShortage(Error))
    State.m_OwnLinks.recordOpenFailure(*Target, Began, true);
  logEvent(LogLevel::Info, "probe-failed",
           {{"upstream", Target->m_Registration.m_Id},
            {"cause", Error ? Error.message() : "closed"},
            {"ms", std::to_string(toMillis(steadyNow() - Began))}});
  co_return false;
}

awaitable<UpstreamConnectionPtr>
openPeerConnection(GatewayState &State, UpstreamPool &Pool, const EntryVm &Peer,
                   Duration Timeout, NetError &Error) {
  // The peer's own IP, and the port that all VMs use.
  VmName Name = Peer.m_Vm;
  const std::string &OwnAddress = State.m_Settings.m_RelayAddress;
  std::string Address =
      Peer.m_PeerAddress.substr(0, Peer.m_PeerAddress.rfind(':')) +
      OwnAddress.substr(OwnAddress.rfind(':'));
  UpstreamConnectionPtr Connection =
      co_await Pool.open(Name, Address, Timeout, Error);
  if (Connection)
    State.m_OwnLinks.recordPeerReached();
  else
    State.m_Fleet.recordRelayFailure(Name, steadyNow());
  co_return Connection;
}

awaitable<bool> otherUpstreamIsReachable(GatewayState &State,
                                         UpstreamPool &Pool, UpstreamPtr Target,
                                         TimePoint Since) {
  for (TimePoint End = steadyNow() + OtherAnswerTime; steadyNow() < End;) {
    if (State.m_OwnLinks.hadContactSince(Since))
      co_return true;
    co_await sleepFor(State.m_Io, PollInterval);
  }
  for (const UpstreamPtr &Other : State.m_OwnLinks.evidence().probeTargets(
           State.m_Upstreams, State.m_Settings.m_Placement, MaxOthers,
           std::uint64_t(Since.time_since_epoch().count()), steadyNow()))
    if (Other != Target && co_await probeUpstream(State, Pool, Other))
      co_return true;
  co_return false;
}

void LinkMonitor::start() {
  m_State.m_OwnLinks.m_HasPeers = [this] { return m_State.hasRelay(); };
  startService(m_State.m_Io, "link-monitor", [this]() { return run(); });
}

bool LinkMonitor::peerAsks() const {
  // In a large fleet, some VMs always carry traffic.
  if (!m_State.m_Fleet.isSmall())
    return false;
  auto Age = m_State.m_OwnLinks.contactAge();
  return (!Age || *Age > OldContact) &&
         m_State.m_Fleet.anyPeerDoubtsLinks(steadyNow());
}

awaitable<void> LinkMonitor::run() {
  OwnLinks &Links = m_State.m_OwnLinks;
  for (;;) {
    bool MayAct = Links.evidence().mayComeIntoDoubt() ||
                  Links.state() != LinkState::Up || peerAsks();
    if (!MayAct) {
      co_await Links.waitForChange();
      continue;
    }
    TimePoint Due = steadyNow() + TickInterval;
    co_await sleepFor(m_State.m_Io, TickInterval);
    m_State.m_ReadDelay.record(steadyNow() - Due, steadyNow());
    if (steadyNow() - Due > Links.evidence().tuning().m_MaxTimerDelay)
      Links.recordStall();
    bool InDoubt = Links.evidence().isInDoubt(steadyNow());
    m_State.m_Fleet.m_Self.m_DoubtsLinks = InDoubt;
    if (InDoubt || peerAsks())
      co_await probeRound();
    if (Links.state() != LinkState::Up)
      co_await sleepFor(m_State.m_Io, ProbeInterval);
  }
}

awaitable<void> LinkMonitor::probeRound() {
  OwnLinks &Links = m_State.m_OwnLinks;
  const LinkTuning &Tuning = Links.evidence().tuning();
  // Enough to cover all regions, and the domains and services that must fail.
  std::size_t Count =
      1 + std::max<std::size_t>(
              {Tuning.m_MinDomains, Tuning.m_MinServices,
               linkScope(m_State.m_Upstreams, steadyNow()).m_Regions.size()});
  bool AwaitsReturn = Links.state() != LinkState::Up;
  if (AwaitsReturn)
    Count = 1;
  std::vector<UpstreamPtr> Targets = Links.evidence().probeTargets(
      m_State.m_Upstreams, m_State.m_Settings.m_Placement, Count, ++m_Round,
      steadyNow());
  TimePoint Began = steadyNow();
  for (std::size_t I = 0; I < Targets.size(); ++I) {
    startProbe(Targets[I]);
    if (AwaitsReturn)
      co_return; // The next round begins after an interval.
    if (I == 0)
      co_await waitForProbes(Began, FirstProbeTime);
    if (Links.hadContactSince(Began))
      co_return;
    if (I == 0)
      startTask(m_State.m_Io, "probe-peer", [this]() { return probePeer(); });
  }
  co_await waitForProbes(Began,
                         FirstProbeTime + ProbeTimeout + ProbeSettleTime);
}

void LinkMonitor::startProbe(const UpstreamPtr &Target) {
  ++m_RunningProbes;
  startTask(
      m_State.m_Io, "probe", [this, Target]() { return runProbe(Target); },
      [this] { --m_RunningProbes; });
}

awaitable<void> LinkMonitor::runProbe(UpstreamPtr Target) {
  (void)co_await probeUpstream(m_State, m_Pool, Target);
  --m_RunningProbes;
}

awaitable<void> LinkMonitor::probePeer() {
  // Different rounds select different peers, as one may have ended.
  const EntryVm *Peer =
      m_State.m_Settings.m_RelayAddress.empty()
          ? nullptr
          : m_State.m_Fleet.selectRelay(
                {m_Round, m_State.m_Settings.m_Placement.m_Region,
                 Residency::anywhere()},
                steadyNow());
  if (!Peer)
    co_return;
  VmName Name = Peer->m_Vm;
  NetError Error;
  TimePoint Began = steadyNow();
  UpstreamConnectionPtr Connection =
      co_await openPeerConnection(m_State, m_Pool, *Peer, ProbeTimeout, Error);
  if (Connection)
    co_return m_Pool.release(Connection, steadyNow());
  logEvent(LogLevel::Info, "probe-failed",
           {{"peer", Name.str()},
            {"cause", Error.message()},
            {"ms", std::to_string(toMillis(steadyNow() - Began))}});
}

awaitable<void> LinkMonitor::waitForProbes(TimePoint Began, Duration MaxTime) {
  while (m_RunningProbes > 0 && steadyNow() - Began < MaxTime &&
         !m_State.m_OwnLinks.hadContactSince(Began))
    co_await sleepFor(m_State.m_Io, PollInterval);
}

} // namespace mustardspoke::steer
