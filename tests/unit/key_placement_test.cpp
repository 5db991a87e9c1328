/// \file
/// Which of a key's first two upstreams holds it.
#include "support/exchange_rig.h"
#include "support/two_regions.h"

#include <map>
#include <set>

using namespace mustardspoke;
using namespace mustardspoke::steer;
using namespace mustardspoke::test;

namespace {

constexpr Duration Held = 120ms;
constexpr Duration Cold = 400ms;
const std::uint64_t StockHash = stableHash(Stock.str());

PlacementKey keyOf(int Number) {
  return {StockHash, stableHash(std::to_string(Number))};
}

/// \brief The fixture's regions, with known processing times and a number of
/// keys that have been requested for two intervals.
struct PlacedKeys : TwoRegions {
  KeyPlacement m_Placement;

  explicit PlacedKeys(int Keys) {
    UpstreamPtr Any = m_Table.find("l0");
    for (int Round = 2; Round >= 0; --Round)
      for (int Key = 0; Key < Keys; ++Key)
        m_Placement.recordSent(keyOf(Key), *Any,
                               Start - Round * KeyPlacement::CountInterval);
    m_Route.m_KeyAffinity = true;
  }

  /// \brief The upstream for a key, if \p MovesKeys may move it.
  std::string upstreamFor(int Key, bool MovesKeys = true) {
    ChoiceInput Input = input(Key);
    if (MovesKeys) {
      Input.m_Placement = &m_Placement;
      Input.m_PlacementKey = keyOf(Key);
      Input.m_ProcessingTimes = {Held, Cold};
    }
    Choice Selected = chooseByKeyLocalFirst(Input, m_Table, Large, m_Tuning);
    BOOST_REQUIRE(Selected.m_Upstream);
    return Selected.m_Upstream->m_Registration.m_Id;
  }

