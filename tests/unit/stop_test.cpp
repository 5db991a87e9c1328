/// \file
/// Requests while the VM shuts down: whether they are sent, and what callers
/// are told.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "support/cut_gateway.h"

using namespace mustardspoke;
using namespace mustardspoke::steer;
using namespace mustardspoke::test;

namespace {

/// \brief An upstream that refuses its first request unrun, and answers the
/// others. \p OnFirst is called before the refusal.
Script refusingFirst(unsigned &Requests, const std::function<void()> &OnFirst) {
  return [&Requests, OnFirst](ServerSide &Side) -> awaitable<void> {
    for (;;) {
      std::string Id = co_await Side.readRequest();
      if (Id.empty())
        co_return;
      if (++Requests > 1) {
        co_await Side.respond(Id, Id);
        continue;
      }
      OnFirst();
      co_await Side.sendRaw("HTTP/1.1 503 Service Unavailable\r\n"
                            "X-Not-Executed: 1\r\nX-Request-Id: " +
                            Id + "\r\nContent-Length: 0\r\n\r\n");
    }
  };
}

} // namespace

// Guards against requests that are accepted late in a planned stop, sent, and
// cut off at its end.
BOOST_AUTO_TEST_SUITE(Stop)

BOOST_AUTO_TEST_CASE(RequestIsAcceptedIfItsDeadlineIsBeforeTheEnd) {
  ExchangeRig R;
  unsigned Runs = 0;
  R.upstream("u", [&Runs](ServerSide &Side) -> awaitable<void> {
    while (!(co_await Side.readRequest()).empty()) {
      ++Runs;
      co_await Side.respond(Side.field("X-Request-Id"), "done");
    }
  });
  R.m_State.beginStop(steadyNow() + 1s);
  // The routes' timeout is 3 s.
  for (const std::string &Request : {safeRequest("a"), unsafeRequest("b")}) {
    HttpResponse Refused = R.ask(Request);
    BOOST_TEST(Refused.m_Head.m_Status == 503U);
    BOOST_TEST(Refused.m_Head.find("Retry-After"));
    BOOST_TEST(!Refused.m_Head.m_KeepAlive);
  }
  BOOST_TEST(Runs == 0U);
  const char *Short = "X-Deadline-Ms: 500\r\n";
  for (const std::string &Request :
       {safeRequest("c", Short), unsafeRequest("d", Short)})
    BOOST_TEST(R.ask(Request).m_Head.m_Status == 200U);
  BOOST_TEST(Runs == 2U);
}

BOOST_AUTO_TEST_CASE(RequestIsNotSentAgainIfItMayOutlastTheStop) {
  for (bool Stops : {true, false}) {
    ExchangeRig R;
    unsigned Requests = 0;
    auto OnFirst = [&] {
      if (Stops)
        R.m_State.beginStop(steadyNow() + 1s);
    };
    R.upstream("u", refusingFirst(Requests, OnFirst));
    R.upstream("v", refusingFirst(Requests, OnFirst));
    HttpResponse Got = R.ask(unsafeRequest("a"));
    BOOST_TEST(Got.m_Head.m_Status == (Stops ? 503U : 200U));
    BOOST_TEST(Requests == (Stops ? 1U : 2U));
  }
}

BOOST_AUTO_TEST_CASE(AttemptOfAPeerIsRefusedIfItMayOutlastTheStop) {
  for (Duration Left : {1s, 5s}) {
    CutGateway G;
    G.answering("u");
    G.cut();
    G.m_Peer.beginStop(steadyNow() + Left);
    HttpResponse Got = G.m_Rig.ask(unsafeRequest("a"));
    BOOST_TEST(Got.m_Head.m_Status == (Left < 3s ? 503U : 200U));
    BOOST_TEST(G.m_Ran.size() == (Left < 3s ? 0U : 1U));
  }
}

BOOST_AUTO_TEST_SUITE_END()
