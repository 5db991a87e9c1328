/// \file
/// Encoding of heartbeats and relayed rows between entry VMs.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "inner/heartbeat_codec.h"

#include <rapidcheck.h>

using namespace mustardspoke;
using namespace mustardspoke::steer;

namespace {

/// \brief A heartbeat with names and addresses as long as a large deployment's.
Heartbeat heartbeatWithLongNames() {
  Heartbeat Sent;
  Sent.m_Sender.m_Vm = VmName("front-midden-b-104");
  Sent.m_Sender.m_Incarnation = 1776735673008;
  Sent.m_Sender.m_Region = RegionName("midden");
  Sent.m_Sender.m_Domain = FailureDomainName("midden-b");
  Sent.m_Sender.m_CallerAddress = "10.101.100.104:18563";
  Sent.m_Sender.m_PeerAddress = "10.101.100.104:17760";
  Sent.m_Sender.m_Ready = true;
  return Sent;
}

} // namespace

BOOST_AUTO_TEST_SUITE(InnerProtocol)

BOOST_AUTO_TEST_CASE(HeartbeatRoundTrips) {
  Heartbeat Sent;
  Sent.m_Sender.m_Vm = VmName("a");
  Sent.m_Sender.m_Incarnation = 7;
  Sent.m_Sender.m_FollowsStore = true;
  Sent.m_Sender.m_TimerLag = 30ms;
  Sent.m_Sender.m_Links = LinkState::Lost;
  Sent.m_Sender.m_DoubtsLinks = true;
  Sent.m_Sender.m_ContactAge = 1250ms;
  Sent.m_UpstreamLoads = {{99, 2.5}};
  Sent.m_ServiceShares = {{1, 0.5, 0.25}};
  Sent.m_SyncedVersions = {3, 4, 5};
  Sent.m_PeerAges = {{1234567 % 1048576, 9, 250ms}};
  Sent.m_AnnouncedRuns = {1ULL << 63};
  Sent.m_RemovedRuns = {6, 7};
  Sent.m_Limits = {{8, 2.5, 1200ms}, {9, std::nullopt, 3ms}};
  Sent.m_Crashes = {{1ULL << 63, {{5, 7ms}, {6, 2s}}, 4ms, 3s, 2, 9h},
                    {10, {}, {}, {}, 0, {}}};
  Sent.m_CustomerLoads = {{stableHash("c"), 12.5, 8, 3}};
  auto Received = decodeHeartbeat(encodeHeartbeat(Sent));
  BOOST_REQUIRE(Received.has_value());
  BOOST_TEST((Received->m_AnnouncedRuns == Sent.m_AnnouncedRuns));
  BOOST_TEST((Received->m_RemovedRuns == Sent.m_RemovedRuns));
  BOOST_REQUIRE(Received->m_Limits.size() == 2U);
  BOOST_TEST((Received->m_Limits[0].m_Rate == 2.5));
  BOOST_TEST((Received->m_Limits[0].m_Age == 1200ms));
  BOOST_TEST(!Received->m_Limits[1].m_Rate.has_value());
  BOOST_REQUIRE(Received->m_Crashes.size() == 2U);
  const CrashReport &Crash = Received->m_Crashes.front();
  BOOST_TEST(Crash.m_Request == 1ULL << 63);
  BOOST_REQUIRE(Crash.m_Ends.size() == 2U);
  BOOST_TEST(Crash.m_Ends[1].m_Run == 6U);
  BOOST_TEST((Crash.m_Ends[1].m_Age == 2s));
  BOOST_TEST((Crash.m_AnswerAge == 4ms));
  BOOST_TEST((Crash.m_TrialAge == 3s));
  BOOST_TEST(Crash.m_TrialStage == 2U);
  BOOST_TEST((Crash.m_SeenAge == 9h));
  BOOST_TEST(!Received->m_Crashes[1].m_AnswerAge.has_value());
  BOOST_TEST(Received->m_Sender.m_Vm.str() == "a");
  BOOST_TEST(Received->m_Sender.m_FollowsStore);
  BOOST_TEST((Received->m_Sender.m_TimerLag == 30ms));
  BOOST_TEST((Received->m_Sender.m_Links == LinkState::Lost));
  BOOST_TEST(Received->m_Sender.m_DoubtsLinks);
  BOOST_TEST((Received->m_Sender.m_ContactAge == Duration(1250ms)));
  BOOST_TEST(Received->m_UpstreamLoads.front().m_ActiveRequests == 2.5);
  BOOST_TEST(Received->m_ServiceShares.front().m_Utilization == 0.25);
  BOOST_TEST(Received->m_PeerAges.front().m_IncarnationLow == 9);
  BOOST_TEST(Received->m_PeerAges.front().m_VmHash == 1234567U % 1048576);
  // Ages are sent in tenths of a second, rounded up.
  BOOST_TEST((Received->m_PeerAges.front().m_Age == 300ms));
  BOOST_TEST((Received->m_SyncedVersions == Sent.m_SyncedVersions));
  BOOST_REQUIRE(Received->m_CustomerLoads.size() == 1U);
  BOOST_TEST(Received->m_CustomerLoads[0].m_CustomerHash == stableHash("c"));
  BOOST_TEST(Received->m_CustomerLoads[0].m_OfferedPerSecond == 12.5);
  BOOST_TEST(Received->m_CustomerLoads[0].m_AdmittedPerSecond == 8);
  BOOST_TEST(Received->m_CustomerLoads[0].m_Vms == 3U);
}

