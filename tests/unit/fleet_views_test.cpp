/// \file
/// Membership table, bundle version tracking and client prefix table.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "core/core.h"

#include <rapidcheck.h>

using namespace mustardspoke;

namespace {

MemberInfo member(const std::string &Name, std::uint64_t Counter,
                  MemberState State = MemberState::Live) {
  MemberInfo Info;
  Info.m_Identity = {VmName(Name), 1};
  Info.m_HeartbeatCount = Counter;
  Info.m_State = State;
  return Info;
}

std::shared_ptr<const Bundle> version(std::uint64_t Number) {
  auto Result = std::make_shared<Bundle>();
  Result->m_Version = Number;
  return Result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(FleetViews)

BOOST_AUTO_TEST_CASE(OutdatedStateDoesNotReviveAMember) {
  MemberTable Table(member("vm-1", 1), {});
  TimePoint Now{100s};
  MemberInfo Fresh = member("vm-2", 5);
  MemberInfo Stale = member("vm-2", 4);
  Table.merge({&Fresh, 1}, Now);
  Table.merge({&Stale, 1}, Now + 10s);
  BOOST_TEST(Table.isAlive(VmName("vm-2"), Now + 1s));
  BOOST_TEST(!Table.isAlive(VmName("vm-2"), Now + 10s));
}

BOOST_AUTO_TEST_CASE(MajorityCountsListedVmsThatNeverReported) {
  MemberTable Table(member("vm-1", 1), {});
  TimePoint Now{100s};
  BOOST_TEST(Table.seesMajority(Now));
  std::vector<ListedVm> List{{VmName("vm-1"), "", false},
                             {VmName("vm-2"), "", false},
                             {VmName("vm-3"), "", false}};
  Table.applyVmList(List, Now);
  BOOST_TEST(!Table.seesMajority(Now));
  MemberInfo Other = member("vm-2", 1);
  Table.merge({&Other, 1}, Now);
  // A pushed state may be outdated; only a reply to an own request proves that
  // a VM is alive.
  BOOST_TEST(!Table.seesMajority(Now));
  Table.verifyLiveness({&Other, 1}, Now - 4s);
  BOOST_TEST(!Table.seesMajority(Now));
  Other.m_HeartbeatCount = 2;
  Table.verifyLiveness({&Other, 1}, Now);
  BOOST_TEST(Table.seesMajority(Now));
}

BOOST_AUTO_TEST_CASE(ExactlyHalfIsNoMajority) {
  MemberTable Table(member("vm-1", 1), {});
  std::vector<ListedVm> List{{VmName("vm-1"), "", false},
                             {VmName("vm-2"), "", false}};
  Table.applyVmList(List, TimePoint{100s});
  BOOST_TEST(!Table.seesMajority(TimePoint{100s}));
}

BOOST_AUTO_TEST_CASE(AbsenceFromTheListMeansGoneOnlyIfListedBefore) {
  MemberTable Table(member("vm-1", 1), {});
  std::vector<ListedVm> Both{{VmName("vm-1"), "", false},
                             {VmName("vm-2"), "", false}};
  std::vector<ListedVm> One{{VmName("vm-1"), "", false}};
  TimePoint Now{100s};
  Table.applyVmList(One, Now);
  BOOST_TEST(!Table.unlistedSince(VmName("vm-2")));
  Table.applyVmList(Both, Now);
  Table.applyVmList(One, Now + 1s);
  BOOST_TEST((Table.unlistedSince(VmName("vm-2")) == Now + 1s));
}

BOOST_AUTO_TEST_CASE(TicketsMoveToTheSuccessor) {
  MemberTable Table(member("vm-1", 1), {});
  MemberInfo Left = member("vm-2", 1, MemberState::Left);
  Left.m_TicketSuccessor = {VmName("vm-3"), 9};
  Table.merge({&Left, 1}, TimePoint{100s});
  VmIncarnation Holder = Table.ticketOwner({VmName("vm-2"), 1});
  BOOST_TEST(Holder.m_Vm.str() == "vm-3");
}

BOOST_AUTO_TEST_CASE(VersionNeverDecreases) {
  BundleTracker Head(adoptNewer, 4s);
  BOOST_TEST(Head.adopt(version(3)));
  BOOST_TEST(!Head.adopt(version(2)));
  BOOST_TEST(!Head.adopt(version(3)));
  BOOST_TEST(Head.version() == 3U);
}

BOOST_AUTO_TEST_CASE(ConfirmationOfAnotherVersionDoesNotCount) {
  BundleTracker Head(adoptNewer, 4s);
  (void)Head.adopt(version(3));
  TimePoint Now{100s};
  Head.recordConfirmation(3, Now);
  BOOST_TEST((Head.confirmationAge(Now + 1s) == Duration(1s)));
  Head.recordConfirmation(4, Now + 1s);
  BOOST_TEST(!Head.confirmationAge(Now + 1s));
  BOOST_TEST((Head.versionToFetch() == 4U));
}

BOOST_AUTO_TEST_CASE(ServesIfConfirmedOrInAMajority) {
  BOOST_TEST(serveConfirmedOrMajority(Duration(3s), 4s, false));
  BOOST_TEST(!serveConfirmedOrMajority(Duration(5s), 4s, false));
  BOOST_TEST(!serveConfirmedOrMajority(std::nullopt, 4s, false));
  BOOST_TEST(serveConfirmedOrMajority(Duration(5s), 4s, true));
}

BOOST_AUTO_TEST_CASE(MostSpecificBlockWins) {
  std::vector<ClientBlock> Blocks{
      {*parseIpv4("10.0.0.0"), 8, RegionName("wide")},
      {*parseIpv4("10.1.0.0"), 16, RegionName("narrow")},
      {*parseIpv4("10.1.2.0"), 24, RegionName("wide")}};
  PrefixTable Table(Blocks);
  BOOST_TEST(Table.find(*parseIpv4("10.1.9.9"))->str() == "narrow");
  BOOST_TEST(Table.find(*parseIpv4("10.1.2.9"))->str() == "wide");
  BOOST_TEST(Table.find(*parseIpv4("10.255.255.255"))->str() == "wide");
  BOOST_TEST(!Table.find(*parseIpv4("11.0.0.0")));
  BOOST_TEST(!PrefixTable().find(0));
}

BOOST_AUTO_TEST_CASE(PrefixTableAgreesWithALinearSearch) {
  BOOST_TEST(rc::check(
      [](const std::vector<std::pair<std::uint32_t, std::uint8_t>> &RawBlocks,
         std::uint32_t Address) {
        std::vector<ClientBlock> Blocks;
        std::set<std::pair<std::uint64_t, int>> Seen;
        for (auto [Prefix, Length] : RawBlocks) {
          Length = std::uint8_t(Length % 33);
          std::uint64_t Mask = ~((std::uint64_t(1) << (32 - Length)) - 1);
          if (Seen.insert({Prefix & Mask, Length}).second)
            Blocks.push_back({Prefix, Length,
                              RegionName("r" + std::to_string(Blocks.size()))});
        }
        const ClientBlock *Best = nullptr;
        for (const ClientBlock &Block : Blocks) {
          std::uint64_t Mask =
              ~((std::uint64_t(1) << (32 - Block.m_PrefixLength)) - 1);
          bool Covers = (Address & Mask) == (Block.m_Prefix & Mask);
          if (Covers && (!Best || Block.m_PrefixLength > Best->m_PrefixLength))
            Best = &Block;
        }
        PrefixTable Table(Blocks);
        const RegionName *Found = Table.find(Address);
        RC_ASSERT((Found != nullptr) == (Best != nullptr));
        if (Best)
          RC_ASSERT(Found->str() == Best->m_Region.str());
      }));
}

BOOST_AUTO_TEST_SUITE_END()
