/// \file
/// CallFlow: from the core's steps to connections and back.
#include "entry/call_flow.h"

#include <kj/debug.h>

#include <algorithm>

namespace mustardspoke {
namespace {

constexpr std::size_t MostKeptBytes = 64 * 1024;
constexpr unsigned FirstServerError = 500; ///< HTTP status.
constexpr Duration RelayGrace = 200ms; ///< For the owner's own final answer.

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
    : m_Worker(Worker), m_Request(kj::mv(Request)), m_Begun(monotonicNow()) {}

CallFlow::~CallFlow() noexcept(false) {
  if (m_Id)
    m_Worker.m_Shared.abandon(*m_Id);
}

kj::Promise<void> CallFlow::run(kj::HttpService::Response &To) {
  if (!m_Request.m_Call.m_Ticket)
    return decide().then([this, &To] { return reply(To); });
  auto Forked = decide().attach(kj::addRef(*this)).fork();
  m_Worker.m_Detached.add(Forked.addBranch());
  return Forked.addBranch().then([this, &To] { return reply(To); });
}

kj::Promise<void> CallFlow::decide() {
  Decision First;
  {
    auto Core = m_Worker.m_Shared.access();
    CallDecision Turn = Core->startCall(m_Request.m_Call, m_Begun);
    if (Turn.m_Id != CallId{} && Turn.m_Step.m_Kind != StepKind::Answer)
      m_Id = Turn.m_Id;
    First = take(Core, std::move(Turn.m_Step));
  }
  return follow(kj::mv(First));
}

CallFlow::Decision CallFlow::take(const Shared::Access &Held, CallStep Step) {
  Decision Result{kj::mv(Step), nullptr};
  if (Result.m_Step.m_Kind == StepKind::Wait)
    Result.m_Later = m_Worker.m_Shared.awaitStep(Held, *m_Id);
  return Result;
}

kj::Promise<void> CallFlow::follow(Decision Next) {
  KJ_IF_MAYBE (Later, Next.m_Later) {
    m_WaitFrom = monotonicNow();
    return Later->then([this](CallStep &&Step) {
      m_Waited += monotonicNow() - m_WaitFrom;
      return act(kj::mv(Step));
    });
  }
  return act(kj::mv(Next.m_Step));
}

kj::Promise<void> CallFlow::actAfter(AttemptResult End) {
  Decision Next;
  {
    auto Core = m_Worker.m_Shared.access();
    Next = take(Core, Core->finishAttempt(*m_Id, End, monotonicNow()));
  }
  return follow(kj::mv(Next));
}

kj::Promise<void> CallFlow::act(CallStep Step) {
  switch (Step.m_Kind) {
  case StepKind::Send:
    return send(kj::mv(Step));
  case StepKind::Relay:
    return relay(Step);
  case StepKind::Replay:
  case StepKind::Answer:
    setFinal(kj::mv(Step));
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
  return m_Worker.m_Timer.timeoutAt(atKj(Deadline), kj::mv(Connecting))
      .then(
          [this, Step = kj::mv(Step),
           Deadline](kj::Own<Connection> Over) mutable -> kj::Promise<void> {
            Decision Confirmed;
            {
              auto Core = m_Worker.m_Shared.access();
              Confirmed = take(Core, Core->confirmSend(*m_Id, monotonicNow()));
            }
            bool Same = Confirmed.m_Step.m_Kind == StepKind::Send &&
                        Confirmed.m_Step.m_Upstream == Step.m_Upstream;
            if (Same)
              return exchange(kj::mv(Over), Deadline);
            m_Worker.m_Connections.giveBack(kj::mv(Over));
            return follow(kj::mv(Confirmed));
          },
          [this](kj::Exception && /*Failure*/) -> kj::Promise<void> {
            return actAfter(AttemptResult::NotConnected);
          });
}

kj::Promise<kj::HttpClient::Response>
CallFlow::request(Connection &Over, const kj::HttpHeaders &With,
                  const std::string &Url) {
  auto Sent = Over.m_Client->request(m_Request.m_Method, Url.c_str(), With,
                                     m_Request.m_Body.size());
  if (m_Request.m_Body.size() == 0)
    return kj::mv(Sent.response);
  auto &Body = *Sent.body;
  auto Writing = Body.write(m_Request.m_Body.begin(), m_Request.m_Body.size())
                     .attach(kj::mv(Sent.body))
                     .eagerlyEvaluate([](kj::Exception && /*SeenByReader*/) {});
  return Sent.response.attach(kj::mv(Writing));
}

kj::HttpHeaders CallFlow::upstreamHeaders(TimePoint Deadline) const {
  const Headers &Ids = m_Worker.m_Headers.m_Ids;
  kj::HttpHeaders Result = m_Request.m_Headers->clone();
  for (auto Id : {Ids.m_Tenant, Ids.m_Deadline, Ids.m_Ticket, Ids.m_Hops})
    Result.unset(Id);
  auto Left = std::max<std::int64_t>(toMillis(Deadline - monotonicNow()), 1);
  Result.set(Ids.m_UpstreamDeadline, kj::str(Left));
  return Result;
}

kj::Promise<void> CallFlow::exchange(kj::Own<Connection> Over,
                                     TimePoint Deadline) {
  TimePoint SentAt = monotonicNow();
  kj::HttpHeaders With = upstreamHeaders(Deadline);
  auto Response = request(*Over, With, m_Request.m_UpstreamUrl);
  return m_Worker.m_Timer.timeoutAt(atKj(Deadline), kj::mv(Response))
      .then(
          [this, Over = kj::mv(Over), SentAt,
           Deadline](kj::HttpClient::Response &&Got) mutable {
            return answered(kj::mv(Over), kj::mv(Got), monotonicNow() - SentAt,
                            Deadline);
          },
          [this, Deadline](kj::Exception && /*Failure*/) -> kj::Promise<void> {
            return actAfter(lostOrTimedOut(Deadline));
          });
}

kj::Promise<void> CallFlow::answered(kj::Own<Connection> Over,
                                     kj::HttpClient::Response Response,
                                     Duration Latency, TimePoint Deadline) {
  constexpr kj::uint ServiceUnavailable = 503;
  const Headers &Ids = m_Worker.m_Headers.m_Ids;
  bool Drains = Response.headers->get(Ids.m_Draining) != nullptr;
  bool Shed = Response.statusCode == ServiceUnavailable &&
              Response.headers->get(Ids.m_NotRun) != nullptr;
  {
    auto Core = m_Worker.m_Shared.access();
    if (Drains)
      Core->onDrainSignal(m_Upstream, monotonicNow());
    if (!Shed)
      Core->onFirstByte(*m_Id, Latency);
  }
  if (Shed)
    return actAfter(AttemptResult::Shed);
  m_Final.m_Kind = Final::Kind::Streamed;
  m_Final.m_Status = Response.statusCode;
  m_Final.m_StatusText = kj::str(Response.statusText);
  m_Final.m_Headers = kj::heap<kj::HttpHeaders>(Response.headers->clone());
  m_Final.m_Length = Response.body->tryGetLength();
  m_Final.m_Rest = kj::mv(Response.body);
  m_Final.m_Connection = kj::mv(Over);
  if (m_Request.m_Call.m_Ticket)
    return keepWhole(Deadline);
  return kj::READY_NOW;
}

/// Reads a short answer to its end, so that the ticket is settled and the
/// answer kept whether or not the caller is still there.
kj::Promise<void> CallFlow::keepWhole(TimePoint Deadline) {
  auto Buffer = kj::heapArray<kj::byte>(MostKeptBytes);
  auto Reading =
      m_Final.m_Rest->tryRead(Buffer.begin(), Buffer.size(), Buffer.size());
  return m_Worker.m_Timer.timeoutAt(atKj(Deadline), kj::mv(Reading))
      .then(
          [this, Buffer = kj::mv(Buffer)](std::size_t Count) {
            m_Final.m_Prefix.assign(
                reinterpret_cast<const char *>(Buffer.begin()), Count);
            if (Count == MostKeptBytes)
              return;
            m_Final.m_Rest = nullptr;
            StoredAnswer Kept{m_Final.m_Status, "", m_Final.m_Prefix, true};
            KJ_IF_MAYBE (Type,
                         m_Final.m_Headers->get(kj::HttpHeaderId::CONTENT_TYPE))
              Kept.m_ContentType = Type->cStr();
            (void)finishAttempt(AttemptResult::Answered);
            m_Worker.m_Shared.access()->keepAnswer(
                m_Request.m_Call.m_Ticket->m_Id, std::move(Kept));
          },
          [this, Deadline](kj::Exception && /*Failure*/) {
            m_Final = {};
            setFinal(finishAttempt(lostOrTimedOut(Deadline)));
          });
}

kj::Promise<void> CallFlow::relay(const CallStep &Step) {
  const Headers &Ids = m_Worker.m_Headers.m_Ids;
  TimePoint Deadline = Step.m_Deadline + RelayGrace;
  m_Deadline = Deadline;
  auto Exchange =
      m_Worker.m_Connections.connect(Step.m_Address, true)
          .then([this, &Ids, Deadline](kj::Own<Connection> Over) {
            kj::HttpHeaders With = m_Request.m_Headers->clone();
            With.set(Ids.m_Hops, kj::str(m_Request.m_Call.m_Hops + 1));
            auto Left = toMillis(Deadline - RelayGrace - monotonicNow());
            With.set(Ids.m_Deadline, kj::str(std::max<std::int64_t>(Left, 1)));
            auto Response = request(*Over, With, m_Request.m_Url);
            return Response.then([this, Over = kj::mv(Over)](
                                     kj::HttpClient::Response &&Got) mutable {
              m_Final.m_Kind = Final::Kind::Streamed;
              m_Final.m_Relayed = true;
              m_Final.m_Status = Got.statusCode;
              m_Final.m_StatusText = kj::str(Got.statusText);
              m_Final.m_Headers =
                  kj::heap<kj::HttpHeaders>(Got.headers->clone());
              m_Final.m_Length = Got.body->tryGetLength();
              m_Final.m_Rest = kj::mv(Got.body);
              m_Final.m_Connection = kj::mv(Over);
            });
          });
  return m_Worker.m_Timer.timeoutAt(atKj(Deadline), kj::mv(Exchange))
      .catch_([this](kj::Exception && /*Failure*/) {
        // An earlier copy may have reached the owner, so this isn't "not run".
        m_Final = {};
        setFinal(errorStep(ErrorKind::OwnerUnreachable));
      });
}

kj::Promise<void> CallFlow::reply(kj::HttpService::Response &To) {
  switch (m_Final.m_Kind) {
  case Final::Kind::Error:
    return replyError(To);
  case Final::Kind::Stored:
    return replyStored(To);
  case Final::Kind::Streamed:
    return replyStreamed(To);
  case Final::Kind::None:
    break;
  }
  KJ_FAIL_ASSERT("a call ended without an answer");
}

kj::Promise<void> CallFlow::replyError(kj::HttpService::Response &To) {
  record(m_Final.m_Step.m_Error, m_Final.m_Step.m_Outcome);
  return replyWithError(To, m_Worker.m_Headers, m_Final.m_Step);
}

kj::Promise<void> CallFlow::replyStored(kj::HttpService::Response &To) {
  record(ErrorKind::None, Outcome::Done);
  const StoredAnswer &Kept = m_Final.m_Step.m_StoredAnswer;
  kj::HttpHeaders With(*m_Worker.m_Headers.m_Table);
  With.set(m_Worker.m_Headers.m_Ids.m_Outcome,
           Kept.m_Status >= FirstServerError ? "unknown" : "done");
  if (!Kept.m_ContentType.empty())
    With.set(kj::HttpHeaderId::CONTENT_TYPE, kj::str(Kept.m_ContentType));
  auto Out = To.send(Kept.m_Status, "OK", With, Kept.m_Body.size());
  if (Kept.m_Body.empty())
    return kj::READY_NOW;
  auto Writing = Out->write(Kept.m_Body.data(), Kept.m_Body.size());
  return Writing.attach(kj::mv(Out));
}

kj::Promise<void> CallFlow::replyStreamed(kj::HttpService::Response &To) {
  kj::HttpHeaders With = m_Final.m_Headers->clone();
  // An upstream that answers with a failure may or may not have run the call.
  bool Failed = m_Final.m_Status >= FirstServerError;
  if (!m_Final.m_Relayed)
    With.set(m_Worker.m_Headers.m_Ids.m_Outcome, Failed ? "unknown" : "done");
  auto Out =
      To.send(m_Final.m_Status, m_Final.m_StatusText, With, m_Final.m_Length);
  kj::Promise<void> Writing = kj::READY_NOW;
  if (!m_Final.m_Prefix.empty())
    Writing = Out->write(m_Final.m_Prefix.data(), m_Final.m_Prefix.size());
  auto &Stream = *Out;
  auto Pumping = Writing.then([this, &Stream]() -> kj::Promise<void> {
    if (!m_Final.m_Rest)
      return kj::READY_NOW;
    return m_Final.m_Rest->pumpTo(Stream).ignoreResult();
  });
  return m_Worker.m_Timer.timeoutAt(atKj(m_Deadline), kj::mv(Pumping))
      .attach(kj::mv(Out))
      .then(
          [this] {
            m_Final.m_Rest = nullptr;
            m_Worker.m_Connections.giveBack(kj::mv(m_Final.m_Connection));
            if (m_Id)
              (void)finishAttempt(AttemptResult::Answered);
            record(ErrorKind::None, Outcome::Done);
          },
          [this](kj::Exception &&Failure) {
            AttemptResult End = lostOrTimedOut(m_Deadline);
            if (m_Id)
              (void)finishAttempt(End);
            record(End == AttemptResult::TimedOut ? ErrorKind::DeadlineAfterSend
                                                  : ErrorKind::UpstreamLost,
                   Outcome::Unknown);
            // Closing the connection tells the caller that the answer is cut.
            kj::throwRecoverableException(kj::mv(Failure));
          });
}

kj::TimePoint CallFlow::atKj(TimePoint Deadline) const {
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

void CallFlow::setFinal(CallStep Step) {
  m_Final.m_Kind = Step.m_Kind == StepKind::Replay ? Final::Kind::Stored
                                                   : Final::Kind::Error;
  m_Final.m_Step = kj::mv(Step);
  m_Id.reset();
}

void CallFlow::record(ErrorKind Error, Outcome Value) {
  m_Worker.m_Shared.metrics().recordCall(
      {m_Request.m_Call.m_Service, m_Request.m_Call.m_Tenant, Error, Value,
       monotonicNow() - m_Begun, m_Waited});
}

kj::Promise<void> replyWithError(kj::HttpService::Response &To,
                                 const HeaderTable &Headers,
                                 const CallStep &Step) {
  const ErrorInfo &Rule = errorInfo(Step.m_Error);
  auto ComeBack = toMillis(Step.m_RetryAfter);
  kj::HttpHeaders With(*Headers.m_Table);
  With.set(kj::HttpHeaderId::CONTENT_TYPE, "application/json");
  With.set(Headers.m_Ids.m_Outcome,
           kj::str(std::string(outcomeName(Step.m_Outcome))));
  With.set(Headers.m_Ids.m_Error, kj::str(std::string(Rule.m_Name)));
  if (ComeBack > 0) {
    With.set(Headers.m_Ids.m_ComeBack, kj::str(ComeBack));
    With.set(Headers.m_Ids.m_RetryAfter, kj::str((ComeBack + 999) / 1000));
  }
  Json Body = Json::object();
  Body.set("error", Json(std::string(Rule.m_Name)));
  Body.set("outcome", Json(std::string(outcomeName(Step.m_Outcome))));
  Body.set("comeBackMs", Json(ComeBack));
  Body.set("text", Json(std::string(Rule.m_Text)));
  std::string Text = Body.toText();
  auto Out = To.send(Rule.m_HttpStatus, "Error", With, Text.size());
  return writeWhole(kj::mv(Out), std::move(Text));
}

} // namespace mustardspoke
