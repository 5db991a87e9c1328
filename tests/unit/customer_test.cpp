/// \file
/// Customers, their keys, and what of them reaches an upstream.
#include "platform/platform.h"
#include "support/exchange_rig.h"
#include "support/log_capture.h"

#include <boost/test/unit_test.hpp>

#include <ranges>

using namespace mustardspoke;
using namespace mustardspoke::steer;
using namespace mustardspoke::test;

namespace {

OperatorRow decode(const std::string &Tenants, const std::string &Rule = "") {
  std::string First = R"({"name":"n","type":"safe","match":{"prefix":"/p/"},)"
                      R"("action":{"service":"a"}})";
  return platform::decoder().m_DecodeOperatorRow(
      {"op", "config",
       R"({"version":"r7","limits":{},"listeners":[{"host":"h","rules":[)" +
           First + (Rule.empty() ? "" : ",") + Rule +
           R"(]}],"clusters":[{"name":"a","healthPath":"/"}])" +
           (Tenants.empty() ? "" : R"(,"tenants":)") + Tenants + "}",
       4, false});
}

std::string keyField(const std::string &Key) {
  return "Authorization: Token " + Key + "\r\n";
}

/// \brief The configuration of a rig, to which \p Change is applied.
template <class Function> void changeRoutes(ExchangeRig &Rig, Function Change) {
  auto Changed = std::make_shared<RouteTable>(*Rig.m_State.m_Routes);
  ++Changed->m_Version;
  Change(*Changed);
  Rig.m_State.m_Routes = Changed;
}

void addCustomer(RouteTable &Table, const std::string &Name,
                 const std::string &Key, std::vector<RegionName> Regions = {}) {
  Customer Added;
  Added.m_Name = CustomerName(Name);
  Added.m_AllowedRegions = std::move(Regions);
  std::vector<std::string> Keys{Key};
  (void)Table.m_Customers.add(Added, Keys);
}

/// \brief An upstream that keeps the heads of the requests that it gets.
Script keepHeads(std::vector<HttpHead> &Heads) {
  return [&Heads](ServerSide &Side) -> awaitable<void> {
    for (std::string Id = co_await Side.readRequest(); !Id.empty();
         Id = co_await Side.readRequest()) {
      Heads.push_back(Side.head());
      co_await Side.respond(Id, "ok");
    }
  };
}

} // namespace

BOOST_AUTO_TEST_SUITE(Customers)

BOOST_AUTO_TEST_CASE(AreDecodedWithKeysQuotaPriorityAndRegions) {
  OperatorRow Row = decode(
      R"([{"name":"c","apiKeys":["k1","k2"],"priority":2,"ratePerS":8.5,)"
      R"("burst":9,"allowedRegions":["r"]},{"name":"d","apiKeys":["k3"]}])");
  BOOST_REQUIRE(Row.m_Routes != nullptr);
  BOOST_TEST(Row.m_Warnings.empty());
  const CustomerTable &Table = Row.m_Routes->m_Customers;
  BOOST_TEST(Table.requiresKeys());
  const Customer *Found = Table.findByKey("k2");
  BOOST_REQUIRE(Found != nullptr);
  BOOST_TEST(Found->m_Name.str() == "c");
  BOOST_TEST(Found->m_Priority.value() == 2U);
  BOOST_TEST(Found->m_Quota.m_RequestsPerSecond == 8.5);
  BOOST_TEST(Found->m_Quota.m_Burst == 9);
  BOOST_TEST(Found->allows(RegionName("r")));
  BOOST_TEST(!Found->allows(RegionName("q")));
  const Customer *Other = Table.findByKey("k3");
  BOOST_REQUIRE(Other != nullptr);
  BOOST_TEST(!Other->m_Priority.has_value());
  BOOST_TEST(!Other->m_Quota.isLimited());
  BOOST_TEST(Table.findByKey("k") == nullptr);
  BOOST_TEST(Table.findByKey("") == nullptr);
}

