/// \file
/// Read-ahead, order of responses, and timeouts for slow callers.
#include "gateway/caller_connection.h"

#include "gateway/task.h"

#include <boost/asio/write.hpp>

#include <array>

namespace mustardspoke::steer {
namespace {

constexpr std::size_t ReadBufferSize = 8192; // bytes
/// Requests behind the first one of a connection, together; in bytes.
constexpr std::size_t MaxQueuedBytes = 256 << 10;
/// The same while buffers are scarce.
constexpr std::size_t MinQueuedBytes = 16 << 10;
constexpr std::size_t MaxPipelined = 64; // requests of one connection
/// Requests of one connection with a running handler.
constexpr std::size_t MaxConcurrent = 16;
/// Time for the caller to read the last response before the socket closes.
constexpr Duration GracefulCloseTimeout = 1s;
/// Time for the read loop to read what has arrived.
constexpr Duration UnreadInputTime = 50ms;
/// Time that bytes of a response may stay unacknowledged.
constexpr Duration UnacknowledgedTimeout = 5s;

} // namespace

void PendingRequest::updateCharge() {
  std::size_t Bytes = m_Body.footprint();
  for (const HttpField &Field : m_Head.m_Fields)
    Bytes += sizeof(HttpField) + Field.m_Name.size() + Field.m_Value.size();
  m_Charge.set(Bytes);
}

CallerConnection::CallerConnection(asio::io_context &Io, Tcp::socket Socket,
                                   CallerLimits Limits, BufferBudget &Buffers,
                                   RequestHandler Handler)
    : m_Io(Io), m_Socket(std::move(Socket)), m_Limits(Limits),
      m_Buffers(Buffers), m_Handler(std::move(Handler)),
      m_Parser(HttpParser::Role::Requests, Limits.m_MaxHeaderBytes,
               Limits.m_MaxBodyBytes),
      m_InputCharge(Buffers), m_RequestArrived(Io), m_SpaceAvailable(Io),
      m_BodyChanged(Io), m_TurnChanged(Io), m_TimeoutTimer(Io) {
  enableDeadPeerDetection(m_Socket, UnacknowledgedTimeout);
}

void CallerConnection::start() {
  CallerConnectionPtr Self(this);
  auto Abort = [Self] { Self->abort(); };
  startTask(
      m_Io, "caller-read", [Self]() { return Self->readLoop(); }, Abort);
  startTask(
      m_Io, "caller-serve", [Self]() { return Self->serveLoop(); }, Abort);
}

awaitable<bool> CallerConnection::waitForTurn(PendingRequestPtr Request) {
  while (!disconnected() && m_Queue.front() != Request)
    co_await m_TurnChanged.wait();
  co_return !disconnected();
}

awaitable<bool>
CallerConnection::waitForWholeAnswers(PendingRequestPtr Request) {
  auto IsBehindOther = [this, &Request] {
    for (const PendingRequestPtr &Earlier : m_Queue) {
      if (Earlier == Request)
        return false;
      if (Earlier->m_MayBreakConnection)
        return true;
    }
    return false;
  };
  while (!disconnected() && IsBehindOther())
    co_await m_TurnChanged.wait();
  co_return !disconnected();
}

void CallerConnection::noteWholeAnswer(const PendingRequestPtr &Request) {
  Request->m_MayBreakConnection = false;
  m_TurnChanged.notify();
}

awaitable<bool> CallerConnection::send(PendingRequestPtr Request,
                                       std::string Bytes,
                                       std::string MoreBytes) {
  if (!co_await waitForTurn(Request))
    co_return false;
  NetError Error;
  std::array<asio::const_buffer, 2> Parts{asio::buffer(Bytes),
                                          asio::buffer(MoreBytes)};
  co_await asio::async_write(m_Socket, Parts, noThrow(Error));
  if (Error)
    markDisconnected();
  co_return !Error;
}

void CallerConnection::abort() {
  markDisconnected();
  NetError Ignored;
  m_Socket.close(Ignored);
}

void CallerConnection::markDisconnected() {
  m_Disconnected = true;
  m_RequestArrived.notify();
  m_SpaceAvailable.notify();
  m_BodyChanged.notify();
  m_TimeoutTimer.cancel();
  cancelHandlers();
}

void CallerConnection::cancelHandlers() {
  m_TurnChanged.notify();
  for (const PendingRequestPtr &Request : m_Queue)
    if (auto Callback = std::exchange(Request->m_OnDisconnect, nullptr))
      Callback();
}

void CallerConnection::armTimeout() {
  ++m_TimeoutGeneration;
  bool ReadingHead = m_Parser.started() && !m_Parser.headDone();
  if (!ReadingHead && !m_Queue.empty()) {
    // A request is being served, under its own deadline.
    m_TimeoutTimer.cancel();
    return;
  }
  startTimer(ReadingHead ? m_Limits.m_HeaderTimeout : m_Limits.m_IdleTimeout);
}

void CallerConnection::startTimer(Duration Span) {
  m_TimeoutTimer.expires_after(Span);
  m_TimeoutTimer.async_wait(
      [Self = CallerConnectionPtr(this),
       Generation = m_TimeoutGeneration](const NetError &Error) {
        if (!Error && Generation == Self->m_TimeoutGeneration &&
            !Self->m_Disconnected)
          Self->onTimeout();
      });
}

void CallerConnection::onTimeout() {
  // After a pause of the process, what arrived meanwhile is still unread. The
  // read loop sets the timer anew.
  if (peek(m_Socket) == PeekResult::Bytes)
    return startTimer(UnreadInputTime);
  if (m_Parser.started() && !m_Parser.headDone()) {
    PendingRequestPtr TimedOut(new PendingRequest(m_Buffers));
    TimedOut->m_HeadTimedOut = true;
    m_Queue.push_back(TimedOut);
    m_RequestArrived.notify();
    return;
  }
  abort();
}

bool CallerConnection::parse() {
  while (!m_Input.empty()) {
    bool HadHead = m_Parser.headDone();
    m_Input.erase(0, m_Parser.feed(m_Input));
    bool Invalid = m_Parser.parseError() != HttpParseError::None;
    if (!HadHead && (m_Parser.headDone() || Invalid)) {
      m_ReceivingRequest = new PendingRequest(m_Buffers);
      m_ReceivingRequest->m_Head = m_Parser.head();
      m_ReceivingRequest->m_ReadAt = steadyNow();
      m_ReceivingRequest->m_IsFirst = !std::exchange(m_HasRead, true);
      m_Queue.push_back(m_ReceivingRequest);
      m_RequestArrived.notify();
      m_TurnChanged.notify();
    }
    if (m_ReceivingRequest) {
      m_ReceivingRequest->m_Body.append(m_Parser.body());
      m_Parser.body().clear();
      m_ReceivingRequest->m_ParseError = m_Parser.parseError();
      if (m_Parser.done())
        m_ReceivingRequest->m_Body.complete();
      m_ReceivingRequest->updateCharge();
      m_BodyChanged.notify();
    }
    if (Invalid)
      return false;
    if (!m_Parser.done())
      return true;
    m_ReceivingRequest.reset();
    m_Parser.nextMessage();
  }
  return true;
}

bool CallerConnection::buffersFull() const {
  if (m_Queue.size() >= MaxPipelined)
    return true;
  if (m_ReceivingRequest && m_ReceivingRequest->m_Body.isFull())
    return true;
  std::size_t QueuedBytes = 0;
  for (const PendingRequestPtr &Request : m_Queue)
    if (Request != m_Queue.front())
      QueuedBytes += Request->m_Charge.bytes();
  return QueuedBytes >= (m_Buffers.room() == BufferRoom::Ample
                             ? MaxQueuedBytes
                             : MinQueuedBytes);
}

awaitable<void> CallerConnection::readLoop() {
  CallerConnectionPtr Self(this);
  char Buffer[ReadBufferSize];
  bool Parsing = true;
  armTimeout();
  while (!m_Disconnected) {
    if (buffersFull() && !m_Finished) {
      co_await m_SpaceAvailable.wait();
      continue;
    }
    NetError Error;
    std::size_t BytesRead =
        co_await m_Socket.async_read_some(asio::buffer(Buffer), noThrow(Error));
    if (Error) {
      markDisconnected();
      break;
    }
    // Bytes after a response with "Connection: close" are discarded.
    if (!Parsing || m_Finished)
      continue;
    m_Input.append(Buffer, BytesRead);
    Parsing = parse();
    m_InputCharge.set(m_Input.capacity());
    armTimeout();
  }
}

void CallerConnection::startHandlers() {
  std::size_t Running = 0;
  for (const PendingRequestPtr &Request : m_Queue) {
    if (Running == MaxConcurrent)
      return;
    ++Running;
    if (!Request->m_HandlerStarted) {
      if (m_CloseAnnounced)
        return;
      Request->m_HandlerStarted = true;
      startTask(
          m_Io, "request",
          [Self = CallerConnectionPtr(this), Request]() {
            return Self->handle(Request);
          },
          [Self = CallerConnectionPtr(this)] { Self->abort(); });
    }
    // Requests after this one are not answered.
    if (!Request->m_Head.m_KeepAlive || Request->m_HeadTimedOut ||
        Request->m_ParseError != HttpParseError::None)
      return;
  }
}

awaitable<void> CallerConnection::handle(PendingRequestPtr Request) {
  Request->m_KeepConnection =
      co_await m_Handler(CallerConnectionPtr(this), Request);
  Request->m_OnDisconnect = nullptr;
  Request->m_HandlerDone = true;
  m_TurnChanged.notify();
}

awaitable<void> CallerConnection::serveLoop() {
  CallerConnectionPtr Self(this);
  bool KeepConnection = true;
  while (KeepConnection && !m_Disconnected) {
    if (m_Queue.empty()) {
      co_await m_RequestArrived.wait();
      continue;
    }
    startHandlers();
    PendingRequestPtr First = m_Queue.front();
    if (!First->m_HandlerDone) {
      co_await m_TurnChanged.wait();
      continue;
    }
    KeepConnection = First->m_KeepConnection && First->m_Body.isComplete();
    if (!KeepConnection)
      break;
    m_Queue.pop_front();
    m_SpaceAvailable.notify();
    m_TurnChanged.notify();
    armTimeout();
  }
  m_Finished = true;
  cancelHandlers();
  if (!m_Disconnected)
    co_await closeGracefully();
  NetError Ignored;
  m_Socket.close(Ignored);
  markDisconnected();
}

awaitable<void> CallerConnection::closeGracefully() {
  m_SpaceAvailable.notify();
  NetError Ignored;
  m_Socket.shutdown(Tcp::socket::shutdown_send, Ignored);
  // The read loop discards bytes that still arrive: closing with unread bytes
  // would send a reset, which could destroy the last response on its way.
  CloseTimer Timer(m_Io);
  Timer.arm(m_Socket, steadyNow() + GracefulCloseTimeout);
  while (!m_Disconnected)
    co_await m_BodyChanged.wait();
}

} // namespace mustardspoke::steer
