/// \file
/// Decoding of the platform's rows and headers.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "platform/platform.h"
#include "support/worst_rows.h"

#include <rapidcheck.h>

#include <ctime>

using namespace mustardspoke;
using namespace mustardspoke::steer;

namespace {

const std::map<FailureDomainName, RegionName> Regions{
    {FailureDomainName("z"), RegionName("r")}};

UpstreamRow upstream(const std::string &Value) {
  return platform::decoder().m_DecodeUpstreamRow(
      {"servers", "i-1", Value, 1, false}, Regions);
}

std::string registration(const std::string &Status,
                         const std::string &ExtraMembers = "") {
  return R"({"address":"10.0.0.1:80","info":{"service":"s","version":"v1",)"
         R"("zone":"z","slots":9},"status":)" +
         Status + ExtraMembers + "}";
}

} // namespace

BOOST_AUTO_TEST_SUITE(Adapter)

BOOST_AUTO_TEST_CASE(RegistrationIsDecoded) {
  UpstreamRow Row = upstream(
      registration(R"({"state":"draining","sequence":4,"warmupLeft":"1500ms"})",
                   R"(,"born":1700000000000)"));
  BOOST_REQUIRE(Row.m_Facts.has_value());
  BOOST_TEST(Row.m_Facts->m_Id == "i-1");
  BOOST_TEST(Row.m_Facts->m_Leaving);
  BOOST_TEST((Row.m_Facts->m_WarmUpRemaining == 1500ms));
  BOOST_TEST(Row.m_Facts->m_StartedMs == 1700000000000);
  BOOST_TEST(Row.m_Facts->m_Region.str() == "r");
}

BOOST_AUTO_TEST_CASE(InvalidRegistrationsAreRejected) {
  for (const std::string &Value :
       {std::string("\xff garbage"), std::string("[]"), std::string("{}"),
        registration(R"({"state":"odd"})"), registration(R"("ready")"),
        registration(R"({"state":"ready"})", R"(,"born":"now")"),
        std::string(R"({"address":7,"info":{"service":"s","zone":"z",)"
                    R"("slots":9},"status":{"state":"ready"}})"),
        std::string(R"({"address":"10.0.0.1:80","info":{"service":"s",)"
                    R"("zone":"elsewhere","slots":9},)"
                    R"("status":{"state":"ready"}})")}) {
    UpstreamRow Row = upstream(Value);
    BOOST_TEST(!Row.m_Facts.has_value(), Value);
    BOOST_TEST(!Row.m_Error.empty());
  }
}

// Guards against one entry of another writer that stops every VM: its decoding
// took minutes and overflowed the stack.
BOOST_AUTO_TEST_CASE(EntriesOfOtherWritersAreRefusedAtOnce) {
  for (const std::string &Value : test::worstRows()) {
    std::clock_t Begin = std::clock();
    UpstreamRow Row = upstream(Value);
    OperatorRow Config = platform::decoder().m_DecodeOperatorRow(
        {"op", "config", Value, 1, false});
    double Seconds = double(std::clock() - Begin) / CLOCKS_PER_SEC;
    BOOST_TEST_CONTEXT("a value that begins with " << Value.substr(0, 16)) {
      BOOST_TEST(!Row.m_Facts.has_value());
      BOOST_TEST(!Row.m_Error.empty());
      BOOST_TEST(!Config.m_Routes);
      // Some milliseconds are usual; this bound tells a hang from a slow test.
      BOOST_TEST(Seconds < 0.5);
    }
  }
}

