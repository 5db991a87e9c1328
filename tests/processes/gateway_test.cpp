/// \file
/// Starts and ends of gateway processes.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "gateway/net.h"
#include "soak/table_standin.h"
#include "support/gateway_process.h"
#include "support/server_side.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <csignal>
#include <list>
#include <sys/wait.h>

using namespace mustardspoke;
using namespace mustardspoke::test;

namespace asio = mustardspoke::steer::asio;

BOOST_AUTO_TEST_SUITE(Gateway)

// Guards against an end that nobody can explain.
BOOST_AUTO_TEST_CASE(FatalSignalLeavesALine) {
  for (auto [Number, Name] :
       {std::pair(SIGSEGV, "SIGSEGV"), std::pair(SIGABRT, "SIGABRT")}) {
    GatewayProcess Started;
    BOOST_REQUIRE(Started.waitUntilLogged("\"started\""));
    Started.process().signal(Number);
    auto Status = Started.process().waitForExit(5s);
    BOOST_TEST((Status && WIFSIGNALED(*Status) && WTERMSIG(*Status) == Number));
    BOOST_TEST(Started.hasLogged(
        std::string(R"("vm":"v","event":"ended-by-signal","signal":")") +
        Name));
  }
}

// Guards against a start that fails because a predecessor is still there.
BOOST_AUTO_TEST_CASE(AddressThatIsFreedSoonIsWaitedFor) {
  auto Ip = asio::ip::make_address(GatewayProcess::Ip);
  asio::io_context Io;
  steer::Tcp::acceptor Callers(Io, {Ip, GatewayProcess::CallerPort});
  steer::Udp::socket Peers(Io, {Ip, GatewayProcess::PeerPort});
  GatewayProcess Started;
  BOOST_REQUIRE(Started.waitUntilLogged("address-taken"));
  Callers.close();
  BOOST_REQUIRE(Started.waitUntilLogged(
      "address-taken\",\"address\":\"127.0.10.1:18195"));
  Peers.close();
  BOOST_TEST(Started.waitUntilLogged("\"started\""));
}

// The platform starts the process again: it isn't to wait forever.
BOOST_AUTO_TEST_CASE(AddressThatStaysTakenEndsTheStartWithALine) {
  asio::io_context Io;
  steer::Tcp::acceptor Callers(Io, {asio::ip::make_address(GatewayProcess::Ip),
                                    GatewayProcess::CallerPort});
  GatewayProcess Started;
  auto Status = Started.process().waitForExit(10s);
  BOOST_TEST((Status && WIFEXITED(*Status) && WEXITSTATUS(*Status) == 2));
  BOOST_TEST(Started.hasLogged("listen-failed"));
}

namespace {

/// \brief A store and two upstreams, one in the process's region "r" and one
/// in "q", whose requests are bound to one of them.
class StoreAndUpstreams {
public:
  StoreAndUpstreams() {
    using Place = std::pair<std::string, std::string>;
    for (const Place &Each : {Place("z", "r"), Place("y", "q")}) {
      const std::string &Domain = Each.first;
      const std::string &Region = Each.second;
      steer::Tcp::acceptor &Acceptor = m_Acceptors.emplace_back(
          m_Io, steer::Tcp::endpoint(asio::ip::make_address("127.0.10.8"), 0));
      acceptEach(m_Io, Acceptor, [this, Region](steer::Tcp::socket Socket) {
        auto Side = std::make_shared<ServerSide>(m_Io, std::move(Socket));
        spawn(m_Io, [Side, Region]() { return serve(Side, Region); });
      });
      m_Table.put(
          "servers", std::string("i-") + Region,
          R"({"address":"127.0.10.8:)" +
              std::to_string(Acceptor.local_endpoint().port()) +
              R"(","born":1,"info":{"service":"s","version":"1","zone":")" +
              Domain + R"(","slots":4},"status":{"state":"ready",)" +
              R"("sequence":1,"warmupLeft":"0ms"}})");
    }
    bind("r");
  }

