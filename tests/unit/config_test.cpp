/// \file
/// JSON, settings, bundle documents, signatures and message codecs.
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

const char *const ValidSettings = R"({
  "vm": "vm-1", "region": "dfw", "failureDomain": "dfw-a",
  "listen": {"callers": "127.0.0.1:1", "peers": "127.0.0.1:2",
             "operators": "127.0.0.1:3"},
  "operators": {"token": "t"}, "platform": {"address": "127.0.0.1:4"},
  "rootKey": "0000000000000000000000000000000000000000000000000000000000000000"
})";

std::string settingsErrors(const std::string &Text) {
  ValidationErrors Errors;
  (void)readSettings(Text, Errors);
  return formatErrors(Errors);
}

std::string replaced(std::string Text, const std::string &From,
                     const std::string &To) {
  Text.replace(Text.find(From), From.size(), To);
  return Text;
}

/// ValidationErrors of the Lone Star bundle with one section's text changed.
std::string bundleErrors(const std::string &Team, const std::string &From,
                         const std::string &To) {
  BundleDocument Document = test::exampleDocument("lone-star");
  for (Section &S : Document.m_Sections)
    if (S.m_Team.str() == Team)
      S = test::signSection("lone-star", Team, 1, replaced(S.m_Text, From, To));
  ValidationErrors Errors;
  (void)readBundle(Document, test::exampleRootKey("lone-star"), Errors);
  return formatErrors(Errors);
}

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Config)

BOOST_AUTO_TEST_CASE(MalformedJsonIsRejected) {
  for (const char *Malformed :
       {"", "{", "{\"a\":1}x", "{\"a\":1,\"a\":2}", "nul"})
    BOOST_TEST(!parseJson(Malformed), Malformed);
  BOOST_TEST(!parseJson(std::string(5000, '[')));
  BOOST_TEST(!parseJson("{\"a\":99999999999999999999}"));
}

// Guards against a parser that reads more than JSON: a check that reads the
// same text otherwise lets through what it is to keep out.
BOOST_AUTO_TEST_CASE(OnlyJsonIsParsed) {
  for (const char *Other : {"// comment\n[1]",
                            "/* comment */[1]",
                            "[1]// comment",
                            "[1,2,]",
                            "{\"a\":1,}",
                            "{a:1}",
                            "{'a':1}",
                            "[+1]",
                            "[01]",
                            "[.5]",
                            "[1.]",
                            "[NaN]",
                            "[Infinity]",
                            "[\"\t\"]",
                            "[\"\\x\"]",
                            "[\"\\ud800\"]",
                            "[\"\xe9\"]",
                            "[1e400]",
                            "[1] [2]",
                            "[1]]"})
    BOOST_TEST(!parseJson(Other), Other);
  for (const char *Valid : {"[]", " {} ", "null", "-0", "[1.5e3,true,false]",
                            "[\"\\u00e9\\ud83d\\ude00\\/\"]"})
    BOOST_TEST(bool(parseJson(Valid)), Valid);
}

BOOST_AUTO_TEST_CASE(JsonErrorsNameThePlace) {
  BOOST_TEST(parseJson("{\"a\":[{\"b\":1,\"b\":2}]}").m_Error ==
             "the key \"a[0].b\" occurs twice");
  BOOST_TEST(contains(parseJson("{\n  \"a\": x}").m_Error, "line 2, column 8"));
}

BOOST_AUTO_TEST_CASE(JsonKeepsTextOutsideAscii) {
  std::string Text = "\"\xc3\xa9\xf0\x9f\x98\x80\"";
  BOOST_TEST(parseJson(Text).m_Value.toText() == Text);
  // Values of other processes get into log lines, which stay readable.
  BOOST_TEST(bool(parseJson(Json("\xff\x80").toText())));
}