// Guards against entries whose numbers don't fit: they draw all load, divide by
// zero, or depend on the processor.
BOOST_AUTO_TEST_CASE(RegistrationsWithNumbersOutOfRangeAreRejected) {
  auto WithSlots = [](const std::string &Slots) {
    return R"({"address":"10.0.0.1:80","info":{"service":"s","zone":"z",)"
           R"("slots":)" +
           Slots + R"(},"status":{"state":"ready"}})";
  };
  auto WithAddress = [](const std::string &Address) {
    return R"({"address":")" + Address +
           R"(","info":{"service":"s","zone":"z","slots":9},)"
           R"("status":{"state":"ready"}})";
  };
  BOOST_TEST(upstream(WithSlots("9")).m_Facts.has_value());
  BOOST_TEST(upstream(WithSlots("9.0")).m_Facts.has_value());
  for (const char *Slots :
       {"0", "-1", "0.5", "-0.5", "1.5", "1e300", "1e309", "-1e300", "NaN",
        "4294967295", "4294967296", "4294967297", "9223372036854775807",
        "9223372036854775808", "99999999999999999999999", "\"9\"", "null",
        "[9]", "true"})
    BOOST_TEST(!upstream(WithSlots(Slots)).m_Facts.has_value(), Slots);
  for (const char *Address :
       {"10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:4295032832", "10.0.0.1:-1",
        "10.0.0.1:+80", "10.0.0.1: 80", "10.0.0.1:80x", "10.0.0.1:", "10.0.0.1",
        ":80", "10.0.0.1:0x50", "10.0.0.1\\u0000:80",
        "10.0.0.1:99999999999999999999"})
    BOOST_TEST(!upstream(WithAddress(Address)).m_Facts.has_value(), Address);
  for (const char *Status : {R"({"state":"ready","sequence":1e300})",
                             R"({"state":"ready","sequence":-1})",
                             R"({"state":"ready","warmupLeft":"1e300s"})",
                             R"({"state":"ready","warmupLeft":"nans"})",
                             R"({"state":"ready","warmupLeft":"999999999s"})",
                             R"({"state":"ready","warmupLeft":"-1s"})"})
    BOOST_TEST(!upstream(registration(Status)).m_Facts.has_value(), Status);
  for (const char *Born : {R"(,"born":1e300)", R"(,"born":-5)"})
    BOOST_TEST(!upstream(registration(R"({"state":"ready"})", Born))
                    .m_Facts.has_value(),
               Born);
}

BOOST_AUTO_TEST_CASE(ConfigurationsWithNumbersOutOfRangeAreRejected) {
  auto Decode = [](const std::string &Attempts, const std::string &Weight,
                   const std::string &HeaderBytes, const std::string &Rate) {
    return platform::decoder().m_DecodeOperatorRow(
        {"op", "config",
         R"({"version":"r7","limits":{"maxHeaderBytes":)" + HeaderBytes +
             R"(},"listeners":[{"host":"h","rules":[{"name":"n",)"
             R"("type":"safe","match":{"prefix":"/"},"action":)"
             R"({"trafficSplit":[{"service":"a","weight":)" +
             Weight + R"(}],"maxAttempts":)" + Attempts +
             R"(}}]}],"clusters":[{"name":"a","healthPath":"/",)"
             R"("warmupPerS":)" +
             Rate + "}]}",
         4, false});
  };
  BOOST_TEST(Decode("2", "1", "100", "1.5").m_Routes != nullptr);
  for (const char *Odd : {"1e300", "-1", "4294967296", "NaN", "\"2\""}) {
    BOOST_TEST(Decode(Odd, "1", "100", "1").m_Routes == nullptr, Odd);
    BOOST_TEST(Decode("2", Odd, "100", "1").m_Routes == nullptr, Odd);
    BOOST_TEST(Decode("2", "1", Odd, "1").m_Routes == nullptr, Odd);
  }
  for (const char *Odd : {"1e309", "-1", "NaN", "\"2\""})
    BOOST_TEST(Decode("2", "1", "100", Odd).m_Routes == nullptr, Odd);
}

