/// \file
/// Reading and validating the gateway's settings file.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "gateway/settings.h"

using namespace mustardspoke;
using namespace mustardspoke::steer;

BOOST_AUTO_TEST_SUITE(GatewaySettingsFile)

namespace {
const std::string ValidSettings = R"({
  "vm": "v1", "region": "r", "failureDomain": "z",
  "failureDomains": {"z": "r"}, "store": "10.0.0.1:80",
  "listen": {"ip": "10.0.0.2", "callers": "10.0.0.2:81",
             "ready": "10.0.0.2:82", "lookups": "10.0.0.2:83",
             "peerPorts": ["7000", "7001"]},
  "seeds": ["10.0.0.9:84"],
  "limits": {"stopGrace": "6s", "retrySlack": 56, "bufferMb": 40}})";
} // namespace

BOOST_AUTO_TEST_CASE(ValidSettingsAreRead) {
  ValidationErrors Problems;
  GatewaySettings Settings = readGatewaySettings(ValidSettings, Problems);
  BOOST_TEST(Problems.empty(), formatErrors(Problems));
  BOOST_TEST(Settings.m_PeerAddress == "10.0.0.2:7000");
  BOOST_TEST(Settings.m_RelayAddress == "10.0.0.2:7001");
  BOOST_TEST(Settings.m_SeedIps.front() == "10.0.0.9");
  BOOST_TEST((Settings.m_StopGracePeriod == 6s));
  BOOST_TEST(Settings.m_Retry.m_Slack == 56);
  BOOST_TEST(Settings.m_BufferBytes == 40U << 20);
}

BOOST_AUTO_TEST_CASE(EveryProblemIsReportedWithItsPlace) {
  ValidationErrors Problems;
  (void)readGatewaySettings(
      R"({"vm": "v", "region": "r", "failureDomain": "y",
          "failureDomains": {"z": "r"}, "store": "nowhere",
          "sourceIp": "here",
          "listen": {}, "limits": {"stopGrace": "soon", "bufferMb": 0}})",
      Problems);
  std::string Lines = formatErrors(Problems);
  for (const char *Place :
       {"store", "sourceIp", "failureDomain", "listen.callers",
        "listen.peerPorts", "limits.stopGrace", "bufferMb"})
    BOOST_TEST(Lines.find(Place) != std::string::npos, Lines);
  ValidationErrors SyntaxProblems;
  (void)readGatewaySettings("{", SyntaxProblems);
  BOOST_TEST(!SyntaxProblems.empty());
}

BOOST_AUTO_TEST_CASE(DurationsNeedUnits) {
  BOOST_TEST((parseDuration("1500ms") == 1500ms));
  BOOST_TEST((parseDuration("2.5s") == 2500ms));
  for (const char *Bad : {"", "5", "ms", "-1s", "1m"})
    BOOST_TEST(!parseDuration(Bad).has_value(), Bad);
}

BOOST_AUTO_TEST_SUITE_END()
