/// \file
/// JSON, settings, bundle documents, signatures, and the wire codecs.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "config/config.h"
#include "inner/inner.h"
#include "support/deployments.h"
#include "tables/tables.h"

#include <capnp/message.h>
#include <rapidcheck.h>

using namespace mustardspoke;

namespace {

const char *const GoodSettings = R"({
  "vm": "vm-1", "region": "dfw", "failureDomain": "dfw-a",
  "listen": {"callers": "127.0.0.1:1", "peers": "127.0.0.1:2",
             "operators": "127.0.0.1:3"},
  "operators": {"token": "t"}, "platform": {"address": "127.0.0.1:4"},
  "rootKey": "0000000000000000000000000000000000000000000000000000000000000000"
})";

std::string faultsOf(const std::string &Text) {
  Faults Found;
  (void)readSettings(Text, Found);
  return faultLines(Found);
}

std::string replaced(std::string Text, const std::string &From,
                     const std::string &To) {
  Text.replace(Text.find(From), From.size(), To);
  return Text;
}

/// Faults of the Lone Star bundle with one section's text changed.
std::string bundleFaults(const std::string &Team, const std::string &From,
                         const std::string &To) {
  BundleDocument Whole = test::exampleDocument("lone-star");
  for (Section &S : Whole.m_Sections)
    if (S.m_Team.str() == Team)
      S = test::signSection("lone-star", Team, 1, replaced(S.m_Text, From, To));
  Faults Found;
  (void)readBundle(Whole, test::exampleRootKey("lone-star"), Found);
  return faultLines(Found);
}

bool has(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Config)

BOOST_AUTO_TEST_CASE(JsonRefusesWhatIsBroken) {
  for (const char *Bad : {"", "{", "{\"a\":1}x", "{\"a\":1,\"a\":2}", "nul"})
    BOOST_TEST(!parseJson(Bad), Bad);
  BOOST_TEST(!parseJson(std::string(5000, '[')));
  BOOST_TEST(!parseJson("{\"a\":99999999999999999999}"));
}

BOOST_AUTO_TEST_CASE(JsonRoundTrips) {
  BOOST_TEST(rc::check([](const std::string &Raw, std::int64_t Number) {
    std::string Ascii;
    for (char C : Raw)
      Ascii += char(32 + (unsigned char)C % 95);
    Json Doc = Json::object();
    Doc.set("text", Json(Ascii));
    Doc.set("number", Json(Number));
    JsonResult Back = parseJson(Doc.toText());
    RC_ASSERT(bool(Back));
    RC_ASSERT(Back.m_Value.textOr("text", "?") == Ascii);
    RC_ASSERT(Back.m_Value.integerOr("number", 0) == Number);
  }));
}

BOOST_AUTO_TEST_CASE(AnyTextIsNoCrash) {
  BOOST_TEST(rc::check([](const std::string &Text) {
    Faults Found;
    (void)readSettings(Text, Found);
    RC_ASSERT(!Found.empty());
    Faults Unread;
    (void)parseDocument(Text, Unread);
    RC_ASSERT(!Unread.empty());
  }));
}

BOOST_AUTO_TEST_CASE(MutatedDocumentsAreNoCrash) {
  std::string Whole = test::exampleDocument("zuinig").toText();
  BOOST_TEST(rc::check([&](std::uint32_t At, char New) {
    std::string Broken = Whole;
    Broken[At % Broken.size()] = New;
    Faults Found;
    BundleDocument Document = parseDocument(Broken, Found);
    (void)readBundle(Document, test::exampleRootKey("zuinig"), Found);
    // Only the version and white space lie outside every sign-off.
    if (Found.empty())
      RC_ASSERT(Document.m_Sections.size() == 4U);
  }));
}

BOOST_AUTO_TEST_CASE(GoodSettingsHaveNoFaults) {
  BOOST_TEST(faultsOf(GoodSettings) == "");
}

BOOST_AUTO_TEST_CASE(EveryFaultIsListedWithItsPlace) {
  std::string Text = replaced(GoodSettings, "127.0.0.1:1", "nowhere");
  Text = replaced(Text, "\"vm\": \"vm-1\"", "\"vm\": 5, \"colour\": \"red\"");
  std::string Lines = faultsOf(Text);
  BOOST_TEST(has(Lines, "listen.callers: found \"nowhere\", allowed: IP:port"));
  BOOST_TEST(has(Lines, "vm: found 5"));
  BOOST_TEST(has(Lines, "colour: found \"red\", allowed: no such key"));
}

BOOST_AUTO_TEST_CASE(LeasesMustFitTogether) {
  std::string Text =
      replaced(GoodSettings, "\"operators\": {\"token\"",
               "\"tuning\": {\"shortLeaseMs\": 1000, \"renewEveryMs\": 900}, "
               "\"operators\": {\"token\"");
  BOOST_TEST(has(faultsOf(Text), "tuning.renewEveryMs"));
}