BOOST_AUTO_TEST_CASE(HeadersWithNumbersOutOfRangeDoNoHarm) {
  for (const char *Value : {"9223372036854775807", "4294967296", "1e300", "-1",
                            "99999999999999999999", ""}) {
    HttpHead Head;
    Head.m_Status = 200;
    Head.m_Fields = {
        {"X-Server-Load", std::string(Value) + "," + Value + ",4294967297"},
        {"X-Warmup-Ms", Value},
        {"X-Deadline-Ms", Value},
        {"Keep-Alive", "timeout=" + std::string(Value)}};
    ResponseMetadata Response =
        platform::wireFormat().m_ReadResponseMetadata(Head);
    RequestMetadata Request =
        platform::wireFormat().m_ReadRequestMetadata(Head);
    for (const auto &Time :
         {Response.m_KeepAliveTimeout, Response.m_WarmUpRemaining,
          Request.m_CallerTimeout})
      BOOST_TEST((!Time || (*Time >= 0s && *Time <= 1h)), Value);
    if (Response.m_Load)
      BOOST_TEST(Response.m_Load->m_Running + Response.m_Load->m_Waiting >=
                 Response.m_Load->m_Running);
  }
}

BOOST_AUTO_TEST_CASE(ArbitraryTextIsDecodedOrRejected) {
  rc::check("any text", [](const std::string &Value) {
    UpstreamRow Row = upstream(Value);
    RC_ASSERT(Row.m_Facts.has_value() != !Row.m_Error.empty());
    (void)platform::decoder().m_DecodeOperatorRow(
        {"op", "config", Value, 1, false});
  });
}

BOOST_AUTO_TEST_CASE(ConfigurationIsDecoded) {
  OperatorRow Row = platform::decoder().m_DecodeOperatorRow(
      {"op", "config",
       R"({"version":"r7","limits":{"maxHeaderBytes":100,)"
       R"("headerTimeout":"2s"},"listeners":[{"host":"h","rules":[)"
       R"({"name":"n","type":"unsafe","targetLatency":"400ms","priority":1,)"
       R"("sessionAffinity":true,"match":{"prefix":"/p/"},"action":)"
       R"({"trafficSplit":[{"service":"a","weight":90},)"
       R"({"service":"b","weight":10}],"timeout":"2s","maxAttempts":2,)"
       R"("allowedRegions":["r"]}}]}],"clusters":[{"name":"a",)"
       R"("healthPath":"/health","maxConnections":3,"warmup":"3s",)"
       R"("warmupPerS":19.5}]})",
       4, false});
  BOOST_REQUIRE(Row.m_Routes != nullptr);
  BOOST_TEST(Row.m_Routes->m_Version == 7);
  BOOST_TEST((Row.m_Routes->m_Limits.m_HeaderTimeout == 2s));
  const Route *Found = Row.m_Routes->find("h", "/p/x");
  BOOST_REQUIRE(Found != nullptr);
  BOOST_TEST(!Found->idempotent());
  BOOST_TEST(Found->m_Targets.size() == 2);
  BOOST_TEST(Found->allows(RegionName("r")));
  BOOST_TEST(!Found->allows(RegionName("q")));
  BOOST_TEST(
      Row.m_Routes->findService(ServiceName("a"))->m_ColdRequestsPerSecond ==
      19.5);
}

BOOST_AUTO_TEST_CASE(InvalidConfigurationIsReportedAndNotAdopted) {
  for (const char *Value :
       {"{", R"({"version":"7"})",
        R"({"version":"r7","limits":{},)"
        R"("listeners":[{"host":"h","rules":[{"name":"n","type":"odd"}]}],)"
        R"("clusters":[]})"}) {
    OperatorRow Row = platform::decoder().m_DecodeOperatorRow(
        {"op", "config", Value, 4, false});
    BOOST_TEST(Row.m_Routes == nullptr);
    BOOST_TEST(!Row.m_Error.empty());
  }
}

BOOST_AUTO_TEST_CASE(EvacuationRowNamesItsFailureDomain) {
  OperatorRow Row = platform::decoder().m_DecodeOperatorRow(
      {"op", "evacuate/z", "{}", 4, false});
  BOOST_TEST((Row.m_Kind == OperatorRow::Kind::Evacuation));
  BOOST_TEST(Row.m_Evacuated.str() == "z");
}