BOOST_AUTO_TEST_CASE(ConfigurationsWithoutCustomersNeedNoKeys) {
  BOOST_TEST(!decode("").m_Routes->m_Customers.requiresKeys());
}

/// A configuration with one invalid customer must not lose the others, nor let
/// that customer's callers in.
BOOST_AUTO_TEST_CASE(InvalidOnesAreLeftOutAndTheOthersServed) {
  for (const char *Odd :
       {R"({"name":"c","apiKeys":["k"],"ratePerS":-1})",
        R"({"name":"c","apiKeys":["k"],"ratePerS":1e300})",
        R"({"name":"c","apiKeys":["k"],"ratePerS":"9"})",
        R"({"name":"c","apiKeys":["k"],"burst":-0.5})",
        R"({"name":"c","apiKeys":"k"})", R"({"name":"c","apiKeys":["k",7]})",
        R"({"name":"","apiKeys":["k"]})", R"({"apiKeys":["k"]})",
        R"({"name":"c","apiKeys":["k"],"allowedRegions":[7]})",
        R"({"name":"c","apiKeys":["k"],"allowedRegions":"r"})", "7"}) {
    OperatorRow Row = decode("[" + std::string(Odd) +
                             R"(,{"name":"d","apiKeys":["other"]}])");
    BOOST_TEST_CONTEXT(Odd) {
      BOOST_REQUIRE(Row.m_Routes != nullptr);
      BOOST_TEST(Row.m_Warnings.size() == 1U);
      BOOST_TEST(Row.m_Routes->m_Customers.findByKey("k") == nullptr);
      BOOST_TEST(Row.m_Routes->m_Customers.findByKey("other") != nullptr);
    }
  }
}

BOOST_AUTO_TEST_CASE(UnreadablePriorityLeavesTheRoutesInForce) {
  OperatorRow Row =
      decode(R"([{"name":"c","apiKeys":["k"],"priority":"urgent"}])");
  const Customer *Found = Row.m_Routes->m_Customers.findByKey("k");
  BOOST_REQUIRE(Found != nullptr);
  BOOST_TEST(!Found->m_Priority.has_value());
  BOOST_TEST(Row.m_Warnings.size() == 1U);
}

/// With a key that two customers have, the callers of one could act as the
/// other.
BOOST_AUTO_TEST_CASE(SharedKeysIdentifyNobodyAndAreNotLogged) {
  OperatorRow Row = decode(R"([{"name":"c","apiKeys":["s3cret","k1"]},)"
                           R"({"name":"d","apiKeys":["s3cret","k2"]},)"
                           R"({"name":"e","apiKeys":["s3cret"]}])");
  const CustomerTable &Table = Row.m_Routes->m_Customers;
  BOOST_TEST(Table.findByKey("s3cret") == nullptr);
  BOOST_TEST(Table.findByKey("k1")->m_Name.str() == "c");
  BOOST_TEST(Table.findByKey("k2")->m_Name.str() == "d");
  BOOST_TEST(!Row.m_Warnings.empty());
  for (const std::string &Warning : Row.m_Warnings)
    BOOST_TEST(Warning.find("s3cret") == std::string::npos);
}

/// Customers that can't be read at all must not open the routes to everybody.
BOOST_AUTO_TEST_CASE(UnreadableListLetsNobodyIn) {
  OperatorRow Row = decode(R"({"c":1})");
  BOOST_TEST(Row.m_Routes->m_Customers.requiresKeys());
  BOOST_TEST(!Row.m_Warnings.empty());
}

/// One route type that this version doesn't know once refused the whole
/// configuration, so that nothing was served.
BOOST_AUTO_TEST_CASE(UnknownRouteTypeIsUnsafeAndUploadsAreKnown) {
  auto Rule = [](const std::string &Type) {
    return R"({"name":"m","type":")" + Type +
           R"(","match":{"prefix":"/q/"},"action":{"service":"a"}})";
  };
  OperatorRow Row = decode("", Rule("novel"));
  BOOST_REQUIRE(Row.m_Routes != nullptr);
  BOOST_TEST(Row.m_Warnings.size() == 1U);
  BOOST_TEST(!Row.m_Routes->find("h", "/q/1")->idempotent());
  BOOST_TEST(Row.m_Routes->find("h", "/p/1")->idempotent());
  Row = decode("", Rule("upload"));
  BOOST_TEST(Row.m_Warnings.empty());
  BOOST_TEST(!Row.m_Routes->find("h", "/q/1")->idempotent());
}

