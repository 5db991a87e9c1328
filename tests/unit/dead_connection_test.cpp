/// \file
/// Connections to upstreams that stay silent, alive or dead.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "support/linked_upstream.h"

using namespace mustardspoke;
using namespace mustardspoke::steer;
using namespace mustardspoke::test;

namespace {

/// \brief Drops the packets of a link for a part of the time.
awaitable<void> dropBetween(asio::io_context &Io, UpstreamBehindALink &Link,
                            Duration From, Duration To) {
  co_await sleepFor(Io, From);
  Link.dropPackets(true);
  co_await sleepFor(Io, To - From);
  Link.dropPackets(false);
}

} // namespace

BOOST_AUTO_TEST_SUITE(DeadConnections)

// The upstream works for longer than two keep-alive intervals, and the first
// probe is lost: TCP_USER_TIMEOUT decides whether that ends the connection.
BOOST_AUTO_TEST_CASE(OneLostProbeDoesNotEndAWaitingRequest) {
  ExchangeRig Rig;
  UpstreamBehindALink Upstream(Rig, 2600ms);
  spawn(Rig.m_Io,
        [&]() { return dropBetween(Rig.m_Io, Upstream, 500ms, 1800ms); });
  BOOST_TEST(Rig.ask(safeRequest("a")).m_Head.m_Status == 200U);
}

// A kept connection whose other end has vanished: the request isn't
// acknowledged, and there is time for another attempt.
BOOST_AUTO_TEST_CASE(UnacknowledgedRequestIsSentElsewhere) {
  ExchangeRig Rig;
  UpstreamBehindALink Upstream(Rig);
  BOOST_TEST(Rig.ask(safeRequest("a")).m_Head.m_Status == 200U);
  Rig.upstream("v", [](ServerSide &Side) -> awaitable<void> {
    for (;;) {
      std::string Id = co_await Side.readRequest();
      if (Id.empty())
        co_return;
      co_await Side.respond(Id, Id);
    }
  });
  Upstream.dropPackets(true);
  for (const char *Id : {"b", "c", "d", "e"}) {
    TimePoint AskedAt = steadyNow();
    BOOST_TEST(Rig.ask(safeRequest(Id)).m_Head.m_Status == 200U);
    BOOST_TEST((steadyNow() - AskedAt < 2s));
  }
}

BOOST_AUTO_TEST_SUITE_END()