BOOST_AUTO_TEST_CASE(ExamplesAreValid) {
  for (const char *Folder : {"lone-star", "zuinig"})
    BOOST_CHECK_NO_THROW(test::exampleBundle(Folder));
}

BOOST_AUTO_TEST_CASE(WholeBundleIsChecked) {
  BOOST_TEST(
      has(bundleFaults("stock", "\"from\": \"dfw\"", "\"from\": \"mars\""),
          "region mars"));
  BOOST_TEST(has(bundleFaults("stock", "\"cap\": 8", "\"cap\": 90"),
                 "team stock: shift stock-lookup-dfw-hou"));
  BOOST_TEST(has(bundleFaults("orders", "\"failureDomain\": \"dfw-a\"",
                              "\"failureDomain\": \"hou-a\""),
                 "a failure domain of region dfw"));
  BOOST_TEST(has(bundleFaults("orders", "\"name\": \"order-booking\"",
                              "\"name\": \"stock-lookup\""),
                 "names that occur once"));
  BOOST_TEST(has(bundleFaults("sheets", "\"slots\": 3", "\"slots\": 0"),
                 "services[0].upstreams[0].slots: found 0"));
}

BOOST_AUTO_TEST_CASE(PlannedCyclesAreRefused) {
  std::string Text = test::sectionText("lone-star", "stock");
  for (const char *Pair : {"\"from\": \"dfw\",\n   \"to\": \"hou\",",
                           "\"from\": \"hou\",\n   \"to\": \"dfw\","})
    Text = replaced(Text, Pair, std::string(Pair) + "\"percent\": 50,");
  BundleDocument Whole = test::exampleDocument("lone-star");
  for (Section &S : Whole.m_Sections)
    if (S.m_Team.str() == "stock")
      S = test::signSection("lone-star", "stock", 1, Text);
  Faults Found;
  (void)readBundle(Whole, test::exampleRootKey("lone-star"), Found);
  BOOST_TEST(has(faultLines(Found), "a cycle of planned shifts"));
}

BOOST_AUTO_TEST_CASE(SignOffCoversTeamRevisionAndText) {
  BundleDocument Whole = test::exampleDocument("lone-star");
  auto FaultsWith = [&](auto Change) {
    BundleDocument Copy = Whole;
    Change(Copy.m_Sections.back());
    Faults Found;
    (void)readBundle(Copy, test::exampleRootKey("lone-star"), Found);
    return Found.size();
  };
  BOOST_TEST(FaultsWith([](Section &) {}) == 0U);
  BOOST_TEST(FaultsWith([](Section &S) { S.m_Revision = 2; }) > 0U);
  BOOST_TEST(FaultsWith([](Section &S) { S.m_Text += " "; }) > 0U);
  BOOST_TEST(FaultsWith([](Section &S) { S.m_Signature[0] ^= 1; }) > 0U);
}

BOOST_AUTO_TEST_CASE(RowsRoundTripThroughJson) {
  LimitRow Limit{
      LimitName("upstream/u"), 10, 3, {{{VmName("vm-1"), 9}, 2, 1, 4}}};
  auto Back = rowFromJson(rowToJson(Limit));
  BOOST_REQUIRE(Back);
  const auto &Same = std::get<LimitRow>(*Back);
  BOOST_TEST(Same.m_Capacity == 10U);
  BOOST_TEST(Same.m_Holdings.at(0).m_Requested == 4U);
  BOOST_TEST(!rowFromJson(Json::object()));
}

BOOST_AUTO_TEST_CASE(MembersRoundTripThroughThePeerProtocol) {
  MemberInfo Info;
  Info.m_Identity = {VmName("vm-1"), 3};
  Info.m_State = MemberState::Leaving;
  Info.m_ServiceSlots = {4, 5};
  Info.m_DrainingUpstreams = {UpstreamName("u")};
  Info.m_TicketSuccessor = {VmName("vm-2"), 8};
  capnp::MallocMessageBuilder Message;
  auto List = Message.initRoot<wire::Peer::GossipParams>().initMembers(1);
  encodeMembers({&Info, 1}, List);
  auto Back = decodeMembers(List.asReader());
  BOOST_REQUIRE(Back.size() == 1U);
  BOOST_TEST((Back[0].m_Identity == Info.m_Identity));
  BOOST_TEST((Back[0].m_State == MemberState::Leaving));
  BOOST_TEST(Back[0].m_ServiceSlots == Info.m_ServiceSlots,
             boost::test_tools::per_element());
  BOOST_TEST((Back[0].m_TicketSuccessor == Info.m_TicketSuccessor));
}

BOOST_AUTO_TEST_SUITE_END()
