/// \file
/// Timeouts of callers' connections.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "gateway/caller_connection.h"
#include "support/server_side.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <list>
#include <thread>

using namespace mustardspoke;
using namespace mustardspoke::steer;

namespace {

const std::string Request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
const std::string Answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// \brief A listener whose connections answer each request, and its callers.
class ShortIdleTimeout {
public:
  explicit ShortIdleTimeout(unsigned Callers) {
    test::acceptEach(m_Io, m_Acceptor, [this](Tcp::socket Socket) {
      CallerLimits Limits;
      Limits.m_IdleTimeout = 100ms;
      CallerConnectionPtr Connection(
          new CallerConnection(m_Io, std::move(Socket), Limits, m_Buffers,
                               [](const CallerConnectionPtr &Caller,
                                  const PendingRequestPtr &Pending) {
                                 return Caller->send(Pending, Answer);
                               }));
      Connection->start();
    });
    for (unsigned I = 0; I < Callers; ++I)
      m_Callers.emplace_back(m_Io).connect(m_Acceptor.local_endpoint());
  }

  void sendAll() {
    for (Tcp::socket &Caller : m_Callers)
      asio::write(Caller, asio::buffer(Request));
  }
  /// \returns How many callers have an answer.
  unsigned answered() {
    unsigned Count = 0;
    std::string Bytes(Answer.size(), '\0');
    for (Tcp::socket &Caller : m_Callers) {
      NetError Error;
      if (peek(Caller) == PeekResult::Bytes)
        asio::read(Caller, asio::buffer(Bytes), Error);
      else
        Error = asio::error::would_block;
      Count += !Error && Bytes == Answer ? 1U : 0U;
    }
    return Count;
  }

  asio::io_context m_Io;
  BufferBudget m_Buffers{64 << 20};

private:
  Tcp::acceptor m_Acceptor{m_Io, {asio::ip::make_address("127.0.0.1"), 0}};
  std::list<Tcp::socket> m_Callers;
};

} // namespace

BOOST_AUTO_TEST_SUITE(CallerConnections)

// Guards against a VM that is resumed after a pause and closes connections for
// being idle, with requests unread: expired timers run first.
BOOST_AUTO_TEST_CASE(RequestThatArrivedDuringAPauseIsRead) {
  constexpr unsigned Callers = 300;
  ShortIdleTimeout Listener(Callers);
  Listener.sendAll();
  Listener.m_Io.run_for(std::chrono::milliseconds(80));
  BOOST_TEST(Listener.answered() == Callers);
  std::this_thread::sleep_for(std::chrono::milliseconds(200)); // The pause.
  Listener.sendAll();
  Listener.m_Io.run_for(std::chrono::milliseconds(80));
  BOOST_TEST(Listener.answered() == Callers);
}

BOOST_AUTO_TEST_CASE(IdleConnectionIsClosed) {
  ShortIdleTimeout Listener(1);
  Listener.sendAll();
  Listener.m_Io.run_for(std::chrono::milliseconds(50));
  BOOST_TEST(Listener.answered() == 1U);
  Listener.m_Io.run_for(std::chrono::milliseconds(200));
  BOOST_CHECK_THROW(
      {
        Listener.sendAll();
        Listener.m_Io.run_for(std::chrono::milliseconds(20));
        Listener.sendAll();
      },
      boost::system::system_error);
}

BOOST_AUTO_TEST_SUITE_END()
