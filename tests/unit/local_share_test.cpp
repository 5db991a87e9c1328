/// \file
/// Share of keys that a region serves itself, and overflow into other regions.
#define BOOST_TEST_DYN_LINK
#include "support/two_regions.h"

namespace mustardspoke::steer {

namespace {

/// \brief The small region's share after \p Steps with \p InFlight requests at
/// each of its upstreams, which have four slots, and none in the large region.
double shareAfter(unsigned InFlight, int Steps,
                  const LocalShareTuning &Tuning) {
  TwoRegions System;
  LocalShares Shares;
  TimePoint Now = Start;
  Shares.update(System.m_Table, Small, Now, Tuning);
  for (const char *Id : {"s0", "s1"})
    System.m_Table.find(Id)->m_InFlight = InFlight;
  for (int I = 0; I < Steps; ++I)
    Shares.update(System.m_Table, Small, Now += Tuning.m_StepInterval, Tuning);
  return Shares.shareOf(Stock);
}

/// \brief Of 1,000 requests in the small region, whose upstreams are full, the
/// number that overflow into the large region.
unsigned overflowCount(const LocalShareTuning &Tuning) {
  TwoRegions System;
  LocalShares Shares;
  Shares.update(System.m_Table, Small, Start, Tuning);
  for (const char *Id : {"s0", "s1"})
    System.m_Table.find(Id)->m_InFlight = 40;
  unsigned Overflowed = 0;
  for (int Key = 0; Key < 1000; ++Key) {
    Shares.recordRequest(Stock, Tuning);
    ChoiceInput Input = System.input(Key);
    Input.m_LocalShare = 1;
    Input.m_MayOverflow = Shares.mayOverflow(Stock, Start, Tuning);
    Choice Selected =
        chooseByKeyLocalFirst(Input, System.m_Table, Small, System.m_Tuning);
    Shares.recordChoice(Stock, Selected);
    Overflowed += Selected.m_IsOverflow ? 1 : 0;
  }
  return Overflowed;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RegionShares)

BOOST_AUTO_TEST_CASE(BusyRegionMovesKeysOutInSmallSteps) {
  TwoRegions System;
  LocalShares Shares;
  LocalShareTuning Tuning;
  Shares.update(System.m_Table, Small, Start, Tuning);
  double Initial = Shares.shareOf(Stock);
  // Two of ten upstreams, two regions, reduced for the cold start.
  BOOST_TEST(Initial == 0.4 * Tuning.m_InitialShareFactor);
  for (const char *Id : {"s0", "s1"})
    System.m_Table.find(Id)->m_InFlight = 4;
  TimePoint Now = Start;
  for (int I = 0; I < 10; ++I)
    Shares.update(System.m_Table, Small, Now += Tuning.m_StepInterval, Tuning);
  BOOST_TEST(Shares.shareOf(Stock) < Initial);
  BOOST_TEST(Shares.shareOf(Stock) > Initial - 0.15); // Within two seconds.
}

BOOST_AUTO_TEST_CASE(OverloadInAllRegionsMovesNoKeys) {
  TwoRegions System;
  LocalShares Shares;
  LocalShareTuning Tuning;
  Shares.update(System.m_Table, Small, Start, Tuning);
  System.fillAll(12);
  TimePoint Now = Start;
  for (int I = 0; I < 50; ++I)
    Shares.update(System.m_Table, Small, Now += Tuning.m_StepInterval, Tuning);
  BOOST_TEST(Shares.shareOf(Stock) == 0.4 * Tuning.m_InitialShareFactor);
}

BOOST_AUTO_TEST_CASE(RegionKeepsSpareCapacityForTrafficIncreases) {
  LocalShareTuning Tuning;
  double Initial = 0.4 * Tuning.m_InitialShareFactor;
  // At two of four busy slots no keys move back, as a traffic increase could
  // double the load.
  BOOST_TEST(shareAfter(2, 50, Tuning) == Initial);
  BOOST_TEST(shareAfter(1, 50, Tuning) > Initial);
  // Control: with equal thresholds, keys move back until the region is nearly
  // full.
  Tuning.m_LowUtilization = Tuning.m_HighUtilization;
  BOOST_TEST(shareAfter(2, 50, Tuning) > Initial);
}

BOOST_AUTO_TEST_CASE(ColdStartOfASmallRegionOverflowsFewRequests) {
  LocalShareTuning Tuning;
  // A region may move 0.15 of its requests within two seconds; ten steps of the
  // share use 0.08 of it.
  BOOST_TEST(overflowCount(Tuning) <= 40U);
  BOOST_TEST(overflowCount(Tuning) > 0U);
  // Control: without a limit almost all requests overflow.
  Tuning.m_OverflowFraction = 1;
  BOOST_TEST(overflowCount(Tuning) > 900U);
}

BOOST_AUTO_TEST_CASE(RegionShortOfSlotsStartsWithAReducedShare) {
  TwoRegions System;
  LocalShareTuning Tuning;
  LocalShares SmallShares;
  SmallShares.update(System.m_Table, Small, Start, Tuning);
  // Two of ten upstreams for one of two regions.
  BOOST_TEST(SmallShares.shareOf(Stock) < 0.4);
  LocalShares LargeShares;
  LargeShares.update(System.m_Table, Large, Start, Tuning);
  BOOST_TEST(LargeShares.shareOf(Stock) == 1);
  Tuning.m_InitialShareFactor = 1; // Control: no reduction.
  LocalShares UnreducedShares;
  UnreducedShares.update(System.m_Table, Small, Start, Tuning);
  BOOST_TEST(UnreducedShares.shareOf(Stock) == 0.4);
}

// Guards against a share that was derived from the first registrations a VM
// happened to know: a region whose upstream registered first kept all keys.
BOOST_AUTO_TEST_CASE(ShareDoesNotDependOnWhichUpstreamRegistersFirst) {
  LocalShareTuning Tuning;
  for (const char *First : {"s0", "l0"}) {
    TwoRegions System;
    UpstreamTable Table; // As one VM comes to know it.
    auto Register = [&](const std::string &Id) {
      (void)Table.put(System.m_Table.find(Id)->m_Registration, Start);
    };
    LocalShares Shares;
    TimePoint Now = Start;
    Register(First);
    Shares.update(Table, Small, Now, Tuning);
    for (const std::string &Id : System.m_Table.ids())
      Register(Id);
    Shares.update(Table, Small, Now += Tuning.m_StepInterval, Tuning);
    BOOST_TEST(Shares.shareOf(Stock) == 0.4 * Tuning.m_InitialShareFactor);
  }
}

// Guards against the first requests after a start of the VM, which came before
// the first step of the share and all went to the own region.
BOOST_AUTO_TEST_CASE(FirstRequestAfterAStartUsesAShareBySlots) {
  TwoRegions System;
  LocalShares Shares;
  LocalShareTuning Tuning;
  Shares.deriveMissing(Stock, System.m_Table, Small, Start, Tuning);
  BOOST_TEST(Shares.shareOf(Stock) == 0.4 * Tuning.m_InitialShareFactor);
  // The requests in flight at the first step don't change that.
  System.fillAll(2);
  Shares.update(System.m_Table, Small, Start + Tuning.m_StepInterval, Tuning);
  BOOST_TEST(Shares.shareOf(Stock) == 0.4 * Tuning.m_InitialShareFactor);
}

// Guards against keys that were assigned to a small region because it was idle
// before the first request: its slots were full at once.
BOOST_AUTO_TEST_CASE(ShareDoesNotGrowWithoutRequests) {
  LocalShareTuning Tuning;
  BOOST_TEST(shareAfter(0, 50, Tuning) == 0.4 * Tuning.m_InitialShareFactor);
}

// Guards against a peer with a different share, such as one that has just
// started or was cut off, moving many keys of the region at once.
BOOST_AUTO_TEST_CASE(DivergentPeerMovesTheShareByOneStepAtMost) {
  TwoRegions System;
  LocalShares Shares;
  LocalShareTuning Tuning;
  System.fillAll(2);
  TimePoint Now = Start;
  for (int I = 0; I < 50; ++I)
    Shares.update(System.m_Table, Small, Now += Tuning.m_StepInterval, Tuning);
  double Before = Shares.shareOf(Stock);
  Shares.receivedLocalShare(stableHash(Stock.str()), 1);
  Shares.update(System.m_Table, Small, Now += Tuning.m_StepInterval, Tuning);
  BOOST_TEST(Shares.shareOf(Stock) > Before);
  BOOST_TEST(Shares.shareOf(Stock) <= Before + Tuning.m_MaxStep);
}

BOOST_AUTO_TEST_CASE(LossOfALocalUpstreamAllowsOverflow) {
  TwoRegions System;
  LocalShares Shares;
  LocalShareTuning Tuning;
  Shares.update(System.m_Table, Small, Start, Tuning);
  Shares.recordRequest(Stock, Tuning);
  BOOST_TEST(!Shares.mayOverflow(Stock, Start, Tuning));
  (void)System.m_Table.remove("s0", Start);
  TimePoint Now = Start + Tuning.m_StepInterval;
  Shares.update(System.m_Table, Small, Now, Tuning);
  BOOST_TEST(Shares.mayOverflow(Stock, Now, Tuning));
  BOOST_TEST(!Shares.mayOverflow(Stock, Now + 20s, Tuning));
}

// Guards against overflow without a limit in a region that is merely
// overloaded: requests that time out in the queue of an upstream eject it.
BOOST_AUTO_TEST_CASE(TimeoutsAtABusyUpstreamDontAllowOverflow) {
  auto MayOverflowAfter = [](bool AnswersOthers) {
    TwoRegions System;
    LocalShares Shares;
    LocalShareTuning Tuning;
    TimePoint Now = Start;
    Shares.update(System.m_Table, Small, Now, Tuning);
    Shares.recordRequest(Stock, Tuning);
    UpstreamPtr Busy = System.m_Table.find("s0");
    Now += Tuning.m_StepInterval;
    while (!Busy->isEjected(Now))
      (void)Busy->recordFailure(Now, System.m_Tuning.m_HealthTuning,
                                AnswersOthers);
    Shares.update(System.m_Table, Small, Now, Tuning);
    return Shares.mayOverflow(Stock, Now, Tuning);
  };
  BOOST_TEST(!MayOverflowAfter(true));
  BOOST_TEST(MayOverflowAfter(false)); // Control: it answers nobody.
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace mustardspoke::steer
