/// \file
/// Which upstream a request is sent to, or that it is refused.
#define BOOST_TEST_DYN_LINK
#include "support/two_regions.h"

#include <set>

namespace mustardspoke::steer {

BOOST_AUTO_TEST_SUITE(UpstreamChoice)

BOOST_AUTO_TEST_CASE(CalmKeysGoToOneUpstreamOnAllVms) {
  TwoRegions One;
  TwoRegions Other;
  for (int Key = 0; Key < 50; ++Key) {
    Choice First = One.choose(Key, Large);
    BOOST_REQUIRE(First.m_To);
    BOOST_TEST(First.m_To->m_Facts.m_Id ==
               Other.choose(Key, Large).m_To->m_Facts.m_Id);
    BOOST_TEST((First.m_To->m_Facts.m_Region == Large.m_Region));
  }
}

BOOST_AUTO_TEST_CASE(HotKeyStaysWithItsHolders) {
  TwoRegions W;
  std::set<std::string> Used;
  for (int I = 0; I < 200; ++I) {
    Choice Next = W.choose(7, Large);
    if (!Next.m_To)
      break;
    Used.insert(Next.m_To->m_Facts.m_Id);
    ++Next.m_To->m_InFlight;
  }
  // The holders fill to their admitted load, then strangers take it only up
  // to a fifth of their slots, which one request of four already exceeds.
  std::size_t Busy = 0;
  W.m_Table.each([&Busy](const Upstream &One) { Busy += One.m_InFlight > 1; });
  BOOST_TEST(Busy == W.m_Tuning.m_Holders);
}

BOOST_AUTO_TEST_CASE(SmallRegionAtItsPeakKeepsAStableShareOfItsKeys) {
  TwoRegions W;
  int Local = 0;
  for (int Key = 0; Key < 1000; ++Key) {
    Choice Half = W.choose(Key, Small, 0.5);
    BOOST_REQUIRE(Half.m_To);
    bool IsLocal = Half.m_To->m_Facts.m_Region == Small.m_Region;
    Local += IsLocal;
    // Growing the share moves no key out of the region.
    if (IsLocal) {
      Choice More = W.choose(Key, Small, 0.8);
      BOOST_TEST((More.m_To->m_Facts.m_Region == Small.m_Region));
    }
  }
  BOOST_TEST(Local > 420);
  BOOST_TEST(Local < 580);
}

BOOST_AUTO_TEST_CASE(FullSystemRefusesAtOnceWithATimeToComeBack) {
  TwoRegions W;
  W.fillAll(40);
  Choice Refused = W.choose(1, Large);
  BOOST_TEST(!Refused.m_To);
  BOOST_TEST((Refused.m_Why == NoUpstream::Full));
  BOOST_TEST((Refused.m_ComeBack > Duration::zero()));
}

BOOST_AUTO_TEST_CASE(ShortQueueIsTakenWhileTheTargetCanBeMet) {
  TwoRegions W;
  W.m_Table.each([&W](Upstream &One) {
    (void)One.succeeded(Start, 100ms, 0, W.m_Tuning.m_Judgement);
    One.m_InFlight = 5; // One more than its slots: 50 ms of wait.
  });
  ChoiceInput In = W.input(1);
  In.m_ServiceWork = 100ms;
  BOOST_TEST(bool(chooseByKeyNearFirst(In, W.m_Table, Large, W.m_Tuning).m_To));
  In.m_ToTarget = 100ms; // Too late for any wait.
  BOOST_TEST(!chooseByKeyNearFirst(In, W.m_Table, Large, W.m_Tuning).m_To);
}

BOOST_AUTO_TEST_CASE(EvacuatedDomainAndLeavingUpstreamGetNothing) {
  TwoRegions W;
  W.m_Table.evacuate({Large.m_Domain});
  for (int Key = 0; Key < 50; ++Key)
    BOOST_TEST((W.choose(Key, Large).m_To->m_Facts.m_Domain == Small.m_Domain));
  W.m_Table.evacuate({});
  UpstreamFacts Facts = W.m_Table.find("s0")->m_Facts;
  Facts.m_Leaving = true;
  auto Change = W.m_Table.put(Facts, Start);
  BOOST_REQUIRE(Change.has_value());
  BOOST_TEST((Change->m_Kind == UpstreamChange::Kind::Leaving));
  for (int Key = 0; Key < 50; ++Key)
    BOOST_TEST(W.choose(Key, Small).m_To->m_Facts.m_Id != "s0");
}

BOOST_AUTO_TEST_CASE(HomesKeepRequestsInTheirRegions) {
  TwoRegions W;
  W.m_Route.m_AllowedRegions = {Small.m_Region};
  for (int Key = 0; Key < 50; ++Key)
    BOOST_TEST((W.choose(Key, Large).m_To->m_Facts.m_Region == Small.m_Region));
  W.fillAll(40);
  BOOST_TEST(!W.choose(1, Large).m_To);
}

BOOST_AUTO_TEST_CASE(ColdUpstreamGetsNoMoreThanItsShare) {
  UpstreamTable Table;
  TwoRegions W;
  UpstreamPtr Cold = W.add("cold", Large, 10s);
  unsigned Sent = 0;
  ChoiceInput In = W.input(1);
  for (int Ms = 0; Ms < 1000; ++Ms) {
    In.m_Now = Start + Ms * 1ms;
    Sent += takeColdToken(*Cold, In, W.m_Tuning) ? 1 : 0;
  }
  // 12 a second tolerated, 0.8 of it for six VMs, one at once.
  BOOST_TEST(Sent <= 3);
  BOOST_TEST(Sent >= 2);
  In.m_SendsCold = [](const void *, std::uint64_t) { return false; };
  BOOST_TEST(!takeColdToken(*Cold, In, W.m_Tuning));
}

BOOST_AUTO_TEST_CASE(SlowTenthIsPassedBy) {
  TwoRegions W;
  W.m_Table.each([&W](Upstream &One) {
    Duration Work = One.m_Facts.m_Id == "l3" ? 900ms : 100ms;
    for (int I = 0; I < 60; ++I)
      (void)One.succeeded(Start, Work, 0, W.m_Tuning.m_Judgement);
  });
  for (int Key = 0; Key < 100; ++Key)
    BOOST_TEST(W.choose(Key, Large).m_To->m_Facts.m_Id != "l3");
}

BOOST_AUTO_TEST_CASE(ManyFailingUpstreamsAreNotLeftToTheOthers) {
  TwoRegions W;
  auto Eject = [&W](const char *Id) {
    for (int I = 0; I < 2; ++I)
      (void)W.m_Table.find(Id)->failed(Start, W.m_Tuning.m_Judgement);
  };
  auto Uses = [&W](const char *Id) {
    for (int Key = 0; Key < 200; ++Key)
      if (W.choose(Key, Large).m_To->m_Facts.m_Id == Id)
        return true;
    return false;
  };
  Eject("l0");
  BOOST_TEST(!Uses("l0"));
  for (const char *Id : {"l1", "l2", "l3"})
    Eject(Id);
  BOOST_TEST(Uses("l0"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace mustardspoke::steer
