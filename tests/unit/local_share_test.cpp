/// \file
/// Shares of keys that a region serves, and overflow into others.
#define BOOST_TEST_DYN_LINK
#include "support/two_regions.h"

namespace mustardspoke::steer {

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
  TwoRegions W;
  LocalShares Shares;
  LocalShareTuning Tuning;
  Shares.update(W.m_Table, Small, Start, Tuning);
  double First = Shares.of(Stock);
  auto StepsAt = [&, Now = Start](unsigned InFlight, int Count) mutable {
    for (const char *Id : {"s0", "s1"})
      W.m_Table.find(Id)->m_InFlight = InFlight;
    for (int I = 0; I < Count; ++I)
      Shares.update(W.m_Table, Small, Now += Tuning.m_Every, Tuning);
    return Shares.of(Stock);
  };
  // Two of four slots busy: no keys come in for a wave to double.
  BOOST_TEST(StepsAt(2, 50) == First);
  BOOST_TEST(StepsAt(1, 50) > First);
  BOOST_TEST(StepsAt(4, 10) < 1.0);
}

BOOST_AUTO_TEST_CASE(ColdStartOfASmallRegionMovesFewRequestsAtOnce) {
  TwoRegions W;
  LocalShares Shares;
  LocalShareTuning Tuning;
  Shares.update(W.m_Table, Small, Start, Tuning);
  for (const char *Id : {"s0", "s1"})
    W.m_Table.find(Id)->m_InFlight = 40;
  unsigned Sent = 0;
  unsigned Elsewhere = 0;
  for (int Key = 0; Key < 1000; ++Key) {
    Shares.request(Stock, Tuning);
    ChoiceInput In = W.input(Key);
    In.m_LocalShare = 1;
    In.m_MayOverflow = Shares.mayOverflow(Stock, Start, Tuning);
    Choice Picked = chooseByKeyNearFirst(In, W.m_Table, Small, W.m_Tuning);
    if (Picked.m_Overflows)
      Shares.overflowed(Stock);
    Sent += Picked.m_To ? 1 : 0;
    Elsewhere += Picked.m_Overflows ? 1 : 0;
  }
  BOOST_TEST(Elsewhere == Sent);
  // A region may move 0.15 in two seconds; ten steps of the share take 0.11.
  BOOST_TEST(Elsewhere <= 40U);
  BOOST_TEST(Elsewhere > 0U);
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
