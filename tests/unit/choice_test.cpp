/// \file
/// Upstream selection for a request, and its refusal.
#define BOOST_TEST_DYN_LINK
#include "support/two_regions.h"

#include <set>

namespace mustardspoke::steer {

BOOST_AUTO_TEST_SUITE(UpstreamChoice)

BOOST_AUTO_TEST_CASE(KeyGoesToTheSameUpstreamOnAllVms) {
  TwoRegions FirstVm;
  TwoRegions SecondVm;
  for (int Key = 0; Key < 50; ++Key) {
    Choice First = FirstVm.choose(Key, Large);
    BOOST_REQUIRE(First.m_Upstream);
    BOOST_TEST(First.m_Upstream->m_Registration.m_Id ==
               SecondVm.choose(Key, Large).m_Upstream->m_Registration.m_Id);
    BOOST_TEST((First.m_Upstream->m_Registration.m_Region == Large.m_Region));
  }
}

BOOST_AUTO_TEST_CASE(HotKeyStaysOnItsHolders) {
  TwoRegions System;
  std::set<std::string> Used;
  for (int I = 0; I < 200; ++I) {
    Choice Next = System.choose(7, Large);
    if (!Next.m_Upstream)
      break;
    Used.insert(Next.m_Upstream->m_Registration.m_Id);
    ++Next.m_Upstream->m_InFlight;
  }
  // The holders are filled up to their load limit. Other upstreams accept the
  // key only up to a fifth of their slots, which one request at four slots
  // already exceeds.
  std::size_t Busy = 0;
  System.m_Table.forEach(
      [&Busy](const Upstream &Entry) { Busy += Entry.m_InFlight > 1; });
  BOOST_TEST(Busy == System.m_Tuning.m_HoldersPerKey);
}

BOOST_AUTO_TEST_CASE(LocalShareSelectsAStableSetOfKeys) {
  TwoRegions System;
  int Local = 0;
  for (int Key = 0; Key < 1000; ++Key) {
    Choice Half = System.choose(Key, Small, 0.5);
    BOOST_REQUIRE(Half.m_Upstream);
    bool IsLocal = Half.m_Upstream->m_Registration.m_Region == Small.m_Region;
    Local += IsLocal;
    // A larger share moves no key out of the region.
    if (IsLocal) {
      Choice Larger = System.choose(Key, Small, 0.8);
      BOOST_TEST(
          (Larger.m_Upstream->m_Registration.m_Region == Small.m_Region));
    }
  }
  BOOST_TEST(Local > 420);
  BOOST_TEST(Local < 580);
}

BOOST_AUTO_TEST_CASE(FullSystemRefusesAtOnceWithARetryDelay) {
  TwoRegions System;
  System.fillAll(40);
  Choice Refusal = System.choose(1, Large);
  BOOST_TEST(!Refusal.m_Upstream);
  BOOST_TEST((Refusal.m_RefusalReason == RefusalReason::AllFull));
  BOOST_TEST((Refusal.m_RetryAfter > Duration::zero()));
}

BOOST_AUTO_TEST_CASE(ShortQueueIsAcceptedWhileTheTargetCanBeMet) {
  TwoRegions System;
  System.m_Table.forEach([&System](Upstream &Entry) {
    (void)Entry.recordSuccess(Start, 100ms, 0, System.m_Tuning.m_HealthTuning);
    Entry.m_InFlight = 5; // 50 ms of queueing: one request above its slots.
  });
  ChoiceInput Input = System.input(1);
  Input.m_MeanProcessingTime = 100ms;
  BOOST_TEST(
      bool(chooseByKeyLocalFirst(Input, System.m_Table, Large, System.m_Tuning)
               .m_Upstream));
  Input.m_TimeToTarget = 100ms; // No time left for queueing.
  BOOST_TEST(
      !chooseByKeyLocalFirst(Input, System.m_Table, Large, System.m_Tuning)
           .m_Upstream);
}

BOOST_AUTO_TEST_CASE(EvacuatedDomainAndLeavingUpstreamGetNoRequests) {
  TwoRegions System;
  System.m_Table.setEvacuatedDomains({Large.m_Domain});
  for (int Key = 0; Key < 50; ++Key)
    BOOST_TEST((System.choose(Key, Large).m_Upstream->m_Registration.m_Domain ==
                Small.m_Domain));
  System.m_Table.setEvacuatedDomains({});
  UpstreamRegistration Registration = System.m_Table.find("s0")->m_Registration;
  Registration.m_Leaving = true;
  auto Change = System.m_Table.put(Registration, Start);
  BOOST_REQUIRE(Change.has_value());
  BOOST_TEST((Change->m_Kind == UpstreamChange::Kind::Leaving));
  for (int Key = 0; Key < 50; ++Key)
    BOOST_TEST(System.choose(Key, Small).m_Upstream->m_Registration.m_Id !=
               "s0");
}

BOOST_AUTO_TEST_CASE(AllowedRegionsOfARouteAreRespected) {
  TwoRegions System;
  System.m_Route.m_AllowedRegions = {Small.m_Region};
  for (int Key = 0; Key < 50; ++Key)
    BOOST_TEST((System.choose(Key, Large).m_Upstream->m_Registration.m_Region ==
                Small.m_Region));
  System.fillAll(40);
  BOOST_TEST(!System.choose(1, Large).m_Upstream);
}

BOOST_AUTO_TEST_CASE(ColdUpstreamIsRateLimited) {
  UpstreamTable Table;
  TwoRegions System;
  UpstreamPtr Cold = System.add("cold", Large, 10s);
  unsigned Sent = 0;
  ChoiceInput Input = System.input(1);
  for (int Ms = 0; Ms < 1000; ++Ms) {
    Input.m_Now = Start + Ms * 1ms;
    Sent += takeColdToken(*Cold, Input, System.m_Tuning) ? 1 : 0;
  }
  // 12 requests/s are tolerated; 0.8 of it is shared by six VMs, with a burst
  // of one.
  BOOST_TEST(Sent <= 3);
  BOOST_TEST(Sent >= 2);
  Input.m_SenderFraction = [](const void *, const Upstream &, unsigned,
                              TimePoint) { return 0.0; };
  BOOST_TEST(!takeColdToken(*Cold, Input, System.m_Tuning));
}

BOOST_AUTO_TEST_CASE(SlowUpstreamIsAvoided) {
  TwoRegions System;
  System.m_Table.forEach([&System](Upstream &Entry) {
    Duration Work = Entry.m_Registration.m_Id == "l3" ? 900ms : 100ms;
    for (int I = 0; I < 60; ++I)
      (void)Entry.recordSuccess(Start, Work, 0, System.m_Tuning.m_HealthTuning);
  });
  for (int Key = 0; Key < 100; ++Key)
    BOOST_TEST(System.choose(Key, Large).m_Upstream->m_Registration.m_Id !=
               "l3");
}

BOOST_AUTO_TEST_CASE(EjectionIsIgnoredWhenManyUpstreamsFail) {
  TwoRegions System;
  auto Eject = [&System](const char *Id) {
    for (int I = 0; I < 2; ++I)
      (void)System.m_Table.find(Id)->recordFailure(
          Start, System.m_Tuning.m_HealthTuning);
  };
  auto Uses = [&System](const char *Id) {
    for (int Key = 0; Key < 200; ++Key)
      if (System.choose(Key, Large).m_Upstream->m_Registration.m_Id == Id)
        return true;
    return false;
  };
  Eject("l0");
  BOOST_TEST(!Uses("l0"));
  for (const char *Id : {"l1", "l2", "l3"})
    Eject(Id);
  BOOST_TEST(Uses("l0"));
}

// An upstream that answers 503 with Retry-After wants nothing until that time.
BOOST_AUTO_TEST_CASE(QuietUpstreamGetsNothingAndItsKeysGoToOneOther) {
  TwoRegions System;
  UpstreamPtr Holder = System.choose(7, Large).m_Upstream;
  Holder->m_QuietUntil = Start + 3s;
  std::set<std::string> Used;
  for (int I = 0; I < 5; ++I)
    Used.insert(System.choose(7, Large).m_Upstream->m_Registration.m_Id);
  BOOST_TEST(Used.size() == 1U);
  BOOST_TEST(!Used.contains(Holder->m_Registration.m_Id));
  Holder->m_QuietUntil = Start;
  BOOST_TEST(System.choose(7, Large).m_Upstream == Holder);
}

BOOST_AUTO_TEST_CASE(QuietServiceRefusesUntilTheFirstUpstreamIsBack) {
  TwoRegions System;
  System.m_Table.forEach(
      [](Upstream &Entry) { Entry.m_QuietUntil = Start + 4s; });
  System.m_Table.find("l3")->m_QuietUntil = Start + 2s;
  std::set<Duration> Delays;
  for (int Key = 0; Key < 20; ++Key) {
    Choice Refused = System.choose(Key, Large);
    BOOST_TEST(!Refused.m_Upstream);
    BOOST_TEST((Refused.m_RefusalReason == RefusalReason::AllQuiet));
    BOOST_TEST((Refused.m_RetryAfter >= 2s));
    BOOST_TEST((Refused.m_RetryAfter <= 2500ms));
    Delays.insert(Refused.m_RetryAfter);
  }
  BOOST_TEST(Delays.size() > 15U); // Callers return spread out.
}

/// \brief How many of 400 keys go to the upstream \p Id.
int keysSentTo(const std::string &Id, TwoRegions &System,
               const Placement &Local) {
  int Sent = 0;
  for (int Key = 0; Key < 400; ++Key) {
    Choice Next = System.choose(Key, Local);
    Sent += Next.m_Upstream && Next.m_Upstream->m_Registration.m_Id == Id;
  }
  return Sent;
}

// Guards against requests to an upstream that had left: with some others of its
// service ejected, its removal in doubt was ignored.
BOOST_AUTO_TEST_CASE(UpstreamInDoubtGetsNothingBesideEjectedOnes) {
  TwoRegions System;
  System.m_Table.setRemovalInDoubt(*System.m_Table.find("l0"));
  for (const char *Id : {"l1", "l2", "l3"})
    for (int I = 0; I < 2; ++I)
      (void)System.m_Table.find(Id)->recordFailure(
          Start, System.m_Tuning.m_HealthTuning);
  BOOST_TEST(keysSentTo("l0", System, Large) == 0);
}

// Guards against requests to an upstream that had left, of a route whose
// regions have so few upstreams that one in doubt is a large part of them.
BOOST_AUTO_TEST_CASE(UpstreamInDoubtGetsNothingInARegionOfTwo) {
  TwoRegions System;
  System.m_Table.setRemovalInDoubt(*System.m_Table.find("s0"));
  System.m_Route.m_AllowedRegions = {Small.m_Region};
  BOOST_TEST(keysSentTo("s0", System, Small) == 0);
}

// Registrations that expire while the store is away must not take their
// upstreams out of service.
BOOST_AUTO_TEST_CASE(ManyUpstreamsInDoubtAreUsed) {
  TwoRegions System;
  for (const char *Id : {"l0", "l1", "l2"})
    System.m_Table.setRemovalInDoubt(*System.m_Table.find(Id));
  BOOST_TEST(keysSentTo("l0", System, Large) == 0);
  System.m_Table.setRemovalInDoubt(*System.m_Table.find("l3"));
  BOOST_TEST(keysSentTo("l0", System, Large) > 0);
  // One of them is back, so the others have probably left.
  UpstreamRegistration Returned = System.m_Table.find("l3")->m_Registration;
  BOOST_TEST(!System.m_Table.put(Returned, Start).has_value());
  BOOST_TEST(keysSentTo("l0", System, Large) == 0);
  BOOST_TEST(keysSentTo("l3", System, Large) > 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace mustardspoke::steer