  /// \brief The operator binds the route to \p Region.
  void bind(const std::string &Region) {
    m_Table.put("op", "config",
                R"({"version":"r)" + std::to_string(++m_Version) +
                    R"(","limits":{},"listeners":[{"host":"h","rules":[)"
                    R"({"name":"n","type":"safe","match":{"prefix":"/p/"},)"
                    R"("action":{"service":"s","timeout":"9s",)"
                    R"("allowedRegions":[")" +
                    Region +
                    R"("]}}]}],"clusters":[{"name":"s","healthPath":"/"}]})");
  }
  /// \brief Begins to send a request. \p Answer gets the answer.
  void ask(std::string &Answer) {
    spawn(m_Io, [this, &Answer]() -> steer::awaitable<void> {
      steer::Tcp::socket Socket(m_Io);
      co_await Socket.async_connect({asio::ip::make_address(GatewayProcess::Ip),
                                     GatewayProcess::CallerPort},
                                    asio::use_awaitable);
      std::string Text = "GET /p/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: 1\r\n"
                         "Connection: close\r\n\r\n";
      co_await asio::async_write(Socket, asio::buffer(Text),
                                 asio::use_awaitable);
      steer::NetError Ignored;
      co_await asio::async_read(Socket, asio::dynamic_buffer(Answer),
                                steer::noThrow(Ignored));
      m_IsAnswered = true;
    });
  }
  void runFor(Duration Span) { m_Io.run_for(Span); }
  /// \returns Whether the answer came within \p Span.
  bool runUntilAnswered(Duration Span) {
    auto End = std::chrono::steady_clock::now() + Span;
    while (!m_IsAnswered && std::chrono::steady_clock::now() < End)
      m_Io.run_one_for(50ms);
    return std::exchange(m_IsAnswered, false);
  }

  asio::io_context m_Io;
  soak::TableStandIn m_Table{m_Io, GatewayProcess::StoreAddress};

private:
  static steer::awaitable<void> serve(std::shared_ptr<ServerSide> Side,
                                      std::string Region) {
    for (std::string Id = co_await Side->readRequest(); !Id.empty();
         Id = co_await Side->readRequest())
      co_await Side->respond(Id, Region);
  }

  std::list<steer::Tcp::acceptor> m_Acceptors;
  unsigned m_Version = 0;
  bool m_IsAnswered = false;
};

} // namespace

// Guards against a process that stood still and then sends what has arrived
// meanwhile to the region that was allowed before.
BOOST_AUTO_TEST_CASE(PausedProcessSendsNothingToAFormerRegion) {
  StoreAndUpstreams Users;
  GatewayProcess Started;
  for (unsigned I = 0; I < 100 && !Started.hasLogged("\"ready\""); ++I)
    Users.runFor(100ms);
  std::string Before;
  Users.ask(Before);
  BOOST_REQUIRE(Users.runUntilAnswered(5s));
  BOOST_TEST(Before.ends_with("\r\n\r\nr"));
  Users.runFor(2s); // It follows the feeds by now.
  Started.process().signal(SIGSTOP);
  // The change is lost on the connection that waits for it.
  Users.m_Table.setMode(soak::TableMode::Silent);
  Users.bind("q");
  Users.runFor(3s);
  std::string After;
  Users.ask(After);
  Users.runFor(100ms);
  // Slower than what requests wait for the store.
  Users.m_Table.setMode(soak::TableMode::Slow);
  Started.process().signal(SIGCONT);
  BOOST_REQUIRE(Users.runUntilAnswered(8s));
  BOOST_TEST(After.starts_with("HTTP/1.1 503"));
  Users.m_Table.setMode(soak::TableMode::Normal);
  Users.runFor(3s);
  std::string Later;
  Users.ask(Later);
  BOOST_REQUIRE(Users.runUntilAnswered(8s));
  BOOST_TEST(Later.ends_with("\r\n\r\nq"));
}

BOOST_AUTO_TEST_SUITE_END()
