/// \file
/// The response to one attempt: reading it, and forwarding it to the caller.
#include "gateway/exchange.h"

#include "observe/log.h"

namespace mustardspoke::steer {
namespace {

constexpr std::uint32_t MaxResponseHead = 64 << 10; // bytes
constexpr std::uint64_t MaxResponseBody = ~0ULL >> 1;
constexpr std::size_t ReadBufferSize = 16384; // bytes
/// Responses up to this size are read completely before the caller gets the
/// first byte, so that one that breaks off can be requested again.
constexpr std::size_t MaxBufferedResponse = 512 << 10; // bytes
/// The same while buffers are scarce. Most responses are smaller.
constexpr std::size_t MinBufferedResponse = 16 << 10; // bytes
/// A longer body that is to be dropped isn't read to its end.
constexpr std::size_t MaxDiscardedBytes = 4 << 20;
/// Interim responses and answers to other requests that may come before the
/// answer.
constexpr unsigned MaxOtherMessages = 16;
/// Time for the rest of a message of which only the head counts: a round trip
/// on the longest path, twice.
constexpr Duration RestOfMessageTime = 220ms;

} // namespace

template <class Condition>
awaitable<bool> Exchange::readUntil(HttpParser &Parser, Condition Until) {
  UpstreamConnectionPtr Connection = m_Connection;
  std::string Buffer(ReadBufferSize, '\0');
  for (;;) {
    Connection->m_Input.erase(0, Parser.feed(Connection->m_Input));
    m_ResponseCharge.set(Connection->m_Input.capacity() +
                         Parser.body().capacity());
    if (Until())
      co_return true;
    if (Parser.parseError() != HttpParseError::None || Parser.done())
      co_return false;
    NetError Error;
    std::size_t BytesRead = co_await Connection->read(Buffer, Error);
    Connection->m_Input.append(Buffer, 0, BytesRead);
    if (BytesRead > 0 && !Connection->isToPeer())
      m_State.m_OwnLinks.recordAnswer();
    if (!Error)
      continue;
    m_Outcome.m_Error = Error;
    // Only an orderly end of the stream completes a body without a length.
    Connection->m_Input.erase(0, Parser.feed(Connection->m_Input));
    if (Error == asio::error::eof)
      Parser.endStream();
    co_return Until();
  }
}

awaitable<bool> Exchange::discardRest(HttpParser &Parser) {
  std::size_t Discarded = 0;
  bool Ended = co_await readUntil(Parser, [&Parser, &Discarded] {
    Discarded += Parser.body().size();
    Parser.body().clear();
    return Parser.done() || Discarded > MaxDiscardedBytes;
  });
  co_return Ended &&Parser.done();
}

awaitable<bool> Exchange::finishMessage(Upstream &Target, HttpParser &Parser) {
  CloseTimer Timer(m_State.m_Io);
  Timer.arm(m_Connection->m_Socket, steadyNow() + RestOfMessageTime);
  (void)co_await discardRest(Parser);
  bool ClosedHere = Timer.fired() || cancelled();
  Timer.disarm();
  bool BrokeOff = Parser.parseError() != HttpParseError::None ||
                  (!Parser.done() && m_Outcome.m_Error && !ClosedHere);
  releaseConnection(Target, Parser);
  co_return !BrokeOff;
}

void Exchange::releaseConnection(Upstream &Target, HttpParser &Parser) {
  m_Connection->m_RequestUnanswered =
      !Parser.done() || Parser.parseError() != HttpParseError::None ||
      !requestIsSent();
  bool Reusable = !m_Connection->m_RequestUnanswered &&
                  Parser.head().m_KeepAlive && m_Connection->m_Input.empty() &&
                  !m_StaleResponseSeen && !cancelled();
  if (Reusable && m_Connection->isToPeer())
    m_Pool.release(m_Connection, steadyNow());
  else if (Reusable)
    m_Pool.release(Target, m_Connection, steadyNow());
  // The connection may now carry another request, which must not be cut off
  // when this request's caller disconnects or its deadline passes.
  m_Connection.reset();
}

bool Exchange::isOwnAnswer(const ResponseMetadata &Metadata) const {
  if (!Metadata.m_RequestId.empty())
    return Metadata.m_RequestId == m_Metadata.m_RequestId;
  // A peer has checked it on its connection to the upstream.
  return !m_Connection->m_Reused || m_Connection->isToPeer();
}

awaitable<AttemptResult> Exchange::readResponse(UpstreamPtr Target) {
  HttpParser Parser(HttpParser::Role::Responses, MaxResponseHead,
                    MaxResponseBody);
  m_StaleResponseSeen = false;
  for (unsigned Messages = 0; Messages <= MaxOtherMessages; ++Messages) {
    Parser.nextMessage(m_Request->m_Head.m_Method == "HEAD");
    bool HasHead =
        co_await readUntil(Parser, [&Parser] { return Parser.headDone(); });
    if (!HasHead)
      co_return lostAttempt(Parser.parseError() == HttpParseError::InvalidStatus
                                ? "invalid-status"
                                : "no-answer");
    if (isInterimStatus(Parser.head().m_Status))
      continue;
    if (m_Connection->isToPeer()) {
      RelayOutcome Relayed = readRelayOutcome(Parser.head());
      if (Relayed.m_Result != RelayResult::Answered) {
        (void)co_await finishMessage(*Target, Parser);
        m_Outcome.m_IsStated = true;
        m_Outcome.m_Cause = Relayed.m_Reason;
        co_return Relayed.m_Result == RelayResult::NotSent
            ? AttemptResult::NotSent
            : AttemptResult::Lost;
      }
    }
    ResponseMetadata Metadata =
        m_State.m_WireFormat.m_ReadResponseMetadata(Parser.head());
    if (!isOwnAnswer(Metadata)) {
      // A late response to an earlier request; ours may follow it.
      m_StaleResponseSeen = true;
      if (!co_await discardRest(Parser) || !Parser.head().m_KeepAlive)
        co_return lostAttempt("another-request's-answer");
      continue;
    }
    if (Metadata.m_NotRun)
      m_Connection->noteRefusal(requestHash());
    applyMetadata(*Target, Metadata);
    m_MayHaveRun = m_MayHaveRun || !Metadata.m_NotRun;
    m_Outcome.m_IsSigned = Metadata.m_Signed;
    AnswerVerdict Verdict = judgeAnswer(Parser.head().m_Status, Metadata,
                                        {m_Route->idempotent(), servesPeer()});
    co_return co_await handleAnswer(Target, Parser, Verdict);
  }
  co_return lostAttempt("other-messages");
}

awaitable<AttemptResult> Exchange::handleAnswer(UpstreamPtr Target,
                                                HttpParser &Parser,
                                                AnswerVerdict Verdict) {
  switch (Verdict) {
  case AnswerVerdict::UnprovedSuccess:
    co_return lostAttempt("unproved-success");
  case AnswerVerdict::NotRun:
    // The statement holds even if the rest breaks off.
    (void)co_await finishMessage(*Target, Parser);
    co_return AttemptResult::NotRun;
  case AnswerVerdict::UnprovedRefusal:
    co_return co_await withholdAnswer(Target, Parser);
  case AnswerVerdict::PassOn:
  case AnswerVerdict::TryAgain:
    break;
  }
  co_return co_await forwardResponse(Target, Parser, Verdict);
}

void Exchange::recordWithheldAnswer(const Upstream &Target, unsigned Status) {
  m_Outcome.m_Status = Status;
  m_Outcome.m_AnsweredAt = steadyNow();
  logEvent(LogLevel::Warning, "answer-withheld",
           {{"id", m_Metadata.m_RequestId},
            {"upstream", Target.m_Registration.m_Id},
            {"peer", m_Outcome.m_Peer.str()},
            {"status", std::to_string(Status)},
            {"signed", m_Outcome.m_IsSigned ? "yes" : "no"}});
}

awaitable<AttemptResult> Exchange::withholdAnswer(UpstreamPtr Target,
                                                  HttpParser &Parser) {
  recordWithheldAnswer(*Target, Parser.head().m_Status);
  bool IsWhole = co_await finishMessage(*Target, Parser);
  co_return IsWhole ? AttemptResult::UnprovedRefusal : lostAttempt("broke-off");
}

std::size_t Exchange::maxBufferedResponse() const noexcept {
  return m_State.m_Buffers.room() == BufferRoom::Ample ? MaxBufferedResponse
                                                       : MinBufferedResponse;
}

awaitable<AttemptResult> Exchange::forwardResponse(UpstreamPtr Target,
                                                   HttpParser &Parser,
                                                   AnswerVerdict Verdict) {
  if (auto Length = Parser.head().m_ContentLength;
      !Parser.done() && Length && *Length <= maxBufferedResponse())
    Parser.body().reserve(*Length);
  bool Buffered = co_await readUntil(Parser, [this, &Parser] {
    return Parser.done() || Parser.body().size() > maxBufferedResponse();
  });
  if (!Buffered)
    co_return lostAttempt("broke-off");
  unsigned Status = Parser.head().m_Status;
  if (!Parser.done()) {
    // Too long to be kept for the case that no other upstream does better.
    if (Verdict == AnswerVerdict::TryAgain && retriesElsewhere()) {
      m_Outcome.m_AnsweredAt = steadyNow();
      m_Outcome.m_Status = Status;
      co_return AttemptResult::Failed;
    }
    if (Parser.body().size() <= MaxBufferedResponse)
      ++m_State.m_Buffers.m_Counters.m_Streamed;
    co_return co_await streamResponse(Parser);
  }
  releaseConnection(*Target, Parser);
  m_Outcome.m_AnsweredAt = steadyNow();
  m_Outcome.m_Status = Status;
  m_Outcome.m_BodyBytes = Parser.body().size();
  BufferedResponse Response{Parser.head(), std::move(Parser.body())};
  m_BufferedResponse = std::move(Response);
  co_return Verdict == AnswerVerdict::TryAgain ? AttemptResult::Failed
                                               : AttemptResult::Answered;
}

void Exchange::copyResponseFields(HeadWriter &Head,
                                  const HttpHead &UpstreamHead) {
  HopByHopFields HopByHop(UpstreamHead);
  for (const HttpField &Field : UpstreamHead.m_Fields)
    if (!HopByHop.contains(Field.m_Name) && !isRelayField(Field.m_Name) &&
        (servesPeer() ||
         !m_State.m_WireFormat.m_IsGatewayResponseField(Field.m_Name)))
      Head.field(Field.m_Name, Field.m_Value);
  addConnectionField(Head);
}

void Exchange::recordAnswered(unsigned Status, std::string_view Reason) {
  if (isSuccess(Status))
    record(ErrorKind::None, Status, Reason);
  else
    record(ErrorKind::UpstreamLost, Status, "upstream-status");
}

awaitable<bool> Exchange::deliver(BufferedResponse Response) {
  unsigned Status = Response.m_Head.m_Status;
  HeadWriter Head = HeadWriter::response(Status, Response.m_Head.m_Reason);
  copyResponseFields(Head, Response.m_Head);
  bool Bodiless =
      m_Request->m_Head.m_Method == "HEAD" || Status == 204 || Status == 304;
  if (Bodiless && Response.m_Head.m_ContentLength)
    Head.field("Content-Length", *Response.m_Head.m_ContentLength);
  else if (!Bodiless)
    Head.field("Content-Length", std::uint64_t(Response.m_Body.size()));
  recordAnswered(Status, "");
  m_ResponseStarted = true;
  bool StillConnected = co_await m_Caller->send(m_Request, Head.finish(),
                                                std::move(Response.m_Body));
  co_return StillConnected && !m_ClosesConnection;
}

awaitable<AttemptResult> Exchange::streamResponse(HttpParser &Parser) {
  m_State.m_LastStreamed[m_Route->m_Name] = steadyNow();
  const HttpHead &UpstreamHead = Parser.head();
  HeadWriter Head =
      HeadWriter::response(UpstreamHead.m_Status, UpstreamHead.m_Reason);
  copyResponseFields(Head, UpstreamHead);
  bool Chunked = !UpstreamHead.m_ContentLength;
  if (Chunked)
    Head.field("Transfer-Encoding", "chunked");
  else
    Head.field("Content-Length", *UpstreamHead.m_ContentLength);
  std::string Framing = Head.finish();
  if (requestIsSent())
    watchPeer();
  for (;;) {
    std::string BodyPart = std::exchange(Parser.body(), {});
    if (Chunked && !BodyPart.empty()) {
      Framing += chunkHeader(BodyPart.size());
      BodyPart += ChunkEnd;
    }
    if (Chunked && Parser.done())
      BodyPart += LastChunk;
    m_ResponseStarted = true;
    if (!co_await m_Caller->send(m_Request, std::exchange(Framing, {}),
                                 std::move(BodyPart)))
      co_return AttemptResult::Aborted;
    if (Parser.done())
      break;
    bool GotMore = co_await readUntil(
        Parser, [&Parser] { return Parser.done() || !Parser.body().empty(); });
    if (!GotMore) {
      m_Outcome.m_Cause = "broke-off";
      record(ErrorKind::UpstreamLost, UpstreamHead.m_Status, "broke-off");
      co_return AttemptResult::Aborted;
    }
  }
  m_Outcome.m_AnsweredAt = steadyNow();
  m_Outcome.m_Status = UpstreamHead.m_Status;
  recordAnswered(UpstreamHead.m_Status, "streamed");
  co_return AttemptResult::Streamed;
}

} // namespace mustardspoke::steer
