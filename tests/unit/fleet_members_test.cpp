/// \file
/// Membership of the fleet, look-ups and who follows the store.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "steer/steer.h"

#include <map>
#include <set>

namespace mustardspoke::steer {
namespace {

constexpr TimePoint Start{Duration(1'000'000'000)};

EntryVm vm(const std::string &Name, const std::string &Region,
           double Capacity = 1) {
  EntryVm One;
  One.m_Vm = VmName(Name);
  One.m_Incarnation = 1;
  One.m_Region = RegionName(Region);
  One.m_Domain = FailureDomainName(Region + "-a");
  One.m_CallerAddress = Name;
  One.m_Ready = true;
  One.m_Capacity = Capacity;
  return One;
}

const Placement At{RegionName("r"), FailureDomainName("r-a")};

} // namespace

BOOST_AUTO_TEST_SUITE(FleetMembers)

BOOST_AUTO_TEST_CASE(DeadAndLeavingVmsAreNotNamed) {
  Fleet Of(vm("a", "r"), {});
  (void)Of.heard(vm("b", "r"), Start);
  (void)Of.heard(vm("c", "r"), Start);
  BOOST_TEST(Of.named(At, Start).size() == 3);
  EntryVm Leaving = vm("c", "r");
  Leaving.m_Leaving = true;
  (void)Of.heard(Leaving, Start + 1s);
  (void)Of.heard(vm("b", "r"), Start + 1s);
  BOOST_TEST(Of.named(At, Start + 1s).size() == 2);
  BOOST_TEST(Of.named(At, Start + 10s).size() == 1);
}

BOOST_AUTO_TEST_CASE(AnOlderRunCanNotReplaceANewerOne) {
  Fleet Of(vm("a", "r"), {});
  EntryVm New = vm("b", "r");
  New.m_Incarnation = 2;
  (void)Of.heard(New, Start);
  BOOST_TEST(!Of.heard(vm("b", "r"), Start));
  Of.meet(vm("b", "r"));
  BOOST_TEST(Of.alive(VmName("b"), Start));
}

// The incarnation is the time of day at the start, and that clock may have been
// set back between two runs.
BOOST_AUTO_TEST_CASE(RunWithAnEarlierClockIsHeardOnceTheLaterOneIsSilent) {
  Fleet Of(vm("a", "r"), {});
  EntryVm Ahead = vm("b", "r");
  Ahead.m_Incarnation = 2000;
  (void)Of.heard(Ahead, Start);
  EntryVm Behind = vm("b", "r");
  Behind.m_Incarnation = 1000;
  BOOST_TEST(!Of.heard(Behind, Start + 100ms));
  BOOST_TEST(Of.heard(Behind, Start + 5s));
  BOOST_TEST(Of.alive(VmName("b"), Start + 5s));
}

BOOST_AUTO_TEST_CASE(SmallVmsAreNamedOnlyWhenTheLargeOnesAreBusy) {
  Fleet Of(vm("a", "r", 0.1), {});
  for (const char *Name : {"b", "c"})
    (void)Of.heard(vm(Name, "r", 0.5), Start);
  BOOST_TEST(Of.named(At, Start).size() == 2);
  EntryVm Busy = vm("b", "r", 0.5);
  Busy.m_Lag = 100ms;
  (void)Of.heard(Busy, Start);
  BOOST_TEST(Of.named(At, Start).size() == 3);
}

BOOST_AUTO_TEST_CASE(TwoVmsOfARegionFollowTheStoreAndOthersStepIn) {
  std::vector<std::string> Names{"a", "b", "c", "d", "e"};
  auto Readers = [&](const std::set<std::string> &Failing) {
    std::set<std::string> Result;
    for (const std::string &Self : Names) {
      Fleet Of(vm(Self, "r"), {});
      for (const std::string &Other : Names)
        if (Other != Self) {
          EntryVm One = vm(Other, "r");
          One.m_Reading = !Failing.contains(Other);
          (void)Of.heard(One, Start);
        }
      if (Of.mustRead(Start))
        Result.insert(Self);
    }
    return Result;
  };
  std::set<std::string> Usual = Readers({});
  BOOST_TEST(Usual.size() == 2);
  // Those that can't reach the store go on trying; two others follow it.
  BOOST_TEST(Readers(Usual).size() == 4);
}

// Seen: both readers of a region were killed at once, and the
// others learned of the next configuration 2.2 s after it was accepted.
BOOST_AUTO_TEST_CASE(ReadersThatFellSilentAreReplacedWithinASecond) {
  Fleet Of(vm("self", "r"), {});
  for (int I = 0; I < 100; ++I) {
    EntryVm Reader = vm("reader" + std::to_string(I), "r");
    Reader.m_Reading = true;
    (void)Of.heard(Reader, Start);
  }
  BOOST_TEST(!Of.mustRead(Start + 500ms));
  BOOST_TEST(Of.mustRead(Start + 1100ms));
}

BOOST_AUTO_TEST_CASE(FewVmsSendToAColdUpstream) {
  unsigned Senders = 0;
  for (int Self = 0; Self < 30; ++Self) {
    Fleet Of(vm("vm" + std::to_string(Self), "r"), {});
    for (int Other = 0; Other < 30; ++Other)
      (void)Of.heard(vm("vm" + std::to_string(Other), "r"), Start);
    Senders += Of.sendsCold(12345, 6) ? 1 : 0;
  }
  BOOST_TEST(Senders == 6);
}

BOOST_AUTO_TEST_CASE(SilentPeersLoadIsNotCounted) {
  Fleet Of(vm("a", "r"), {});
  (void)Of.heard(vm("b", "r"), Start);
  Of.loads(VmName("b"), {{42, 3.5}}, Start);
  BOOST_TEST(Of.peersBusy(Start + 100ms)[42] == 3.5);
  BOOST_TEST(Of.peersBusy(Start + 5s).empty());
}

/// \brief Many VMs that exchange beats without loss, in steps of a beat.
struct Crowd {
  std::vector<Fleet> m_Views;
  std::vector<bool> m_Dead;
  TimePoint m_Now = Start;
  unsigned m_Round = 0;
  std::size_t m_Datagrams = 0;

  Crowd(unsigned Regions, unsigned VmsEach, const FleetTuning &Tuning = {}) {
    std::vector<EntryVm> All;
    for (unsigned R = 0; R < Regions; ++R)
      for (unsigned I = 0; I < VmsEach; ++I)
        All.push_back(vm("vm" + std::to_string(I) + "-" + std::to_string(R),
                         "r" + std::to_string(R)));
    for (const EntryVm &Self : All) {
      m_Views.emplace_back(Self, Tuning);
      for (const EntryVm &Other : All)
        m_Views.back().meet(Other);
    }
    m_Dead.resize(All.size());
    for (std::size_t I = 0; I < All.size(); ++I)
      m_Index[All[I].m_Vm] = I;
  }

  void beat() {
    m_Datagrams = 0;
    for (std::size_t From = 0; From < m_Views.size(); ++From) {
      if (m_Dead[From])
        continue;
      std::vector<PeerAge> Ages = m_Views[From].ages(m_Now, m_Round);
      for (const EntryVm &To : m_Views[From].audience(m_Round)) {
        ++m_Datagrams;
        Fleet &Other = m_Views[m_Index[To.m_Vm]];
        (void)Other.heard(m_Views[From].m_Self, m_Now);
        for (const PeerAge &One : Ages)
          Other.heardOf(One, m_Now);
      }
    }
    m_Now += FleetTuning().m_CrowdBeat;
    ++m_Round;
  }

  /// \brief VMs of the same region that hold \p Vm alive.
  unsigned holdAlive(std::size_t Vm) {
    unsigned Count = 0;
    const EntryVm &Of = m_Views[Vm].m_Self;
    for (std::size_t I = 0; I < m_Views.size(); ++I)
      Count += !m_Dead[I] && m_Views[I].m_Self.m_Region == Of.m_Region &&
               m_Views[I].alive(Of.m_Vm, m_Now);
    return Count;
  }

  std::map<VmName, std::size_t> m_Index;
};

// Of 420 VMs in four regions; with a beat from each to each other they would
// spend 30 times what control may cost.
BOOST_AUTO_TEST_CASE(RegionOf105KnowsItsLivingAndDeadWithFewDatagrams) {
  Crowd Of(4, 105);
  for (int I = 0; I < 40; ++I)
    Of.beat();
  FleetTuning Tuning;
  BOOST_TEST(Of.m_Datagrams <=
             Of.m_Views.size() * (Tuning.m_NearLeast + Tuning.m_FarPerBeat));
  for (std::size_t Vm : {0U, 50U, 209U})
    BOOST_TEST(Of.holdAlive(Vm) == 104U);
  Of.m_Dead[7] = true;
  for (TimePoint Died = Of.m_Now; Of.m_Now - Died <= Tuning.m_CrowdSilentAfter;)
    Of.beat();
  BOOST_TEST(Of.holdAlive(7) == 0U);
  unsigned Wrong = 0;
  for (int I = 0; I < 100; ++I) {
    Of.beat();
    for (std::size_t Vm : {0U, 50U, 209U})
      Wrong += Of.holdAlive(Vm) < (Vm == 209U ? 104U : 103U) ? 1 : 0;
  }
  BOOST_TEST(Wrong == 0U);
}

// Control: what each hears for itself is not enough.
BOOST_AUTO_TEST_CASE(RegionOf105LosesSightWithoutWordOfTheOthers) {
  FleetTuning Silent;
  Silent.m_MostAges = 0;
  Crowd Of(4, 105, Silent);
  for (int I = 0; I < 40; ++I)
    Of.beat();
  BOOST_TEST(Of.holdAlive(0) < 90U);
}

BOOST_AUTO_TEST_CASE(AgesExtendOnlyTheRunThatWasHeard) {
  Fleet Of(vm("a", "r"), {});
  for (int I = 0; I < 30; ++I)
    Of.meet(vm("other" + std::to_string(I), "r"));
  Fleet Teller(vm("b", "r"), {});
  for (int I = 0; I < 30; ++I)
    (void)Teller.heard(vm("other" + std::to_string(I), "r"), Start);
  std::vector<PeerAge> Told = Teller.ages(Start, 0);
  BOOST_REQUIRE(!Told.empty());
  for (const PeerAge &One : Told)
    Of.heardOf(One, Start);
  for (int I = 0; I < 30; ++I)
    BOOST_TEST(!Of.alive(VmName("other" + std::to_string(I)), Start));
  for (int I = 0; I < 30; ++I)
    (void)Of.heard(vm("other" + std::to_string(I), "r"), Start - 2s);
  unsigned Alive = 0;
  for (const PeerAge &One : Told)
    Of.heardOf(One, Start);
  for (int I = 0; I < 30; ++I)
    Alive += Of.alive(VmName("other" + std::to_string(I)), Start + 2s);
  BOOST_TEST(Alive == Told.size());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace mustardspoke::steer