BOOST_AUTO_TEST_CASE(JsonRoundTrips) {
  BOOST_TEST(rc::check([](const std::string &Raw, std::int64_t Number) {
    std::string Ascii;
    for (char C : Raw)
      Ascii += char(32 + (unsigned char)C % 95);
    Json Doc = Json::object();
    Doc.set("text", Json(Ascii));
    Doc.set("number", Json(Number));
    JsonResult Decoded = parseJson(Doc.toText());
    RC_ASSERT(bool(Decoded));
    RC_ASSERT(Decoded.m_Value.textOr("text", "?") == Ascii);
    RC_ASSERT(Decoded.m_Value.integerOr("number", 0) == Number);
  }));
}

BOOST_AUTO_TEST_CASE(ArbitraryTextIsRejected) {
  BOOST_TEST(rc::check([](const std::string &Text) {
    ValidationErrors Errors;
    (void)readSettings(Text, Errors);
    RC_ASSERT(!Errors.empty());
    ValidationErrors DocumentErrors;
    (void)parseDocument(Text, DocumentErrors);
    RC_ASSERT(!DocumentErrors.empty());
  }));
}

BOOST_AUTO_TEST_CASE(MutatedDocumentsAreRejected) {
  std::string Document = test::exampleDocument("zuinig").toText();
  BOOST_TEST(rc::check([&](std::uint32_t At, char Replacement) {
    std::string Broken = Document;
    Broken[At % Broken.size()] = Replacement;
    ValidationErrors Errors;
    BundleDocument Parsed = parseDocument(Broken, Errors);
    (void)readBundle(Parsed, test::exampleRootKey("zuinig"), Errors);
    // The signatures cover all but the version and white space.
    if (Errors.empty())
      RC_ASSERT(Parsed.m_Sections.size() == 4U);
  }));
}

BOOST_AUTO_TEST_CASE(ValidSettingsHaveNoErrors) {
  BOOST_TEST(settingsErrors(ValidSettings) == "");
}

BOOST_AUTO_TEST_CASE(EveryErrorIsListedWithItsPath) {
  std::string Text = replaced(ValidSettings, "127.0.0.1:1", "nowhere");
  Text = replaced(Text, "\"vm\": \"vm-1\"", "\"vm\": 5, \"colour\": \"red\"");
  std::string Lines = settingsErrors(Text);
  BOOST_TEST(
      contains(Lines, "listen.callers: found \"nowhere\", allowed: IP:port"));
  BOOST_TEST(contains(Lines, "vm: found 5"));
  BOOST_TEST(contains(Lines, "colour: found \"red\", allowed: no such key"));
}

BOOST_AUTO_TEST_CASE(RenewalsMustFitIntoTheShortLease) {
  std::string Text =
      replaced(ValidSettings, "\"operators\": {\"token\"",
               "\"tuning\": {\"shortLeaseMs\": 1000, \"renewEveryMs\": 900}, "
               "\"operators\": {\"token\"");
  BOOST_TEST(contains(settingsErrors(Text), "tuning.renewEveryMs"));
}

BOOST_AUTO_TEST_CASE(ExamplesAreValid) {
  for (const char *Folder : {"lone-star", "zuinig"})
    BOOST_CHECK_NO_THROW(test::exampleBundle(Folder));
}

BOOST_AUTO_TEST_CASE(ReferencesAcrossSectionsAreChecked) {
  BOOST_TEST(
      contains(bundleErrors("stock", "\"from\": \"dfw\"", "\"from\": \"mars\""),
               "region mars"));
  BOOST_TEST(contains(bundleErrors("stock", "\"cap\": 8", "\"cap\": 90"),
                      "team stock: shift stock-lookup-dfw-hou"));
  BOOST_TEST(contains(bundleErrors("orders", "\"failureDomain\": \"dfw-a\"",
                                   "\"failureDomain\": \"hou-a\""),
                      "a failure domain of region dfw"));
  BOOST_TEST(contains(bundleErrors("orders", "\"name\": \"order-booking\"",
                                   "\"name\": \"stock-lookup\""),
                      "names that occur once"));
  BOOST_TEST(contains(bundleErrors("sheets", "\"slots\": 3", "\"slots\": 0"),
                      "services[0].upstreams[0].slots: found 0"));
}

