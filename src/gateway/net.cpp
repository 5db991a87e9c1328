/// \file
/// Socket options and timers.
#include "gateway/net.h"

#include <algorithm>
#include <charconv>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace mustardspoke::steer {

std::optional<unsigned short> parsePort(std::string_view Text) {
  unsigned short Port = 0;
  auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Port);
  bool IsNumber = Error == std::errc() && End == Text.data() + Text.size();
  return IsNumber && Port != 0 ? std::optional(Port) : std::nullopt;
}

void enableKeepAlive(Tcp::socket &Socket) {
  NetError Ignored;
  Socket.set_option(asio::socket_base::keep_alive(true), Ignored);
  int Fd = Socket.native_handle();
  // If the system lacks an option, its slower default applies.
  int Seconds = 1;
  int Probes = 2;
  (void)::setsockopt(Fd, IPPROTO_TCP, TCP_KEEPIDLE, &Seconds, sizeof Seconds);
  (void)::setsockopt(Fd, IPPROTO_TCP, TCP_KEEPINTVL, &Seconds, sizeof Seconds);
  (void)::setsockopt(Fd, IPPROTO_TCP, TCP_KEEPCNT, &Probes, sizeof Probes);
}

void enableDeadPeerDetection(Tcp::socket &Socket,
                             Duration UnacknowledgedTimeout) {
  NetError Ignored;
  Socket.set_option(Tcp::no_delay(true), Ignored);
  enableKeepAlive(Socket);
  unsigned Millis = unsigned(
      toMillis(std::max(UnacknowledgedTimeout, MinUnacknowledgedTimeout)));
  (void)::setsockopt(Socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
                     &Millis, sizeof Millis);
}

std::optional<std::size_t> unacknowledgedBytes(Tcp::socket &Socket) {
  int Count = 0;
  if (::ioctl(Socket.native_handle(), SIOCOUTQ, &Count) != 0)
    return std::nullopt;
  return std::size_t(std::max(Count, 0));
}

void setAbortOnClose(Tcp::socket &Socket, bool Abort) {
  NetError Ignored; // Fails only on a connection that has ended already.
  Socket.set_option(asio::socket_base::linger(Abort, 0), Ignored);
}

bool isLocalShortage(const NetError &Error) {
  return Error == std::errc::too_many_files_open ||
         Error == std::errc::too_many_files_open_in_system ||
         Error == std::errc::no_buffer_space ||
         Error == std::errc::not_enough_memory ||
         Error == std::errc::address_not_available;
}

awaitable<void> sleepFor(asio::io_context &Io, Duration Span) {
  asio::steady_timer Timer(Io, Span);
  NetError Ignored;
  co_await Timer.async_wait(noThrow(Ignored));
}

void CloseTimer::arm(Tcp::socket &Target, TimePoint Time) {
  disarm();
  m_State = std::make_shared<State>();
  m_State->m_Target = &Target;
  m_Timer.expires_at(toSteady(Time));
  m_Timer.async_wait([Armed = m_State](const NetError &Error) {
    if (Error || !Armed->m_Target)
      return;
    Armed->m_Fired = true;
    NetError Ignored;
    Armed->m_Target->close(Ignored);
  });
}

void CloseTimer::disarm() {
  if (m_State)
    m_State->m_Target = nullptr;
  m_Timer.cancel();
}

PeekResult peek(Tcp::socket &Socket) {
  char Byte = 0;
  ssize_t Got =
      ::recv(Socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (Got > 0)
    return PeekResult::Bytes;
  if (Got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
    return PeekResult::Nothing;
  return PeekResult::Closed;
}

} // namespace mustardspoke::steer
