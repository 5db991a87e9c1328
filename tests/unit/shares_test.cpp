/// \file
/// Division of limits, leases, and the share keeper's handling of outcomes.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "core/core.h"
#include "support/deployments.h"
#include "tables/memory_table.h"

#include <rapidcheck.h>

#include <numeric>

using namespace mustardspoke;

namespace {

std::uint64_t sum(const std::vector<std::uint32_t> &Of) {
  return std::accumulate(Of.begin(), Of.end(), std::uint64_t(0));
}

/// One VM's share keeper with its surroundings.
struct Holder {
  explicit Holder(const std::string &Name, Incarnation Run = 1)
      : m_Run{VmName(Name), Run}, m_Members(describe(m_Run), {}),
        m_Book(leaseByClock),
        m_Keeper(m_Run, {.m_FloorPercent = 60}, reclaimAfterLapse,
                 pendingLesser, homeFirstShares) {
    m_Book.reset(*m_Bundle);
  }

  static MemberInfo describe(const VmRun &Run) {
    MemberInfo Info;
    Info.m_Run = Run;
    Info.m_Region = RegionName("dfw");
    Info.m_State = MemberState::Live;
    return Info;
  }

  /// Carries out requests until there is none; \p Answer may change replies.
  template <class F> void settle(MemoryTable &Table, TimePoint Now, F Answer) {
    for (int I = 0; I < 50; ++I) {
      auto Request =
          m_Keeper.next(m_Bundle.get(), m_Book, m_Members, Now, m_Rng);
      if (!Request)
        return;
      StoreReply Reply = Table.execute(*Request);
      m_Keeper.onReply(Answer(*Request, Reply), m_Book, Now);
    }
  }
  void settle(MemoryTable &Table, TimePoint Now) {
    settle(Table, Now,
           [](const StoreRequest &, const StoreReply &Reply) { return Reply; });
  }

  std::shared_ptr<const Bundle> m_Bundle =
      std::make_shared<const Bundle>(test::exampleBundle("lone-star"));
  VmRun m_Run;
  MemberTable m_Members;
  LimitBook m_Book;
  ShareKeeper m_Keeper;
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
        std::uint64_t Given = sum(Shares);
        RC_ASSERT(Given <= Capacity);
        for (std::size_t I = 0; I < Demands.size(); ++I)
          RC_ASSERT(Shares[I] <= Demands[I]);
        // Nothing is left over while somebody wants more.
        if (sum(Demands) >= Capacity && !Demands.empty())
          RC_ASSERT(Given == Capacity);
      }));
}

