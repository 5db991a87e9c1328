/// \file
/// Requests that may be processed in some regions only, while the configuration
/// that says so changes or may have changed.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "support/cut_gateway.h"
#include "support/log_capture.h"

using namespace mustardspoke;
using namespace mustardspoke::steer;
using namespace mustardspoke::test;

namespace {

const RegionName East("east");
const RegionName West("west");
constexpr const char *Key = "Authorization: Token k\r\n";

/// \brief A copy of the configuration, one version on, in which the routes of
/// the rig or the customer "c" are bound to \p Home.
RouteTablePtr boundTo(const RouteTable &Before, const RegionName &Home,
                      bool BindsCustomer = false) {
  auto Table = std::make_shared<RouteTable>();
  Table->m_Version = Before.m_Version + 1;
  for (const char *Path : {"/safe/", "/unsafe/"}) {
    Route Bound = *Before.find("h", Path);
    Bound.m_AllowedRegions.clear();
    if (!BindsCustomer)
      Bound.m_AllowedRegions = {Home};
    Table->add("h", Bound);
  }
  if (BindsCustomer) {
    Customer Bound;
    Bound.m_Name = CustomerName("c");
    Bound.m_AllowedRegions = {Home};
    std::vector<std::string> Keys{"k"};
    (void)Table->m_Customers.add(Bound, Keys);
  }
  return Table;
}

/// \brief A gateway and upstreams of two regions, which note where each request
/// ran.
struct TwoHomes {
  explicit TwoHomes(bool BindsCustomer = false)
      : m_BindsCustomer(BindsCustomer) {
    bind(East);
  }

  void bind(const RegionName &Home) {
    m_Rig.m_State.m_Routes =
        boundTo(*m_Rig.m_State.m_Routes, Home, m_BindsCustomer);
  }
  /// \brief Adds an upstream; \p BeforeAnswer is called for each request.
  /// \param Rejects Whether it states that it didn't run the request.
  void upstream(const std::string &Id, const RegionName &Region,
                const std::function<void()> &BeforeAnswer, bool Rejects) {
    m_Rig.upstream(
        Id,
        [this, Region, BeforeAnswer,
         Rejects](ServerSide &Side) -> awaitable<void> {
          for (std::string Request = co_await Side.readRequest();
               !Request.empty(); Request = co_await Side.readRequest()) {
            m_Arrived.push_back(Request + "@" + Region.str());
            if (BeforeAnswer)
              BeforeAnswer();
            if (Rejects)
              co_await Side.sendRaw("HTTP/1.1 503 Service Unavailable\r\n"
                                    "X-Not-Executed: 1\r\nX-Request-Id: " +
                                    Request + "\r\nContent-Length: 0\r\n\r\n");
            else
              co_await Side.respond(Request, Region.str());
          }
        });
    UpstreamRegistration Facts =
        m_Rig.m_State.m_Upstreams.find(Id)->m_Registration;
    Facts.m_Region = Region;
    (void)m_Rig.m_State.m_Upstreams.put(Facts, steadyNow());
  }

