/// \file
/// A server for blocking clients, which sends any bytes.
#pragma once

#include "gateway/net.h"

#include <boost/asio/write.hpp>

#include <atomic>
#include <functional>
#include <string>
#include <thread>

namespace mustardspoke::test {

/// \brief Serves connections in a thread of its own, one after the other.
class RawServer {
public:
  using Script = std::function<void(steer::Tcp::socket &)>;
  static constexpr std::size_t MaxFirstRead = 4096; // bytes

  explicit RawServer(Script Behaviour)
      : m_Thread([this, Behaviour = std::move(Behaviour)] {
          steer::NetError Error;
          while (!Error) {
            steer::Tcp::socket Socket = m_Acceptor.accept(Error);
            if (m_Stops)
              return;
            if (!Error)
              Behaviour(Socket);
          }
        }) {}
  /// \brief Answers with \p Bytes and ends the stream in order.
  explicit RawServer(std::string Bytes)
      : RawServer([Bytes = std::move(Bytes)](steer::Tcp::socket &Socket) {
          answer(Socket, Bytes);
        }) {}
  ~RawServer() {
    m_Stops = true;
    // Ends accept().
    steer::NetError Ignored;
    steer::Tcp::socket(m_Io).connect(m_Acceptor.local_endpoint(), Ignored);
  }

  /// \brief Reads a part of a request, MaxFirstRead bytes at most, and sends
  /// \p Bytes.
  static void answer(steer::Tcp::socket &Socket, const std::string &Bytes) {
    char Request[MaxFirstRead];
    steer::NetError Ignored;
    (void)Socket.read_some(steer::asio::buffer(Request), Ignored);
    steer::asio::write(Socket, steer::asio::buffer(Bytes), Ignored);
  }
  static void reset(steer::Tcp::socket &Socket) {
    steer::NetError Ignored;
    Socket.set_option(steer::asio::socket_base::linger(true, 0), Ignored);
    Socket.close(Ignored);
  }

  [[nodiscard]] std::string address() const {
    return "127.0.0.1:" + std::to_string(m_Acceptor.local_endpoint().port());
  }
  [[nodiscard]] int listeningFd() { return m_Acceptor.native_handle(); }

private:
  std::atomic<bool> m_Stops = false;
  steer::asio::io_context m_Io;
  steer::Tcp::acceptor m_Acceptor{
      m_Io, {steer::asio::ip::make_address("127.0.0.1"), 0}};
  std::jthread m_Thread;
};

} // namespace mustardspoke::test