// Names and addresses are the larger part of a heartbeat with few loads, and
// they never change.
BOOST_AUTO_TEST_CASE(BriefHeartbeatHasTheSendersHashInsteadOfItsNames) {
  Heartbeat Sent = heartbeatWithLongNames();
  Sent.m_UpstreamLoads = {{99, 2.5}, {100, 400}};
  std::size_t FullSize = encodeHeartbeat(Sent).size();
  Sent.m_BriefSenderHash = stableHash(Sent.m_Sender.m_Vm.str());
  std::string Bytes = encodeHeartbeat(Sent);
  BOOST_TEST(Bytes.size() * 2 < FullSize);
  auto Received = decodeHeartbeat(Bytes);
  BOOST_REQUIRE(Received.has_value());
  BOOST_TEST((Received->m_BriefSenderHash == Sent.m_BriefSenderHash));
  BOOST_TEST(Received->m_Sender.m_Vm.empty());
  BOOST_TEST(Received->m_Sender.m_Incarnation == 1776735673008U);
  BOOST_TEST(Received->m_Sender.m_Ready);
  BOOST_TEST(Received->m_UpstreamLoads[1].m_UpstreamKey == 100U);
  BOOST_TEST(Received->m_UpstreamLoads[1].m_ActiveRequests == 25.5);
}

// Each VM may use 16 KB/s for control traffic. At 420 VMs, four heartbeats are
// sent and four received in each heartbeat interval.
BOOST_AUTO_TEST_CASE(HeartbeatOfALargeFleetFitsTheTrafficBudget) {
  Heartbeat Sent = heartbeatWithLongNames();
  Sent.m_Sender.m_TimerLag = 12345us;
  Sent.m_Sender.m_ContactAge = 123ms;
  Sent.m_SyncedVersions = {123456, 123456, 123456};
  for (std::uint64_t I = 1; I <= 3; ++I)
    Sent.m_ServiceShares.push_back({stableHash("service", I), 0.87, 0.43});
  // 190,000 requests a second over 420 VMs, 25 ms each, over many upstreams.
  for (std::uint64_t I = 1; I <= 11; ++I)
    Sent.m_UpstreamLoads.push_back({loadKey(stableHash("upstream", I)), 1.2});
  for (std::uint64_t I = 1; I <= FleetTuning().m_MaxAgesPerHeartbeat; ++I)
    Sent.m_PeerAges.push_back({std::uint32_t(stableHash("vm", I) >> 44),
                               std::uint32_t(I % 16), 700ms});
  constexpr std::size_t DatagramHeaderBytes = 28;     // IP and UDP.
  constexpr std::size_t BudgetBytesPerSecond = 16384; // Sent and received.
  FleetTuning Tuning;
  std::size_t DatagramsPerSecond =
      2 *
      (Tuning.m_MinLocalPeersPerHeartbeat + Tuning.m_RemotePeersPerHeartbeat) *
      std::size_t(1s / Tuning.m_LargeFleetHeartbeatInterval);
  std::size_t DatagramBytes =
      encodeHeartbeat(Sent).size() + DatagramHeaderBytes;
  BOOST_TEST(DatagramBytes * DatagramsPerSecond <= BudgetBytesPerSecond,
             DatagramBytes);
}

BOOST_AUTO_TEST_CASE(DecodersAcceptArbitraryBytes) {
  rc::check("any bytes", [](const std::string &Bytes) {
    (void)decodeHeartbeat(Bytes);
    (void)decodeRows(Bytes);
    (void)decodeRowsRequest(Bytes);
  });
}

BOOST_AUTO_TEST_CASE(RelayedRowsKeepRemovalsAndSyncedVersions) {
  RelayedRows Sent;
  Sent.m_Rows = {{{"t", "k", "v", 3, false}}, {{"t", "g", "", 4, true}}};
  Sent.m_SyncedVersions = {4, 0, 0};
  Sent.m_IsFullRead = true;
  auto Received = decodeRows(encodeRows(Sent));
  BOOST_REQUIRE(Received.has_value());
  BOOST_TEST(Received->m_Rows[1].m_Row.m_Removed);
  BOOST_TEST(Received->m_IsFullRead);
  BOOST_TEST((Received->m_SyncedVersions == Sent.m_SyncedVersions));
}

BOOST_AUTO_TEST_SUITE_END()