  /// \brief Has an upstream show this load for several seconds.
  void keepBusy(const std::string &Id, double Load) {
    UpstreamPtr Target = m_Table.find(Id);
    Target->m_PeerActiveRequests = Load;
    for (Duration Passed{}; Passed < 10s; Passed += 250ms)
      Target->sampleLoad(Start - 10s + Passed, m_Tuning.m_HealthTuning);
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(KeyPlacements)

/// Random ranks give some upstreams several times as many keys as others; these
/// were overloaded while others were idle.
BOOST_AUTO_TEST_CASE(KeysOfABusyUpstreamMoveToTheirSecondOne) {
  PlacedKeys System(20);
  System.keepBusy("l0", 3.9);
  unsigned Moved = 0;
  for (int Key = 0; Key < 200; ++Key) {
    std::string ByRank = System.upstreamFor(Key, false);
    std::string Placed = System.upstreamFor(Key);
    if (ByRank == "l0")
      ++Moved;
    BOOST_TEST((ByRank == "l0") == (Placed != ByRank));
  }
  BOOST_TEST(Moved > 10U);
}

/// Each move has a request processed without its key, which takes three times
/// as long: at loads that no request is late for, keys stay.
BOOST_AUTO_TEST_CASE(KeysStayAtModerateLoads) {
  PlacedKeys System(20);
  System.keepBusy("l0", 2);
  for (int Key = 0; Key < 200; ++Key)
    BOOST_TEST(System.upstreamFor(Key) == System.upstreamFor(Key, false));
}

/// Under a shortage of the whole service, keys that moved had others evicted,
/// and all requests took longer.
BOOST_AUTO_TEST_CASE(KeysStayIfAllUpstreamsAreBusy) {
  PlacedKeys System(20);
  for (const std::string &Id : System.m_Table.ids())
    System.keepBusy(Id, Id == "l0" ? 3.9 : 3.7);
  for (int Key = 0; Key < 200; ++Key)
    BOOST_TEST(System.upstreamFor(Key) == System.upstreamFor(Key, false));
}

/// Upstreams with many keys each would evict some of them for others.
BOOST_AUTO_TEST_CASE(KeysStayIfUpstreamsHaveManyOfThem) {
  PlacedKeys System(200);
  System.keepBusy("l0", 3.9);
  for (int Key = 0; Key < 200; ++Key)
    BOOST_TEST(System.upstreamFor(Key) == System.upstreamFor(Key, false));
}

/// VMs that send a key to different upstreams have it processed, and kept, at
/// both. Their reports differ slightly.
BOOST_AUTO_TEST_CASE(VmsWithSlightlyDifferentReportsAgreeOnMostKeys) {
  PlacedKeys First(20);
  PlacedKeys Second(20);
  First.keepBusy("l0", 3.9);
  Second.keepBusy("l0", 3.8);
  unsigned Different = 0;
  for (int Key = 0; Key < 200; ++Key)
    Different += First.upstreamFor(Key) != Second.upstreamFor(Key) ? 1 : 0;
  BOOST_TEST(Different <= 10U);
}

/// With the upstream that holds a key gone, the next one takes it at once, and
/// the key isn't taken for held there.
BOOST_AUTO_TEST_CASE(LostHolderIsReplacedByTheNextOne) {
  PlacedKeys System(20);
  std::string Lost = System.upstreamFor(7);
  System.m_Placement.recordSent(keyOf(7), *System.m_Table.find(Lost), Start);
  BOOST_REQUIRE(System.m_Table.remove(Lost, Start).has_value());
  std::string Next = System.upstreamFor(7);
  BOOST_TEST(Next != Lost);
  BOOST_TEST(
      !System.m_Placement.isHeld(keyOf(7), *System.m_Table.find(Next), Start));
}

BOOST_AUTO_TEST_CASE(HeldKeysLapseAndRestartsForgetThem) {
  PlacedKeys System(1);
  UpstreamPtr Target = System.m_Table.find("l1");
  System.m_Placement.recordSent(keyOf(3), *Target, Start);
  BOOST_TEST(System.m_Placement.isHeld(keyOf(3), *Target, Start + 1s));
  BOOST_TEST(!System.m_Placement.isHeld(keyOf(4), *Target, Start + 1s));
  BOOST_TEST(!System.m_Placement.isHeld({StockHash + 1, keyOf(3).m_KeyHash},
                                        *Target, Start + 1s));
  BOOST_TEST(!System.m_Placement.isHeld(keyOf(3), *Target,
                                        Start + KeyPlacement::HoldTime));
  Target->m_Registration.m_StartedMs = 5;
  BOOST_TEST(!System.m_Placement.isHeld(keyOf(3), *Target, Start + 1s));
}

/// A flood of keys that are used once must neither fill the memory nor keep the
/// keys from being counted.
BOOST_AUTO_TEST_CASE(FloodOfNewKeysKeepsTheTableBounded) {
  PlacedKeys System(1);
  UpstreamPtr Target = System.m_Table.find("l1");
  for (int Key = 0; Key < 100'000; ++Key)
    System.m_Placement.recordSent(keyOf(Key), *Target, Start + 1s);
  BOOST_TEST(System.m_Placement.activeKeys(StockHash).value() > 50'000U);
  BOOST_TEST(System.m_Placement.isHeld(keyOf(99'999), *Target, Start + 1s));
}

/// The argument that passes the key to the choice was once lost in a merge, and
/// keys were placed by rank alone without any other sign.
BOOST_AUTO_TEST_CASE(RequestPathKnowsWhichKeysAreHeld) {
  ExchangeRig Rig;
  Rig.upstream("u", [](ServerSide &Side) -> awaitable<void> {
    for (std::string Id = co_await Side.readRequest(); !Id.empty();
         Id = co_await Side.readRequest()) {
      co_await Side.sleep(5ms);
      co_await Side.respond(Id, "ok");
    }
  });
  auto Changed = std::make_shared<RouteTable>();
  Route WithAffinity = *Rig.m_State.m_Routes->find("h", "/safe/x");
  WithAffinity.m_KeyAffinity = true;
  Changed->add("h", WithAffinity);
  Rig.m_State.m_Routes = Changed;
  auto Times = [&Rig] {
    return Rig.m_State.m_Upstreams.processingTimes(ServiceName("s"));
  };
  BOOST_TEST(
      Rig.ask(safeRequest("1", "X-Affinity-Key: k\r\n")).m_Head.m_Status ==
      200U);
  BOOST_TEST((Times().m_Cold > Duration::zero()));
  BOOST_TEST((Times().m_Held == Duration::zero()));
  BOOST_TEST(
      Rig.ask(safeRequest("2", "X-Affinity-Key: k\r\n")).m_Head.m_Status ==
      200U);
  BOOST_TEST((Times().m_Held > Duration::zero()));
}

BOOST_AUTO_TEST_SUITE_END()

/// Servers on shared machines tell how long work takes there at the moment.
BOOST_AUTO_TEST_SUITE(Paces)

BOOST_AUTO_TEST_CASE(ReportedPaceCountsWhileItIsFresh) {
  TwoRegions System;
  UpstreamPtr Target = System.m_Table.find("l0");
  const UpstreamHealthTuning &Tuning = System.m_Tuning.m_HealthTuning;
  BOOST_TEST(Target->pace(Start, Tuning) == 1);
  Target->recordLoadReport({1, 0, 4, 2.5}, Start);
  BOOST_TEST(Target->pace(Start + 100ms, Tuning) == 2.5);
  BOOST_TEST(Target->pace(Start + 1s, Tuning) == 1);
  Target->recordLoadReport({1, 0, 4, std::nullopt}, Start + 1s);
  BOOST_TEST(Target->pace(Start + 1s, Tuning) == 1);
}

/// Without the pace, a request waits behind others on a machine that has just
/// become slow, and is late.
BOOST_AUTO_TEST_CASE(QueueOnASlowMachineIsLeftForAnotherUpstream) {
  for (auto Pace : {std::optional<double>(4), std::optional<double>()}) {
    TwoRegions System;
    std::string Usual = System.choose(1, Large).m_Upstream->m_Registration.m_Id;
    System.m_Table.find(Usual)->recordLoadReport({4, 1, 4, Pace}, Start);
    std::string Selected =
        System.choose(1, Large).m_Upstream->m_Registration.m_Id;
    BOOST_TEST((Selected != Usual) == Pace.has_value());
  }
}

BOOST_AUTO_TEST_SUITE_END()
