/// \file
/// Attempts that a peer carries for this VM, and those that it carries for
/// peers.
#include "gateway/exchange.h"

#include "gateway/link_monitor.h"
#include "observe/log.h"

namespace mustardspoke::steer {
namespace {

/// A connection to a peer takes one round trip, which is at most 110 ms.
constexpr Duration PeerConnectTimeout = 300ms;
/// A VM whose timers are later than this carries nothing for peers.
constexpr Duration MaxRelayTimerLag = 100ms;
/// A retry with less time than this can't be answered before the deadline.
constexpr Duration MinRetryTime = 60ms;
constexpr std::string_view NoLinks = "no-links";

} // namespace

awaitable<UpstreamConnectionPtr> Exchange::connectToPeer(UpstreamPtr Target) {
  const EntryVm *Peer = m_State.m_Fleet.selectRelay(
      {Target->m_IdHash, Target->m_Registration.m_Region, residency()},
      steadyNow());
  if (!Peer) {
    m_Outcome.m_Cause = "no-peer";
    co_return nullptr;
  }
  VmName Name = Peer->m_Vm;
  m_Outcome.m_PeerRegion = Peer->m_Region;
  if (UpstreamConnectionPtr Kept =
          m_Pool.acquire(Name, steadyNow(), requestHash()))
    co_return Kept;
  UpstreamConnectionPtr Connection = co_await openPeerConnection(
      m_State, m_Pool, *Peer, std::min(PeerConnectTimeout, remaining()),
      m_Outcome.m_Error);
  if (!Connection) {
    m_Outcome.m_Cause = AttemptCause::PeerUnreachable;
    m_Outcome.m_Peer = Name;
  }
  co_return Connection;
}

void Exchange::leaveOwnLink() {
  bool Waits = m_Connection && !m_Connection->isToPeer() &&
               m_Connection->m_RequestUnanswered && !m_ResponseStarted;
  // A request that may run once only waits for the answer, as it may have
  // arrived.
  bool MayGoOn = m_Route && m_Route->idempotent() &&
                 m_Request->m_Body.isWhole() &&
                 (servesPeer() || (m_State.hasRelay() &&
                                   m_SentAttempts < m_Route->m_MaxAttempts &&
                                   remaining() >= MinRetryTime));
  if (!Waits || !MayGoOn)
    return;
  m_Outcome.m_LeftOwnLink = true;
  closeUpstream();
}

std::string_view Exchange::relayRefusal(const UpstreamPtr &Target) const {
  if (m_State.mayCutOff(m_Deadline))
    return "leaving";
  if (m_State.m_OwnLinks.state() == LinkState::Lost)
    return NoLinks;
  if (m_State.m_Fleet.m_Self.m_TimerLag > MaxRelayTimerLag)
    return "busy";
  if (!Target)
    return AttemptCause::Unknown;
  bool MayBeUsed =
      m_State.m_Upstreams.exclusion(*Target, steadyNow()) == Exclusion::None;
  return MayBeUsed ? "" : AttemptCause::Excluded;
}

awaitable<bool> Exchange::serveRelayed() {
  ++m_State.m_OwnLinks.m_Counters.m_RelayedIn;
  auto Asked = readRelayFields(m_Request->m_Head);
  bool Readable = !m_Request->m_HeadTimedOut &&
                  m_Request->m_ParseError == HttpParseError::None;
  if (!Readable || !Asked || !m_Metadata.m_CallerTimeout)
    co_return co_await sendRelayOutcome(RelayResult::NotSent, "unreadable");
  m_PeersRoute.m_Name = "relayed";
  m_PeersRoute.m_RetrySafety =
      Asked->m_IsRepeatable ? RetrySafety::Safe : RetrySafety::Unsafe;
  m_Route = &m_PeersRoute;
  m_Deadline = m_ArrivedAt + *m_Metadata.m_CallerTimeout;
  UpstreamPtr Target = m_State.m_Upstreams.findRun(Asked->m_Run);
  std::string_view Refusal = relayRefusal(Target);
  if (!Refusal.empty())
    co_return co_await sendRelayOutcome(RelayResult::NotSent, Refusal);
  m_TargetService = Target->m_Registration.m_Service;
  m_Tried.push_back(Target);
  armDeadline();
  switch (co_await attempt(Target, false)) {
  case AttemptResult::Answered:
    co_return co_await deliver(std::move(*m_BufferedResponse));
  case AttemptResult::Streamed:
    co_return !m_ClosesConnection;
  case AttemptResult::Aborted:
    m_Caller->abort();
    co_return false;
  case AttemptResult::NotSent: {
    // This VM's own links may be to blame.
    bool InDoubt = m_State.m_OwnLinks.state() != LinkState::Up ||
                   m_State.m_OwnLinks.evidence().isInDoubt(steadyNow());
    std::string_view Cause = m_Outcome.m_Cause;
    // The asker tries another peer.
    if (Cause == AttemptCause::InDoubt)
      co_return co_await sendRelayOutcome(RelayResult::NotSent, Cause);
    if (Cause != AttemptCause::Unreachable)
      Cause = AttemptCause::Excluded;
    else if (InDoubt)
      Cause = NoLinks;
    co_return co_await sendRelayOutcome(RelayResult::NotSent, Cause);
  }
  case AttemptResult::NotRun:
  case AttemptResult::Failed:
  case AttemptResult::UnprovedRefusal:
  case AttemptResult::Lost:
    break;
  }
  std::string_view Cause = m_Outcome.m_Cause;
  if (m_EndedUpstreams > 0)
    Cause = AttemptCause::Closed;
  co_return co_await sendRelayOutcome(RelayResult::Lost, Cause);
}

awaitable<bool> Exchange::sendRelayOutcome(RelayResult Result,
                                           std::string_view Reason) {
  constexpr unsigned StatusBadGateway = 502;
  HeadWriter Head =
      HeadWriter::response(StatusBadGateway, reasonPhrase(StatusBadGateway));
  addRelayOutcome(Head, {Result, std::string(Reason)});
  Head.field("Content-Length", std::uint64_t(0));
  addConnectionField(Head);
  record(Result == RelayResult::NotSent ? ErrorKind::NoCapacity
                                        : ErrorKind::UpstreamLost,
         StatusBadGateway, Reason);
  m_ResponseStarted = true;
  bool StillConnected = co_await m_Caller->send(m_Request, Head.finish());
  co_return StillConnected && !m_ClosesConnection;
}

} // namespace mustardspoke::steer
