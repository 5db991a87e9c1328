/// \file
/// Tests of the division of limits, leases and the handling of store replies.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "core/core.h"
#include "support/deployments.h"
#include "tables/memory_table.h"

#include <rapidcheck.h>

#include <numeric>

using namespace mustardspoke;

namespace {

std::uint64_t sum(const std::vector<std::uint32_t> &Units) {
  return std::accumulate(Units.begin(), Units.end(), std::uint64_t(0));
}

/// One VM's ShareManager and the objects that it works on.
struct TestVm {
  explicit TestVm(const std::string &Name, Incarnation Number = 1)
      : m_Identity{VmName(Name), Number}, m_Members(describe(m_Identity), {}),
        m_Limits(leaseByClock),
        m_ShareManager(m_Identity, {.m_FloorPercent = 60}, reclaimAfterExpiry,
                       assumeLesser, homeFirstShares) {
    m_Limits.applyBundle(*m_Bundle);
  }

  static MemberInfo describe(const VmIncarnation &Identity) {
    MemberInfo Info;
    Info.m_Identity = Identity;
    Info.m_Region = RegionName("dfw");
    Info.m_State = MemberState::Live;
    return Info;
  }

  /// Executes store requests until none is due; \p ChangeReply may modify each
  /// reply.
  template <class F>
  void runRequests(MemoryTable &Table, TimePoint Now, F ChangeReply) {
    for (int I = 0; I < 50; ++I) {
      auto Request = m_ShareManager.nextRequest(m_Bundle.get(), m_Limits,
                                                m_Members, Now, m_Rng);
      if (!Request)
        return;
      StoreReply Reply = Table.execute(*Request);
      m_ShareManager.onReply(ChangeReply(*Request, Reply), m_Limits, Now);
    }
  }
  void runRequests(MemoryTable &Table, TimePoint Now) {
    runRequests(Table, Now, [](const StoreRequest &, const StoreReply &Reply) {
      return Reply;
    });
  }

  std::shared_ptr<const Bundle> m_Bundle =
      std::make_shared<const Bundle>(test::exampleBundle("lone-star"));
  VmIncarnation m_Identity;
  MemberTable m_Members;
  LimitTable m_Limits;
  ShareManager m_ShareManager;
  Random m_Rng{1};
};

const LimitName Stock1("upstream/stock-lookup-1");

} // namespace

BOOST_AUTO_TEST_SUITE(Shares)

BOOST_AUTO_TEST_CASE(MaxMinNeverExceedsCapacityOrDemand) {
  BOOST_TEST(
      rc::check([](std::vector<std::uint16_t> Raw, std::uint16_t Capacity) {
        std::vector<std::uint32_t> Demands(Raw.begin(), Raw.end());
        auto Shares = maxMinShares(Capacity, Demands);
        std::uint64_t Total = sum(Shares);
        RC_ASSERT(Total <= Capacity);
        for (std::size_t I = 0; I < Demands.size(); ++I)
          RC_ASSERT(Shares[I] <= Demands[I]);
        // No units remain undivided while a demand is unmet.
        if (sum(Demands) >= Capacity && !Demands.empty())
          RC_ASSERT(Total == Capacity);
      }));
}

