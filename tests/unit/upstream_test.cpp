/// \file
/// Observed state of one upstream: load, failures and restarts.
#define BOOST_TEST_DYN_LINK
#include "support/two_regions.h"

namespace mustardspoke::steer {

BOOST_AUTO_TEST_SUITE(UpstreamState)

BOOST_AUTO_TEST_CASE(RequestsInTransitAreNotLoad) {
  TwoRegions System;
  UpstreamPtr Remote = System.m_Table.find("l0");
  Remote->recordConnect(100ms);
  for (int I = 0; I < 20; ++I)
    (void)Remote->recordSuccess(Start, 200ms, 0,
                                System.m_Tuning.m_HealthTuning);
  Remote->m_InFlight = 4;
  BOOST_TEST(Remote->load(Start, System.m_Tuning.m_HealthTuning) < 2.5);
}

BOOST_AUTO_TEST_CASE(CrashedUpstreamIsEjectedForALimitedTime) {
  TwoRegions System;
  UpstreamPtr Entry = System.m_Table.find("l1");
  BOOST_TEST(!Entry->recordFailure(Start, System.m_Tuning.m_HealthTuning));
  BOOST_TEST(Entry->recordFailure(Start, System.m_Tuning.m_HealthTuning));
  BOOST_TEST(Entry->isEjected(Start + 100ms));
  BOOST_TEST(!Entry->isEjected(Start + 1s));
}

BOOST_AUTO_TEST_CASE(RestartUnderTheSameIdDiscardsMeasurements) {
  TwoRegions System;
  UpstreamPtr Entry = System.m_Table.find("l1");
  Entry->m_AnnouncedLeaving = true;
  (void)Entry->recordFailure(Start, System.m_Tuning.m_HealthTuning);
  (void)Entry->recordFailure(Start, System.m_Tuning.m_HealthTuning);
  UpstreamRegistration Registration = Entry->m_Registration;
  Registration.m_StartedMs = 5;
  Registration.m_WarmUpRemaining = 3s;
  auto Change = System.m_Table.put(Registration, Start);
  BOOST_TEST((Change->m_Kind == UpstreamChange::Kind::Restarted));
  BOOST_TEST(Entry->isUsable());
  BOOST_TEST(!Entry->isEjected(Start));
  BOOST_TEST(Entry->isCold(Start + 1s));
}

BOOST_AUTO_TEST_CASE(
    UpstreamThatAnswersOthersIsEjectedOnlyForAHighFailureRate) {
  TwoRegions System;
  const UpstreamHealthTuning &Tuning = System.m_Tuning.m_HealthTuning;
  UpstreamPtr Entry = System.m_Table.find("l1");
  BOOST_TEST(!Entry->hasAnsweredSince(Start));
  (void)Entry->recordSuccess(Start + 1s, 100ms, 0, Tuning);
  BOOST_TEST(Entry->hasAnsweredSince(Start));
  BOOST_TEST(!Entry->hasAnsweredSince(Start + 2s));
  // At a slow upstream one in ten requests times out; at an upstream that loses
  // its answers, two of three do.
  auto Ejects = [&Entry, &Tuning](int AnswersPerFailure) {
    bool Result = false;
    for (int I = 0; I < 30; ++I) {
      for (int K = 0; K < AnswersPerFailure; ++K)
        (void)Entry->recordSuccess(Start, 100ms, 0, Tuning);
      Result = Result || Entry->recordFailure(Start, Tuning, true) ||
               Entry->recordFailure(Start, Tuning, true);
    }
    return Result;
  };
  BOOST_TEST(!Ejects(18));
  BOOST_TEST(Ejects(1));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace mustardspoke::steer