BOOST_AUTO_TEST_CASE(KeysAreReadFromOneWellFormedField) {
  auto KeyOf = [](std::vector<HttpField> Fields) {
    HttpHead Head;
    Head.m_Fields = std::move(Fields);
    return platform::wireFormat().m_ReadRequestMetadata(Head).m_CustomerKey;
  };
  BOOST_TEST(KeyOf({{"authorization", "Token k"}}) == "k");
  BOOST_TEST(KeyOf({{"Authorization", "token  k"}}) == "k");
  BOOST_TEST(KeyOf({{"Authorization", "Token"}}) == "");
  BOOST_TEST(KeyOf({{"Authorization", "Token "}}) == "");
  BOOST_TEST(KeyOf({{"Authorization", "Bearer k"}}) == "");
  BOOST_TEST(KeyOf({{"Authorization", "k"}}) == "");
  BOOST_TEST(KeyOf({{"Authorization", ""}}) == "");
  BOOST_TEST(KeyOf({}) == "");
  BOOST_TEST(KeyOf({{"Authorization", "Token k"},
                    {"Authorization", "Token l"}}) == "");
}

/// A caller must not reach an upstream without a key, nor under the name of
/// another customer.
BOOST_AUTO_TEST_CASE(UpstreamGetsTheCustomersNameAndNeverTheKey) {
  LogCapture Log;
  ExchangeRig Rig;
  std::vector<HttpHead> Heads;
  Rig.upstream("u", keepHeads(Heads));
  changeRoutes(Rig,
               [](RouteTable &Table) { addCustomer(Table, "c", "s3cret"); });
  std::string Forged = "X-Tenant-Id: d\r\n";
  for (const char *Key : {"Token other", "Bearer s3cret", "Token", "Token s"})
    BOOST_TEST(
        Rig.ask(safeRequest("1", "Authorization: " + std::string(Key) + "\r\n"))
            .m_Head.m_Status == 401U);
  BOOST_TEST(Rig.ask(safeRequest("2", Forged)).m_Head.m_Status == 401U);
  BOOST_TEST(Heads.empty());
  BOOST_TEST(
      Rig.ask(safeRequest("3", keyField("s3cret") + Forged)).m_Head.m_Status ==
      200U);
  BOOST_REQUIRE(Heads.size() == 1U);
  BOOST_TEST(Heads[0].find("Authorization") == nullptr);
  BOOST_TEST(std::ranges::count_if(Heads[0].m_Fields, [](const auto &Field) {
               return equalIgnoringCase(Field.m_Name, "X-Tenant-Id");
             }) == 1);
  BOOST_TEST(*Heads[0].find("X-Tenant-Id") == "c");
  BOOST_TEST(!Log.contains("s3cret"));
  BOOST_TEST(Log.contains("unknown-key"));
}

BOOST_AUTO_TEST_CASE(PublicRoutesNeedNoKey) {
  ExchangeRig Rig;
  std::vector<HttpHead> Heads;
  Rig.upstream("u", keepHeads(Heads));
  changeRoutes(Rig, [](RouteTable &Table) {
    addCustomer(Table, "c", "k");
    Route Open = *Table.find("h", "/safe/x");
    Open.m_Name = "open";
    Open.m_Prefix = "/open/";
    Open.m_IsPublic = true;
    Table.add("h", Open);
  });
  auto Ask = [&Rig](const std::string &Fields) {
    std::string Text = safeRequest("1", Fields);
    Text.replace(Text.find("/safe/"), 6, "/open/");
    return Rig.ask(Text).m_Head.m_Status;
  };
  BOOST_TEST(Ask("") == 200U);
  BOOST_TEST(Ask(keyField("wrong")) == 200U);
  BOOST_TEST(Ask(keyField("k")) == 200U);
  BOOST_REQUIRE(Heads.size() == 3U);
  BOOST_TEST(Heads[0].find("X-Tenant-Id") == nullptr);
  BOOST_TEST(Heads[1].find("X-Tenant-Id") == nullptr);
  BOOST_TEST(Heads[1].find("Authorization") == nullptr);
  BOOST_TEST(*Heads[2].find("X-Tenant-Id") == "c");
}

