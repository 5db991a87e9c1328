/// \file
/// Starts and ends of gateway processes.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

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

BOOST_AUTO_TEST_SUITE_END()
