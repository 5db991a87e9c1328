/// \file
/// Attempts that a peer carries to upstreams, through real sockets on loopback.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "support/cut_gateway.h"

using namespace mustardspoke;
using namespace mustardspoke::steer;
using namespace mustardspoke::test;

namespace {

std::string order(const std::string &Id, const std::string &Body = "hi") {
  return "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + Id +
         "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RelayedAttempts)

// Guards against a VM that refuses what its peers could serve.
BOOST_AUTO_TEST_CASE(PeerCarriesTheAttempt) {
  CutGateway G;
  std::string Deadline;
  std::string Target;
  std::string Forged;
  G.upstream("u", [&](ServerSide &Side) -> awaitable<void> {
    for (;;) {
      std::string Id = co_await Side.readRequest();
      if (Id.empty())
        co_return;
      Deadline = Side.field("X-Deadline-Ms");
      Target = Side.field("X-Target-Instance");
      Forged = Side.field("Mustardspoke-Run") +
               Side.field("Mustardspoke-Repeatable");
      co_await Side.respond(Id, Id, "X-Own: 1\r\nX-Server-Load: 1,0,8\r\n");
    }
  });
  G.cut();
  for (const char *Id : {"a", "b", "c"}) {
    HttpResponse Response =
        G.m_Rig.ask(safeRequest(Id, "Mustardspoke-Run: 12\r\n"));
    BOOST_TEST(Response.m_Head.m_Status == 200U);
    BOOST_TEST(Response.m_Body == Id);
    BOOST_TEST(*Response.m_Head.find("X-Own") == "1");
    BOOST_TEST(!Response.m_Head.find("X-Server-Load"));
  }
  BOOST_TEST(std::stoi(Deadline) <= 3000);
  BOOST_TEST(Target == "u");
  // What callers send under the names of the inner fields goes nowhere.
  BOOST_TEST(Forged.empty());
  BOOST_TEST(G.m_ConnectionsToPeer == 1U);
  BOOST_TEST(G.m_Rig.m_State.m_OwnLinks.m_Counters.m_RelayedOut == 3U);
}

BOOST_AUTO_TEST_CASE(LongBodiesPassInBothDirections) {
  constexpr std::size_t Size = 3 << 20;
  CutGateway G;
  std::string Received;
  G.upstream("u", [&](ServerSide &Side) -> awaitable<void> {
    std::string Id = co_await Side.readRequest();
    Received = Side.body();
    std::string Body(Size, 'y');
    co_await Side.respond(Id, Body);
  });
  G.cut();
  HttpResponse Response = G.m_Rig.ask(order("a", std::string(700000, 'x')));
  BOOST_TEST(Received.size() == 700000U);
  BOOST_TEST(Response.m_Head.m_Status == 200U);
  BOOST_TEST((Response.m_Body == std::string(Size, 'y')));
}

// A peer that dies may have sent the request: its outcome is unknown.
BOOST_AUTO_TEST_CASE(OrderIsNotRepeatedWhenThePeerDies) {
  CutGateway G;
  unsigned Runs = 0;
  for (const char *Id : {"u", "v"})
    G.upstream(Id, [&](ServerSide &Side) -> awaitable<void> {
      std::string RequestId = co_await Side.readRequest();
      ++Runs;
      co_await Side.sleep(300ms);
      co_await Side.respond(RequestId, RequestId);
    });
  G.cut();
  G.m_PeerDies = true;
  HttpResponse Response = G.m_Rig.ask(order("a"));
  BOOST_TEST(Response.m_Head.m_Status == 502U);
  BOOST_TEST(Runs == 1U);
  // The upstream isn't to blame.
  G.m_Rig.m_State.m_Upstreams.forEach([](const Upstream &Target) {
    BOOST_TEST(!Target.isEjected(steadyNow()));
  });
}

BOOST_AUTO_TEST_CASE(PeersStatementThatNothingWasSentIsPassedOn) {
  CutGateway G;
  G.answering("u");
  G.cut();
  // An end that was announced to the peer, but not to this VM.
  (void)G.m_Peer.m_Upstreams.announceLeaving(
      runKey(G.m_Peer.m_Upstreams.find("u")->m_Registration), steadyNow());
  HttpResponse Response = G.m_Rig.ask(order("a"));
  BOOST_TEST(Response.m_Head.m_Status == 503U);
  BOOST_TEST(G.m_Ran.empty());
}

// What an upstream asks for is kept by both VMs.
BOOST_AUTO_TEST_CASE(RefusalIsTriedElsewhereAndBothVmsKeepThePause) {
  CutGateway G;
  unsigned Refused = 0;
  for (const char *Id : {"u", "v"})
    G.upstream(Id, [&Refused](ServerSide &Side) -> awaitable<void> {
      for (;;) {
        std::string RequestId = co_await Side.readRequest();
        if (RequestId.empty())
          co_return;
        if (++Refused == 1)
          co_await Side.sendRaw("HTTP/1.1 503 S\r\nX-Not-Executed: 1\r\n"
                                "X-Request-Id: " +
                                RequestId +
                                "\r\nRetry-After: 5\r\nContent-Length: "
                                "0\r\n\r\n");
        else
          co_await Side.respond(RequestId, RequestId);
      }
    });
  G.cut();
  BOOST_TEST(G.m_Rig.ask(order("a")).m_Head.m_Status == 200U);
  for (const GatewayState *State : {&G.m_Rig.m_State, &G.m_Peer}) {
    unsigned Quiet = 0;
    State->m_Upstreams.forEach([&Quiet](const Upstream &Target) {
      Quiet += Target.isQuiet(steadyNow()) ? 1U : 0U;
    });
    BOOST_TEST(Quiet == 1U);
  }
}

BOOST_AUTO_TEST_CASE(PeerWithoutLinksCarriesNothing) {
  CutGateway G;
  G.answering("u");
  G.cut();
  for (const char *Id : {"x1", "x2", "x3"})
    (void)G.m_Peer.m_Upstreams.put(
        G.m_Rig.m_State.m_Upstreams.find(Id)->m_Registration, steadyNow());
  loseLinks(G.m_Peer);
  TimePoint AskedAt = steadyNow();
  HttpResponse Response = G.m_Rig.ask(safeRequest("a"));
  BOOST_TEST(Response.m_Head.m_Status == 503U);
  BOOST_TEST(Response.m_Head.find("Retry-After") != nullptr);
  BOOST_TEST((steadyNow() - AskedAt < 200ms));
  BOOST_TEST(G.m_Ran.empty());
}

// A request that hangs on an own link when the links turn out to be lost.
BOOST_AUTO_TEST_CASE(RepeatableRequestLeavesAHangingLink) {
  CutGateway G;
  unsigned Arrived = 0;
  G.upstream("u", [&](ServerSide &Side) -> awaitable<void> {
    for (;;) {
      std::string Id = co_await Side.readRequest();
      if (Id.empty())
        co_return;
      if (++Arrived == 1)
        co_await Side.sleep(2s); // Stands for an answer that is held up.
      co_await Side.respond(Id, Id);
    }
  });
  spawn(G.m_Rig.m_Io, [&G]() -> awaitable<void> {
    co_await sleepFor(G.m_Rig.m_Io, 100ms);
    G.cut();
  });
  TimePoint AskedAt = steadyNow();
  BOOST_TEST(G.m_Rig.ask(safeRequest("a")).m_Head.m_Status == 200U);
  BOOST_TEST((steadyNow() - AskedAt < 1s));
}

// The work of a caller that leaves ends at the upstream, through both VMs.
BOOST_AUTO_TEST_CASE(UpstreamIsLeftWhenTheCallerLeaves) {
  CutGateway G;
  std::optional<TimePoint> ClosedAt;
  G.upstream("u", [&](ServerSide &Side) -> awaitable<void> {
    (void)co_await Side.readRequest();
    while (!Side.peerClosed())
      co_await Side.sleep(5ms);
    ClosedAt = steadyNow();
  });
  G.cut();
  std::vector<HttpResponse> Responses;
  TimePoint AskedAt = steadyNow();
  G.m_Rig.caller(safeRequest("a"), 1, Responses, Duration(100ms));
  G.m_Rig.run();
  G.m_Rig.m_Io.run_for(std::chrono::milliseconds(500));
  BOOST_REQUIRE(ClosedAt.has_value());
  BOOST_TEST((*ClosedAt - AskedAt < 600ms));
}

// The body of a request with homes isn't sent to a peer elsewhere.
BOOST_AUTO_TEST_CASE(RequestWithHomesGoesToNoOtherRegion) {
  CutGateway G;
  G.answering("u");
  auto Routes = std::make_shared<RouteTable>(*G.m_Rig.m_State.m_Routes);
  Route Homes = *Routes->find("h", "/safe/x");
  Homes.m_Prefix = "/safe/homes/";
  Homes.m_AllowedRegions = {RegionName("home")};
  Routes->add("h", Homes);
  G.m_Rig.m_State.m_Routes = Routes;
  G.cut();
  HttpResponse Response = G.m_Rig.ask("GET /safe/homes/ HTTP/1.1\r\nHost: h\r\n"
                                      "X-Request-Id: a\r\n\r\n");
  BOOST_TEST(Response.m_Head.m_Status == 503U);
  BOOST_TEST(G.m_ConnectionsToPeer == 0U);
}

// Control: without peers that may be asked, the same requests are refused.
BOOST_AUTO_TEST_CASE(WithoutRelaysTheRequestIsRefusedAtOnce) {
  CutGateway G;
  G.answering("u");
  G.cut();
  G.m_Rig.m_State.m_Settings.m_RelayAddress.clear();
  TimePoint AskedAt = steadyNow();
  BOOST_TEST(G.m_Rig.ask(safeRequest("a")).m_Head.m_Status == 503U);
  BOOST_TEST((steadyNow() - AskedAt < 100ms));
}

BOOST_AUTO_TEST_CASE(FieldsOfAttemptsAreReadStrictly) {
  auto Read = [](const std::string &Run, const std::string &Repeatable) {
    HttpHead Head;
    if (!Run.empty())
      Head.m_Fields.push_back({"Mustardspoke-Run", Run});
    if (!Repeatable.empty())
      Head.m_Fields.push_back({"mustardspoke-repeatable", Repeatable});
    return readRelayFields(Head);
  };
  BOOST_REQUIRE(Read("00000000000000ff", "yes").has_value());
  BOOST_TEST(Read("00000000000000ff", "yes")->m_Run == 255U);
  BOOST_TEST(!Read("ff", "no")->m_IsRepeatable);
  BOOST_TEST(!Read("", "yes").has_value());
  BOOST_TEST(!Read("ff", "").has_value());
  BOOST_TEST(!Read("ff", "maybe").has_value());
  BOOST_TEST(!Read("fg", "yes").has_value());
  BOOST_TEST(!Read("11112222333344445", "yes").has_value());
  // An unknown result leaves open whether the upstream ran the request.
  HttpHead Unknown;
  Unknown.m_Fields.push_back({"Mustardspoke-Attempt", "perhaps"});
  BOOST_TEST((readRelayOutcome(Unknown).m_Result == RelayResult::Lost));
}

BOOST_AUTO_TEST_SUITE_END()
