/// \file
/// The server's end of one HTTP connection, for scripted upstreams and for
/// stand-ins in the test process.
#pragma once

#include "gateway/http_message.h"
#include "gateway/net.h"

#include <functional>
#include <string>

namespace mustardspoke::test {

/// \brief Starts a coroutine; its exceptions leave the event loop's run().
void spawn(steer::asio::io_context &Io,
           std::function<steer::awaitable<void>()> Coroutine);

/// \brief Accepts connections and passes each to \p OnConnection, until
/// \p Acceptor closes.
void acceptEach(steer::asio::io_context &Io, steer::Tcp::acceptor &Acceptor,
                std::function<void(steer::Tcp::socket)> OnConnection);

/// \brief Has a socket, or those that a listening one accepts, use small
/// segments: the system then buffers little, as on a real link.
void useSmallSegments(int Fd);

/// \brief This process's socket that is bound to \p Address, or -1.
[[nodiscard]] int socketAt(const steer::Tcp::endpoint &Address);

/// \brief Reads requests one by one and writes responses.
class ServerSide {
public:
  ServerSide(steer::asio::io_context &Io, steer::Tcp::socket Socket);

  /// \returns The next request's identifier, "none" if it has none, or an empty
  /// string at the end of the connection.
  steer::awaitable<std::string> readRequest();
  /// \brief The same without the body, which readMore() reads on.
  steer::awaitable<std::string> readHead();
  /// \brief Reads more of the request.
  /// \returns False at the end of the connection or of the request.
  steer::awaitable<bool> readMore();
  [[nodiscard]] bool requestIsComplete() const { return m_Parser.done(); }
  /// \brief Bytes that the system receives for this side, at most.
  void setWindow(int Bytes);
  [[nodiscard]] const steer::HttpHead &head() const { return m_Parser.head(); }
  /// \brief The value of a request's field, or an empty string.
  [[nodiscard]] std::string field(std::string_view Name) const;
  [[nodiscard]] const std::string &body() { return m_Parser.body(); }

  /// \brief Sends a signed response with status 200. \p ExtraFields holds
  /// further header lines with their line ends.
  steer::awaitable<void> respond(std::string Id, std::string Body,
                                 std::string ExtraFields = "");
  steer::awaitable<void> sendRaw(std::string Bytes);
  steer::awaitable<void> sleep(Duration Span) {
    return steer::sleepFor(m_Io, Span);
  }

  /// \brief Ends the stream in order; requests may still be read.
  void shutdownSend();
  void close();
  /// \brief Closes with a reset instead of an orderly end.
  void reset();
  /// \brief Whether the other side has closed the connection.
  [[nodiscard]] bool peerClosed();
  [[nodiscard]] steer::Tcp::endpoint otherEnd() const;

private:
  steer::asio::io_context &m_Io;
  steer::Tcp::socket m_Socket;
  steer::HttpParser m_Parser;
  std::string m_Input;
};

} // namespace mustardspoke::test