BOOST_AUTO_TEST_CASE(CyclesOfPlannedShiftsAreRejected) {
  std::string Text = test::sectionText("lone-star", "stock");
  for (const char *Direction : {"\"from\": \"dfw\",\n   \"to\": \"hou\",",
                                "\"from\": \"hou\",\n   \"to\": \"dfw\","})
    Text =
        replaced(Text, Direction, std::string(Direction) + "\"percent\": 50,");
  BundleDocument Document = test::exampleDocument("lone-star");
  for (Section &S : Document.m_Sections)
    if (S.m_Team.str() == "stock")
      S = test::signSection("lone-star", "stock", 1, Text);
  ValidationErrors Errors;
  (void)readBundle(Document, test::exampleRootKey("lone-star"), Errors);
  BOOST_TEST(contains(formatErrors(Errors), "a cycle of planned shifts"));
}

BOOST_AUTO_TEST_CASE(SignatureCoversTeamRevisionAndText) {
  BundleDocument Document = test::exampleDocument("lone-star");
  auto ErrorsAfter = [&](auto Change) {
    BundleDocument Copy = Document;
    Change(Copy.m_Sections.back());
    ValidationErrors Errors;
    (void)readBundle(Copy, test::exampleRootKey("lone-star"), Errors);
    return Errors.size();
  };
  BOOST_TEST(ErrorsAfter([](Section &) {}) == 0U);
  BOOST_TEST(ErrorsAfter([](Section &S) { S.m_Revision = 2; }) > 0U);
  BOOST_TEST(ErrorsAfter([](Section &S) { S.m_Text += " "; }) > 0U);
  BOOST_TEST(ErrorsAfter([](Section &S) { S.m_Signature[0] ^= 1; }) > 0U);
}

BOOST_AUTO_TEST_CASE(RowsRoundTripAsJson) {
  LimitRow Limit{
      LimitName("upstream/u"), 10, 3, {{{VmName("vm-1"), 9}, 2, 1, 4}}};
  auto Decoded = rowFromJson(rowToJson(Limit));
  BOOST_REQUIRE(Decoded);
  const auto &DecodedLimit = std::get<LimitRow>(*Decoded);
  BOOST_TEST(DecodedLimit.m_Capacity == 10U);
  BOOST_TEST(DecodedLimit.m_Holdings.at(0).m_Requested == 4U);
  BOOST_TEST(!rowFromJson(Json::object()));
}

BOOST_AUTO_TEST_CASE(MembersRoundTripAsMessages) {
  MemberInfo Info;
  Info.m_Identity = {VmName("vm-1"), 3};
  Info.m_State = MemberState::Leaving;
  Info.m_ServiceSlots = {4, 5};
  Info.m_DrainingUpstreams = {UpstreamName("u")};
  Info.m_TicketSuccessor = {VmName("vm-2"), 8};
  capnp::MallocMessageBuilder Message;
  auto List = Message.initRoot<wire::Peer::GossipParams>().initMembers(1);
  encodeMembers({&Info, 1}, List);
  auto Decoded = decodeMembers(List.asReader());
  BOOST_REQUIRE(Decoded.size() == 1U);
  BOOST_TEST((Decoded[0].m_Identity == Info.m_Identity));
  BOOST_TEST((Decoded[0].m_State == MemberState::Leaving));
  BOOST_TEST(Decoded[0].m_ServiceSlots == Info.m_ServiceSlots,
             boost::test_tools::per_element());
  BOOST_TEST((Decoded[0].m_TicketSuccessor == Info.m_TicketSuccessor));
}

BOOST_AUTO_TEST_SUITE_END()
