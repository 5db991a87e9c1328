/// \file
/// Opening, reusing and closing connections.
#include "gateway/upstream_pool.h"

#include <algorithm>

namespace mustardspoke::steer {
namespace {

constexpr std::size_t MaxIdlePerTarget = 16;
/// Well below the time after which the peer closes its end.
constexpr Duration PeerIdleTimeout = 2s;

} // namespace

UpstreamConnection::~UpstreamConnection() {
  if (!m_Socket.is_open())
    return;
  if (!m_RequestUnanswered)
    setAbortOnClose(m_Socket, false);
  // Not left to the socket's destructor, which never aborts.
  NetError Ignored;
  m_Socket.close(Ignored);
}

void UpstreamConnection::watchPeer() {
  m_PeerIsWatched = true;
  enableKeepAlive(m_Socket);
}

awaitable<NetError> UpstreamConnection::write(std::string_view Bytes) {
  UpstreamConnectionPtr Self(this);
  while (!Bytes.empty() && !m_WriteError) {
    NetError Error;
    // Not an asynchronous write: its error would reach this function only after
    // other handlers, among them that of a read which the error was kept from.
    if (!m_Socket.non_blocking())
      m_Socket.non_blocking(true, Error);
    if (!Error)
      Bytes.remove_prefix(
          m_Socket.write_some(asio::buffer(Bytes.data(), Bytes.size()), Error));
    if (Error == asio::error::would_block)
      co_await m_Socket.async_wait(Tcp::socket::wait_write, noThrow(Error));
    if (Error && Error != asio::error::interrupted)
      m_WriteError = Error;
  }
  co_return m_WriteError;
}

awaitable<std::size_t> UpstreamConnection::read(std::span<char> Buffer,
                                                NetError &Error) {
  UpstreamConnectionPtr Self(this);
  std::size_t BytesRead = co_await m_Socket.async_read_some(
      asio::buffer(Buffer.data(), Buffer.size()), noThrow(Error));
  // After an orderly end of the stream, a reset fails writes with EPIPE
  // instead: the upstream has closed without reading all of the request.
  bool BrokeOff = m_WriteError && m_WriteError != asio::error::broken_pipe;
  if (Error == asio::error::eof && BrokeOff)
    Error = m_WriteError;
  co_return BytesRead;
}

bool UpstreamConnection::maySend(std::uint64_t RequestHash) const {
  return std::ranges::find(m_Refused, RequestHash) == m_Refused.end();
}

UpstreamConnectionPtr UpstreamPool::take(Connections &Idle, TimePoint Now,
                                         Duration MaxIdle,
                                         std::uint64_t RequestHash) {
  for (std::size_t I = Idle.size(); I-- > 0;) {
    if (!Idle[I]->maySend(RequestHash))
      continue;
    UpstreamConnectionPtr Connection = std::move(Idle[I]);
    Idle.erase(Idle.begin() + std::ptrdiff_t(I));
    Duration IdleTime = Now - Connection->m_IdleSince;
    if (IdleTime < std::min(Connection->m_IdleTimeout, MaxIdle) &&
        peek(Connection->m_Socket) == PeekResult::Nothing)
      return Connection;
  }
  return nullptr;
}

void UpstreamPool::put(Connections &Idle, UpstreamConnectionPtr Connection,
                       TimePoint Now) {
  if (!Connection->isReusable())
    return;
  if (Idle.size() >= MaxIdlePerTarget)
    Idle.erase(Idle.begin());
  Connection->m_IdleSince = Now;
  Connection->m_Reused = true;
  Idle.push_back(std::move(Connection));
}

UpstreamConnectionPtr UpstreamPool::acquire(const Upstream &Target,
                                            TimePoint Now, Duration MaxIdle,
                                            std::uint64_t RequestHash) {
  auto Found = m_Idle.find(&Target);
  return Found == m_Idle.end() ? nullptr
                               : take(Found->second, Now, MaxIdle, RequestHash);
}

UpstreamConnectionPtr UpstreamPool::acquire(const VmName &Peer, TimePoint Now,
                                            std::uint64_t RequestHash) {
  auto Found = m_IdleToPeers.find(Peer);
  return Found == m_IdleToPeers.end()
             ? nullptr
             : take(Found->second, Now, Duration::max(), RequestHash);
}

awaitable<UpstreamConnectionPtr>
UpstreamPool::connect(std::string Address, Duration Timeout, NetError &Error) {
  auto Endpoint = parseEndpoint<Tcp>(Address);
  UpstreamConnectionPtr Connection(new UpstreamConnection(m_Io));
  Error = {};
  if (!Endpoint)
    Error = asio::error::make_error_code(asio::error::host_not_found);
  else
    Connection->m_Socket.open(Endpoint->protocol(), Error);
  if (!Error && !m_SourceIp.empty())
    Connection->m_Socket.bind({asio::ip::make_address(m_SourceIp, Error), 0},
                              Error);
  if (Error)
    co_return nullptr;
  Connection->m_Socket.set_option(Tcp::no_delay(true), Error);
  setAbortOnClose(Connection->m_Socket, true);
  CloseTimer Timer(m_Io);
  Timer.arm(Connection->m_Socket, steadyNow() + Timeout);
  co_await Connection->m_Socket.async_connect(*Endpoint, noThrow(Error));
  bool TimedOut = Timer.fired();
  Timer.disarm();
  if (TimedOut)
    Error = asio::error::make_error_code(asio::error::timed_out);
  if (Error)
    co_return nullptr;
  co_return Connection;
}

awaitable<UpstreamConnectionPtr>
UpstreamPool::open(UpstreamPtr Target, Duration Timeout, NetError &Error) {
  TimePoint Began = steadyNow();
  UpstreamConnectionPtr Connection =
      co_await connect(Target->m_Registration.m_Address, Timeout, Error);
  if (Connection)
    Target->recordConnect(steadyNow() - Began);
  co_return Connection;
}

awaitable<UpstreamConnectionPtr> UpstreamPool::open(VmName Peer,
                                                    std::string Address,
                                                    Duration Timeout,
                                                    NetError &Error) {
  UpstreamConnectionPtr Connection =
      co_await connect(std::move(Address), Timeout, Error);
  if (Connection) {
    Connection->m_Peer = std::move(Peer);
    Connection->m_IdleTimeout = PeerIdleTimeout;
  }
  co_return Connection;
}

void UpstreamPool::release(const Upstream &Target,
                           UpstreamConnectionPtr Connection, TimePoint Now) {
  if (Target.isUsable())
    put(m_Idle[&Target], std::move(Connection), Now);
}

void UpstreamPool::release(UpstreamConnectionPtr Connection, TimePoint Now) {
  Connections &Idle = m_IdleToPeers[Connection->m_Peer];
  put(Idle, std::move(Connection), Now);
}

template <class Key>
void UpstreamPool::closeExpired(std::map<Key, Connections> &Idle,
                                TimePoint Now) {
  for (auto &[Target, Each] : Idle)
    std::erase_if(Each, [Now](const UpstreamConnectionPtr &Connection) {
      return Now - Connection->m_IdleSince > Connection->m_IdleTimeout ||
             peek(Connection->m_Socket) != PeekResult::Nothing;
    });
  std::erase_if(Idle, [](const auto &Entry) { return Entry.second.empty(); });
}

void UpstreamPool::closeExpired(TimePoint Now) {
  closeExpired(m_Idle, Now);
  closeExpired(m_IdleToPeers, Now);
}

} // namespace mustardspoke::steer
