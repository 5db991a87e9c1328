/// \file
/// Parsing of bundle documents and their sections.
#include "config/bundle_format.h"

#include "config/signatures.h"
#include "core/prefixes.h"

#include <algorithm>
#include <charconv>

namespace mustardspoke {
namespace {

constexpr std::int64_t MostUnits = 1000000;
constexpr std::int64_t MostDeadlineMs = 2 * 3600 * 1000;

Upstream readUpstream(const Json &From, const std::string &Place,
                      Faults &Into) {
  ObjectReader In(From, Place, Into);
  Upstream U;
  U.m_Name = UpstreamName(In.name("name"));
  U.m_Address = In.address("address");
  U.m_Region = RegionName(In.name("region"));
  U.m_FailureDomain = FailureDomainName(In.name("failureDomain"));
  U.m_Slots = std::uint32_t(In.integer("slots", 1, MostUnits));
  U.m_Connections =
      std::uint32_t(In.integerOr("connections", 1, MostUnits, 300));
  U.m_Leaving = In.flagOr("leaving", false);
  if (U.m_Connections < U.m_Slots)
    In.fault("connections", std::to_string(U.m_Connections),
             "at least the number of slots");
  In.done();
  return U;
}

Service readService(const Json &From, const std::string &Place,
                    const TeamName &Team, Faults &Into) {
  ObjectReader In(From, Place, Into);
  Service S;
  S.m_Name = ServiceName(In.name("name"));
  S.m_Team = Team;
  S.m_Repeatable = In.flagOr("repeatable", false);
  S.m_Deadline = std::chrono::milliseconds(
      In.integerOr("deadlineMs", 1, MostDeadlineMs, 2000));
  S.m_MaxDeadline = std::chrono::milliseconds(
      In.integerOr("maxDeadlineMs", 1, MostDeadlineMs, 5000));
  S.m_QueueLimit = std::uint32_t(In.integerOr("queueLimit", 0, MostUnits, 64));
  S.m_LinkUnits = std::uint32_t(In.integerOr("linkUnits", 1, MostUnits, 1));
  In.each("upstreams", [&](const Json &Item, const std::string &At) {
    S.m_Upstreams.push_back(readUpstream(Item, At, Into));
  });
  if (S.m_Deadline > S.m_MaxDeadline)
    In.fault("deadlineMs", std::to_string(toMillis(S.m_Deadline)),
             "at most maxDeadlineMs");
  if (S.m_Upstreams.empty())
    In.fault("upstreams", "nothing", "at least one upstream");
  In.done();
  return S;
}

Region readRegion(const Json &From, const std::string &Place,
                  const TeamName &Team, Faults &Into) {
  ObjectReader In(From, Place, Into);
  Region R;
  R.m_Name = RegionName(In.name("name"));
  R.m_Team = Team;
  R.m_Cap = std::uint32_t(In.integer("cap", 1, MostUnits));
  In.each("failureDomains", [&](const Json &Item, const std::string &At) {
    if (Item.isText() && isName(Item.asText()))
      R.m_FailureDomains.emplace_back(Item.asText());
    else
      Into.push_back({At, Item.toText(), "a name"});
  });
  if (R.m_FailureDomains.empty())
    In.fault("failureDomains", "nothing", "at least one name");
  In.done();
  return R;
}

Link readLink(const Json &From, const std::string &Place, const TeamName &Team,
              Faults &Into) {
  ObjectReader In(From, Place, Into);
  Link L;
  L.m_From = RegionName(In.name("from"));
  L.m_To = RegionName(In.name("to"));
  L.m_Team = Team;
  L.m_Cap = std::uint32_t(In.integer("cap", 1, MostUnits));
  In.done();
  return L;
}

Shift readShift(const Json &From, const std::string &Place,
                const TeamName &Team, Faults &Into) {
  ObjectReader In(From, Place, Into);
  Shift S;
  S.m_Name = ShiftName(In.name("name"));
  S.m_Team = Team;
  S.m_Service = ServiceName(In.name("service"));
  S.m_From = RegionName(In.name("from"));
  S.m_To = RegionName(In.name("to"));
  S.m_Cap = std::uint32_t(In.integer("cap", 1, MostUnits));
  S.m_Percent = std::uint32_t(In.integerOr("percent", 0, 100, 0));
  In.done();
  return S;
}

ClientBlock readClients(const Json &From, const std::string &Place,
                        Faults &Into) {
  ObjectReader In(From, Place, Into);
  ClientBlock Block;
  std::string Text = In.text("block");
  Block.m_Region = RegionName(In.name("region"));
  In.done();
  std::size_t Slash = Text.find('/');
  auto Prefix = parseIpv4(std::string_view(Text).substr(0, Slash));
  unsigned Length = 33;
  if (Slash != std::string::npos)
    std::from_chars(Text.data() + Slash + 1, Text.data() + Text.size(), Length);
  if (!Prefix || Length > 32) {
    In.fault("block", "\"" + Text + "\"", "an IPv4 block such as 10.1.0.0/16");
    return Block;
  }
  Block.m_Prefix = *Prefix;
  Block.m_PrefixLength = std::uint8_t(Length);
  return Block;
}

void readSection(const Section &From, Bundle &Into, Faults &Found) {
  std::string Where = "sections." + From.m_Team.str();
  JsonResult Parsed = parseJson(From.m_Text);
  if (!Parsed) {
    Found.push_back({Where, Parsed.m_Error, "a JSON object"});
    return;
  }
  ObjectReader In(Parsed.m_Value, Where, Found);
  const TeamName &Team = From.m_Team;
  if (Team.str() == RootTeam) {
    In.each("teams", [&](const Json &Item, const std::string &At) {
      ObjectReader One(Item, At, Found);
      Into.m_Teams.push_back(
          {TeamName(One.name("name")), One.text("publicKey")});
      One.done();
    });
    In.each("regions", [&](const Json &Item, const std::string &At) {
      Into.m_Regions.push_back(readRegion(Item, At, Team, Found));
    });
    In.each("links", [&](const Json &Item, const std::string &At) {
      Into.m_Links.push_back(readLink(Item, At, Team, Found));
    });
    In.each("clients", [&](const Json &Item, const std::string &At) {
      Into.m_Clients.push_back(readClients(Item, At, Found));
    });
  }
  In.each("services", [&](const Json &Item, const std::string &At) {
    Into.m_Services.push_back(readService(Item, At, Team, Found));
  });
  In.each("shifts", [&](const Json &Item, const std::string &At) {
    Into.m_Shifts.push_back(readShift(Item, At, Team, Found));
  });
  In.done();
}

} // namespace

std::string Section::signedText() const {
  return "mustardspoke section\n" + m_Team.str() + "\n" +
         std::to_string(m_Revision) + "\n" + m_Text;
}

std::string BundleDocument::toText() const {
  Json Doc = Json::object();
  Doc.set("version", Json(m_Version));
  Json List = Json::array();
  for (const Section &S : m_Sections) {
    Json One = Json::object();
    One.set("team", Json(S.m_Team.str()));
    One.set("revision", Json(S.m_Revision));
    One.set("text", Json(S.m_Text));
    One.set("signature", Json(S.m_Signature));
    List.push(std::move(One));
  }
  Doc.set("sections", std::move(List));
  return Doc.toText();
}

Section *BundleDocument::find(const TeamName &Team) {
  auto At = std::ranges::find(m_Sections, Team, &Section::m_Team);
  return At == m_Sections.end() ? nullptr : &*At;
}

BundleDocument parseDocument(const std::string &Text, Faults &Into) {
  BundleDocument Result;
  JsonResult Parsed = parseJson(Text);
  if (!Parsed) {
    Into.push_back({"(document)", Parsed.m_Error, "a JSON object"});
    return Result;
  }
  ObjectReader In(Parsed.m_Value, "", Into);
  Result.m_Version = std::uint64_t(In.integerOr("version", 0, INT64_MAX, 0));
  In.each("sections", [&](const Json &Item, const std::string &At) {
    ObjectReader One(Item, At, Into);
    Section S;
    S.m_Team = TeamName(One.name("team"));
    S.m_Revision = std::uint64_t(One.integer("revision", 1, INT64_MAX));
    S.m_Text = One.text("text");
    S.m_Signature = One.text("signature");
    One.done();
    if (Result.find(S.m_Team))
      One.fault("team", S.m_Team.str(), "one section for each team");
    Result.m_Sections.push_back(std::move(S));
  });
  In.done();
  return Result;
}

Bundle readBundle(const BundleDocument &From, const std::string &RootKey,
                  Faults &Into) {
  Bundle Result;
  Result.m_Version = From.m_Version;
  for (const Section &S : From.m_Sections)
    readSection(S, Result, Into);
  for (const Section &S : From.m_Sections) {
    std::string Key = S.m_Team.str() == RootTeam ? RootKey : "";
    for (const Team &T : Result.m_Teams)
      if (T.m_Name == S.m_Team && S.m_Team.str() != RootTeam)
        Key = T.m_PublicKey;
    std::string Place = "sections." + S.m_Team.str() + ".signature";
    if (Key.empty())
      Into.push_back({Place, "team " + S.m_Team.str(),
                      "a team that the root section names"});
    else if (!verify(S.signedText(), S.m_Signature, Key))
      Into.push_back({Place, "\"" + S.m_Signature + "\"",
                      "a sign-off by the key of team " + S.m_Team.str()});
  }
  checkBundle(Result, Into);
  return Result;
}

} // namespace mustardspoke
