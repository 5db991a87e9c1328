/// \file
/// Belief about one upstream: load, failures, new runs.
#define BOOST_TEST_DYN_LINK
#include "support/two_regions.h"

namespace mustardspoke::steer {

BOOST_AUTO_TEST_SUITE(UpstreamBelief)

BOOST_AUTO_TEST_CASE(RequestsOnTheWayAreNotLoad) {
  TwoRegions W;
  UpstreamPtr Far = W.m_Table.find("l0");
  Far->connected(100ms);
  for (int I = 0; I < 20; ++I)
    (void)Far->succeeded(Start, 200ms, 0, W.m_Tuning.m_Judgement);
  Far->m_InFlight = 4;
  BOOST_TEST(Far->load(Start, W.m_Tuning.m_Judgement) < 2.5);
}

BOOST_AUTO_TEST_CASE(CrashedUpstreamIsEjectedAndComesBack) {
  TwoRegions W;
  UpstreamPtr One = W.m_Table.find("l1");
  BOOST_TEST(!One->failed(Start, W.m_Tuning.m_Judgement));
  BOOST_TEST(One->failed(Start, W.m_Tuning.m_Judgement));
  BOOST_TEST(One->ejected(Start + 100ms));
  BOOST_TEST(!One->ejected(Start + 1s));
}

BOOST_AUTO_TEST_CASE(SameIdBornAgainForgetsWhatWasMeasured) {
  TwoRegions W;
  UpstreamPtr One = W.m_Table.find("l1");
  One->m_SaidLeaving = true;
  (void)One->failed(Start, W.m_Tuning.m_Judgement);
  (void)One->failed(Start, W.m_Tuning.m_Judgement);
  UpstreamFacts Facts = One->m_Facts;
  Facts.m_BornMs = 5;
  Facts.m_ColdFor = 3s;
  auto Change = W.m_Table.put(Facts, Start);
  BOOST_TEST((Change->m_Kind == UpstreamChange::Kind::Reborn));
  BOOST_TEST(One->usable());
  BOOST_TEST(!One->ejected(Start));
  BOOST_TEST(One->cold(Start + 1s));
}

BOOST_AUTO_TEST_CASE(UpstreamThatAnswersOthersIsEjectedOnlyForManyFailures) {
  TwoRegions W;
  const UpstreamJudgement &By = W.m_Tuning.m_Judgement;
  UpstreamPtr One = W.m_Table.find("l1");
  BOOST_TEST(!One->answeredSince(Start));
  (void)One->succeeded(Start + 1s, 100ms, 0, By);
  BOOST_TEST(One->answeredSince(Start));
  BOOST_TEST(!One->answeredSince(Start + 2s));
  // One of ten requests runs into its deadline at a slow upstream; at one that
  // loses its answers, two of three do.
  auto Ejects = [&One, &By](int AnswersPerFailure) {
    bool Result = false;
    for (int I = 0; I < 30; ++I) {
      for (int K = 0; K < AnswersPerFailure; ++K)
        (void)One->succeeded(Start, 100ms, 0, By);
      Result = Result || One->failed(Start, By, true) ||
               One->failed(Start, By, true);
    }
    return Result;
  };
  BOOST_TEST(!Ejects(18));
  BOOST_TEST(Ejects(1));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace mustardspoke::steer
