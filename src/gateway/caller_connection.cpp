/// \file
/// Reading ahead, order of answers, and limits on slow callers.
#include "gateway/caller_connection.h"

#include <boost/asio/write.hpp>

namespace mustardspoke::steer {
namespace {

constexpr std::size_t ReadPiece = 8192;          // bytes
constexpr std::size_t MostReadAhead = 256 << 10; // bytes of one body
constexpr std::size_t MostQueued = 64;           // pipelined requests
constexpr std::size_t MostAtATime = 16;          // of them being served
/// The caller reads the last answer within this; then the socket closes.
constexpr Duration GentleClose = 1s;
/// Bytes of an answer may stay unacknowledged for so long.
constexpr Duration Unacknowledged = 5s;

} // namespace

CallerConnection::CallerConnection(asio::io_context &Io, Tcp::socket Socket,
                                   CallerLimits Limits, RequestHandler Serve)
    : m_Io(Io), m_Socket(std::move(Socket)), m_Limits(Limits),
      m_Serve(std::move(Serve)),
      m_Reader(HttpReader::Role::Requests, Limits.m_MaxHeaderBytes,
               Limits.m_MaxBodyBytes),
      m_Arrived(Io), m_Taken(Io), m_BodyChanged(Io), m_Turn(Io), m_Guard(Io) {
  detectSilence(m_Socket, Unacknowledged);
}

void CallerConnection::start() {
  CallerConnectionPtr Self(this);
  asio::co_spawn(
      m_Io, [Self]() { return Self->readLoop(); }, asio::detached);
  asio::co_spawn(
      m_Io, [Self]() { return Self->serveLoop(); }, asio::detached);
}

awaitable<bool> CallerConnection::turn(PendingRequestPtr Of) {
  while (!gone() && m_Queue.front() != Of)
    co_await m_Turn.wait();
  co_return !gone();
}

awaitable<bool> CallerConnection::send(PendingRequestPtr Of,
                                       std::string Bytes) {
  if (!co_await turn(Of))
    co_return false;
  NetError Error;
  co_await asio::async_write(m_Socket, asio::buffer(Bytes), noThrow(Error));
  if (Error)
    noteGone();
  co_return !Error;
}

void CallerConnection::abort() {
  noteGone();
  NetError Ignored;
  m_Socket.close(Ignored);
}

void CallerConnection::noteGone() {
  m_Gone = true;
  m_Arrived.notify();
  m_Taken.notify();
  m_BodyChanged.notify();
  m_Guard.cancel();
  cancelHandlers();
}

void CallerConnection::cancelHandlers() {
  m_Turn.notify();
  for (const PendingRequestPtr &One : m_Queue)
    if (auto Then = std::exchange(One->m_WhenGone, nullptr))
      Then();
}

void CallerConnection::armGuard() {
  std::uint64_t Round = ++m_GuardRound;
  bool InHead = m_Reader.started() && !m_Reader.headDone();
  if (!InHead && !m_Queue.empty()) {
    m_Guard.cancel(); // A request is being served; its own limits hold.
    return;
  }
  m_Guard.expires_after(InHead ? m_Limits.m_HeaderTimeout
                               : m_Limits.m_IdleTimeout);
  m_Guard.async_wait(
      [Self = CallerConnectionPtr(this), Round](const NetError &Error) {
        if (!Error && Round == Self->m_GuardRound && !Self->m_Gone)
          Self->guardFired();
      });
}

void CallerConnection::guardFired() {
  if (m_Reader.started() && !m_Reader.headDone()) {
    PendingRequestPtr Late(new PendingRequest);
    Late->m_HeadLate = true;
    m_Queue.push_back(Late);
    m_Arrived.notify();
    return;
  }
  abort();
}

bool CallerConnection::parse() {
  while (!m_In.empty()) {
    bool HadHead = m_Reader.headDone();
    m_In.erase(0, m_Reader.feed(m_In));
    bool Faulty = m_Reader.fault() != HttpFault::None;
    if (!HadHead && (m_Reader.headDone() || Faulty)) {
      m_Arriving = new PendingRequest;
      m_Arriving->m_Head = m_Reader.head();
      m_Arriving->m_ArrivedAt = steadyNow();
      m_Queue.push_back(m_Arriving);
      m_Arrived.notify();
      m_Turn.notify();
    }
    if (m_Arriving) {
      m_Arriving->m_Body += m_Reader.body();
      m_Reader.body().clear();
      m_Arriving->m_Fault = m_Reader.fault();
      m_Arriving->m_Complete = m_Reader.done();
      m_BodyChanged.notify();
    }
    if (Faulty)
      return false;
    if (!m_Reader.done())
      return true;
    m_Arriving.reset();
    m_Reader.next();
  }
  return true;
}

awaitable<void> CallerConnection::readLoop() {
  CallerConnectionPtr Self(this);
  char Piece[ReadPiece];
  bool Parsing = true;
  armGuard();
  while (!m_Gone) {
    bool Ahead = m_Queue.size() >= MostQueued ||
                 (m_Arriving && m_Arriving->m_Body.size() >= MostReadAhead);
    if (Ahead && !m_Ended) {
      co_await m_Taken.wait();
      continue;
    }
    NetError Error;
    std::size_t Got =
        co_await m_Socket.async_read_some(asio::buffer(Piece), noThrow(Error));
    if (Error) {
      noteGone();
      break;
    }
    // What follows an answer that closes the connection is thrown away.
    if (!Parsing || m_Ended)
      continue;
    m_In.append(Piece, Got);
    Parsing = parse();
    armGuard();
  }
}

void CallerConnection::startHandlers() {
  std::size_t Running = 0;
  for (const PendingRequestPtr &One : m_Queue) {
    if (Running == MostAtATime)
      return;
    ++Running;
    if (!One->m_Started) {
      if (m_CloseAnnounced)
        return;
      One->m_Started = true;
      asio::co_spawn(
          m_Io,
          [Self = CallerConnectionPtr(this), One]() {
            return Self->handle(One);
          },
          asio::detached);
    }
    // Nothing behind such a request will be answered.
    if (!One->m_Head.m_KeepAlive || One->m_HeadLate ||
        One->m_Fault != HttpFault::None)
      return;
  }
}

awaitable<void> CallerConnection::handle(PendingRequestPtr Request) {
  Request->m_Keep = co_await m_Serve(CallerConnectionPtr(this), Request);
  Request->m_WhenGone = nullptr;
  Request->m_Done = true;
  m_Turn.notify();
}

awaitable<void> CallerConnection::serveLoop() {
  CallerConnectionPtr Self(this);
  bool Keep = true;
  while (Keep && !m_Gone) {
    if (m_Queue.empty()) {
      co_await m_Arrived.wait();
      continue;
    }
    startHandlers();
    PendingRequestPtr First = m_Queue.front();
    if (!First->m_Done) {
      co_await m_Turn.wait();
      continue;
    }
    Keep = First->m_Keep && First->m_Complete;
    if (!Keep)
      break;
    m_Queue.pop_front();
    m_Taken.notify();
    m_Turn.notify();
    armGuard();
  }
  m_Ended = true;
  cancelHandlers();
  if (!m_Gone)
    co_await closeGently();
  NetError Ignored;
  m_Socket.close(Ignored);
  noteGone();
}

awaitable<void> CallerConnection::closeGently() {
  m_Taken.notify();
  NetError Ignored;
  m_Socket.shutdown(Tcp::socket::shutdown_send, Ignored);
  // The read loop throws away what still comes, so that no reset destroys
  // the answer on its way.
  CloseTimer Timer(m_Io);
  Timer.arm(m_Socket, steadyNow() + GentleClose);
  while (!m_Gone)
    co_await m_BodyChanged.wait();
}

} // namespace mustardspoke::steer
