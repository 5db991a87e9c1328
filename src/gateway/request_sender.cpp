/// \file
/// Sends a request to an upstream, its body while it arrives.
#include "gateway/request_sender.h"

#include "gateway/task.h"

namespace mustardspoke::steer {
namespace {

/// A body up to this size is sent together with the head.
constexpr std::size_t SmallBody = 16384; // bytes
constexpr std::size_t PieceBytes = 32 << 10;

bool announcesBody(const HttpHead &Head) {
  return Head.m_Chunked || Head.m_ContentLength.value_or(0) > 0;
}

} // namespace

RequestSender::RequestSender(asio::io_context &Io, BufferBudget &Buffers,
                             UpstreamConnectionPtr Connection,
                             PendingRequestPtr Request,
                             CallerConnectionPtr Caller)
    : m_Io(Io), m_Buffers(Buffers), m_Connection(std::move(Connection)),
      m_Request(std::move(Request)), m_Caller(std::move(Caller)),
      m_EndChanged(Io) {}

awaitable<NetError> RequestSender::start(std::string Head) {
  RequestSenderPtr Self(this);
  m_Body.emplace(m_Request->m_Body);
  bool HasBody = announcesBody(m_Request->m_Head);
  bool GoesWithHead = !HasBody || (!m_Request->m_Head.m_Chunked &&
                                   m_Request->m_Body.isComplete() &&
                                   m_Request->m_Body.received() <= SmallBody);
  std::size_t BodyBytes = 0;
  if (HasBody && GoesWithHead) {
    std::string_view Body = m_Body->next(SmallBody);
    BodyBytes = Body.size();
    Head += Body;
  }
  NetError Error = co_await m_Connection->write(Head);
  if (!Error && !GoesWithHead) {
    startBody();
    co_return Error;
  }
  if (!Error) {
    (void)m_Body->advance(BodyBytes);
    m_HasSentAll = !HasBody || m_Body->atEnd();
  }
  m_Body.reset();
  co_return Error;
}

void RequestSender::startBody() {
  m_SendsBody = true;
  startTask(
      m_Io, "body-sender",
      [Self = RequestSenderPtr(this)]() { return Self->run(); },
      [Self = RequestSenderPtr(this)] { Self->end(); });
}

awaitable<void> RequestSender::run() {
  RequestSenderPtr Self(this);
  m_HasSentAll = co_await sendBody();
  end();
}

void RequestSender::end() {
  if (!m_HasSentAll)
    abort();
  m_Body.reset();
  m_SendsBody = false;
  m_EndChanged.notify();
}

awaitable<bool> RequestSender::sendBody() {
  bool Chunked = m_Request->m_Head.m_Chunked;
  while (!m_Stops && m_Request->m_ParseError == HttpParseError::None) {
    // A copy, as the body changes while it is written.
    std::string Bytes(m_Body->next(PieceBytes));
    if (Bytes.empty()) {
      if (m_Body->atEnd() && !Chunked)
        co_return true;
      if (m_Body->atEnd())
        co_return !co_await m_Connection->write(LastChunk);
      if (m_Caller->disconnected())
        co_return false;
      co_await m_Caller->waitForBody();
      continue;
    }
    std::size_t Taken = Bytes.size();
    if (Chunked)
      Bytes = chunkHeader(Taken).append(Bytes).append(ChunkEnd);
    if (co_await m_Connection->write(Bytes))
      co_return false;
    if (m_Body->advance(Taken))
      ++m_Buffers.m_Counters.m_Unretained;
    m_Request->updateCharge();
    m_Caller->notifyBodyConsumed();
  }
  co_return false;
}

awaitable<void> RequestSender::stop() {
  RequestSenderPtr Self(this);
  m_Stops = true;
  if (!m_HasSentAll)
    abort();
  m_Caller->wakeBodyWaiters();
  while (m_SendsBody)
    co_await m_EndChanged.wait();
}

void RequestSender::abort() {
  NetError Ignored; // Closed already.
  m_Connection->m_Socket.close(Ignored);
}

} // namespace mustardspoke::steer
