/// \file
/// HTTP client that keeps one connection open.
#pragma once

#include "gateway/http_message.h"
#include "gateway/net.h"

namespace mustardspoke::steer {

struct HttpResponse {
  NetError m_Error;       ///< No response if set.
  bool m_WasSent = false; ///< The server may have received the request.
  HttpHead m_Head;
  std::string m_Body;
};

/// \brief Keeps one connection to one server open between calls.
///
/// \details One call at a time. A call without a response aborts the
/// connection: a late response isn't taken for that of the next call.
class HttpClientConnection {
public:
  /// \brief Who ends the connection if the server vanishes.
  enum class Watch : std::uint8_t {
    System,   ///< While a response is awaited, too.
    Timeouts, ///< The timeouts of calls only: a call that is given up isn't
              ///< carried out later.
  };

  HttpClientConnection(asio::io_context &Io, std::string Address,
                       Duration DeadPeerTimeout, Watch Watched = Watch::System);

  /// \brief Sends one request and reads the whole response.
  /// \param Fields Of the request, besides those that the connection and the
  /// body need.
  awaitable<HttpResponse> call(std::string Method, std::string Target,
                               std::string Body, Duration Timeout,
                               std::vector<HttpField> Fields = {});
  void close();

private:
  awaitable<NetError> connect();

  asio::io_context &m_Io;
  std::string m_Address;
  Duration m_DeadPeerTimeout; ///< Time without acknowledgement after which the
                              ///< connection counts as dead.
  Watch m_Watch;
  Tcp::socket m_Socket;
  CloseTimer m_Timer;
};

} // namespace mustardspoke::steer
