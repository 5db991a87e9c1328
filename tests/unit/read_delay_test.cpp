/// \file
/// Requests that wait for a busy event loop.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "steer/read_delay.h"
#include "support/exchange_rig.h"

using namespace mustardspoke;
using namespace mustardspoke::steer;
using namespace mustardspoke::test;

BOOST_AUTO_TEST_SUITE(ReadDelays)

BOOST_AUTO_TEST_CASE(SteadyOverloadIsEstimatedAndAPauseIsNot) {
  ReadDelay Delay;
  TimePoint Now = TimePoint() + 1h;
  BOOST_TEST((Delay.estimate(Now) == 0ms));
  Delay.record(600ms, Now);
  BOOST_TEST((Delay.estimate(Now) == 0ms));
  Delay.record(650ms, Now + 700ms);
  BOOST_TEST((Delay.estimate(Now + 700ms) == 600ms));
  Delay.record(1ms, Now + 800ms);
  BOOST_TEST((Delay.estimate(Now + 800ms) == 1ms));
  Delay.record(4s, Now + 5s);
  BOOST_TEST((Delay.estimate(Now + 5s) == 0ms));
  Delay.record(300ms, Now + 5500ms);
  BOOST_TEST((Delay.estimate(Now + 5500ms) == 300ms));
  BOOST_TEST((Delay.estimate(Now + 9s) == 0ms));
}

// Guards against callers that wait beyond their route's timeout when the VM is
// overloaded: the time before the request was read wasn't counted.
BOOST_AUTO_TEST_CASE(TimeBeforeTheReadCountsTowardsTheDeadline) {
  ExchangeRig R;
  std::string Deadline;
  R.upstream("u", [&](ServerSide &Side) -> awaitable<void> {
    for (;;) {
      std::string Id = co_await Side.readRequest();
      if (Id.empty())
        co_return;
      Deadline = Side.field("X-Deadline-Ms");
      if (Id != "slow")
        co_await Side.respond(Id, Id);
    }
  });
  for (int I = 0; I < 2; ++I)
    R.m_State.m_ReadDelay.record(200ms, steadyNow());
  // The first request of a connection has waited twice.
  BOOST_TEST(
      R.ask(safeRequest("a", "X-Deadline-Ms: 1000\r\n")).m_Head.m_Status ==
      200U);
  BOOST_TEST(std::stoi(Deadline) <= 600);
  BOOST_TEST(std::stoi(Deadline) > 500);
  TimePoint Begin = steadyNow();
  BOOST_TEST(
      R.ask(unsafeRequest("slow", "X-Deadline-Ms: 1000\r\n")).m_Head.m_Status ==
      504U);
  BOOST_TEST((steadyNow() - Begin < 800ms));
}

BOOST_AUTO_TEST_SUITE_END()