BOOST_AUTO_TEST_CASE(MaxMinSatisfiesSmallDemandsFully) {
  std::vector<std::uint32_t> Demands{2, 9, 9};
  auto Shares = maxMinShares(12, Demands);
  BOOST_TEST(Shares == (std::vector<std::uint32_t>{2, 5, 5}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(HomeVmsHavePriority) {
  std::vector<std::uint32_t> Demands{8, 6, 6};
  std::vector<std::uint8_t> IsHome{0, 1, 1};
  auto Shares = homeFirstShares(10, Demands, IsHome);
  BOOST_TEST(Shares == (std::vector<std::uint32_t>{0, 5, 5}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(FloorsFitAndReachEveryHomeVm) {
  Bundle Config = test::exampleBundle("lone-star");
  std::vector<Participant> Participants;
  for (int I = 0; I < 12; ++I)
    Participants.push_back({VmName("vm-" + std::to_string(I)),
                            Config.m_Regions[std::size_t(I) / 4].m_Name});
  std::map<VmName, std::uint32_t> LoadSheetUnits;
  for (const Limit &L : limitsOf(Config)) {
    std::uint32_t Total = 0;
    for (const Participant &Member : Participants) {
      std::uint32_t Units = floorShare(L, Member.m_Vm, Participants, 60);
      Total += Units;
      if (L.m_Name.str().starts_with("upstream/load-sheets"))
        LoadSheetUnits[Member.m_Vm] += Units;
    }
    BOOST_TEST(Total <= L.m_Capacity * 60 / 100);
  }
  // Each upstream has three slots for four VMs: the rounding remainders of the
  // upstreams go to different VMs.
  for (const Participant &Member : Participants)
    BOOST_TEST(LoadSheetUnits[Member.m_Vm] >= 1U);
}

BOOST_AUTO_TEST_CASE(LapsedSurplusIsNotUsable) {
  MemoryTable Table;
  TestVm Vm("vm-1");
  TimePoint Now{100s};
  LimitRef Entry = Vm.m_Limits.find(Stock1);
  Entry->m_RefusedUnits = 10;
  Entry->m_PeakUsed = 9;
  Vm.runRequests(Table, Now);
  BOOST_TEST(Entry->m_Floor == 6U);
  BOOST_TEST(Vm.m_Limits.usable(*Entry, Now) == 10U);
  BOOST_TEST(Vm.m_Limits.usable(*Entry, Now + 11s) == 6U);
  BOOST_TEST(Vm.m_Limits.usable(*Entry, Now + 3h) == 0U);
}

BOOST_AUTO_TEST_CASE(LoweredCapacityAppliesImmediately) {
  MemoryTable Table;
  TestVm Vm("vm-1");
  TimePoint Now{100s};
  Vm.runRequests(Table, Now);
  LimitRef Entry = Vm.m_Limits.find(Stock1);
  Entry->m_Limit.m_Capacity = 3;
  BOOST_TEST(Vm.m_Limits.usable(*Entry, Now) <= 3U);
}

BOOST_AUTO_TEST_CASE(DecreaseWithUnknownOutcomeTakesEffect) {
  MemoryTable Table;
  TestVm Vm("vm-1");
  TimePoint Now{100s};
  LimitRef Entry = Vm.m_Limits.find(Stock1);
  Entry->m_RefusedUnits = 10;
  Entry->m_PeakUsed = 9;
  Vm.runRequests(Table, Now);
  std::uint32_t Before = Vm.m_Limits.usable(*Entry, Now);
  // A second home VM appears, so this VM gives up units; the reply to that
  // commit is lost.
  MemberInfo Other = TestVm::describe({VmName("vm-2"), 1});
  Other.m_HeartbeatCount = 1;
  Now += 2s;
  Vm.m_Members.merge({&Other, 1}, Now);
  Vm.runRequests(Table, Now, [](const StoreRequest &Request, StoreReply Reply) {
    if (std::holds_alternative<CommitRequest>(Request.m_Body))
      Reply.m_Status = StoreStatus::Unknown;
    return Reply;
  });
  BOOST_TEST(Vm.m_Limits.usable(*Entry, Now) < Before);
}

BOOST_AUTO_TEST_CASE(LaterIncarnationSupersedesTheEarlier) {
  MemoryTable Table;
  TestVm First("vm-1", 1);
  First.runRequests(Table, TimePoint{100s});
  TestVm Second("vm-1", 2);
  Second.runRequests(Table, TimePoint{100s});
  First.runRequests(Table, TimePoint{105s});
  BOOST_TEST(First.m_ShareManager.superseded());
  BOOST_TEST(!Second.m_ShareManager.superseded());
}

BOOST_AUTO_TEST_CASE(LeavingVmKeepsItsRowWhileCallsHoldUnits) {
  MemoryTable Table;
  TestVm Vm("vm-1");
  TimePoint Now{100s};
  Vm.runRequests(Table, Now);
  LimitRef Entry = Vm.m_Limits.find(Stock1);
  std::vector<LimitUse> Uses{{Entry, 1}};
  BOOST_REQUIRE(Vm.m_Limits.acquire(Uses, Now));
  Vm.m_ShareManager.returnAll();
  Vm.runRequests(Table, Now + 2s);
  BOOST_TEST(!Vm.m_ShareManager.hasReturnedAll());
  Vm.m_Limits.release(Uses);
  Vm.runRequests(Table, Now + 4s);
  BOOST_TEST(Vm.m_ShareManager.hasReturnedAll());
}

BOOST_AUTO_TEST_SUITE_END()
