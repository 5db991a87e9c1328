/// \file
/// Observed state of one upstream: load, failures and restarts.
#define BOOST_TEST_DYN_LINK
#include "support/two_regions.h"

#include <rapidcheck.h>

#include <set>

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
  (void)System.m_Table.announceLeaving(runKey(Entry->m_Registration), Start);
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

// A store that comes back from an older copy contains registrations as they
// were before an upstream announced its end, or left.
BOOST_AUTO_TEST_CASE(OlderRegistrationDoesNotBringALeavingUpstreamBack) {
  TwoRegions System;
  UpstreamPtr Entry = System.m_Table.find("l1");
  UpstreamRegistration Ready = Entry->m_Registration;
  Ready.m_StartedMs = 5;
  Ready.m_Sequence = {7};
  (void)System.m_Table.put(Ready, Start);
  UpstreamRegistration Leaving = Ready;
  Leaving.m_Leaving = true;
  Leaving.m_Sequence = {9};
  (void)System.m_Table.put(Leaving, Start);
  (void)System.m_Table.put(Ready, Start);
  BOOST_TEST(!System.m_Table.isUsable(*System.m_Table.find("l1")));
  (void)System.m_Table.remove("l1", Start);
  BOOST_TEST(!System.m_Table.put(Ready, Start).has_value());
  // Its own later update brings it back, but it is still leaving.
  Ready.m_Sequence = {10};
  BOOST_TEST(System.m_Table.put(Ready, Start).has_value());
  BOOST_TEST(!System.m_Table.isUsable(*System.m_Table.find("l1")));
  Ready.m_StartedMs = 6;
  Ready.m_Sequence = {1};
  BOOST_TEST(System.m_Table.put(Ready, Start).has_value());
  BOOST_TEST(System.m_Table.isUsable(*System.m_Table.find("l1")));
}

// Registrations that lapsed while the store was away come back.
BOOST_AUTO_TEST_CASE(LapsedRegistrationReturnsWithALaterUpdate) {
  TwoRegions System;
  UpstreamRegistration Ready = System.m_Table.find("l1")->m_Registration;
  Ready.m_StartedMs = 5;
  Ready.m_Sequence = {7};
  (void)System.m_Table.put(Ready, Start);
  (void)System.m_Table.remove("l1", Start);
  Ready.m_Sequence = {8};
  BOOST_TEST(System.m_Table.put(Ready, Start).has_value());
  BOOST_TEST(System.m_Table.isUsable(*System.m_Table.find("l1")));
}

// Guards against requests to a leaving upstream: it announced its end in an
// answer after its registration was gone, and then registered once more.
BOOST_AUTO_TEST_CASE(AnnouncementAfterTheRemovalIsKept) {
  TwoRegions System;
  UpstreamPtr Known = System.m_Table.find("l0");
  UpstreamRegistration Registration = Known->m_Registration;
  Registration.m_Sequence = {7};
  (void)System.m_Table.put(Registration, Start);
  (void)System.m_Table.remove("l0", Start);
  BOOST_TEST(System.m_Table.announceLeaving(runKey(Registration), Start));
  Registration.m_Sequence = {8};
  (void)System.m_Table.put(Registration, Start);
  UpstreamPtr Returned = System.m_Table.find("l0");
  BOOST_REQUIRE(Returned);
  BOOST_TEST(!Returned->isUsable());
}

// An upstream that crashes while it leaves returns as another run, under the
// same identifier, and is used again.
BOOST_AUTO_TEST_CASE(CrashWhileLeavingEndsTheAnnouncement) {
  TwoRegions System;
  UpstreamRegistration Registration = System.m_Table.find("l0")->m_Registration;
  Registration.m_StartedMs = 5000;
  (void)System.m_Table.put(Registration, Start);
  BOOST_TEST(System.m_Table.announceLeaving(runKey(Registration), Start));
  UpstreamRegistration Next = Registration;
  Next.m_StartedMs = 9000;
  (void)System.m_Table.put(Next, Start + 4s);
  BOOST_TEST(System.m_Table.find("l0")->isUsable());
  // The announcement of the earlier run travels on among the peers.
  (void)System.m_Table.announceLeaving(runKey(Registration), Start + 5s);
  BOOST_TEST(System.m_Table.find("l0")->isUsable());
  // A peer may know the new run's announcement before its registration.
  Next.m_StartedMs = 12000;
  (void)System.m_Table.announceLeaving(runKey(Next), Start + 6s);
  (void)System.m_Table.put(Next, Start + 7s);
  BOOST_TEST(!System.m_Table.find("l0")->isUsable());
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

// Guards against requests to an upstream that has left or said that it leaves,
// after any order of registrations, removals, doubts, starts and news of peers.
BOOST_AUTO_TEST_CASE(NoOrderOfEventsBringsALeavingRunBack) {
  rc::check("any order of events", [] {
    TwoRegions System;
    UpstreamRegistration Registration =
        System.m_Table.find("l0")->m_Registration;
    std::set<UpstreamRunKey> Leaving;
    bool Registered = true;
    Registration.m_StartedMs = 1;
    for (int I = 0; I < 30; ++I) {
      TimePoint Now = Start + I * 100ms;
      UpstreamRunKey Run = runKey(Registration);
      UpstreamPtr Known = System.m_Table.find("l0");
      switch (*rc::gen::inRange(0, 7)) {
      case 0: // Starts again under its identifier.
        ++Registration.m_StartedMs;
        Registration.m_Leaving = false;
        Registration.m_Sequence = {0};
        break;
      case 1: // Reports that it leaves; the store may forget the report.
        Registration.m_Leaving = !Registration.m_Leaving;
        break;
      case 2:
        (void)System.m_Table.remove("l0", Now);
        Registered = false;
        continue;
      case 3:
        (void)System.m_Table.announceLeaving(Run, Now);
        Leaving.insert(Run);
        continue;
      case 4:
        if (Known)
          System.m_Table.setRemovalInDoubt(*Known);
        continue;
      case 5:
        if (UpstreamPtr Doubted = System.m_Table.removedByPeer(Run, Now)) {
          (void)System.m_Table.remove("l0", Now);
          Registered = false;
        }
        continue;
      default:
        break;
      }
      ++Registration.m_Sequence.m_Value;
      if (Registration.m_Leaving)
        Leaving.insert(runKey(Registration));
      (void)System.m_Table.put(Registration, Now);
      Registered = true;
      UpstreamPtr Target = System.m_Table.find("l0");
      RC_ASSERT(Target && Registered);
      bool IsUsed = System.m_Table.exclusion(*Target, Now) == Exclusion::None;
      RC_ASSERT(IsUsed == !Leaving.contains(runKey(Registration)));
    }
    UpstreamPtr Last = System.m_Table.find("l0");
    RC_ASSERT(bool(Last) == Registered);
    if (Last && Last->m_RemovalInDoubt)
      RC_ASSERT(System.m_Table.exclusion(*Last, Start) != Exclusion::None);
  });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace mustardspoke::steer
