/// \file
/// Executes calls: carries out the steps that the core decides.
#include "entry/call_flow.h"

#include <kj/debug.h>

#include <algorithm>

namespace mustardspoke {
namespace {

constexpr std::size_t MaxStoredAnswerBytes = 64 * 1024;
constexpr unsigned MinServerErrorStatus = 500; ///< HTTP status.
/// Statuses of answers. What another one says of its call is unknown.
constexpr unsigned MinAnswerStatus = 200;
constexpr unsigned MaxAnswerStatus = 599;

bool isAnswerStatus(unsigned Status) {
  return Status >= MinAnswerStatus && Status <= MaxAnswerStatus;
}
/// Extra time after the call's deadline in which the ticket's owner may still
/// deliver its own final answer, such as a timeout.
constexpr Duration RelayGrace = 200ms;

kj::Duration toKj(Duration Value) {
  return std::max<std::int64_t>(Value.count(), 0) * kj::MICROSECONDS;
}

} // namespace

CallStep errorStep(ErrorKind Error) {
  const ErrorInfo &Rule = errorInfo(Error);
  CallStep Step;
  Step.m_Error = Error;
  Step.m_Outcome = Rule.m_Outcome;
  Step.m_RetryAfter = Rule.m_RetryAfter;
  return Step;
}

CallFlow::CallFlow(WorkerContext &Worker, InboundRequest Request)
    : m_Worker(Worker), m_Request(kj::mv(Request)),
      m_StartedAt(monotonicNow()) {}

CallFlow::~CallFlow() noexcept(false) {
  if (m_Id)
    m_Worker.m_Shared.abandon(*m_Id);
}

kj::Promise<void> CallFlow::run(kj::HttpService::Response &CallerResponse) {
  if (!m_Request.m_Call.m_Ticket)
    return produceAnswer().then(
        [this, &CallerResponse] { return reply(CallerResponse); });
  auto Forked = produceAnswer().attach(kj::addRef(*this)).fork();
  m_Worker.m_DetachedCalls.add(Forked.addBranch());
  return Forked.addBranch().then(
      [this, &CallerResponse] { return reply(CallerResponse); });
}

kj::Promise<void> CallFlow::produceAnswer() {
  PendingStep Pending;
  {
    auto Core = m_Worker.m_Shared.access();
    CallDecision Turn = Core->startCall(m_Request.m_Call, m_StartedAt);
    if (Turn.m_Id != CallId{} && Turn.m_Step.m_Kind != StepKind::Answer)
      m_Id = Turn.m_Id;
    Pending = registerWait(Core, std::move(Turn.m_Step));
  }
  return proceed(kj::mv(Pending));
}

CallFlow::PendingStep CallFlow::registerWait(const SharedNode::Access &Lock,
                                             CallStep Step) {
  PendingStep Pending{kj::mv(Step), nullptr};
  if (Pending.m_Step.m_Kind == StepKind::Wait)
    Pending.m_NextStep = m_Worker.m_Shared.awaitStep(Lock, *m_Id);
  return Pending;
}

kj::Promise<void> CallFlow::proceed(PendingStep Pending) {
  KJ_IF_MAYBE (NextStep, Pending.m_NextStep) {
    m_QueuedAt = monotonicNow();
    return NextStep->then([this](CallStep &&Step) {
      m_QueueTime += monotonicNow() - m_QueuedAt;
      return execute(kj::mv(Step));
    });
  }
  return execute(kj::mv(Pending.m_Step));
}

kj::Promise<void> CallFlow::finishAndProceed(AttemptResult End) {
  PendingStep Pending;
  {
    auto Core = m_Worker.m_Shared.access();
    Pending =
        registerWait(Core, Core->finishAttempt(*m_Id, End, monotonicNow()));
  }
  return proceed(kj::mv(Pending));
}

kj::Promise<void> CallFlow::execute(CallStep Step) {
  switch (Step.m_Kind) {
  case StepKind::Send:
    return send(kj::mv(Step));
  case StepKind::Relay:
    return relay(Step);
  case StepKind::Replay:
  case StepKind::Answer:
    setAnswer(kj::mv(Step));
    return kj::READY_NOW;
  case StepKind::Wait:
    break;
  }
  KJ_UNREACHABLE;
}

kj::Promise<void> CallFlow::send(CallStep Step) {
  TimePoint Deadline = Step.m_Deadline;
  m_Deadline = Deadline;
  m_Upstream = Step.m_Upstream;
  auto Connecting =
      m_Worker.m_Connections.connect(Step.m_Address, Step.m_FreshConnection);
  return m_Worker.m_Timer.timeoutAt(toKjTime(Deadline), kj::mv(Connecting))
      .then(
          [this, Step = kj::mv(Step),
           Deadline](kj::Own<Connection> Conn) mutable -> kj::Promise<void> {
            PendingStep Confirmed;
            {
              auto Core = m_Worker.m_Shared.access();
              Confirmed =
                  registerWait(Core, Core->confirmSend(*m_Id, monotonicNow()));
            }
            bool IsSameTarget = Confirmed.m_Step.m_Kind == StepKind::Send &&
                                Confirmed.m_Step.m_Upstream == Step.m_Upstream;
            if (IsSameTarget)
              return exchangeWithUpstream(kj::mv(Conn), Deadline);
            m_Worker.m_Connections.release(kj::mv(Conn));
            return proceed(kj::mv(Confirmed));
          },
          [this](kj::Exception && /*Failure*/) -> kj::Promise<void> {
            return finishAndProceed(AttemptResult::NotConnected);
          });
}

kj::HttpHeaders CallFlow::upstreamHeaders(TimePoint Deadline) const {
  const HeaderIds &Ids = m_Worker.m_Headers.m_Ids;
  kj::HttpHeaders RequestHeaders = m_Request.m_Headers->clone();
  for (auto Id : {Ids.m_Tenant, Ids.m_Deadline, Ids.m_Ticket, Ids.m_Hops})
    RequestHeaders.unset(Id);
  auto RemainingMs =
      std::max<std::int64_t>(toMillis(Deadline - monotonicNow()), 1);
  RequestHeaders.set(Ids.m_UpstreamDeadline, kj::str(RemainingMs));
  return RequestHeaders;
}

kj::Promise<void> CallFlow::exchangeWithUpstream(kj::Own<Connection> Conn,
                                                 TimePoint Deadline) {
  TimePoint SentAt = monotonicNow();
  kj::HttpHeaders RequestHeaders = upstreamHeaders(Deadline);
  auto ResponsePromise =
      Conn->request(m_Request.m_Method, m_Request.m_UpstreamUrl.c_str(),
                    RequestHeaders, m_Request.m_Body);
  return m_Worker.m_Timer.timeoutAt(toKjTime(Deadline), kj::mv(ResponsePromise))
      .then(
          [this, Conn = kj::mv(Conn), SentAt,
           Deadline](kj::HttpClient::Response &&Response) mutable {
            return onResponse(kj::mv(Conn), kj::mv(Response),
                              monotonicNow() - SentAt, Deadline);
          },
          [this, Deadline](kj::Exception && /*Failure*/) -> kj::Promise<void> {
            return finishAndProceed(lostOrTimedOut(Deadline));
          });
}

kj::Promise<void> CallFlow::onResponse(kj::Own<Connection> &&Conn,
                                       kj::HttpClient::Response Response,
                                       Duration Latency, TimePoint Deadline) {
  constexpr kj::uint ServiceUnavailable = 503;
  if (!isAnswerStatus(Response.statusCode))
    return finishAndProceed(AttemptResult::Lost);
  const HeaderIds &Ids = m_Worker.m_Headers.m_Ids;
  bool IsDraining = Response.headers->get(Ids.m_Draining) != nullptr;
  bool WasShed = Response.statusCode == ServiceUnavailable &&
                 Response.headers->get(Ids.m_NotRun) != nullptr;
  {
    auto Core = m_Worker.m_Shared.access();
    if (IsDraining)
      Core->onDrainSignal(m_Upstream, monotonicNow());
    if (!WasShed)
      Core->onFirstByte(*m_Id, Latency);
  }
  if (WasShed)
    return finishAndProceed(AttemptResult::Shed);
  m_Answer.m_Kind = CallerAnswer::Kind::Streamed;
  m_Answer.m_Status = Response.statusCode;
  m_Answer.m_StatusText = kj::str(Response.statusText);
  m_Answer.m_Headers = kj::heap<kj::HttpHeaders>(Response.headers->clone());
  m_Answer.m_BodyLength = Response.body->tryGetLength();
  m_Answer.m_UnreadBody = kj::mv(Response.body);
  m_Answer.m_Connection = kj::mv(Conn);
  if (m_Request.m_Call.m_Ticket)
    return storeAnswer(Deadline);
  return kj::READY_NOW;
}

/// Reads a short response to its end, so that the ticket is completed and its
/// answer stored even if the caller has disconnected.
kj::Promise<void> CallFlow::storeAnswer(TimePoint Deadline) {
  auto Buffer = kj::heapArray<kj::byte>(MaxStoredAnswerBytes);
  auto Reading = m_Answer.m_UnreadBody->tryRead(Buffer.begin(), Buffer.size(),
                                                Buffer.size());
  return m_Worker.m_Timer.timeoutAt(toKjTime(Deadline), kj::mv(Reading))
      .then(
          [this, Buffer = kj::mv(Buffer)](std::size_t Count) {
            m_Answer.m_ReadBody.assign(
                reinterpret_cast<const char *>(Buffer.begin()), Count);
            if (Count == MaxStoredAnswerBytes)
              return;
            m_Answer.m_UnreadBody = nullptr;
            StoredAnswer Stored{m_Answer.m_Status, "", m_Answer.m_ReadBody,
                                true};
            KJ_IF_MAYBE (Type, m_Answer.m_Headers->get(
                                   kj::HttpHeaderId::CONTENT_TYPE))
              Stored.m_ContentType = Type->cStr();
            (void)finishAttempt(AttemptResult::Answered);
            m_Worker.m_Shared.access()->keepAnswer(
                m_Request.m_Call.m_Ticket->m_Id, std::move(Stored));
          },
          [this, Deadline](kj::Exception && /*Failure*/) {
            dropAnswer();
            setAnswer(finishAttempt(lostOrTimedOut(Deadline)));
          });
}

kj::Promise<void> CallFlow::relay(const CallStep &Step) {
  const HeaderIds &Ids = m_Worker.m_Headers.m_Ids;
  TimePoint Deadline = Step.m_Deadline + RelayGrace;
  m_Deadline = Deadline;
  auto Exchange =
      m_Worker.m_Connections.connect(Step.m_Address, true)
          .then([this, &Ids, Deadline](kj::Own<Connection> Conn) {
            kj::HttpHeaders RequestHeaders = m_Request.m_Headers->clone();
            RequestHeaders.set(Ids.m_Hops,
                               kj::str(m_Request.m_Call.m_Hops + 1));
            auto RemainingMs = toMillis(Deadline - RelayGrace - monotonicNow());
            RequestHeaders.set(Ids.m_Deadline,
                               kj::str(std::max<std::int64_t>(RemainingMs, 1)));
            auto ResponsePromise =
                Conn->request(m_Request.m_Method, m_Request.m_Url.c_str(),
                              RequestHeaders, m_Request.m_Body);
            return ResponsePromise.then(
                [this, Conn = kj::mv(Conn)](
                    kj::HttpClient::Response &&Response) mutable {
                  // NOLINTNEXTLINE(bugprone-suspicious-semicolon)
                  KJ_REQUIRE(isAnswerStatus(Response.statusCode));
                  m_Answer.m_Kind = CallerAnswer::Kind::Streamed;
                  m_Answer.m_Relayed = true;
                  m_Answer.m_Status = Response.statusCode;
                  m_Answer.m_StatusText = kj::str(Response.statusText);
                  m_Answer.m_Headers =
                      kj::heap<kj::HttpHeaders>(Response.headers->clone());
                  m_Answer.m_BodyLength = Response.body->tryGetLength();
                  m_Answer.m_UnreadBody = kj::mv(Response.body);
                  m_Answer.m_Connection = kj::mv(Conn);
                });
          });
  return m_Worker.m_Timer.timeoutAt(toKjTime(Deadline), kj::mv(Exchange))
      .catch_([this](kj::Exception && /*Failure*/) {
        // An earlier copy of this request may have reached the owner, so
        // the outcome can't be reported as "not run".
        dropAnswer();
        setAnswer(errorStep(ErrorKind::OwnerUnreachable));
      });
}

kj::Promise<void> CallFlow::reply(kj::HttpService::Response &CallerResponse) {
  switch (m_Answer.m_Kind) {
  case CallerAnswer::Kind::Error:
    return replyError(CallerResponse);
  case CallerAnswer::Kind::Stored:
    return replyStored(CallerResponse);
  case CallerAnswer::Kind::Streamed:
    return replyStreamed(CallerResponse);
  case CallerAnswer::Kind::None:
    break;
  }
  KJ_FAIL_ASSERT("call finished without an answer to send");
}

kj::Promise<void>
CallFlow::replyError(kj::HttpService::Response &CallerResponse) {
  recordMetrics(m_Answer.m_Step.m_Error, m_Answer.m_Step.m_Outcome);
  return replyWithError(CallerResponse, m_Worker.m_Headers, m_Answer.m_Step);
}

kj::Promise<void>
CallFlow::replyStored(kj::HttpService::Response &CallerResponse) {
  recordMetrics(ErrorKind::None, Outcome::Done);
  const StoredAnswer &Stored = m_Answer.m_Step.m_StoredAnswer;
  kj::HttpHeaders ResponseHeaders(*m_Worker.m_Headers.m_Table);
  ResponseHeaders.set(m_Worker.m_Headers.m_Ids.m_Outcome,
                      Stored.m_Status >= MinServerErrorStatus ? "unknown"
                                                              : "done");
  if (!Stored.m_ContentType.empty())
    ResponseHeaders.set(kj::HttpHeaderId::CONTENT_TYPE,
                        kj::str(Stored.m_ContentType));
  auto Body = CallerResponse.send(Stored.m_Status, "OK", ResponseHeaders,
                                  Stored.m_Body.size());
  if (Stored.m_Body.empty())
    return kj::READY_NOW;
  auto Writing = Body->write(Stored.m_Body.data(), Stored.m_Body.size());
  return Writing.attach(kj::mv(Body));
}

kj::Promise<void>
CallFlow::replyStreamed(kj::HttpService::Response &CallerResponse) {
  kj::HttpHeaders ResponseHeaders = m_Answer.m_Headers->clone();
  // If an upstream answers with a server error, it may or may not have run the
  // call.
  bool IsServerError = m_Answer.m_Status >= MinServerErrorStatus;
  if (!m_Answer.m_Relayed)
    ResponseHeaders.set(m_Worker.m_Headers.m_Ids.m_Outcome,
                        IsServerError ? "unknown" : "done");
  auto Body = CallerResponse.send(m_Answer.m_Status, m_Answer.m_StatusText,
                                  ResponseHeaders, m_Answer.m_BodyLength);
  kj::Promise<void> Writing = kj::READY_NOW;
  if (!m_Answer.m_ReadBody.empty())
    Writing =
        Body->write(m_Answer.m_ReadBody.data(), m_Answer.m_ReadBody.size());
  auto &Stream = *Body;
  auto Pumping = Writing.then([this, &Stream]() -> kj::Promise<void> {
    if (!m_Answer.m_UnreadBody)
      return kj::READY_NOW;
    return m_Answer.m_UnreadBody->pumpTo(Stream).ignoreResult();
  });
  return m_Worker.m_Timer.timeoutAt(toKjTime(m_Deadline), kj::mv(Pumping))
      .attach(kj::mv(Body))
      .then(
          [this] {
            m_Answer.m_UnreadBody = nullptr;
            m_Worker.m_Connections.release(kj::mv(m_Answer.m_Connection));
            if (m_Id)
              (void)finishAttempt(AttemptResult::Answered);
            recordMetrics(ErrorKind::None, Outcome::Done);
          },
          [this](kj::Exception &&Failure) {
            AttemptResult End = lostOrTimedOut(m_Deadline);
            if (m_Id)
              (void)finishAttempt(End);
            recordMetrics(End == AttemptResult::TimedOut
                              ? ErrorKind::DeadlineAfterSend
                              : ErrorKind::UpstreamLost,
                          Outcome::Unknown);
            // Closing the connection tells the caller that the response is
            // incomplete.
            kj::throwRecoverableException(kj::mv(Failure));
          });
}

kj::TimePoint CallFlow::toKjTime(TimePoint Deadline) const {
  return m_Worker.m_Timer.now() + toKj(Deadline - monotonicNow());
}

CallStep CallFlow::finishAttempt(AttemptResult End) {
  auto Core = m_Worker.m_Shared.access();
  CallStep Step = Core->finishAttempt(*m_Id, End, monotonicNow());
  if (Step.m_Kind == StepKind::Answer)
    m_Id.reset();
  return Step;
}

AttemptResult CallFlow::lostOrTimedOut(TimePoint Deadline) const {
  return monotonicNow() >= Deadline ? AttemptResult::TimedOut
                                    : AttemptResult::Lost;
}

void CallFlow::setAnswer(CallStep Step) {
  m_Answer.m_Kind = Step.m_Kind == StepKind::Replay ? CallerAnswer::Kind::Stored
                                                    : CallerAnswer::Kind::Error;
  m_Answer.m_Step = kj::mv(Step);
  m_Id.reset();
}

void CallFlow::dropAnswer() {
  // The body uses the connection.
  m_Answer.m_UnreadBody = nullptr;
  m_Answer = {};
}

void CallFlow::recordMetrics(ErrorKind Error, Outcome Value) {
  m_Worker.m_Shared.metrics().recordCall(
      {m_Request.m_Call.m_Service, m_Request.m_Call.m_Tenant, Error, Value,
       monotonicNow() - m_StartedAt, m_QueueTime});
}

kj::Promise<void> replyWithError(kj::HttpService::Response &CallerResponse,
                                 const HeaderTable &Table,
                                 const CallStep &Step) {
  const ErrorInfo &Rule = errorInfo(Step.m_Error);
  auto RetryAfterMs = toMillis(Step.m_RetryAfter);
  kj::HttpHeaders ResponseHeaders(*Table.m_Table);
  ResponseHeaders.set(kj::HttpHeaderId::CONTENT_TYPE, "application/json");
  ResponseHeaders.set(Table.m_Ids.m_Outcome,
                      kj::str(std::string(outcomeName(Step.m_Outcome))));
  ResponseHeaders.set(Table.m_Ids.m_Error, kj::str(std::string(Rule.m_Name)));
  if (RetryAfterMs > 0) {
    ResponseHeaders.set(Table.m_Ids.m_RetryAfterMs, kj::str(RetryAfterMs));
    ResponseHeaders.set(Table.m_Ids.m_RetryAfter,
                        kj::str((RetryAfterMs + 999) / 1000));
  }
  Json Report = Json::object();
  Report.set("error", Json(std::string(Rule.m_Name)));
  Report.set("outcome", Json(std::string(outcomeName(Step.m_Outcome))));
  Report.set("comeBackMs", Json(RetryAfterMs));
  Report.set("text", Json(std::string(Rule.m_Text)));
  std::string Text = Report.toText();
  auto Stream = CallerResponse.send(Rule.m_HttpStatus, "Error", ResponseHeaders,
                                    Text.size());
  return writeAndClose(kj::mv(Stream), std::move(Text));
}

} // namespace mustardspoke
