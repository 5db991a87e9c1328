/// \file
/// Callers that send bytes without end, or don't read their answers.
#include "soak/flooding_callers.h"

#include "support/server_side.h"

#include <boost/asio/write.hpp>

namespace mustardspoke::soak {

using namespace steer;

namespace {

constexpr std::size_t PieceBytes = 64 << 10;
constexpr Duration PieceInterval = 1ms;
constexpr unsigned AnswerBytes = 500000;
/// The upstreams have slots for so many requests.
constexpr Duration RequestInterval = 4ms;

} // namespace

awaitable<void> FloodingCallers::send(test::Flood Plan, unsigned Vm,
                                      Duration Length) {
  Tcp::socket Socket(m_Io);
  NetError Error;
  co_await Socket.async_connect(
      parseEndpoint<Tcp>(m_Vms[Vm].m_CallerAddress).value(), noThrow(Error));
  std::string Piece = Plan.m_Begin;
  for (TimePoint End = steadyNow() + Length; !Error && steadyNow() < End;) {
    co_await asio::async_write(Socket, asio::buffer(Piece), noThrow(Error));
    Piece = Plan.piece(PieceBytes);
    co_await sleepFor(m_Io, PieceInterval);
  }
}

awaitable<void> FloodingCallers::leaveUnread(unsigned Count, unsigned Vm,
                                             Duration Length) {
  auto Address = parseEndpoint<Tcp>(m_Vms[Vm].m_CallerAddress).value();
  std::list<Tcp::socket> Sockets;
  for (unsigned I = 0; I < Count; ++I) {
    Tcp::socket &Socket = Sockets.emplace_back(m_Io);
    NetError Error;
    Socket.open(Address.protocol());
    test::useSmallSegments(Socket.native_handle());
    co_await Socket.async_connect(Address, noThrow(Error));
    Attempt Sent;
    Sent.m_Id = "unread-" + std::to_string(m_Observed.m_Attempts.size());
    Sent.m_Vm = Vm;
    Sent.m_SentAt = steadyNow();
    Sent.m_EndedAt = Sent.m_SentAt + Length;
    Sent.m_Outcome = AttemptOutcome::Abandoned;
    m_Observed.m_Attempts.push_back(Sent);
    std::string Request = "GET /read/x HTTP/1.1\r\nHost: soak.example\r\n"
                          "X-Request-Id: " +
                          Sent.m_Id + "\r\n" + std::string(AnswerBytesField) +
                          ": " + std::to_string(AnswerBytes) + "\r\n\r\n";
    co_await asio::async_write(Socket, asio::buffer(Request), noThrow(Error));
    co_await sleepFor(m_Io, RequestInterval);
  }
  co_await sleepFor(m_Io, Length);
}

} // namespace mustardspoke::soak
