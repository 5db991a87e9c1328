/// \file
/// A gateway's request path over real sockets on loopback, with scripted
/// upstreams.
#pragma once

#include "gateway/exchange.h"
#include "gateway/http_client.h"
#include "support/server_side.h"

#include <functional>
#include <list>
#include <optional>
#include <vector>

namespace mustardspoke::test {

/// \brief Behaviour of an upstream on each of its connections.
using Script = std::function<steer::awaitable<void>(ServerSide &)>;

/// \brief A gateway with the routes "/safe/" and "/unsafe/", scripted upstreams
/// and callers, all on one event loop.
class ExchangeRig {
public:
  ExchangeRig();

  /// \brief Adds an upstream that runs \p Behaviour on every connection.
  void upstream(const std::string &Id, const Script &Behaviour);

  /// \brief Starts a caller that sends \p Text and reads \p Count responses.
  /// \param CloseAfter If set, the caller closes its connection after this
  /// time.
  void caller(const std::string &Text, std::size_t Count,
              std::vector<steer::HttpResponse> &Responses,
              std::optional<Duration> CloseAfter = std::nullopt);

  /// \brief Runs the event loop until all callers are done.
  void run();
  /// \brief Sends one request over its own connection. \returns The response.
  [[nodiscard]] steer::HttpResponse ask(const std::string &Text);

  steer::asio::io_context m_Io;
  steer::GatewayState m_State;
  steer::UpstreamPool m_Pool;

private:
  steer::awaitable<bool> serve(steer::CallerConnectionPtr Caller,
                               steer::PendingRequestPtr Request);
  steer::awaitable<void> call(std::string Text, std::size_t Count,
                              std::vector<steer::HttpResponse> &Responses,
                              std::optional<Duration> CloseAfter);

  steer::Tcp::acceptor m_Callers;
  std::list<steer::Tcp::acceptor> m_Upstreams;
  unsigned m_PendingCallers = 0; ///< Callers that still wait for responses.
};

} // namespace mustardspoke::test
