/// \file
/// One attempt at an upstream: connection, request, answer.
#include "gateway/exchange.h"

#include "observe/log.h"

#include <boost/asio/write.hpp>

namespace mustardspoke::steer {
namespace {

constexpr std::uint32_t MostAnswerHead = 64 << 10; // bytes
constexpr std::uint64_t MostAnswerBody = ~0ULL >> 1;
constexpr std::size_t ReadPiece = 16384; // bytes
/// Answers up to this are read whole before the caller gets the first byte,
/// so that one that breaks off can be asked for again.
constexpr std::size_t HoldWhole = 512 << 10; // bytes
/// Sent body bytes that are kept for a repeat.
constexpr std::size_t KeptForRepeat = 256 << 10; // bytes
/// A connection takes one round trip; the longest path has 110 ms.
constexpr Duration ConnectWithin = 400ms;
/// Idle time of an upstream that doesn't state its own.
constexpr Duration DefaultIdleLife = 4s;
/// Kept back from a stated idle time, so that a request never crosses the
/// upstream's close.
constexpr Duration IdleMargin = 2s;
/// A request that may not repeat takes only connections in recent use: a
/// reset of an older one would leave its fate unknown.
constexpr Duration MostIdleUnsafe = 3s;
/// Weight of one answer in the running mean of a route's answer sizes.
constexpr double SizeBlend = 0.1;

bool serverError(unsigned Status) { return Status >= 500; }
bool success(unsigned Status) { return Status >= 200 && Status < 300; }
/// \brief Statuses that tell a caller that its request has not run.
bool meansNotRun(unsigned Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

/// \brief Sends a request's body while it arrives.
/// \details Not a member, as the exchange may end first.
/// \param Sent Set when all of it is out.
awaitable<void> sendBody(UpstreamConnectionPtr Over, PendingRequestPtr Request,
                         CallerConnectionPtr From, std::shared_ptr<bool> Sent) {
  bool Chunked = Request->m_Head.m_Chunked;
  std::uint64_t At = 0;
  NetError Error;
  while (!Error && Over->m_Socket.is_open()) {
    if (At < Request->m_Dropped)
      co_return; // A later attempt has taken the body over.
    std::string Piece = Request->m_Body.substr(At - Request->m_Dropped);
    if (Piece.empty() && Request->m_Complete)
      break;
    if (Piece.empty()) {
      if (From->gone())
        co_return;
      co_await From->bodyChanged();
      continue;
    }
    At += Piece.size();
    if (Chunked)
      Piece = chunkOf(Piece);
    co_await asio::async_write(Over->m_Socket, asio::buffer(Piece),
                               noThrow(Error));
    if (At > KeptForRepeat) {
      Request->m_Body.erase(0, At - Request->m_Dropped);
      Request->m_Dropped = At;
      From->bodyTaken();
    }
  }
  if (!Error && Chunked && Over->m_Socket.is_open())
    co_await asio::async_write(Over->m_Socket, asio::buffer(LastChunk),
                               noThrow(Error));
  *Sent = !Error;
}

} // namespace

awaitable<UpstreamConnectionPtr> Exchange::connect(UpstreamPtr To) {
  Duration MostIdle = m_Route->idempotent() ? Duration::max() : MostIdleUnsafe;
  UpstreamConnectionPtr One = m_Pool.take(*To, steadyNow(), MostIdle);
  if (One)
    co_return One;
  NetError Error;
  One = co_await m_Pool.open(To, std::min(ConnectWithin, left()), Error);
  if (Error) {
    bool Ejected = To->recordFailure(
        steadyNow(), m_State.m_Settings.m_Choice.m_HealthTuning);
    logEvent(LogLevel::Warning, "upstream-unreachable",
             {{"id", m_Marks.m_RequestId},
              {"upstream", To->m_Registration.m_Id},
              {"address", To->m_Registration.m_Address},
              {"cause", Error.message()},
              {"ejected", Ejected ? "yes" : "no"}});
  }
  co_return One;
}

std::string Exchange::requestHead(const Upstream &To) const {
  const HttpHead &From = m_Request->m_Head;
  HeadWriter Head = HeadWriter::request(From.m_Method, From.m_Target);
  for (const HttpField &Field : From.m_Fields)
    if (!isConnectionField(From, Field.m_Name) &&
        !m_State.m_Dialect.m_OwnRequestField(Field.m_Name))
      Head.field(Field.m_Name, Field.m_Value);
  m_State.m_Dialect.m_MarkForward(Head, left(), To.m_Registration.m_Id);
  if (From.m_Chunked)
    Head.field("Transfer-Encoding", "chunked");
  else if (From.m_Length)
    Head.field("Content-Length", *From.m_Length);
  return Head.finish();
}

awaitable<bool> Exchange::sendRequest(UpstreamPtr To) {
  m_BodySent = std::make_shared<bool>(false);
  const HttpHead &From = m_Request->m_Head;
  bool HasBody = From.m_Chunked || From.m_Length.value_or(0) > 0;
  std::string Out = requestHead(*To);
  bool Small = m_Request->m_Complete && m_Request->m_Body.size() <= ReadPiece;
  if (HasBody && Small && !From.m_Chunked)
    Out += m_Request->m_Body;
  ++m_Sent;
  m_SentAt = steadyNow();
  NetError Error;
  UpstreamConnectionPtr Over = m_Connection;
  co_await asio::async_write(Over->m_Socket, asio::buffer(Out), noThrow(Error));
  if (Error)
    co_return false;
  if (!HasBody || (Small && !From.m_Chunked)) {
    *m_BodySent = true;
    co_return true;
  }
  asio::co_spawn(
      m_State.m_Io,
      [Over, Request = m_Request, From = m_From, Sent = m_BodySent]() {
        return sendBody(Over, Request, From, Sent);
      },
      asio::detached);
  co_return true;
}

template <class Condition>
awaitable<bool> Exchange::readUntil(HttpReader &Reader, Condition Until) {
  UpstreamConnectionPtr Over = m_Connection;
  std::string Piece(ReadPiece, '\0');
  for (;;) {
    Over->m_In.erase(0, Reader.feed(Over->m_In));
    if (Until())
      co_return true;
    if (Reader.fault() != HttpFault::None || Reader.done())
      co_return false;
    NetError Error;
    std::size_t Got = co_await Over->m_Socket.async_read_some(
        asio::buffer(Piece), noThrow(Error));
    Over->m_In.append(Piece, 0, Got);
    if (!Error)
      continue;
    m_ReadError = Error;
    // Only an orderly end completes a body that ends with the connection.
    Over->m_In.erase(0, Reader.feed(Over->m_In));
    if (Error == asio::error::eof)
      Reader.end();
    co_return Until();
  }
}

void Exchange::noteMarks(Upstream &To, const AnswerMarks &Marks) {
  TimePoint Now = steadyNow();
  if (Marks.m_Load)
    To.recordLoadReport(*Marks.m_Load, Now);
  if (Marks.m_ColdFor && *Marks.m_ColdFor > Duration::zero())
    To.m_ColdUntil = std::max(To.m_ColdUntil, Now + *Marks.m_ColdFor);
  if (Marks.m_OtherUpstream && !To.m_AnnouncedLeaving) {
    To.m_AnnouncedLeaving = true;
    m_Pool.drop(To);
    logEvent(LogLevel::Warning, "upstream-address-reused",
             {{"id", m_Marks.m_RequestId},
              {"upstream", To.m_Registration.m_Id},
              {"address", To.m_Registration.m_Address}});
  }
  m_Connection->m_IdleLife =
      Marks.m_KeepsIdleFor
          ? std::max<Duration>(*Marks.m_KeepsIdleFor - IdleMargin,
                               Duration::zero())
          : DefaultIdleLife;
}

void Exchange::finish(Upstream &To, HttpReader &Reader) {
  bool Clean = Reader.done() && Reader.fault() == HttpFault::None &&
               Reader.head().m_KeepAlive && m_Connection->m_In.empty() &&
               *m_BodySent && !m_StrayAnswer && !stopped();
  if (Clean)
    m_Pool.keep(To, m_Connection, steadyNow());
  // From here on it may carry another request, which must not be cut when
  // this one's caller leaves or its time is over.
  m_Connection.reset();
}

awaitable<AttemptEnd> Exchange::attempt(UpstreamPtr To) {
  m_Counted.emplace(To);
  m_Connection = co_await connect(To);
  if (!m_Connection) {
    m_Counted.reset();
    co_return AttemptEnd::NotSent;
  }
  if (stopped()) {
    if (m_Connection->m_Used)
      m_Pool.keep(*To, m_Connection, steadyNow());
    m_Connection.reset();
    m_Counted.reset();
    co_return AttemptEnd::NotSent;
  }
  AttemptEnd End = lost("send-failed");
  if (co_await sendRequest(To))
    End = co_await readAnswer(To);
  // The attempt is over; a sender of its body must not go on.
  if (m_Connection && !*m_BodySent) {
    NetError Ignored;
    m_Connection->m_Socket.close(Ignored);
  }
  m_Connection.reset();
  m_Counted.reset();
  m_BodyLost = m_Request->m_Dropped > 0;
  if (End == AttemptEnd::Lost || End == AttemptEnd::Failed)
    m_MayHaveRun = true;
  if (End == AttemptEnd::Lost && !m_From->gone()) {
    bool AnswersOthers = m_TimedOut && To->hasAnsweredSince(m_SentAt);
    bool Ejected = To->recordFailure(
        steadyNow(), m_State.m_Settings.m_Choice.m_HealthTuning, AnswersOthers);
    logEvent(LogLevel::Warning, "answer-lost",
             {{"id", m_Marks.m_RequestId},
              {"upstream", To->m_Registration.m_Id},
              {"afterMs", std::to_string(toMillis(steadyNow() - m_SentAt))},
              {"cause", std::string(m_TimedOut ? "deadline" : m_LostCause)},
              {"detail", m_ReadError ? m_ReadError.message() : ""},
              {"ejected", Ejected ? "yes" : "no"}});
  }
  co_return End;
}

awaitable<AttemptEnd> Exchange::readAnswer(UpstreamPtr To) {
  HttpReader Reader(HttpReader::Role::Responses, MostAnswerHead,
                    MostAnswerBody);
  m_StrayAnswer = false;
  m_ReadError = {};
  for (;;) {
    Reader.next(m_Request->m_Head.m_Method == "HEAD");
    bool HasHead =
        co_await readUntil(Reader, [&Reader] { return Reader.headDone(); });
    if (!HasHead)
      co_return lost("no-answer");
    if (Reader.head().m_Status / 100 == 1)
      continue;
    AnswerMarks Marks = m_State.m_Dialect.m_ReadAnswer(Reader.head());
    bool Other =
        !Marks.m_RequestId.empty() && Marks.m_RequestId != m_Marks.m_RequestId;
    if (Other) {
      // The late answer to an earlier request; ours may follow it.
      m_StrayAnswer = true;
      bool Whole =
          co_await readUntil(Reader, [&Reader] { return Reader.done(); });
      if (!Whole || !Reader.head().m_KeepAlive)
        co_return lost("another-request's-answer");
      continue;
    }
    noteMarks(*To, Marks);
    unsigned Status = Reader.head().m_Status;
    if (success(Status) &&
        (!Marks.m_Signed || Marks.m_Encoded || Marks.m_RequestId.empty()))
      co_return lost("unproved-success");
    if (Marks.m_NotRun) {
      (void)co_await readUntil(Reader, [&Reader] { return Reader.done(); });
      finish(*To, Reader);
      co_return AttemptEnd::NotRun;
    }
    co_return co_await passOn(To, Reader);
  }
}

awaitable<AttemptEnd> Exchange::passOn(UpstreamPtr To, HttpReader &Reader) {
  bool Settled = co_await readUntil(Reader, [&Reader] {
    return Reader.done() || Reader.body().size() > HoldWhole;
  });
  if (!Settled)
    co_return lost("broke-off");
  unsigned Status = Reader.head().m_Status;
  if (!Reader.done())
    co_return co_await stream(Reader);
  finish(*To, Reader);
  m_Counted.reset(); // It may wait long for its turn at the caller.
  HeldAnswer Whole{Reader.head(), std::move(Reader.body())};
  if (serverError(Status) && m_Route->idempotent()) {
    To->recordFailure(steadyNow(), m_State.m_Settings.m_Choice.m_HealthTuning);
    m_Held = std::move(Whole);
    co_return AttemptEnd::Failed;
  }
  if (success(Status)) {
    Duration Work =
        To->recordSuccess(steadyNow(), steadyNow() - m_SentAt, m_ChosenLoad,
                          m_State.m_Settings.m_Choice.m_HealthTuning);
    m_State.m_Upstreams.recordProcessingTime(To->m_Registration.m_Service,
                                             Work);
    double &Mean = m_State.m_AnswerBytes[m_Route->m_Name];
    Mean += (double(Whole.m_Body.size()) - Mean) * SizeBlend;
  }
  (void)co_await deliver(std::move(Whole));
  co_return AttemptEnd::Answered;
}

void Exchange::copyAnswerFields(HeadWriter &To, const HttpHead &From) {
  for (const HttpField &Field : From.m_Fields)
    if (!isConnectionField(From, Field.m_Name) &&
        !m_State.m_Dialect.m_OwnAnswerField(Field.m_Name))
      To.field(Field.m_Name, Field.m_Value);
  endConnection(To);
}

awaitable<bool> Exchange::deliver(HeldAnswer Held) {
  unsigned Status = Held.m_Head.m_Status;
  // Without the upstream's own word, these statuses would say falsely that it
  // has not run.
  if (meansNotRun(Status) && !m_Route->idempotent()) {
    m_MayHaveRun = true;
    co_return co_await refuse(ErrorKind::UpstreamLost, Duration::zero(),
                              "unproved-refusal");
  }
  HeadWriter Head = HeadWriter::response(Status, Held.m_Head.m_Reason);
  copyAnswerFields(Head, Held.m_Head);
  bool Bodiless =
      m_Request->m_Head.m_Method == "HEAD" || Status == 204 || Status == 304;
  if (Bodiless && Held.m_Head.m_Length)
    Head.field("Content-Length", *Held.m_Head.m_Length);
  else if (!Bodiless)
    Head.field("Content-Length", std::uint64_t(Held.m_Body.size()));
  record(success(Status) ? ErrorKind::None : ErrorKind::UpstreamLost, Status,
         success(Status) ? "" : "upstream-status");
  bool There = co_await m_From->send(m_Request, Head.finish() + Held.m_Body);
  co_return There && !m_Closes;
}

awaitable<AttemptEnd> Exchange::stream(HttpReader &Reader) {
  const HttpHead &From = Reader.head();
  HeadWriter Head = HeadWriter::response(From.m_Status, From.m_Reason);
  copyAnswerFields(Head, From);
  bool Chunked = !From.m_Length;
  if (Chunked)
    Head.field("Transfer-Encoding", "chunked");
  else
    Head.field("Content-Length", *From.m_Length);
  std::string Out = Head.finish();
  for (;;) {
    std::string Piece = std::exchange(Reader.body(), {});
    if (!Piece.empty())
      Out += Chunked ? chunkOf(Piece) : Piece;
    if (Chunked && Reader.done())
      Out += LastChunk;
    if (!co_await m_From->send(m_Request, std::exchange(Out, {})))
      co_return AttemptEnd::Aborted;
    if (Reader.done())
      break;
    bool More = co_await readUntil(
        Reader, [&Reader] { return Reader.done() || !Reader.body().empty(); });
    if (!More) {
      record(ErrorKind::UpstreamLost, From.m_Status, "broke-off");
      co_return AttemptEnd::Aborted;
    }
  }
  record(ErrorKind::None, From.m_Status, "streamed");
  co_return AttemptEnd::Answered;
}

} // namespace mustardspoke::steer
