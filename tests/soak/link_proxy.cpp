/// \file
/// Pumping, holding and resetting of proxied connections.
#include "soak/link_proxy.h"

#include "support/server_side.h"

#include <boost/asio/write.hpp>

namespace mustardspoke::soak {

using namespace steer;

namespace {

constexpr Duration DelayOfPiece = 80ms;
constexpr Duration Look = 5ms; ///< Between two looks at the mode.

} // namespace

LinkProxy::LinkProxy(asio::io_context &Io, const std::string &Listen,
                     std::string Target)
    : m_Io(Io), m_On(Io, parseEndpoint<Tcp>(Listen).value()),
      m_Target(std::move(Target)) {
  test::acceptEach(m_Io, m_On,
                   [this](Tcp::socket One) { accepted(std::move(One)); });
}

void LinkProxy::reset(Tcp::socket &One) {
  NetError Ignored;
  One.set_option(asio::socket_base::linger(true, 0), Ignored);
  One.close(Ignored);
}

void LinkProxy::setMode(LinkMode To) {
  m_Mode = To;
  std::erase_if(m_Pairs, [](const auto &One) { return One.expired(); });
  if (To != LinkMode::Reset)
    return;
  for (const std::weak_ptr<Pair> &One : m_Pairs)
    if (PairPtr Both = One.lock()) {
      reset(Both->m_Caller);
      reset(Both->m_Server);
    }
}

void LinkProxy::accepted(Tcp::socket One) {
  if (m_Mode == LinkMode::Reset)
    return reset(One);
  auto Both = std::make_shared<Pair>(Pair{std::move(One), Tcp::socket(m_Io)});
  m_Pairs.push_back(Both);
  test::spawn(m_Io, [this, Both]() { return join(Both); });
}

awaitable<void> LinkProxy::join(PairPtr Both) {
  NetError Error;
  co_await Both->m_Server.async_connect(parseEndpoint<Tcp>(m_Target).value(),
                                        noThrow(Error));
  if (Error) {
    reset(Both->m_Caller);
    co_return;
  }
  for (bool Answers : {false, true})
    test::spawn(m_Io, [this, Both, Answers]() { return pump(Both, Answers); });
}

awaitable<void> LinkProxy::untilFlowing(const Pair &Both, bool Answers) {
  LinkMode Cut = Answers ? LinkMode::CutAnswers : LinkMode::CutRequests;
  while ((m_Mode == Cut || m_Mode == LinkMode::Silent) &&
         Both.m_Caller.is_open())
    co_await steer::sleepFor(m_Io, Look);
}

awaitable<void> LinkProxy::pump(PairPtr Both, bool Answers) {
  Tcp::socket &From = Answers ? Both->m_Server : Both->m_Caller;
  Tcp::socket &To = Answers ? Both->m_Caller : Both->m_Server;
  char Piece[16384];
  NetError Error;
  while (!Error) {
    std::size_t Got =
        co_await From.async_read_some(asio::buffer(Piece), noThrow(Error));
    co_await untilFlowing(*Both, Answers);
    if (m_Mode == LinkMode::Delay)
      co_await steer::sleepFor(m_Io, DelayOfPiece);
    NetError Lost;
    if (Got > 0)
      co_await asio::async_write(To, asio::buffer(Piece, Got), noThrow(Lost));
    if (Lost)
      Error = Lost;
  }
  if (Error == asio::error::eof) {
    NetError Ignored;
    To.shutdown(Tcp::socket::shutdown_send, Ignored);
    // The other direction goes on until it ends by itself, unless this was
    // the caller's end: it has left.
    if (!Answers)
      Both->m_Server.close(Ignored);
    co_return;
  }
  reset(From);
  reset(To);
}

} // namespace mustardspoke::soak
