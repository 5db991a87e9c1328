/// \file
/// What follows from an attempt: for its upstream, for this VM's own links, for
/// peers that carried it, and for requests that end their upstreams.
#include "gateway/exchange.h"

#include "gateway/limit_report.h"
#include "observe/log.h"

namespace mustardspoke::steer {
namespace {

/// Idle timeout of an upstream that doesn't state its own.
constexpr Duration DefaultIdleTimeout = 4s;
/// Subtracted from a stated idle timeout, so that a request doesn't cross the
/// upstream's close.
constexpr Duration IdleMargin = 2s;
/// Weight of one response in the running mean of a route's response sizes.
constexpr double ResponseSizeWeight = 0.1;
/// An opening that was given less time is no evidence of lost links.
constexpr Duration MinOpeningTime = 200ms;

} // namespace

void Exchange::applyMetadata(Upstream &Target,
                             const ResponseMetadata &Metadata) {
  TimePoint Now = steadyNow();
  if (Metadata.m_Load) {
    Target.recordLoadReport(*Metadata.m_Load, Now);
    // An upstream that is leaving, and another one at its address, reject
    // requests for other reasons.
    m_Outcome.m_ShowsAllSlotsInUse = Metadata.m_Load->hasNoFreeSlot() &&
                                     !Metadata.m_Leaving &&
                                     !Metadata.m_AddressReused;
  }
  if (Metadata.m_WarmUpRemaining &&
      *Metadata.m_WarmUpRemaining > Duration::zero())
    Target.m_ColdUntil =
        std::max(Target.m_ColdUntil, Now + *Metadata.m_WarmUpRemaining);
  if (Metadata.m_AddressReused && !Target.m_AddressLost) {
    Target.m_AddressLost = true;
    m_Pool.closeIdle(Target);
    logEvent(LogLevel::Warning, "upstream-address-reused",
             {{"id", m_Metadata.m_RequestId},
              {"upstream", Target.m_Registration.m_Id},
              {"address", Target.m_Registration.m_Address}});
  }
  if (Metadata.m_Leaving &&
      m_State.m_Upstreams.announceLeaving(runKey(Target.m_Registration), Now)) {
    m_Pool.closeIdle(Target);
    logEvent(LogLevel::Info, "upstream-announced-leaving",
             {{"id", m_Metadata.m_RequestId},
              {"upstream", Target.m_Registration.m_Id}});
  }
  if (Metadata.m_QuietTime) {
    Target.m_QuietUntil =
        std::max(Target.m_QuietUntil, Now + *Metadata.m_QuietTime);
    logEvent(LogLevel::Info, "upstream-quiet",
             {{"id", m_Metadata.m_RequestId},
              {"upstream", Target.m_Registration.m_Id},
              {"ms", std::to_string(toMillis(*Metadata.m_QuietTime))}});
  }
  // Bytes that aren't the upstream's answer say nothing of its limit.
  bool IsItsAnswer =
      (Metadata.m_Signed || Metadata.m_NotRun) && !Metadata.m_AddressReused;
  if (IsItsAnswer && (Metadata.m_RateLimit || !Metadata.m_RateLimitUnreadable))
    applyStatedLimit(Target, {Metadata.m_RateLimit, m_Outcome.m_SentAt},
                     m_Metadata.m_RequestId);
  if (m_Connection->isToPeer())
    return; // The field applies to the connection between peer and upstream.
  m_Connection->m_IdleTimeout =
      Metadata.m_KeepAliveTimeout
          ? std::max<Duration>(*Metadata.m_KeepAliveTimeout - IdleMargin,
                               Duration::zero())
          : DefaultIdleTimeout;
}

awaitable<void> Exchange::recordOutcome(UpstreamPtr Target) {
  if (m_Outcome.isRelayed()) {
    ++m_State.m_OwnLinks.m_Counters.m_RelayedOut;
    m_Peers += (m_Peers.empty() ? "" : " ") + m_Outcome.m_Peer.str();
  }
  switch (m_Outcome.m_Result) {
  case AttemptResult::Answered:
  case AttemptResult::Streamed:
  case AttemptResult::Failed:
  case AttemptResult::UnprovedRefusal:
    recordAnswer(*Target);
    break;
  case AttemptResult::NotRun:
    m_State.m_KeyPlacement.recordRejected(placementKey(), *Target);
    break;
  case AttemptResult::NotSent:
    recordUnsent(*Target);
    break;
  case AttemptResult::Lost:
  case AttemptResult::Aborted:
    co_await recordLostConnection(Target);
    recordLoss(*Target);
    break;
  }
  bool MayHaveRun = m_Outcome.m_Result == AttemptResult::Lost ||
                    m_Outcome.m_Result == AttemptResult::Failed ||
                    m_Outcome.m_Result == AttemptResult::UnprovedRefusal;
  m_MayHaveRun = m_MayHaveRun || MayHaveRun;
}

void Exchange::recordAnswer(Upstream &Target) {
  const UpstreamHealthTuning &Tuning =
      m_State.m_Settings.m_Choice.m_HealthTuning;
  if (m_Outcome.isRelayed())
    m_State.m_Fleet.recordRelayAnswer(m_Outcome.m_Peer, m_Outcome.m_AnsweredAt);
  if (!m_Outcome.isRelayed() || m_Outcome.m_IsSigned)
    recordUpstreamAnswer();
  if (isServerError(m_Outcome.m_Status) && m_Route->idempotent())
    Target.recordFailure(m_Outcome.m_AnsweredAt, Tuning);
  if (!isSuccess(m_Outcome.m_Status))
    return;
  bool IsStreamed = m_Outcome.m_Result == AttemptResult::Streamed;
  if (m_Outcome.isRelayed() || IsStreamed) {
    Target.recordUntimedSuccess(m_Outcome.m_AnsweredAt, Tuning);
  } else {
    Duration Work = Target.recordSuccess(
        m_Outcome.m_AnsweredAt, m_Outcome.m_AnsweredAt - m_Outcome.m_SentAt,
        m_Choice.m_Load, Tuning);
    std::optional<bool> IsHeld;
    if (!servesPeer() && placementKey() != NoPlacementKey)
      IsHeld = m_Choice.m_IsHeld;
    m_State.m_Upstreams.recordProcessingTime(Target.m_Registration.m_Service,
                                             Work, IsHeld);
  }
  if (IsStreamed)
    return;
  double &Mean = m_State.m_MeanResponseBytes[m_Route->m_Name];
  Mean += (double(m_Outcome.m_BodyBytes) - Mean) * ResponseSizeWeight;
}

bool Exchange::blamesUpstream() const {
  if (m_Outcome.m_IsOwnRefusal)
    return false;
  if (!m_Outcome.isRelayed())
    return m_State.m_OwnLinks.state() == LinkState::Up;
  if (m_Outcome.m_IsStated)
    return m_Outcome.m_Cause == AttemptCause::Unreachable ||
           m_Outcome.m_Cause == AttemptCause::Excluded ||
           m_Outcome.m_Cause == AttemptCause::Unknown;
  return m_Outcome.m_Cause != AttemptCause::PeerUnreachable;
}

void Exchange::recordUnsent(Upstream &Target) {
  TimePoint Now = steadyNow();
  if (m_Outcome.isRelayed() && m_Outcome.m_SentAt != TimePoint()) {
    // The peer states that the upstream got nothing.
    --m_SentAttempts;
    ++m_State.m_OwnLinks.m_Counters.m_RelayFailed;
    if (!blamesUpstream())
      m_State.m_Fleet.recordRelayFailure(m_Outcome.m_Peer, Now);
  }
  bool IsLocal = isLocalShortage(m_Outcome.m_Error);
  bool IsUnreachable = m_Outcome.m_Cause == AttemptCause::Unreachable;
  bool Ejected = false;
  if (IsUnreachable && !IsLocal) {
    if (!m_Outcome.isRelayed() &&
        (m_Outcome.m_Error != asio::error::timed_out ||
         Now - m_Outcome.m_BeganAt >= MinOpeningTime))
      m_State.m_OwnLinks.recordOpenFailure(Target, m_Outcome.m_BeganAt);
    if (blamesUpstream())
      Ejected =
          Target.recordFailure(Now, m_State.m_Settings.m_Choice.m_HealthTuning);
  }
  std::string_view Event = IsLocal         ? "connection-not-opened"
                           : IsUnreachable ? "upstream-unreachable"
                                           : "attempt-withheld";
  logEvent(IsUnreachable ? LogLevel::Warning : LogLevel::Info,
           std::string(Event),
           {{"id", m_Metadata.m_RequestId},
            {"upstream", Target.m_Registration.m_Id},
            {"address", Target.m_Registration.m_Address},
            {"peer", m_Outcome.m_Peer.str()},
            {"why", m_Outcome.m_Cause},
            {"cause", m_Outcome.m_Error ? m_Outcome.m_Error.message() : ""},
            {"ejected", Ejected ? "yes" : "no"}});
}

void Exchange::recordLoss(Upstream &Target) {
  // An attempt that its caller has left or spoilt isn't lost.
  if (m_Caller->disconnected() || requestBroke())
    return;
  TimePoint Now = steadyNow();
  bool AnswersOthers =
      m_TimedOut && Target.hasAnsweredSince(m_Outcome.m_SentAt);
  bool BlamesPeer = false;
  if (m_Outcome.isRelayed()) {
    BlamesPeer = !m_Outcome.m_IsStated &&
                 !m_State.m_Fleet.hasRelayAnsweredSince(m_Outcome.m_Peer,
                                                        m_Outcome.m_SentAt);
    if (!m_Outcome.m_IsStated)
      ++m_State.m_OwnLinks.m_Counters.m_RelayFailed;
    if (BlamesPeer)
      m_State.m_Fleet.recordRelayFailure(m_Outcome.m_Peer, Now);
  } else if (!m_Outcome.m_LeftOwnLink && !AnswersOthers) {
    m_State.m_OwnLinks.recordLoss(m_Outcome.m_SentAt);
  }
  bool BlamesLinks =
      !m_Outcome.isRelayed() && m_State.m_OwnLinks.state() == LinkState::Lost;
  bool Ejected = false;
  if (!BlamesPeer && !BlamesLinks && !m_Outcome.m_LeftOwnLink)
    Ejected = Target.recordFailure(
        Now, m_State.m_Settings.m_Choice.m_HealthTuning, AnswersOthers);
  logEvent(LogLevel::Warning, "answer-lost",
           {{"id", m_Metadata.m_RequestId},
            {"upstream", Target.m_Registration.m_Id},
            {"peer", m_Outcome.m_Peer.str()},
            {"afterMs", std::to_string(toMillis(Now - m_Outcome.m_SentAt))},
            {"cause", m_Outcome.m_LeftOwnLink ? "links-lost"
                      : m_TimedOut            ? std::string(m_ExpiryCause)
                                              : m_Outcome.m_Cause},
            {"detail", m_Outcome.m_Error ? m_Outcome.m_Error.message() : ""},
            {"ejected", Ejected ? "yes" : "no"}});
}

} // namespace mustardspoke::steer
