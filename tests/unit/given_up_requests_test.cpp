/// \file
/// Requests that a VM gives up, as their time is over, the caller has left or
/// the process ends: what their callers get and what still reaches upstreams.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "support/linked_upstream.h"

using namespace mustardspoke;
using namespace mustardspoke::steer;
using namespace mustardspoke::test;

BOOST_AUTO_TEST_SUITE(GivenUpRequests)

// Guards against requests that reached an upstream seconds after their callers
// had been answered: the VM had given them up while its link was cut, and the
// system delivered what had been written once the link was back.
BOOST_AUTO_TEST_CASE(RequestGivenUpDuringACutDoesNotArriveAfterIt) {
  ExchangeRig R;
  UpstreamBehindALink Upstream(R);
  BOOST_TEST(R.ask(safeRequest("before")).m_Head.m_Status == 200U);
  Upstream.cut();
  for (const std::string &Text :
       {safeRequest("safe", "X-Deadline-Ms: 150\r\n"),
        unsafeRequest("unsafe", "X-Deadline-Ms: 150\r\n")})
    BOOST_TEST(R.ask(Text).m_Head.m_Status == 504U);
  std::vector<HttpResponse> Responses;
  R.caller(safeRequest("caller-left"), 1, Responses, 100ms);
  R.run();
  Upstream.restore();
  BOOST_TEST(Upstream.hasReceived("before"));
  BOOST_TEST(!Upstream.hasReceived("safe"));
  BOOST_TEST(!Upstream.hasReceived("unsafe"));
  BOOST_TEST(!Upstream.hasReceived("caller-left"));
  BOOST_TEST(R.ask(safeRequest("after")).m_Head.m_Status == 200U);
}

// Guards against writes that reached the store seconds after the VM had given
// them up.
BOOST_AUTO_TEST_CASE(StoreCallGivenUpDuringACutDoesNotArriveAfterIt) {
  ExchangeRig R;
  UpstreamBehindALink Store(R);
  Store.cut();
  HttpClientConnection Connection(R.m_Io, Store.address(), 1s);
  bool Ended = false;
  spawn(R.m_Io, [&]() -> awaitable<void> {
    HttpResponse Response =
        co_await Connection.call("POST", "/write", "{}", 100ms);
    BOOST_TEST(bool(Response.m_Error));
    Ended = true;
  });
  R.m_Io.run_for(std::chrono::milliseconds(200));
  BOOST_TEST(Ended);
  Store.restore();
  BOOST_TEST(!Store.hasReceived("none")); // The call bears no identifier.
}

// Guards against requests of a killed process that the system goes on
// delivering: the option is set before anything is sent, so that the system
// aborts the connection itself.
BOOST_AUTO_TEST_CASE(EndOfTheProcessAbortsAnUnansweredRequest) {
  ExchangeRig R;
  UpstreamBehindALink Upstream(R);
  UpstreamConnectionPtr Opened;
  spawn(R.m_Io, [&]() -> awaitable<void> {
    NetError Error;
    Opened = co_await R.m_Pool.open(R.m_State.m_Upstreams.find("u"), 1s, Error);
  });
  R.m_Io.run_for(std::chrono::milliseconds(50));
  BOOST_REQUIRE(Opened);
  asio::socket_base::linger Option;
  Opened->m_Socket.get_option(Option);
  BOOST_TEST(Option.enabled());
  BOOST_TEST(Option.timeout() == 0);
}

// Guards against requests that end with a closed connection, as the process
// ends while their upstreams are silent.
BOOST_AUTO_TEST_CASE(RequestsThatRunWhenTheProcessEndsAreAnswered) {
  ExchangeRig R;
  UpstreamBehindALink Upstream(R);
  BOOST_TEST(R.ask(safeRequest("before")).m_Head.m_Status == 200U);
  Upstream.cut();
  std::vector<HttpResponse> Responses;
  R.caller(safeRequest("safe"), 1, Responses);
  R.caller(unsafeRequest("unsafe"), 1, Responses);
  R.m_Io.run_for(std::chrono::milliseconds(50));
  BOOST_TEST(R.m_State.m_InFlight == 2U);
  TimePoint Begin = steadyNow();
  R.m_State.m_Leaving = true;
  R.m_State.endRequests();
  R.run();
  BOOST_TEST((steadyNow() - Begin < 100ms));
  BOOST_TEST(R.m_State.m_InFlight == 0U);
  BOOST_REQUIRE(Responses.size() == 2U);
  // They were sent, so their outcome is unknown.
  for (const HttpResponse &Response : Responses)
    BOOST_TEST(Response.m_Head.m_Status == 504U);
  Upstream.restore();
  BOOST_TEST(!Upstream.hasReceived("unsafe"));
}

BOOST_AUTO_TEST_SUITE_END()