BOOST_AUTO_TEST_CASE(MaxMinGivesTheSmallDemandWhole) {
  std::vector<std::uint32_t> Demands{2, 9, 9};
  auto Shares = maxMinShares(12, Demands);
  BOOST_TEST(Shares == (std::vector<std::uint32_t>{2, 5, 5}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(HomeComesBeforeGuests) {
  std::vector<std::uint32_t> Demands{8, 6, 6};
  std::vector<std::uint8_t> IsHome{0, 1, 1};
  auto Shares = homeFirstShares(10, Demands, IsHome);
  BOOST_TEST(Shares == (std::vector<std::uint32_t>{0, 5, 5}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(FloorsFitAndReachEveryHomeVm) {
  Bundle B = test::exampleBundle("lone-star");
  std::vector<Sharer> Sharers;
  for (int I = 0; I < 12; ++I)
    Sharers.push_back({VmName("vm-" + std::to_string(I)),
                       B.m_Regions[std::size_t(I) / 4].m_Name});
  std::map<VmName, std::uint32_t> Sheets;
  for (const Limit &L : limitsOf(B)) {
    std::uint32_t Total = 0;
    for (const Sharer &One : Sharers) {
      std::uint32_t Units = floorShare(L, One.m_Vm, Sharers, 60);
      Total += Units;
      if (L.m_Name.str().starts_with("upstream/load-sheets"))
        Sheets[One.m_Vm] += Units;
    }
    BOOST_TEST(Total <= L.m_Capacity * 60 / 100);
  }
  // Three slots and four VMs: the remainders go round the servers.
  for (const Sharer &One : Sharers)
    BOOST_TEST(Sheets[One.m_Vm] >= 1U);
}

BOOST_AUTO_TEST_CASE(LapsedSurplusIsNotUsable) {
  MemoryTable Table;
  Holder Vm("vm-1");
  TimePoint Now{100s};
  LimitRef Entry = Vm.m_Book.find(Stock1);
  Entry->m_Missed = 10;
  Entry->m_Peak = 9;
  Vm.settle(Table, Now);
  BOOST_TEST(Entry->m_Floor == 6U);
  BOOST_TEST(Vm.m_Book.usable(*Entry, Now) == 10U);
  BOOST_TEST(Vm.m_Book.usable(*Entry, Now + 11s) == 6U);
  BOOST_TEST(Vm.m_Book.usable(*Entry, Now + 3h) == 0U);
}

BOOST_AUTO_TEST_CASE(LoweredCapacityBindsAtOnce) {
  MemoryTable Table;
  Holder Vm("vm-1");
  TimePoint Now{100s};
  Vm.settle(Table, Now);
  LimitRef Entry = Vm.m_Book.find(Stock1);
  Entry->m_Limit.m_Capacity = 3;
  BOOST_TEST(Vm.m_Book.usable(*Entry, Now) <= 3U);
}

BOOST_AUTO_TEST_CASE(UnknownLoweringCountsAsDone) {
  MemoryTable Table;
  Holder Vm("vm-1");
  TimePoint Now{100s};
  LimitRef Entry = Vm.m_Book.find(Stock1);
  Entry->m_Missed = 10;
  Entry->m_Peak = 9;
  Vm.settle(Table, Now);
  std::uint32_t Before = Vm.m_Book.usable(*Entry, Now);
  // A second home VM appears and takes its part; the answer gets lost.
  MemberInfo Other = Holder::describe({VmName("vm-2"), 1});
  Other.m_Counter = 1;
  Now += 2s;
  Vm.m_Members.merge({&Other, 1}, Now);
  Vm.settle(Table, Now, [](const StoreRequest &Asked, StoreReply Reply) {
    if (std::holds_alternative<CommitRequest>(Asked.m_Body))
      Reply.m_Status = StoreStatus::Unknown;
    return Reply;
  });
  BOOST_TEST(Vm.m_Book.usable(*Entry, Now) < Before);
}

BOOST_AUTO_TEST_CASE(LaterRunSupersedesTheEarlier) {
  MemoryTable Table;
  Holder First("vm-1", 1);
  First.settle(Table, TimePoint{100s});
  Holder Second("vm-1", 2);
  Second.settle(Table, TimePoint{100s});
  First.settle(Table, TimePoint{105s});
  BOOST_TEST(First.m_Keeper.superseded());
  BOOST_TEST(!Second.m_Keeper.superseded());
}

BOOST_AUTO_TEST_CASE(LeavingVmKeepsItsRowWhileCallsHoldUnits) {
  MemoryTable Table;
  Holder Vm("vm-1");
  TimePoint Now{100s};
  Vm.settle(Table, Now);
  LimitRef Entry = Vm.m_Book.find(Stock1);
  std::vector<LimitUse> Uses{{Entry, 1}};
  BOOST_REQUIRE(Vm.m_Book.take(Uses, Now));
  Vm.m_Keeper.leave();
  Vm.settle(Table, Now + 2s);
  BOOST_TEST(!Vm.m_Keeper.hasLeft());
  Vm.m_Book.release(Uses);
  Vm.settle(Table, Now + 4s);
  BOOST_TEST(Vm.m_Keeper.hasLeft());
}

BOOST_AUTO_TEST_SUITE_END()