  bool m_BindsCustomer;
  ExchangeRig m_Rig;
  std::vector<std::string> m_Arrived;
};

using Ids = std::vector<std::string>;

/// Sends two requests on one connection, of which the second waits for the
/// answer to the first. Meanwhile the home changes.
Ids arrivalsAroundAChange(bool BindsCustomer) {
  TwoHomes Homes(BindsCustomer);
  auto MoveHome = [&Homes, Moved = false]() mutable {
    if (!std::exchange(Moved, true))
      Homes.bind(West);
  };
  Homes.upstream("e", East, MoveHome, false);
  Homes.upstream("w", West, nullptr, false);
  std::vector<HttpResponse> Responses;
  Homes.m_Rig.caller(unsafeRequest("1", Key) + unsafeRequest("2", Key), 2,
                     Responses);
  Homes.m_Rig.run();
  return Homes.m_Arrived;
}

/// The rig whose home bindAfterChoice() moves, once.
TwoHomes *Watched = nullptr;

Choice bindAfterChoice(const ChoiceInput &Input, const UpstreamTable &Table,
                       const Placement &Local, const ChoiceTuning &Tuning) {
  Choice Result = chooseByKeyLocalFirst(Input, Table, Local, Tuning);
  if (TwoHomes *Homes = std::exchange(Watched, nullptr))
    Homes->bind(West);
  return Result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RegionsOfRequests)

// Guards against requests that run in the region that was their route's home
// when they arrived, though they waited for their turn while it moved.
BOOST_AUTO_TEST_CASE(WaitingRequestGoesToItsRoutesNewHome) {
  BOOST_TEST((arrivalsAroundAChange(false) == Ids{"1@east", "2@west"}));
}

// The same for the home of their customer.
BOOST_AUTO_TEST_CASE(WaitingRequestGoesToItsCustomersNewHome) {
  BOOST_TEST((arrivalsAroundAChange(true) == Ids{"1@east", "2@west"}));
}

// Guards against retries in the region that was the home at the first attempt.
BOOST_AUTO_TEST_CASE(RetryGoesToTheNewHome) {
  TwoHomes Homes;
  auto MoveHome = [&Homes] { Homes.bind(West); };
  Homes.upstream("e1", East, MoveHome, true);
  Homes.upstream("e2", East, MoveHome, true);
  Homes.upstream("w", West, nullptr, false);
  BOOST_TEST(Homes.m_Rig.ask(safeRequest("1")).m_Body == "west");
  BOOST_TEST((Homes.m_Arrived == Ids{"1@east", "1@west"}));
}

// Guards against requests that are sent to the old home since it was one when
// their upstream was selected.
BOOST_AUTO_TEST_CASE(HomeIsCheckedWhenTheConnectionIsOpen) {
  TwoHomes Homes;
  Homes.upstream("e", East, nullptr, false);
  Homes.upstream("w", West, nullptr, false);
  Homes.m_Rig.m_State.m_Strategies.m_Choose = bindAfterChoice;
  Watched = &Homes;
  BOOST_TEST(Homes.m_Rig.ask(safeRequest("1")).m_Body == "west");
  BOOST_TEST((Homes.m_Arrived == Ids{"1@west"}));
}

// Without an upstream in the new home, the caller learns at once that nothing
// has run.
BOOST_AUTO_TEST_CASE(NothingInTheNewHomeIsARefusal) {
  TwoHomes Homes;
  Homes.upstream("e", East, nullptr, false);
  Homes.m_Rig.m_State.m_Strategies.m_Choose = bindAfterChoice;
  Watched = &Homes;
  TimePoint AskedAt = steadyNow();
  HttpResponse Response = Homes.m_Rig.ask(unsafeRequest("1"));
  BOOST_TEST(Response.m_Head.m_Status == 503U);
  BOOST_TEST(Response.m_Head.find("Retry-After") != nullptr);
  BOOST_TEST((steadyNow() - AskedAt < 200ms));
  BOOST_TEST(Homes.m_Arrived.empty());
}

// Guards against a VM that was cut off and has old homes, for which a peer
// sends a request there, though this peer knows the new ones.
BOOST_AUTO_TEST_CASE(PeerThatKnowsTheNewHomeRefusesTheOldOne) {
  CutGateway G;
  G.answering("u");
  RouteTablePtr Before = G.m_Rig.m_State.m_Routes;
  G.m_Rig.m_State.m_Routes = boundTo(*Before, RegionName());
  G.m_Peer.m_Routes = boundTo(*G.m_Rig.m_State.m_Routes, West);
  G.cut();
  BOOST_TEST(G.m_Rig.ask(safeRequest("a")).m_Head.m_Status == 503U);
  BOOST_TEST(G.m_Ran.empty());
  BOOST_TEST(G.m_ConnectionsToPeer == 1U);
  // Control: with the same homes at the peer, the request is served.
  G.m_Peer.m_Routes = G.m_Rig.m_State.m_Routes;
  BOOST_TEST(G.m_Rig.ask(safeRequest("b")).m_Head.m_Status == 200U);
  BOOST_TEST((G.m_Ran == Ids{"b"}));
}

// The same for the home of a customer, whom a peer knows by name only.
BOOST_AUTO_TEST_CASE(PeerThatKnowsTheCustomersNewHomeRefusesTheOldOne) {
  CutGateway G;
  G.answering("u");
  RouteTablePtr Before = G.m_Rig.m_State.m_Routes;
  G.m_Rig.m_State.m_Routes = boundTo(*Before, RegionName(), true);
  G.m_Peer.m_Routes = boundTo(*G.m_Rig.m_State.m_Routes, West, true);
  G.cut();
  BOOST_TEST(G.m_Rig.ask(safeRequest("a", Key)).m_Head.m_Status == 503U);
  BOOST_TEST(G.m_Ran.empty());
  BOOST_TEST(G.m_ConnectionsToPeer == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Freshness)

constexpr TimePoint Start{1h};

BOOST_AUTO_TEST_CASE(PauseIsToldFromABusyEventLoop) {
  PauseDetector Pauses(10s);
  BOOST_TEST(!Pauses.check(10500ms).has_value());
  BOOST_TEST(!Pauses.check(12400ms).has_value());
  std::optional<Duration> Pause = Pauses.check(14400ms);
  BOOST_REQUIRE(Pause.has_value());
  BOOST_TEST((*Pause == 2s));
  BOOST_TEST(!Pauses.check(14401ms).has_value());
}

// Guards against an answer to a question of before the pause, and against one
// that is older than what peers have, that are taken for news.
BOOST_AUTO_TEST_CASE(OnlyNewsThatWereAskedForAfterThePauseConfirm) {
  ConfigFreshness Known;
  BOOST_TEST(!Known.isInDoubt(3, Start));
  Known.recordPause(Start);
  BOOST_TEST(Known.isInDoubt(3, Start));
  BOOST_TEST(Known.isAwaited(Start));
  BOOST_TEST(!Known.isAwaited(Start + 500ms));
  BOOST_TEST(Known.isInDoubt(3, Start + 1min));
  Known.recordRead(Start - 1ms, 3);
  BOOST_TEST(Known.isInDoubt(3, Start));
  (void)Known.recordReport(4, 3, Start);
  Known.recordRead(Start + 1ms, 3);
  BOOST_TEST(Known.isUnconfirmed());
  Known.recordRead(Start + 1ms, 4);
  BOOST_TEST(!Known.isInDoubt(4, Start));
}

// Heartbeats that waited in the socket, and those of peers that were paused
// too or have another version, confirm nothing.
BOOST_AUTO_TEST_CASE(LaterHeartbeatOfTheSameVersionConfirms) {
  ConfigFreshness Known;
  Known.recordPause(Start);
  (void)Known.recordReport(3, 3, Start + 100ms);
  (void)Known.recordReport(0, 3, Start + 400ms);
  (void)Known.recordReport(2, 3, Start + 400ms);
  BOOST_TEST(Known.isUnconfirmed());
  (void)Known.recordReport(3, 3, Start + 400ms);
  BOOST_TEST(!Known.isUnconfirmed());
  // A peer that lags as this VM does, while another one has a newer version.
  Known.recordPause(Start + 1s);
  (void)Known.recordReport(4, 3, Start + 1100ms);
  (void)Known.recordReport(3, 3, Start + 1400ms);
  BOOST_TEST(Known.isUnconfirmed());
}

// Guards against a VM that goes on under a configuration that its peers have
// replaced long ago. Versions that follow each other don't set the time back.
BOOST_AUTO_TEST_CASE(LagBehindPeersIsInDoubtAfterASecond) {
  ConfigFreshness Known;
  BOOST_TEST(Known.recordReport(4, 3, Start));
  BOOST_TEST(!Known.recordReport(4, 3, Start + 100ms));
  BOOST_TEST(!Known.isInDoubt(3, Start + 1s));
  BOOST_TEST(Known.recordReport(5, 3, Start + 900ms));
  BOOST_TEST(Known.isInDoubt(3, Start + 1001ms));
  BOOST_TEST(!Known.isInDoubt(5, Start + 1001ms));
  BOOST_TEST(!Known.lag(5, Start + 1001ms).has_value());
}

// A VM that adopts each version of a series half a second late isn't in doubt.
BOOST_AUTO_TEST_CASE(VmThatFollowsASeriesOfVersionsIsNotInDoubt) {
  ConfigFreshness Known;
  for (unsigned I = 0; I < 10; ++I) {
    TimePoint Now = Start + I * 400ms;
    (void)Known.recordReport(4 + I, 2 + I, Now);
    BOOST_TEST(!Known.isInDoubt(2 + I, Now));
    (void)Known.recordReport(4 + I, 3 + I, Now + 300ms);
  }
}

// Requests that arrived while the process stood still run where the
// configuration of after the pause allows.
BOOST_AUTO_TEST_CASE(RequestAfterAPauseWaitsForTheConfiguration) {
  TwoHomes Homes;
  Homes.upstream("e", East, nullptr, false);
  Homes.upstream("w", West, nullptr, false);
  GatewayState &State = Homes.m_Rig.m_State;
  State.m_OnPause = [&](Duration) {
    spawn(Homes.m_Rig.m_Io, [&]() -> awaitable<void> {
      TimePoint RequestedAt = steadyNow();
      co_await sleepFor(Homes.m_Rig.m_Io, 50ms);
      Homes.bind(West);
      State.m_Freshness.recordRead(RequestedAt, State.routesVersion());
    });
  };
  State.m_Pauses = PauseDetector(timeSinceBoot() - 5s);
  BOOST_TEST(Homes.m_Rig.ask(safeRequest("1")).m_Body == "west");
  BOOST_TEST((Homes.m_Arrived == Ids{"1@west"}));
}

// While nothing confirms the configuration, requests that it binds to a region
// are refused as not run, and the others are served.
BOOST_AUTO_TEST_CASE(UnconfirmedHomesAreARefusal) {
  LogCapture Log;
  TwoHomes Homes;
  Homes.upstream("e", East, nullptr, false);
  GatewayState &State = Homes.m_Rig.m_State;
  State.m_Pauses = PauseDetector(timeSinceBoot() - 5s);
  HttpResponse Response = Homes.m_Rig.ask(safeRequest("1"));
  BOOST_TEST(Response.m_Head.m_Status == 503U);
  BOOST_TEST(Response.m_Head.find("Retry-After") != nullptr);
  BOOST_TEST(Log.contains("configuration-in-doubt"));
  BOOST_TEST(Homes.m_Arrived.empty());
  auto Open = std::make_shared<RouteTable>();
  Route Unbound = *State.m_Routes->find("h", "/safe/");
  Unbound.m_AllowedRegions.clear();
  Open->add("h", Unbound);
  State.m_Routes = Open;
  BOOST_TEST(Homes.m_Rig.ask(safeRequest("2")).m_Head.m_Status == 200U);
}

// The same while peers have had a newer version for over a second.
BOOST_AUTO_TEST_CASE(HomesThatPeersHaveReplacedAreARefusal) {
  TwoHomes Homes;
  Homes.upstream("e", East, nullptr, false);
  GatewayState &State = Homes.m_Rig.m_State;
  (void)State.m_Freshness.recordReport(
      State.routesVersion() + 1, State.routesVersion(), steadyNow() - 1100ms);
  BOOST_TEST(Homes.m_Rig.ask(safeRequest("1")).m_Head.m_Status == 503U);
  BOOST_TEST(Homes.m_Arrived.empty());
  Homes.bind(East);
  BOOST_TEST(Homes.m_Rig.ask(safeRequest("2")).m_Head.m_Status == 200U);
}

BOOST_AUTO_TEST_SUITE_END()
