/// \file
/// Starts and ends of gateway processes.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "gateway/net.h"
#include "support/gateway_process.h"

#include <csignal>
#include <sys/wait.h>

using namespace mustardspoke;
using namespace mustardspoke::test;

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
  namespace asio = steer::asio;
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
  namespace asio = steer::asio;
  asio::io_context Io;
  steer::Tcp::acceptor Callers(Io, {asio::ip::make_address(GatewayProcess::Ip),
                                    GatewayProcess::CallerPort});
  GatewayProcess Started;
  auto Status = Started.process().waitForExit(10s);
  BOOST_TEST((Status && WIFEXITED(*Status) && WEXITSTATUS(*Status) == 2));
  BOOST_TEST(Started.hasLogged("listen-failed"));
}

BOOST_AUTO_TEST_SUITE_END()
