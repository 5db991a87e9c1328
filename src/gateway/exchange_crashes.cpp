/// \file
/// Requests that may have ended upstreams: whether to send them, and what their
/// attempts show.
#include "gateway/exchange.h"

#include "gateway/crash_report.h"
#include "observe/log.h"

namespace mustardspoke::steer {
namespace {

constexpr Duration PollInterval = 10ms;
/// A trial settles within this time.
constexpr Duration TrialRetryAfter = 1s;

} // namespace

std::optional<RequestFingerprint> Exchange::fingerprint() const {
  auto BodyDigest = m_Request->m_Body.digest();
  if (!BodyDigest)
    return std::nullopt;
  return makeFingerprint(m_HeadDigest, *BodyDigest);
}

awaitable<void> Exchange::waitForFingerprint() {
  while (!m_Request->m_Body.digest() && !cancelled())
    co_await sleepFor(m_State.m_Io, PollInterval);
}

CrashVerdict Exchange::crashVerdict() const {
  auto Request = fingerprint();
  if (!Request || !m_State.m_CrashSuspects.isSuspected(*Request))
    return CrashVerdict::Send;
  TimePoint Now = steadyNow();
  const Fleet &Vms = m_State.m_Fleet;
  return m_State.m_CrashSuspects.verdict(
      *Request, Now,
      {Vms.turnOf(*Request, Now, true), Vms.turnOf(*Request, Now, false)},
      Vms.isSmall());
}

awaitable<CrashVerdict> Exchange::settledCrashVerdict() {
  if (!m_State.m_CrashSuspects.knowsHead(m_HeadDigest))
    co_return CrashVerdict::Send;
  co_await waitForFingerprint();
  CrashVerdict Verdict = crashVerdict();
  while (Verdict == CrashVerdict::Wait && !cancelled()) {
    co_await sleepFor(m_State.m_Io, PollInterval);
    Verdict = crashVerdict();
  }
  // A trial is made for a caller whose request hasn't ended anything yet.
  if (Verdict == CrashVerdict::Trial && m_EndedUpstreams > 0)
    Verdict = CrashVerdict::Refuse;
  if (Verdict == CrashVerdict::Refuse)
    m_State.m_CrashSuspects.recordRefusal(*fingerprint(), steadyNow());
  co_return Verdict;
}

Duration Exchange::crashRetryAfter() const {
  auto Request = fingerprint();
  bool Confirmed = Request && m_State.m_CrashSuspects.isConfirmed(*Request);
  return Confirmed ? errorInfo(ErrorKind::CrashesUpstreams).m_RetryAfter
                   : TrialRetryAfter;
}

Choice Exchange::chooseForTrial() const {
  // An upstream that is the last one of its region isn't put at risk.
  std::map<RegionName, unsigned> Usable;
  std::span<const UpstreamPtr> All =
      m_State.m_Upstreams.upstreamsOf(m_TargetService);
  for (const UpstreamPtr &Target : All)
    if (!Target->isEjected(steadyNow()) &&
        m_State.m_Upstreams.exclusion(*Target, steadyNow()) == Exclusion::None)
      ++Usable[Target->m_Registration.m_Region];
  std::vector<const Upstream *> Excluded;
  for (const UpstreamPtr &Target : All)
    if (Usable[Target->m_Registration.m_Region] < 2)
      Excluded.push_back(Target.get());
  for (const UpstreamPtr &Target : m_Tried)
    Excluded.push_back(Target.get());
  return choose(chooseLeastLoad, Excluded);
}

bool Exchange::claimSend(bool ChosenForTrial) {
  CrashVerdict Verdict = CrashVerdict::Send;
  if (m_State.m_CrashSuspects.knowsHead(m_HeadDigest))
    Verdict = crashVerdict();
  bool MaySend = ChosenForTrial ? Verdict == CrashVerdict::Trial
                                : Verdict == CrashVerdict::Send;
  if (MaySend && ChosenForTrial) {
    m_State.m_CrashSuspects.beginTrial(*fingerprint(), steadyNow());
    logEvent(LogLevel::Warning, "crashing-request",
             {{"request", formatFingerprint(*fingerprint())},
              {"change", "trial"},
              {"ends",
               std::to_string(m_State.m_CrashSuspects.endsOf(*fingerprint()))},
              {"source", m_Metadata.m_RequestId}});
  }
  return MaySend;
}

awaitable<void> Exchange::recordLostConnection(UpstreamPtr Target) {
  if (m_Outcome.isRelayed()) {
    // The peer has seen the end, and reports it.
    if (m_Outcome.m_IsStated && m_Outcome.m_Cause == AttemptCause::Closed)
      ++m_EndedUpstreams;
    co_return;
  }
  // An upstream that leaves ends as it has announced. On a VM without links,
  // every connection ends.
  bool ClosedByUpstream = m_Outcome.m_Error && !m_Outcome.m_LeftOwnLink &&
                          !cancelled() && Target->isUsable() &&
                          m_State.m_OwnLinks.state() != LinkState::Lost;
  if (!ClosedByUpstream)
    co_return;
  co_await waitForFingerprint();
  auto Request = fingerprint();
  if (!Request)
    co_return;
  ++m_EndedUpstreams;
  reportLoss(m_State, m_Pool, *Request, Target, m_Metadata.m_RequestId);
}

void Exchange::recordUpstreamAnswer() {
  auto Request = fingerprint();
  if (!Request || m_State.m_CrashSuspects.endsOf(*Request) == 0)
    return;
  if (m_Outcome.m_IsSigned)
    reportAnswer(m_State, *Request, m_Metadata.m_RequestId);
}

} // namespace mustardspoke::steer
