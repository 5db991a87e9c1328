/// \file
/// Requests through real sockets on loopback, against scripted upstreams.
#pragma once

#include "gateway/exchange.h"
#include "gateway/http_call.h"
#include "support/server_side.h"

#include <functional>
#include <list>
#include <optional>
#include <vector>

namespace mustardspoke::test {

/// \brief What an upstream does on each of its connections.
using Script = std::function<steer::awaitable<void>(ServerSide &)>;

/// \brief A gateway with one route "/safe/" and one "/unsafe/", scripted
/// upstreams and callers, all on one loop.
class ExchangeRig {
public:
  ExchangeRig();

  /// \brief Adds an upstream; every connection runs \p Serve.
  void upstream(const std::string &Id, const Script &Serve);

  /// \brief Sends \p Text and reads until \p Answers answers have come.
  /// \param LeaveAfter Closes then, if set.
  void caller(const std::string &Text, std::size_t Answers,
              std::vector<steer::HttpReply> &Into,
              std::optional<Duration> LeaveAfter = std::nullopt);

  /// \brief Runs until all callers are done.
  void run();
  /// \brief One request by a caller of its own. \returns Its only answer.
  [[nodiscard]] steer::HttpReply ask(const std::string &Text);

  steer::asio::io_context m_Io;
  steer::GatewayState m_State;
  steer::UpstreamPool m_Pool;

private:
  steer::awaitable<bool> serve(steer::CallerConnectionPtr From,
                               steer::PendingRequestPtr Request);
  steer::awaitable<void> call(std::string Text, std::size_t Answers,
                              std::vector<steer::HttpReply> &Into,
                              std::optional<Duration> LeaveAfter);

  steer::Tcp::acceptor m_Callers;
  std::list<steer::Tcp::acceptor> m_Upstreams;
  unsigned m_Open = 0; ///< Callers that wait for answers.
};

} // namespace mustardspoke::test
