/// \file
/// A client connection for plain request and answer exchanges.
#pragma once

#include "gateway/http_message.h"
#include "gateway/net.h"

namespace mustardspoke::steer {

struct HttpReply {
  NetError m_Error; ///< No answer if set.
  HttpHead m_Head;
  std::string m_Body;
};

/// \brief Keeps one connection to one server open between calls.
///
/// \details One call at a time. After a call without an answer the connection
/// is closed, so that a late answer can't be taken for the next one.
class HttpCaller {
public:
  HttpCaller(asio::io_context &Io, std::string Address, Duration Silence);

  /// \brief Sends one request and reads the whole answer.
  awaitable<HttpReply> call(std::string Method, std::string Target,
                            std::string Body, Duration Within);
  void close();

private:
  awaitable<NetError> connect();

  asio::io_context &m_Io;
  std::string m_Address;
  Duration m_Silence; ///< Unacknowledged time after which a link is dead.
  Tcp::socket m_Socket;
  CloseTimer m_Timer;
};

} // namespace mustardspoke::steer
