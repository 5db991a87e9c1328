/// \file
/// The server's side of one HTTP connection, for scripted upstreams and
/// stand-ins that live in the test's own process.
#pragma once

#include "gateway/http_message.h"
#include "gateway/net.h"

#include <functional>
#include <string>

namespace mustardspoke::test {

/// \brief Starts a coroutine; what it throws ends the loop's run().
void spawn(steer::asio::io_context &Io,
           std::function<steer::awaitable<void>()> What);

/// \brief Accepts connections and hands each to \p Serve, until \p On closes.
void acceptEach(steer::asio::io_context &Io, steer::Tcp::acceptor &On,
                std::function<void(steer::Tcp::socket)> Serve);

/// \brief Reads requests one by one and writes answers.
class ServerSide {
public:
  ServerSide(steer::asio::io_context &Io, steer::Tcp::socket Socket);

  /// \returns The next request's identifier, "none" if it has none, or an
  /// empty text at the connection's end.
  steer::awaitable<std::string> request();
  [[nodiscard]] const steer::HttpHead &head() const { return m_Reader.head(); }
  /// \brief A field of the request, or an empty text.
  [[nodiscard]] std::string field(std::string_view Name) const;
  [[nodiscard]] const std::string &body() { return m_Reader.body(); }

  /// \brief A signed success; \p More holds further fields with their ends.
  steer::awaitable<void> answer(std::string Id, std::string Body,
                                std::string More = "");
  steer::awaitable<void> raw(std::string Out);
  steer::awaitable<void> sleep(Duration Span) {
    return steer::sleepFor(m_Io, Span);
  }

  void close();
  /// \brief Closes with a reset instead of an orderly end.
  void reset();
  /// \brief Whether the other side has closed the connection.
  [[nodiscard]] bool left();

private:
  steer::asio::io_context &m_Io;
  steer::Tcp::socket m_Socket;
  steer::HttpReader m_Reader;
  std::string m_In;
};

} // namespace mustardspoke::test
