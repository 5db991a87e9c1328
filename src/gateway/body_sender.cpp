/// \file
/// Sends the body of a request to an upstream while it arrives.
#include "gateway/body_sender.h"

#include "gateway/task.h"

namespace mustardspoke::steer {
namespace {

constexpr std::size_t PieceBytes = 32 << 10;

} // namespace

BodySender::BodySender(asio::io_context &Io, BufferBudget &Buffers,
                       UpstreamConnectionPtr Connection,
                       PendingRequestPtr Request, CallerConnectionPtr Caller)
    : m_Io(Io), m_Buffers(Buffers), m_Connection(std::move(Connection)),
      m_Request(std::move(Request)), m_Caller(std::move(Caller)),
      m_EndChanged(Io) {}

void BodySender::start() {
  m_Request->m_Body.beginSending();
  startTask(
      m_Io, "body-sender",
      [Self = BodySenderPtr(this)]() { return Self->run(); },
      [Self = BodySenderPtr(this)] { Self->end(); });
}

awaitable<void> BodySender::run() {
  BodySenderPtr Self(this);
  m_HasSentAll = co_await sendAll();
  end();
}

void BodySender::end() {
  if (!m_HasSentAll)
    abort();
  m_Request->m_Body.endSending();
  m_HasEnded = true;
  m_EndChanged.notify();
}

awaitable<bool> BodySender::sendAll() {
  RequestBody &Body = m_Request->m_Body;
  bool Chunked = m_Request->m_Head.m_Chunked;
  while (!m_Stops && m_Request->m_ParseError == HttpParseError::None) {
    // A copy, as the body changes while it is written.
    std::string Bytes(Body.next(PieceBytes));
    if (Bytes.empty()) {
      if (Body.isComplete() && !Chunked)
        co_return true;
      if (Body.isComplete())
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
    if (Body.advance(Taken))
      ++m_Buffers.m_Counters.m_Unretained;
    m_Request->updateCharge();
    m_Caller->notifyBodyConsumed();
  }
  co_return false;
}

awaitable<void> BodySender::stop() {
  BodySenderPtr Self(this);
  m_Stops = true;
  if (!m_HasSentAll)
    abort();
  m_Caller->wakeBodyWaiters();
  while (!m_HasEnded)
    co_await m_EndChanged.wait();
}

void BodySender::abort() {
  NetError Ignored; // Closed already.
  m_Connection->m_Socket.close(Ignored);
}

} // namespace mustardspoke::steer
