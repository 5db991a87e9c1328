/// \file
/// The adapter's store client against a store that comes back older.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "support/store_rig.h"

using namespace mustardspoke;
using namespace mustardspoke::steer;
using test::StoreRig;

BOOST_AUTO_TEST_SUITE(StoreEra)

BOOST_AUTO_TEST_CASE(ReadsOfANewEraFollowThoseOfTheOldOne) {
  StoreRig R;
  R.m_StandIn.put("t", "kept", "1");
  R.m_StandIn.backUp();
  R.m_StandIn.put("t", "lost", "2");
  StoreResult Before = R.run(R.m_Store->read("t"));
  BOOST_TEST(Before.m_Rows.size() == 2U);
  BOOST_TEST(eraOf(Before.m_Version) == 1U);
  R.m_StandIn.comeBackOlder();
  StoreResult After = R.run(R.m_Store->read("t"));
  BOOST_TEST(After.m_Rows.size() == 1U);
  BOOST_TEST(eraOf(After.m_Version) == 2U);
  BOOST_TEST(versionOf(After.m_Version) < versionOf(Before.m_Version));
  BOOST_TEST(After.m_Version > Before.m_Version);
}

// The version was given out again, so the store knows it and answers 200.
BOOST_AUTO_TEST_CASE(FeedFromAVersionOfTheOldEraNeedsAFullRead) {
  StoreRig R;
  R.m_StandIn.backUp();
  R.m_StandIn.put("t", "lost", "1");
  std::uint64_t After = R.run(R.m_Store->read("t")).m_Version;
  R.m_StandIn.comeBackOlder();
  StoreResult Gone = R.run(R.m_Store->changes("t", After, 100ms));
  BOOST_TEST((Gone.m_CallStatus == StoreCallStatus::HistoryGone));
  for (int I = 0; I < 3; ++I)
    R.m_StandIn.put("t", "new" + std::to_string(I), "2");
  Gone = R.run(R.m_Store->changes("t", After, 100ms));
  BOOST_TEST((Gone.m_CallStatus == StoreCallStatus::HistoryGone));
  std::uint64_t Current = R.run(R.m_Store->read("t")).m_Version;
  R.m_StandIn.put("t", "next", "3");
  StoreResult Feed = R.run(R.m_Store->changes("t", Current, 100ms));
  BOOST_TEST((Feed.m_CallStatus == StoreCallStatus::Done));
  BOOST_TEST(Feed.m_Rows.size() == 1U);
}

BOOST_AUTO_TEST_CASE(ConditionOfTheOldEraIsNotMetByARepeatedVersion) {
  StoreRig R;
  R.m_StandIn.backUp();
  R.m_StandIn.put("t", "k", "old");
  StoreWrite Write;
  Write.m_Row = {"t", "k", "mine"};
  Write.m_Expected = R.run(R.m_Store->read("t")).m_Rows.front().m_Version;
  R.m_StandIn.comeBackOlder();
  R.m_StandIn.put("t", "k", "another"); // At the same version.
  StoreResult Read = R.run(R.m_Store->read("t"));
  BOOST_TEST(versionOf(Read.m_Rows.front().m_Version) ==
             versionOf(*Write.m_Expected));
  StoreResult Result = R.run(R.m_Store->write(Write));
  BOOST_TEST((Result.m_CallStatus == StoreCallStatus::Conflict));
}

BOOST_AUTO_TEST_SUITE_END()