BOOST_AUTO_TEST_CASE(ResponseHeadersAreDecoded) {
  HttpHead Head;
  Head.m_Status = 503;
  Head.m_Fields = {{"X-Not-Executed", "1"},
                   {"x-server-load", "3,2,9"},
                   {"Keep-Alive", "timeout=10"},
                   {"X-Warmup-Ms", "250"}};
  ResponseMetadata Metadata =
      platform::wireFormat().m_ReadResponseMetadata(Head);
  BOOST_TEST(Metadata.m_NotRun);
  BOOST_TEST(!Metadata.m_Signed);
  BOOST_REQUIRE(Metadata.m_Load.has_value());
  BOOST_TEST(Metadata.m_Load->m_Waiting == 2);
  BOOST_TEST((Metadata.m_KeepAliveTimeout == 10s));
  BOOST_TEST((Metadata.m_WarmUpRemaining == 250ms));
  Head.m_Fields = {{"X-Server-Load", "3,x,9"}};
  BOOST_TEST(
      !platform::wireFormat().m_ReadResponseMetadata(Head).m_Load.has_value());
  Head.m_Status = 421;
  BOOST_TEST(
      platform::wireFormat().m_ReadResponseMetadata(Head).m_AddressReused);
}

BOOST_AUTO_TEST_CASE(LeavingAndQuietTimeAreDecodedAndOddValuesDoNoHarm) {
  auto Decode = [](unsigned Status, const char *Name, const char *Value) {
    HttpHead Head;
    Head.m_Status = Status;
    Head.m_Fields = {{Name, Value}};
    return platform::wireFormat().m_ReadResponseMetadata(Head);
  };
  BOOST_TEST(Decode(200, "server-leaving", "1").m_Leaving);
  for (const char *Value : {"0", "", "yes", "11"})
    BOOST_TEST(!Decode(200, "Server-Leaving", Value).m_Leaving);
  BOOST_TEST((Decode(503, "Retry-After", "2").m_QuietTime == 2s));
  BOOST_TEST((Decode(503, "Retry-After", "0.25").m_QuietTime == 250ms));
  for (const char *Value : {"1e99", "9e999", "inf"})
    BOOST_TEST((Decode(503, "Retry-After", Value).m_QuietTime == 1h));
  for (const char *Value :
       {"0", "-3", "nan", "", "soon", "2 s", "Fri, 04 Dec 2026 05:00:00 GMT"})
    BOOST_TEST(!Decode(503, "Retry-After", Value).m_QuietTime.has_value());
  BOOST_TEST(!Decode(429, "Retry-After", "2").m_QuietTime.has_value());
}

BOOST_AUTO_TEST_CASE(RateLimitIsDecodedAndOddValuesDoNoHarm) {
  auto Decode = [](std::vector<HttpField> Fields) {
    HttpHead Head;
    Head.m_Status = 200;
    Head.m_Fields = std::move(Fields);
    return platform::wireFormat().m_ReadResponseMetadata(Head);
  };
  BOOST_TEST((Decode({{"server-limit", "6.8"}}).m_RateLimit == 6.8));
  BOOST_TEST((Decode({{"Server-Limit", "0"}}).m_RateLimit == 0.0));
  BOOST_TEST((Decode({{"Server-Limit", "1e300"}}).m_RateLimit == 1e300));
  BOOST_TEST(
      (Decode({{"Server-Limit", "9"}, {"Server-Limit", "4"}}).m_RateLimit ==
       4.0));
  BOOST_TEST(!Decode({}).m_RateLimitUnreadable);
  for (const char *Value : {"", "-1", "nan", "inf", "many", "8 a second"}) {
    ResponseMetadata Metadata = Decode({{"Server-Limit", Value}});
    BOOST_TEST(!Metadata.m_RateLimit.has_value());
    BOOST_TEST(Metadata.m_RateLimitUnreadable);
  }
}

BOOST_AUTO_TEST_SUITE_END()
