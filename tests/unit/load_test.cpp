/// \file
/// Named courses of load through the decision modules, against the choice by
/// least load, which knows no keys, no target and no refusal.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "support/load_model.h"

#include <algorithm>
#include <string_view>

using namespace mustardspoke;
using namespace mustardspoke::test;

namespace {

/// \brief What each rule makes of one pattern and seed.
struct Compared {
  LoadResult m_Product;
  LoadResult m_Baseline;
};

LoadResult play(std::string_view Pattern, steer::UpstreamRule Rule,
                const LoadPlan &From = {}) {
  LoadPlan Plan = From;
  Plan.m_Choose = Rule;
  LoadModel Model(Plan);
  auto Found = std::ranges::find_if(
      loadPatterns(), [&](const auto &One) { return Pattern == One.m_Name; });
  BOOST_REQUIRE((Found != loadPatterns().end()));
  Found->m_Prepare(Model);
  return Model.run();
}

Compared compare(std::string_view Pattern) {
  return {play(Pattern, steer::chooseByKeyNearFirst),
          play(Pattern, steer::chooseLeastLoad)};
}

/// \brief Better for all callers, for the worst region and the worst second,
/// and no time lost to more work on keys that are not held.
void checkBetter(const Compared &Of) {
  BOOST_TEST(Of.m_Product.m_All.inTarget() > Of.m_Baseline.m_All.inTarget());
  BOOST_TEST(Of.m_Product.worstRegion() > Of.m_Baseline.worstRegion());
  BOOST_TEST(Of.m_Product.worstSecond() > Of.m_Baseline.worstSecond());
  BOOST_TEST((Of.m_Product.m_ColdWork < Of.m_Baseline.m_ColdWork));
}

} // namespace

BOOST_AUTO_TEST_SUITE(LoadPatterns)

BOOST_AUTO_TEST_CASE(OnePlanAndSeedGiveOneOutcome) {
  LoadResult First = play("burst", steer::chooseByKeyNearFirst);
  LoadResult Again = play("burst", steer::chooseByKeyNearFirst);
  BOOST_TEST(First.m_All.m_InTarget == Again.m_All.m_InTarget);
  BOOST_TEST(First.m_All.m_Late == Again.m_All.m_Late);
  LoadPlan Other;
  Other.m_Seed = 2;
  BOOST_TEST(
      play("burst", steer::chooseByKeyNearFirst, Other).m_All.m_InTarget !=
      First.m_All.m_InTarget);
}

BOOST_AUTO_TEST_CASE(Calm) { checkBetter(compare("calm")); }
BOOST_AUTO_TEST_CASE(Burst) { checkBetter(compare("burst")); }
BOOST_AUTO_TEST_CASE(MovedCallers) { checkBetter(compare("moved-callers")); }
BOOST_AUTO_TEST_CASE(SmallRegionAtItsPeak) {
  checkBetter(compare("small-region-at-its-peak"));
}
BOOST_AUTO_TEST_CASE(SlowTenth) { checkBetter(compare("slow-tenth")); }
BOOST_AUTO_TEST_CASE(GreyUpstream) { checkBetter(compare("grey-upstream")); }
BOOST_AUTO_TEST_CASE(ColdRegion) { checkBetter(compare("cold-region")); }
BOOST_AUTO_TEST_CASE(AllEntryVmsReborn) {
  checkBetter(compare("all-entry-vms-reborn"));
}
BOOST_AUTO_TEST_CASE(BurstAndSlowTenth) {
  checkBetter(compare("burst-and-slow-tenth"));
}

// Without refusals, queues at the upstreams make everybody late.
BOOST_AUTO_TEST_CASE(OverloadEverywhereIsRefusedEarlyAndServedInTime) {
  Compared Of = compare("overload-everywhere");
  checkBetter(Of);
  const LoadTally &All = Of.m_Product.m_All;
  BOOST_TEST(All.m_Lost == 0U);
  BOOST_TEST(All.m_Refused < Of.m_Baseline.m_All.m_Refused);
  BOOST_TEST(All.m_Late < Of.m_Baseline.m_All.m_Late);
}

// The control of admission and of the number of holders: the tuning before,
// with two holders a key and refusal from 0.75 of the target.
BOOST_AUTO_TEST_CASE(OverloadEverywhereIsServedBetterThanByTwoCautiousHolders) {
  LoadPlan Former;
  Former.m_Tuning.m_Holders = 2;
  Former.m_Tuning.m_TargetPart = 0.75;
  LoadResult Now = play("overload-everywhere", steer::chooseByKeyNearFirst);
  LoadResult Before =
      play("overload-everywhere", steer::chooseByKeyNearFirst, Former);
  BOOST_TEST(Now.m_All.inTarget() > Before.m_All.inTarget());
  BOOST_TEST(Now.worstRegion() > Before.worstRegion());
  BOOST_TEST(Now.m_All.m_Refused < Before.m_All.m_Refused);
  BOOST_TEST((Now.m_ColdWork < Before.m_ColdWork));
}

BOOST_AUTO_TEST_SUITE_END()