/// Deployments without customers pass the fields on as their callers wrote
/// them.
BOOST_AUTO_TEST_CASE(WithoutCustomersTheFieldsAreForwarded) {
  ExchangeRig Rig;
  std::vector<HttpHead> Heads;
  Rig.upstream("u", keepHeads(Heads));
  BOOST_TEST(Rig.ask(safeRequest("1", keyField("k") + "X-Tenant-Id: d\r\n"))
                 .m_Head.m_Status == 200U);
  BOOST_REQUIRE(Heads.size() == 1U);
  BOOST_TEST(*Heads[0].find("Authorization") == "Token k");
  BOOST_TEST(*Heads[0].find("X-Tenant-Id") == "d");
}

/// A key that is taken away while requests wait on an open connection would
/// otherwise serve those that follow.
BOOST_AUTO_TEST_CASE(RevokedKeyIsRefusedOnOpenConnectionsAndInWaitingRequests) {
  ExchangeRig Rig;
  std::vector<std::string> Ran;
  Rig.upstream("u", [&](ServerSide &Side) -> awaitable<void> {
    for (std::string Id = co_await Side.readRequest(); !Id.empty();
         Id = co_await Side.readRequest()) {
      Ran.push_back(Id);
      if (Ran.size() == 1)
        changeRoutes(Rig, [](RouteTable &Table) {
          Table.m_Customers = CustomerTable();
          addCustomer(Table, "c", "new");
        });
      co_await Side.respond(Id, "ok");
    }
  });
  changeRoutes(Rig, [](RouteTable &Table) { addCustomer(Table, "c", "old"); });
  std::vector<HttpResponse> Responses;
  // The second request waits for the answer to the first.
  Rig.caller(unsafeRequest("1", keyField("old")) +
                 unsafeRequest("2", keyField("old")),
             2, Responses);
  Rig.run();
  BOOST_REQUIRE(Responses.size() == 2U);
  BOOST_TEST(Responses[0].m_Head.m_Status == 200U);
  BOOST_TEST(Responses[1].m_Head.m_Status == 401U);
  BOOST_TEST(Rig.ask(safeRequest("3", keyField("old"))).m_Head.m_Status ==
             401U);
  BOOST_TEST(Rig.ask(safeRequest("4", keyField("new"))).m_Head.m_Status ==
             200U);
  BOOST_TEST(Ran.size() == 2U);
}

/// If route and customer allow no common region, no upstream may get the
/// request.
BOOST_AUTO_TEST_CASE(RegionsOfRouteAndCustomerBothBind) {
  ExchangeRig Rig;
  std::vector<HttpHead> Heads;
  Rig.upstream("u", keepHeads(Heads));
  changeRoutes(Rig, [](RouteTable &Table) {
    addCustomer(Table, "c", "k", {RegionName("elsewhere")});
  });
  HttpResponse Response = Rig.ask(safeRequest("1", keyField("k")));
  BOOST_TEST(Response.m_Head.m_Status == 503U);
  BOOST_TEST(Response.m_Head.find("Retry-After") != nullptr);
  BOOST_TEST(Heads.empty());
  std::vector<RegionName> East{RegionName("east")};
  std::vector<RegionName> West{RegionName("west")};
  BOOST_TEST(!haveCommonRegion(East, West));
  BOOST_TEST(haveCommonRegion(East, {}));
  BOOST_TEST(haveCommonRegion({}, West));
  BOOST_TEST(haveCommonRegion(East, East));
}

BOOST_AUTO_TEST_SUITE_END()
