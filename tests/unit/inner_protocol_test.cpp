/// \file
/// Heartbeats and rows of the inner protocol, as bytes.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "inner/beat_codec.h"

#include <rapidcheck.h>

using namespace mustardspoke;
using namespace mustardspoke::steer;

BOOST_AUTO_TEST_SUITE(InnerProtocol)

BOOST_AUTO_TEST_CASE(BeatsSurviveTheWire) {
  Beat From;
  From.m_From.m_Vm = VmName("a");
  From.m_From.m_Incarnation = 7;
  From.m_From.m_Reading = true;
  From.m_From.m_Lag = 30ms;
  From.m_Loads = {{99, 2.5}};
  From.m_Shares = {{1, 0.5, 0.25}};
  From.m_Reach = {3, 4, 5};
  From.m_Ages = {{1234567 % 1048576, 9, 250ms}};
  auto To = decodeBeat(encodeBeat(From));
  BOOST_REQUIRE(To.has_value());
  BOOST_TEST(To->m_From.m_Vm.str() == "a");
  BOOST_TEST(To->m_From.m_Reading);
  BOOST_TEST((To->m_From.m_Lag == 30ms));
  BOOST_TEST(To->m_Loads.front().m_Busy == 2.5);
  BOOST_TEST(To->m_Shares.front().m_Busy == 0.25);
  BOOST_TEST(To->m_Ages.front().m_Run == 9);
  BOOST_TEST(To->m_Ages.front().m_VmHash == 1234567U % 1048576);
  BOOST_TEST((To->m_Ages.front().m_Age == 300ms)); // In tenths, rounded up.
  BOOST_TEST((To->m_Reach == From.m_Reach));
}

// 16 KB a second and VM are for control; at 420 VMs four beats go out and four
// come in with each.
BOOST_AUTO_TEST_CASE(BeatOfALargeFleetFitsTheBudgetOfBytes) {
  Beat From;
  From.m_From.m_Vm = VmName("front-midden-b-104");
  From.m_From.m_Incarnation = 1776735673008;
  From.m_From.m_Region = RegionName("midden");
  From.m_From.m_Domain = FailureDomainName("midden-b");
  From.m_From.m_CallerAddress = "10.101.100.104:18563";
  From.m_From.m_PeerAddress = "10.101.100.104:17760";
  From.m_From.m_Ready = true;
  From.m_From.m_Lag = 12345us;
  From.m_Reach = {123456, 123456, 123456};
  for (std::uint64_t I = 1; I <= 3; ++I)
    From.m_Shares.push_back({stableHash("service", I), 0.87, 0.43});
  // 190,000 requests a second over 420 VMs, 25 ms each, over many upstreams.
  for (std::uint64_t I = 1; I <= 11; ++I)
    From.m_Loads.push_back({stableHash("upstream", I), 1.2});
  for (std::uint64_t I = 1; I <= FleetTuning().m_MostAges; ++I)
    From.m_Ages.push_back({std::uint32_t(stableHash("vm", I) >> 44),
                           std::uint32_t(I % 16), 700ms});
  constexpr std::size_t DatagramHead = 28; // Bytes of IP and UDP.
  constexpr std::size_t Budget = 16384;    // Bytes a second, both ways.
  FleetTuning Tuning;
  std::size_t Datagrams = 2 * (Tuning.m_NearLeast + Tuning.m_FarPerBeat) *
                          std::size_t(1s / Tuning.m_CrowdBeat);
  std::size_t Bytes = encodeBeat(From).size() + DatagramHead;
  BOOST_TEST(Bytes * Datagrams <= Budget, Bytes);
}

BOOST_AUTO_TEST_CASE(AnyBytesAreABeatOrNothing) {
  rc::check("any bytes", [](const std::string &Bytes) {
    (void)decodeBeat(Bytes);
    (void)decodeRows(Bytes);
    (void)decodeQuestion(Bytes);
  });
}

BOOST_AUTO_TEST_CASE(RowsKeepRemovalsAndTheirReach) {
  CarriedRows From;
  From.m_Rows = {{{"t", "k", "v", 3, false}}, {{"t", "g", "", 4, true}}};
  From.m_Reach = {4, 0, 0};
  From.m_Whole = true;
  auto To = decodeRows(encodeRows(From));
  BOOST_REQUIRE(To.has_value());
  BOOST_TEST(To->m_Rows[1].m_Row.m_Removed);
  BOOST_TEST(To->m_Whole);
  BOOST_TEST((To->m_Reach == From.m_Reach));
}

BOOST_AUTO_TEST_SUITE_END()
