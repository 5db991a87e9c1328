/// \file
/// Routing, attempts and final answers of one request.
#include "gateway/exchange.h"

#include "observe/log.h"

namespace mustardspoke::steer {
namespace {

/// Refusals for a missing configuration or service; both arrive in seconds.
constexpr Duration ComeBackUnknown = 500ms;
/// Unsent attempts at one request: enough to pass a handful of upstreams that
/// just vanished.
constexpr unsigned MostUnsent = 6;
/// A repeat with less time than this can't be answered before the deadline.
constexpr Duration LeastForRepeat = 60ms;

} // namespace

Exchange::Exchange(GatewayState &State, UpstreamPool &Pool,
                   CallerConnectionPtr From, PendingRequestPtr Request)
    : m_State(State), m_Pool(Pool), m_From(std::move(From)),
      m_Request(std::move(Request)), m_Timer(State.m_Io) {
  ++m_State.m_InFlight;
}

Exchange::~Exchange() {
  *m_Self = nullptr;
  --m_State.m_InFlight;
}

void Exchange::stop() {
  if (!m_Connection)
    return;
  NetError Ignored;
  m_Connection->m_Socket.close(Ignored);
}

awaitable<bool> Exchange::run() {
  m_State.m_LastRequest = steadyNow();
  m_Request->m_WhenGone = [this] { stop(); };
  m_Marks = m_State.m_Dialect.m_ReadRequest(m_Request->m_Head);
  bool Keep = co_await route();
  m_Request->m_WhenGone = nullptr;
  m_Timer.cancel();
  co_return Keep;
}

awaitable<bool> Exchange::route() {
  if (m_Request->m_HeadLate || m_Request->m_Fault != HttpFault::None) {
    bool TooLarge = m_Request->m_Fault == HttpFault::BodyTooLarge;
    co_await refuse(TooLarge ? ErrorKind::BodyTooLarge : ErrorKind::BadRequest,
                    Duration::zero(), "unreadable");
    co_return false;
  }
  if (!m_State.m_Taking)
    co_return co_await refuse(ErrorKind::Leaving,
                              errorInfo(ErrorKind::Leaving).m_RetryAfter,
                              "leaving");
  m_Routes = m_State.m_Routes;
  if (!m_Routes)
    co_return co_await refuse(ErrorKind::NoBundle, ComeBackUnknown,
                              "no-configuration");
  std::string_view Path = m_Request->m_Head.m_Target;
  Path = Path.substr(0, Path.find('?'));
  m_Route = m_Routes->find(hostOf(m_Request->m_Head), Path);
  if (!m_Route)
    co_return co_await refuse(ErrorKind::UnknownService, Duration::zero(),
                              "no-route");
  Duration Patience = m_Marks.m_Patience.value_or(m_Route->m_Timeout);
  m_Deadline = m_Request->m_ArrivedAt + std::min(Patience, m_Route->m_Timeout);
  // If an earlier answer closes the connection, the caller sends this request
  // again; it must not have been started then.
  if (!m_Route->idempotent() && !co_await m_From->turn(m_Request))
    co_return false;
  m_To = m_State.m_Parts.next(*m_Route);
  m_State.m_Budgets[m_To].request(steadyNow());
  m_State.m_Shares.request(m_To, m_State.m_Settings.m_LocalShare);
  m_Timer.expires_at(toSteady(m_Deadline));
  m_Timer.async_wait([Self = m_Self](const NetError &Error) {
    if (Error || !*Self)
      return;
    (*Self)->m_TimedOut = true;
    (*Self)->stop();
  });
  co_return co_await attempts();
}

Choice Exchange::choose() const {
  std::vector<const Upstream *> Tried;
  for (const UpstreamPtr &One : m_Tried)
    Tried.push_back(One.get());
  ChoiceInput Input{*m_Route, m_Routes->service(m_To), m_To};
  // A request without a key is spread by its own identifier.
  Input.m_KeyHash =
      stableHash(m_Marks.m_Key.empty() ? m_Marks.m_RequestId : m_Marks.m_Key);
  Input.m_Now = steadyNow();
  Input.m_ToTarget =
      m_Request->m_ArrivedAt + m_Route->m_TargetLatency - Input.m_Now;
  Input.m_ServiceWork = m_State.m_Upstreams.meanWork(m_To);
  Input.m_LocalShare = m_State.m_Shares.of(m_To);
  Input.m_MayOverflow = m_State.m_Shares.mayOverflow(
      m_To, Input.m_Now, m_State.m_Settings.m_LocalShare);
  auto Bytes = m_State.m_AnswerBytes.find(m_Route->m_Name);
  if (Bytes != m_State.m_AnswerBytes.end())
    Input.m_MeanAnswerBytes = std::uint64_t(Bytes->second);
  Input.m_Tried = Tried;
  Input.m_Fleet = &m_State;
  Input.m_SendsCold = [](const void *State, std::uint64_t UpstreamHash) {
    const auto &Of = *static_cast<const GatewayState *>(State);
    return Of.m_Fleet.sendsCold(UpstreamHash,
                                Of.m_Settings.m_Choice.m_ColdSenders);
  };
  return m_State.m_Strategies.m_Choose(Input, m_State.m_Upstreams,
                                       m_State.m_Settings.m_Here,
                                       m_State.m_Settings.m_Choice);
}

awaitable<bool> Exchange::attempts() {
  AttemptEnd Last = AttemptEnd::NotSent;
  for (unsigned Unsent = 0; Unsent < MostUnsent;) {
    if (stopped())
      co_return co_await giveUp(Last, ComeBackUnknown, "deadline");
    Choice Picked = choose();
    if (!Picked.m_To)
      co_return co_await giveUp(
          Last, Picked.m_ComeBack,
          Picked.m_Why == NoUpstream::Full ? "full" : "no-upstream");
    m_ChosenLoad = Picked.m_Load;
    if (Picked.m_Overflows)
      m_State.m_Shares.overflowed(m_To);
    m_Tried.push_back(Picked.m_To);
    Last = co_await attempt(Picked.m_To);
    switch (Last) {
    case AttemptEnd::Answered:
      co_return !m_Closes;
    case AttemptEnd::Aborted:
      m_From->abort();
      co_return false;
    case AttemptEnd::NotSent:
      ++Unsent;
      continue;
    case AttemptEnd::NotRun:
    case AttemptEnd::Failed:
    case AttemptEnd::Lost:
      if (stopped() || !mayGoOn(Last))
        co_return co_await giveUp(Last, 200ms, "attempts");
    }
  }
  co_return co_await giveUp(Last, 200ms, "unreachable");
}

bool Exchange::mayGoOn(AttemptEnd End) {
  if (End != AttemptEnd::NotRun && !m_Route->idempotent())
    return false;
  if (m_BodyLost || m_Sent >= m_Route->m_MaxAttempts || left() < LeastForRepeat)
    return false;
  return m_State.m_Budgets[m_To].take(steadyNow(), m_State.m_Fleet.knownCount(),
                                      m_State.m_Settings.m_Retry);
}

awaitable<bool> Exchange::giveUp(AttemptEnd Last, Duration ComeBack,
                                 std::string_view Why) {
  if (m_From->gone()) {
    record(ErrorKind::CallerGone, 0, Why);
    co_return false;
  }
  // A failure that an upstream answered with is more than one of our own.
  if (m_Held && !m_TimedOut)
    co_return co_await deliver(std::move(*m_Held));
  if (m_MayHaveRun)
    co_return co_await refuse(m_TimedOut ? ErrorKind::DeadlineAfterSend
                                         : ErrorKind::UpstreamLost,
                              Duration::zero(), Why);
  co_return co_await refuse(Last == AttemptEnd::NotRun ? ErrorKind::UpstreamShed
                                                       : ErrorKind::NoCapacity,
                            ComeBack, Why);
}

void Exchange::endConnection(HeadWriter &Head) {
  // A leaving VM first answers what has arrived behind; it may be under way.
  m_Closes = (m_State.m_Leaving && m_From->isLast(m_Request)) ||
             !m_Request->m_Head.m_KeepAlive || !m_Request->m_Complete;
  if (!m_Closes)
    return;
  m_From->announceClose();
  Head.field("Connection", "close");
}

awaitable<bool> Exchange::refuse(ErrorKind Kind, Duration ComeBack,
                                 std::string_view Why) {
  const ErrorInfo &Rule = errorInfo(Kind);
  unsigned Status = Rule.m_HttpStatus;
  if (m_Request->m_HeadLate)
    Status = 408;
  else if (m_Request->m_Fault == HttpFault::HeadTooLarge)
    Status = 431;
  HeadWriter Head = HeadWriter::response(Status, reasonOf(Status));
  m_State.m_Dialect.m_MarkOwnAnswer(Head, m_Marks.m_RequestId, ComeBack);
  std::string Body = std::string(Rule.m_Text) + "\n";
  Head.field("Content-Type", "text/plain");
  Head.field("Content-Length", std::uint64_t(Body.size()));
  endConnection(Head);
  if (m_Request->m_Head.m_Method == "HEAD")
    Body.clear();
  record(Kind, Status, Why);
  bool There = co_await m_From->send(m_Request, Head.finish() + Body);
  co_return There && !m_Closes;
}

void Exchange::record(ErrorKind Error, unsigned Status, std::string_view Why) {
  Duration Took = steadyNow() - m_Request->m_ArrivedAt;
  CallSample Sample;
  Sample.m_Service = m_To;
  Sample.m_Error = Error;
  Sample.m_Outcome = Error == ErrorKind::None ? Outcome::Done
                     : m_MayHaveRun           ? Outcome::Unknown
                                              : Outcome::NotRun;
  Sample.m_Latency = Took;
  m_State.m_Metrics.recordCall(Sample);
  std::string Asked;
  for (const UpstreamPtr &One : m_Tried)
    Asked += (Asked.empty() ? "" : " ") + One->m_Facts.m_Id;
  logEvent(Error == ErrorKind::None ? LogLevel::Info : LogLevel::Warning,
           "request",
           {{"id", m_Marks.m_RequestId},
            {"route", m_Route ? m_Route->m_Name : ""},
            {"routes", std::to_string(m_Routes ? m_Routes->m_Version : 0)},
            {"service", m_To.str()},
            {"key", m_Marks.m_Key},
            {"upstreams", Asked},
            {"load", std::to_string(int(m_ChosenLoad))},
            {"sent", std::to_string(m_Sent)},
            {"status", std::to_string(Status)},
            {"outcome", std::string(outcomeName(Sample.m_Outcome))},
            {"error", std::string(errorInfo(Error).m_Name)},
            {"why", std::string(Why)},
            {"ms", std::to_string(toMillis(Took))}});
}

} // namespace mustardspoke::steer
