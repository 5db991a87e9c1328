/// \file
/// Shares of keys that a region serves, and overflow into others.
#define BOOST_TEST_DYN_LINK
#include "support/two_regions.h"

namespace mustardspoke::steer {

namespace {

/// \brief The small region's share after \p Steps with so many requests at each
/// of its upstreams, of four slots, and none elsewhere.
double shareAfter(unsigned InFlight, int Steps,
                  const LocalShareTuning &Tuning) {
  TwoRegions W;
  LocalShares Shares;
  TimePoint Now = Start;
  Shares.update(W.m_Table, Small, Now, Tuning);
  for (const char *Id : {"s0", "s1"})
    W.m_Table.find(Id)->m_InFlight = InFlight;
  for (int I = 0; I < Steps; ++I)
    Shares.update(W.m_Table, Small, Now += Tuning.m_Every, Tuning);
  return Shares.of(Stock);
}

/// \brief Of 1,000 requests to the small region's full upstreams, those that
/// ran elsewhere.
unsigned movedAtOnce(const LocalShareTuning &Tuning) {
  TwoRegions W;
  LocalShares Shares;
  Shares.update(W.m_Table, Small, Start, Tuning);
  for (const char *Id : {"s0", "s1"})
    W.m_Table.find(Id)->m_InFlight = 40;
  unsigned Elsewhere = 0;
  for (int Key = 0; Key < 1000; ++Key) {
    Shares.request(Stock, Tuning);
    ChoiceInput In = W.input(Key);
    In.m_LocalShare = 1;
    In.m_MayOverflow = Shares.mayOverflow(Stock, Start, Tuning);
    Choice Picked = chooseByKeyNearFirst(In, W.m_Table, Small, W.m_Tuning);
    if (!Picked.m_Overflows)
      continue;
    Shares.overflowed(Stock);
    ++Elsewhere;
  }
  return Elsewhere;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RegionShares)

BOOST_AUTO_TEST_CASE(BusyRegionExportsInSmallStepsToALessBusyOne) {
  TwoRegions W;
  LocalShares Shares;
  LocalShareTuning Tuning;
  Shares.update(W.m_Table, Small, Start, Tuning);
  double First = Shares.of(Stock);
  // Two of ten upstreams, two regions, and room for the cold start.
  BOOST_TEST(First == 0.4 * Tuning.m_ShortStart);
  for (const char *Id : {"s0", "s1"})
    W.m_Table.find(Id)->m_InFlight = 4;
  TimePoint Now = Start;
  for (int I = 0; I < 10; ++I)
    Shares.update(W.m_Table, Small, Now += Tuning.m_Every, Tuning);
  BOOST_TEST(Shares.of(Stock) < First);
  BOOST_TEST(Shares.of(Stock) > First - 0.15); // Within two seconds.
}

BOOST_AUTO_TEST_CASE(OverloadEverywhereExportsNothing) {
  TwoRegions W;
  LocalShares Shares;
  LocalShareTuning Tuning;
  Shares.update(W.m_Table, Small, Start, Tuning);
  W.fillAll(12);
  TimePoint Now = Start;
  for (int I = 0; I < 50; ++I)
    Shares.update(W.m_Table, Small, Now += Tuning.m_Every, Tuning);
  BOOST_TEST(Shares.of(Stock) == 0.4 * Tuning.m_ShortStart);
}

BOOST_AUTO_TEST_CASE(RisingWaveFindsRoomInItsRegion) {
  LocalShareTuning Tuning;
  double First = 0.4 * Tuning.m_ShortStart;
  // Two of four slots busy: no keys come in for a wave to double.
  BOOST_TEST(shareAfter(2, 50, Tuning) == First);
  BOOST_TEST(shareAfter(1, 50, Tuning) > First);
  // Control: without a band they come in until the region is nearly full.
  Tuning.m_Idle = Tuning.m_Busy;
  BOOST_TEST(shareAfter(2, 50, Tuning) > First);
}

BOOST_AUTO_TEST_CASE(ColdStartOfASmallRegionMovesFewRequestsAtOnce) {
  LocalShareTuning Tuning;
  // A region may move 0.15 in two seconds; ten steps of the share take 0.11.
  BOOST_TEST(movedAtOnce(Tuning) <= 40U);
  BOOST_TEST(movedAtOnce(Tuning) > 0U);
  // Control: without a bound all go.
  Tuning.m_Overflow = 1;
  BOOST_TEST(movedAtOnce(Tuning) > 900U);
}

BOOST_AUTO_TEST_CASE(RegionShortOfSlotsStartsWithRoomForKeysThatNobodyHolds) {
  TwoRegions W;
  LocalShareTuning Tuning;
  LocalShares OfSmall;
  OfSmall.update(W.m_Table, Small, Start, Tuning);
  // Two of ten upstreams for one of two regions.
  BOOST_TEST(OfSmall.of(Stock) < 0.4);
  LocalShares OfLarge;
  OfLarge.update(W.m_Table, Large, Start, Tuning);
  BOOST_TEST(OfLarge.of(Stock) == 1);
  Tuning.m_ShortStart = 1; // Control.
  LocalShares BySlots;
  BySlots.update(W.m_Table, Small, Start, Tuning);
  BOOST_TEST(BySlots.of(Stock) == 0.4);
}

BOOST_AUTO_TEST_CASE(LossInTheOwnRegionLetsRequestsOverflow) {
  TwoRegions W;
  LocalShares Shares;
  LocalShareTuning Tuning;
  Shares.update(W.m_Table, Small, Start, Tuning);
  Shares.request(Stock, Tuning);
  BOOST_TEST(!Shares.mayOverflow(Stock, Start, Tuning));
  (void)W.m_Table.remove("s0");
  TimePoint Now = Start + Tuning.m_Every;
  Shares.update(W.m_Table, Small, Now, Tuning);
  BOOST_TEST(Shares.mayOverflow(Stock, Now, Tuning));
  BOOST_TEST(!Shares.mayOverflow(Stock, Now + 20s, Tuning));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace mustardspoke::steer
