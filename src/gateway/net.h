/// \file
/// Sockets, clock and coroutine helpers of the gateway.
#pragma once

#include "core/time.h"

// Included before Asio, whose coroutine header uses std::exchange without
// including it.
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace mustardspoke::steer {

namespace asio = boost::asio;
using asio::awaitable;
using NetError = boost::system::error_code;
using Tcp = asio::ip::tcp;
using Udp = asio::ip::udp;

/// \brief Completion token that stores errors in \p Error instead of throwing.
inline auto noThrow(NetError &Error) {
  return asio::redirect_error(asio::use_awaitable, Error);
}

/// \brief Current time of the steady clock, in the type that the decision
/// modules use.
[[nodiscard]] inline TimePoint steadyNow() {
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

[[nodiscard]] inline std::chrono::steady_clock::time_point
toSteady(TimePoint Time) {
  return std::chrono::steady_clock::time_point(Time.time_since_epoch());
}

/// \returns Nothing unless \p Text is a decimal number from 1 to 65535.
[[nodiscard]] std::optional<unsigned short> parsePort(std::string_view Text);

/// \brief Parses "IP:port".
template <class Protocol>
[[nodiscard]] std::optional<typename Protocol::endpoint>
parseEndpoint(const std::string &Address) {
  std::size_t Colon = Address.rfind(':');
  // The parser of IPs would ignore what follows a null character.
  if (Colon == std::string::npos || Address.find('\0') != std::string::npos)
    return std::nullopt;
  NetError Error;
  auto Ip = asio::ip::make_address(Address.substr(0, Colon), Error);
  auto Port = parsePort(std::string_view(Address).substr(Colon + 1));
  if (Error || !Port)
    return std::nullopt;
  return typename Protocol::endpoint(Ip, *Port);
}

/// The system ends a connection once a keep-alive probe is unanswered and the
/// last packet of the other side is older than the unacknowledged timeout,
/// whatever the number of probes. Probes are sent after one and two seconds: a
/// lost one must not end a connection whose answer takes its time.
inline constexpr Duration MinUnacknowledgedTimeout = 2500ms;

/// \brief Makes the system end a connection without undelivered bytes when the
/// other side vanishes: after an idle second, it sends a probe each second; two
/// in a row must be unanswered.
/// \details Such an end doesn't withdraw what was sent: it may still be
/// delivered when the network recovers. Only a reset does (setAbortOnClose()).
/// A connection that may carry a request that must not be delivered late is
/// therefore not watched, nor is one reused after it was: some systems decide
/// at the loss of the link.
void enableKeepAlive(Tcp::socket &Socket);
/// Time in which keep-alive probes find that the other side has vanished.
inline constexpr Duration KeepAliveTime = 3s;

/// \brief Enables keep-alive probes, and limits the time that sent bytes may
/// stay unacknowledged.
/// \param UnacknowledgedTimeout At least MinUnacknowledgedTimeout.
void enableDeadPeerDetection(Tcp::socket &Socket,
                             Duration UnacknowledgedTimeout);

/// \brief Number of sent bytes that the other side has not acknowledged.
/// \returns Nothing if the system doesn't tell.
[[nodiscard]] std::optional<std::size_t>
unacknowledgedBytes(Tcp::socket &Socket);

/// \brief Selects what a close does to sent bytes that haven't arrived yet.
/// \param Abort True: they are discarded and the connection is reset, also when
/// the process ends. False, as for a new socket: the system keeps sending them
/// after the close.
void setAbortOnClose(Tcp::socket &Socket, bool Abort);

/// \brief Whether opening a connection failed for lack of a resource of this
/// VM, which is no fault of the other side.
[[nodiscard]] bool isLocalShortage(const NetError &Error);

/// \brief Suspends the coroutine for \p Span, by the event loop's clock.
awaitable<void> sleepFor(asio::io_context &Io, Duration Span);

/// \brief Wakes coroutines that wait for a change of state.
class Notifier {
public:
  explicit Notifier(asio::io_context &Io)
      : m_Timer(Io, asio::steady_timer::time_point::max()) {}
  void notify() { m_Timer.cancel(); }
  awaitable<void> wait() {
    NetError Ignored;
    co_await m_Timer.async_wait(noThrow(Ignored));
  }

private:
  asio::steady_timer m_Timer;
};

/// \brief Closes a socket at a given time unless it is disarmed before.
class CloseTimer {
public:
  CloseTimer(asio::io_context &Io) : m_Timer(Io) {}
  ~CloseTimer() { disarm(); }
  CloseTimer(const CloseTimer &) = delete;
  CloseTimer &operator=(const CloseTimer &) = delete;

  void arm(Tcp::socket &Target, TimePoint Time);
  void disarm();
  [[nodiscard]] bool fired() const { return m_State && m_State->m_Fired; }

private:
  struct State {
    Tcp::socket *m_Target = nullptr; ///< Null once disarmed.
    bool m_Fired = false;
  };
  asio::steady_timer m_Timer;
  std::shared_ptr<State> m_State;
};

/// \brief What a read from a socket would return now: nothing yet, bytes, or
/// the end of the stream. Reads nothing.
enum class PeekResult : std::uint8_t { Nothing, Bytes, Closed };
[[nodiscard]] PeekResult peek(Tcp::socket &Socket);

} // namespace mustardspoke::steer
