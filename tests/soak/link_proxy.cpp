/// \file
/// Forwarding, holding back and resetting of proxied connections.
#include "soak/link_proxy.h"

#include "support/server_side.h"

#include <boost/asio/write.hpp>

#include <linux/filter.h>
#include <sys/socket.h>
#include <system_error>

namespace mustardspoke::soak {

using namespace steer;

namespace {

constexpr Duration ChunkDelay = 80ms;
constexpr Duration PollInterval = 5ms; ///< Between two checks of the mode.

} // namespace

LinkProxy::LinkProxy(asio::io_context &Io, const std::string &Listen,
                     std::string Target)
    : m_Io(Io), m_Acceptor(Io, parseEndpoint<Tcp>(Listen).value()),
      m_Target(std::move(Target)) {
  test::acceptEach(m_Io, m_Acceptor,
                   [this](Tcp::socket Caller) { accept(std::move(Caller)); });
}

void LinkProxy::reset(Tcp::socket &Socket) {
  NetError Ignored;
  Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
  Socket.close(Ignored);
}

void LinkProxy::setMode(LinkMode Mode) {
  m_Mode = Mode;
  std::erase_if(m_Connections,
                [](const auto &Entry) { return Entry.expired(); });
  if (Mode != LinkMode::Reset)
    return;
  for (const std::weak_ptr<ConnectionPair> &Entry : m_Connections)
    if (ConnectionPairPtr Connection = Entry.lock()) {
      reset(Connection->m_CallerSocket);
      reset(Connection->m_ServerSocket);
    }
}

CutForm LinkProxy::cutOf(const std::string &CallerIp) const {
  auto Found = m_Cuts.find(CallerIp);
  return Found == m_Cuts.end() ? CutForm::None : Found->second;
}

void LinkProxy::dropPackets(Tcp::socket::native_handle_type Socket) const {
  constexpr std::uint32_t SourceAddress = SKF_NET_OFF + 12; // Of an IP packet.
  std::vector<sock_filter> Program{
      BPF_STMT(BPF_LD | BPF_W | BPF_ABS, SourceAddress)};
  for (const auto &[Ip, Form] : m_Cuts) {
    if (Form != CutForm::Hang)
      continue;
    std::uint32_t Address = asio::ip::make_address_v4(Ip).to_uint();
    Program.push_back(BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, Address, 0, 1));
    Program.push_back(BPF_STMT(BPF_RET | BPF_K, 0));
  }
  Program.push_back(BPF_STMT(BPF_RET | BPF_K, ~0U));
  sock_fprog Attached{static_cast<unsigned short>(Program.size()),
                      Program.data()};
  if (::setsockopt(Socket, SOL_SOCKET, SO_ATTACH_FILTER, &Attached,
                   sizeof Attached) != 0)
    throw std::system_error(errno, std::generic_category(), "SO_ATTACH_FILTER");
}

void LinkProxy::setCut(const std::string &CallerIp, CutForm Form) {
  CutForm Before = std::exchange(m_Cuts[CallerIp], Form);
  if (Form == CutForm::Hang || Before == CutForm::Hang)
    dropPackets(m_Acceptor.native_handle());
  for (const std::weak_ptr<ConnectionPair> &Entry : m_Connections) {
    ConnectionPairPtr Connection = Entry.lock();
    if (!Connection || Connection->m_CallerIp != CallerIp ||
        !Connection->m_CallerSocket.is_open())
      continue;
    if (Form == CutForm::Reset) {
      reset(Connection->m_CallerSocket);
      reset(Connection->m_ServerSocket);
    } else if (Form == CutForm::Hang || Before == CutForm::Hang) {
      dropPackets(Connection->m_CallerSocket.native_handle());
    }
  }
}

void LinkProxy::accept(Tcp::socket Caller) {
  NetError Error;
  std::string CallerIp = Caller.remote_endpoint(Error).address().to_string();
  CutForm Cut = cutOf(CallerIp);
  if (Error || m_Mode == LinkMode::Reset || Cut == CutForm::Reset ||
      Cut == CutForm::RefuseNew)
    return reset(Caller);
  auto Connection = std::make_shared<ConnectionPair>(
      ConnectionPair{std::move(Caller), Tcp::socket(m_Io), CallerIp});
  m_Connections.push_back(Connection);
  test::spawn(m_Io,
              [this, Connection]() { return connectAndForward(Connection); });
}

awaitable<void> LinkProxy::connectAndForward(ConnectionPairPtr Connection) {
  NetError Error;
  co_await Connection->m_ServerSocket.async_connect(
      parseEndpoint<Tcp>(m_Target).value(), noThrow(Error));
  if (Error) {
    reset(Connection->m_CallerSocket);
    co_return;
  }
  for (bool ToCaller : {false, true})
    test::spawn(m_Io, [this, Connection, ToCaller]() {
      return forward(Connection, ToCaller);
    });
}

awaitable<void> LinkProxy::waitWhileStalled(const ConnectionPair &Connection,
                                            bool ToCaller) {
  LinkMode Stalled =
      ToCaller ? LinkMode::StallAnswers : LinkMode::StallRequests;
  while ((m_Mode == Stalled || m_Mode == LinkMode::StallAll ||
          cutOf(Connection.m_CallerIp) == CutForm::Hang) &&
         Connection.m_CallerSocket.is_open())
    co_await steer::sleepFor(m_Io, PollInterval);
}

bool LinkProxy::wasAborted(Tcp::socket &Socket) {
  int Error = 0;
  socklen_t Size = sizeof Error;
  return ::getsockopt(Socket.native_handle(), SOL_SOCKET, SO_ERROR, &Error,
                      &Size) != 0 ||
         Error != 0;
}

awaitable<void> LinkProxy::forward(ConnectionPairPtr Connection,
                                   bool ToCaller) {
  Tcp::socket &From =
      ToCaller ? Connection->m_ServerSocket : Connection->m_CallerSocket;
  Tcp::socket &To =
      ToCaller ? Connection->m_CallerSocket : Connection->m_ServerSocket;
  char Chunk[16384];
  NetError Error;
  while (!Error) {
    std::size_t Got =
        co_await From.async_read_some(asio::buffer(Chunk), noThrow(Error));
    co_await waitWhileStalled(*Connection, ToCaller);
    if (wasAborted(From) && !m_DeliversAborted)
      break;
    if (m_Mode == LinkMode::Delay)
      co_await steer::sleepFor(m_Io, ChunkDelay);
    NetError Lost;
    if (Got > 0)
      co_await asio::async_write(To, asio::buffer(Chunk, Got), noThrow(Lost));
    if (Lost)
      Error = Lost;
  }
  if (Error == asio::error::eof) {
    NetError Ignored;
    To.shutdown(Tcp::socket::shutdown_send, Ignored);
    // The other direction continues until it ends by itself, unless the caller
    // closed the connection.
    if (!ToCaller)
      Connection->m_ServerSocket.close(Ignored);
    co_return;
  }
  if (m_DeliversAborted)
    co_await steer::sleepFor(m_Io, ChunkDelay); // A reset overtakes data.
  reset(From);
  reset(To);
}

} // namespace mustardspoke::soak
