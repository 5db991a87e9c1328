/// \file
/// Parsing of bundle documents and their sections.
#include "config/bundle_format.h"

#include "config/signatures.h"
#include "core/prefixes.h"

#include <algorithm>
#include <charconv>

namespace mustardspoke {
namespace {

constexpr std::int64_t MaxUnits = 1000000;
constexpr std::int64_t MaxDeadlineMs = 2 * 3600 * 1000;

Upstream readUpstream(const Json &Object, const std::string &Path,
                      ValidationErrors &Errors) {
  ObjectReader Reader(Object, Path, Errors);
  Upstream U;
  U.m_Name = UpstreamName(Reader.name("name"));
  U.m_Address = Reader.address("address");
  U.m_Region = RegionName(Reader.name("region"));
  U.m_FailureDomain = FailureDomainName(Reader.name("failureDomain"));
  U.m_Slots = std::uint32_t(Reader.integer("slots", 1, MaxUnits));
  U.m_Connections =
      std::uint32_t(Reader.integerOr("connections", 1, MaxUnits, 300));
  U.m_Leaving = Reader.flagOr("leaving", false);
  if (U.m_Connections < U.m_Slots)
    Reader.addError("connections", std::to_string(U.m_Connections),
                    "at least the number of slots");
  Reader.rejectUnknownKeys();
  return U;
}

Service readService(const Json &Object, const std::string &Path,
                    const TeamName &Team, ValidationErrors &Errors) {
  ObjectReader Reader(Object, Path, Errors);
  Service S;
  S.m_Name = ServiceName(Reader.name("name"));
  S.m_Team = Team;
  S.m_Repeatable = Reader.flagOr("repeatable", false);
  S.m_Deadline = std::chrono::milliseconds(
      Reader.integerOr("deadlineMs", 1, MaxDeadlineMs, 2000));
  S.m_MaxDeadline = std::chrono::milliseconds(
      Reader.integerOr("maxDeadlineMs", 1, MaxDeadlineMs, 5000));
  S.m_QueueLimit =
      std::uint32_t(Reader.integerOr("queueLimit", 0, MaxUnits, 64));
  S.m_LinkUnits = std::uint32_t(Reader.integerOr("linkUnits", 1, MaxUnits, 1));
  Reader.forEachItem(
      "upstreams", [&](const Json &Item, const std::string &ItemPath) {
        S.m_Upstreams.push_back(readUpstream(Item, ItemPath, Errors));
      });
  if (S.m_Deadline > S.m_MaxDeadline)
    Reader.addError("deadlineMs", std::to_string(toMillis(S.m_Deadline)),
                    "at most maxDeadlineMs");
  if (S.m_Upstreams.empty())
    Reader.addError("upstreams", "nothing", "at least one upstream");
  Reader.rejectUnknownKeys();
  return S;
}

Region readRegion(const Json &Object, const std::string &Path,
                  const TeamName &Team, ValidationErrors &Errors) {
  ObjectReader Reader(Object, Path, Errors);
  Region R;
  R.m_Name = RegionName(Reader.name("name"));
  R.m_Team = Team;
  R.m_Cap = std::uint32_t(Reader.integer("cap", 1, MaxUnits));
  Reader.forEachItem("failureDomains",
                     [&](const Json &Item, const std::string &ItemPath) {
                       if (Item.isText() && isName(Item.asText()))
                         R.m_FailureDomains.emplace_back(Item.asText());
                       else
                         Errors.push_back({ItemPath, Item.toText(), "a name"});
                     });
  if (R.m_FailureDomains.empty())
    Reader.addError("failureDomains", "nothing", "at least one name");
  Reader.rejectUnknownKeys();
  return R;
}

Link readLink(const Json &Object, const std::string &Path, const TeamName &Team,
              ValidationErrors &Errors) {
  ObjectReader Reader(Object, Path, Errors);
  Link L;
  L.m_From = RegionName(Reader.name("from"));
  L.m_To = RegionName(Reader.name("to"));
  L.m_Team = Team;
  L.m_Cap = std::uint32_t(Reader.integer("cap", 1, MaxUnits));
  Reader.rejectUnknownKeys();
  return L;
}

Shift readShift(const Json &Object, const std::string &Path,
                const TeamName &Team, ValidationErrors &Errors) {
  ObjectReader Reader(Object, Path, Errors);
  Shift S;
  S.m_Name = ShiftName(Reader.name("name"));
  S.m_Team = Team;
  S.m_Service = ServiceName(Reader.name("service"));
  S.m_From = RegionName(Reader.name("from"));
  S.m_To = RegionName(Reader.name("to"));
  S.m_Cap = std::uint32_t(Reader.integer("cap", 1, MaxUnits));
  S.m_Percent = std::uint32_t(Reader.integerOr("percent", 0, 100, 0));
  Reader.rejectUnknownKeys();
  return S;
}

ClientBlock readClients(const Json &Object, const std::string &Path,
                        ValidationErrors &Errors) {
  ObjectReader Reader(Object, Path, Errors);
  ClientBlock Block;
  std::string Text = Reader.text("block");
  Block.m_Region = RegionName(Reader.name("region"));
  Reader.rejectUnknownKeys();
  std::size_t Slash = Text.find('/');
  auto Prefix = parseIpv4(std::string_view(Text).substr(0, Slash));
  unsigned Length = 33;
  if (Slash != std::string::npos)
    std::from_chars(Text.data() + Slash + 1, Text.data() + Text.size(), Length);
  if (!Prefix || Length > 32) {
    Reader.addError("block", "\"" + Text + "\"",
                    "an IPv4 block such as 10.1.0.0/16");
    return Block;
  }
  Block.m_Prefix = *Prefix;
  Block.m_PrefixLength = std::uint8_t(Length);
  return Block;
}

void readSection(const Section &Source, Bundle &Target,
                 ValidationErrors &Errors) {
  std::string Path = "sections." + Source.m_Team.str();
  JsonResult Parsed = parseJson(Source.m_Text);
  if (!Parsed) {
    Errors.push_back({Path, Parsed.m_Error, "a JSON object"});
    return;
  }
  ObjectReader Reader(Parsed.m_Value, Path, Errors);
  const TeamName &Team = Source.m_Team;
  if (Team.str() == RootTeam) {
    Reader.forEachItem(
        "teams", [&](const Json &Item, const std::string &ItemPath) {
          ObjectReader ItemReader(Item, ItemPath, Errors);
          Target.m_Teams.push_back({TeamName(ItemReader.name("name")),
                                    ItemReader.text("publicKey")});
          ItemReader.rejectUnknownKeys();
        });
    Reader.forEachItem(
        "regions", [&](const Json &Item, const std::string &ItemPath) {
          Target.m_Regions.push_back(readRegion(Item, ItemPath, Team, Errors));
        });
    Reader.forEachItem(
        "links", [&](const Json &Item, const std::string &ItemPath) {
          Target.m_Links.push_back(readLink(Item, ItemPath, Team, Errors));
        });
    Reader.forEachItem(
        "clients", [&](const Json &Item, const std::string &ItemPath) {
          Target.m_Clients.push_back(readClients(Item, ItemPath, Errors));
        });
  }
  Reader.forEachItem(
      "services", [&](const Json &Item, const std::string &ItemPath) {
        Target.m_Services.push_back(readService(Item, ItemPath, Team, Errors));
      });
  Reader.forEachItem(
      "shifts", [&](const Json &Item, const std::string &ItemPath) {
        Target.m_Shifts.push_back(readShift(Item, ItemPath, Team, Errors));
      });
  Reader.rejectUnknownKeys();
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
    Json Item = Json::object();
    Item.set("team", Json(S.m_Team.str()));
    Item.set("revision", Json(S.m_Revision));
    Item.set("text", Json(S.m_Text));
    Item.set("signature", Json(S.m_Signature));
    List.push(std::move(Item));
  }
  Doc.set("sections", std::move(List));
  return Doc.toText();
}

Section *BundleDocument::findSection(const TeamName &Team) {
  auto Found = std::ranges::find(m_Sections, Team, &Section::m_Team);
  return Found == m_Sections.end() ? nullptr : &*Found;
}

BundleDocument parseDocument(const std::string &Text,
                             ValidationErrors &Errors) {
  BundleDocument Result;
  JsonResult Parsed = parseJson(Text);
  if (!Parsed) {
    Errors.push_back({"(document)", Parsed.m_Error, "a JSON object"});
    return Result;
  }
  ObjectReader Reader(Parsed.m_Value, "", Errors);
  Result.m_Version =
      std::uint64_t(Reader.integerOr("version", 0, INT64_MAX, 0));
  Reader.forEachItem("sections", [&](const Json &Item,
                                     const std::string &ItemPath) {
    ObjectReader ItemReader(Item, ItemPath, Errors);
    Section S;
    S.m_Team = TeamName(ItemReader.name("team"));
    S.m_Revision = std::uint64_t(ItemReader.integer("revision", 1, INT64_MAX));
    S.m_Text = ItemReader.text("text");
    S.m_Signature = ItemReader.text("signature");
    ItemReader.rejectUnknownKeys();
    if (Result.findSection(S.m_Team))
      ItemReader.addError("team", S.m_Team.str(), "one section for each team");
    Result.m_Sections.push_back(std::move(S));
  });
  Reader.rejectUnknownKeys();
  return Result;
}

Bundle readBundle(const BundleDocument &Document, const std::string &RootKey,
                  ValidationErrors &Errors) {
  Bundle Result;
  Result.m_Version = Document.m_Version;
  for (const Section &S : Document.m_Sections)
    readSection(S, Result, Errors);
  for (const Section &S : Document.m_Sections) {
    std::string Key = S.m_Team.str() == RootTeam ? RootKey : "";
    for (const Team &T : Result.m_Teams)
      if (T.m_Name == S.m_Team && S.m_Team.str() != RootTeam)
        Key = T.m_PublicKey;
    std::string Path = "sections." + S.m_Team.str() + ".signature";
    if (Key.empty())
      Errors.push_back({Path, "team " + S.m_Team.str(),
                        "a team that the root section names"});
    else if (!verify(S.signedText(), S.m_Signature, Key))
      Errors.push_back({Path, "\"" + S.m_Signature + "\"",
                        "a signature by the key of team " + S.m_Team.str()});
  }
  checkBundle(Result, Errors);
  return Result;
}

} // namespace mustardspoke
