/// \file
/// A gateway's request path over real sockets on loopback, with scripted
/// upstreams.
#pragma once

#include "gateway/exchange.h"
#include "gateway/http_client.h"
#include "support/server_side.h"

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mustardspoke::test {

/// \brief Behaviour of an upstream on each of its connections.
using Script = std::function<steer::awaitable<void>(ServerSide &)>;

/// \brief Bytes that a caller sends some time after those before them.
struct TimedBytes {
  Duration m_Delay;
  std::string m_Bytes;
};

/// \brief Requests on the routes of ExchangeRig. \p ExtraFields holds further
/// header lines with their line ends.
[[nodiscard]] std::string safeRequest(const std::string &Id,
                                      const std::string &ExtraFields = "");
[[nodiscard]] std::string unsafeRequest(const std::string &Id,
                                        const std::string &ExtraFields = "");

/// \brief A gateway with the routes "/safe/", "/unsafe/", "/download/" and
/// "/upload/", scripted upstreams and callers, all on one event loop.
class ExchangeRig {
public:
  explicit ExchangeRig(
      const steer::GatewaySettings &Settings = steer::GatewaySettings());

  /// \brief Adds an upstream that runs \p Behaviour on every connection.
  void upstream(const std::string &Id, const Script &Behaviour,
                const std::string &Service = "s");
  /// \brief Ends an upstream like a crash of its process: its connections close
  /// and new ones are refused. It stays registered.
  void crashUpstream(const std::string &Id);
  /// \brief See test::useSmallSegments(); for connections to \p Id.
  void useSmallSegments(const std::string &Id);

  /// \brief Starts a caller that sends \p Text and reads \p Count responses.
  /// \param CloseAfter If set, the caller closes its connection after this
  /// time.
  void caller(std::string Text, std::size_t Count,
              std::vector<steer::HttpResponse> &Responses,
              std::optional<Duration> CloseAfter = std::nullopt);
  void caller(std::vector<TimedBytes> Parts, std::size_t Count,
              std::vector<steer::HttpResponse> &Responses,
              std::optional<Duration> CloseAfter = std::nullopt);

  /// \brief Has requests served with another state, which outlives the rig's
  /// use.
  void serveWith(steer::GatewayState &State) { m_Serving = &State; }
  /// \brief Where callers connect.
  [[nodiscard]] steer::Tcp::endpoint callerAddress() const {
    return m_Callers.local_endpoint();
  }
  /// \brief Callers that still wait for responses.
  [[nodiscard]] unsigned pendingCallers() const { return m_PendingCallers; }
  /// \brief Runs the event loop until all callers are done.
  void run();
  /// \brief Sends one request over its own connection. \returns The response.
  [[nodiscard]] steer::HttpResponse ask(const std::string &Text);
  [[nodiscard]] steer::HttpResponse ask(std::vector<TimedBytes> Parts);

  steer::asio::io_context m_Io;
  steer::GatewayState m_State;
  steer::UpstreamPool m_Pool;

private:
  steer::awaitable<bool> serve(steer::CallerConnectionPtr Caller,
                               steer::PendingRequestPtr Request);
  steer::awaitable<void>
  call(std::shared_ptr<const std::vector<TimedBytes>> Parts, std::size_t Count,
       std::vector<steer::HttpResponse> &Responses,
       std::optional<Duration> CloseAfter);

  struct RunningUpstream {
    std::string m_Id;
    steer::Tcp::acceptor m_Acceptor;
    std::vector<std::weak_ptr<ServerSide>> m_Connections;
  };

  steer::GatewayState *m_Serving = &m_State;
  steer::Tcp::acceptor m_Callers;
  std::list<RunningUpstream> m_Upstreams;
  unsigned m_PendingCallers = 0;
};

/// \brief Calls a server that runs \p Behaviour, with the client of the store.
[[nodiscard]] steer::HttpResponse callStore(const Script &Behaviour,
                                            std::string Body = "");

} // namespace mustardspoke::test
