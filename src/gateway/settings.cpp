/// \file
/// Checked reading of a gateway's settings file.
#include "gateway/settings.h"

#include "gateway/net.h"

#include <charconv>
#include <cmath>

namespace mustardspoke::steer {
namespace {

/// \brief The IP of an address, for reaching another port there.
std::string ipOf(const std::string &Address) {
  return Address.substr(0, Address.rfind(':'));
}

std::string optionalAddress(const Json &From, const std::string &Key,
                            Faults &Into) {
  std::string Value = From.textOr(Key, "");
  if (!Value.empty() && !endpointOf<Tcp>(Value))
    Into.push_back({"listen." + Key, Value, "IP:port or an empty text"});
  return Value;
}

std::vector<std::string> texts(const Json &From, const std::string &Key,
                               Faults &Into) {
  std::vector<std::string> Result;
  const Json *List = From.find(Key);
  if (!List || List->kind() == Json::Kind::Null)
    return Result;
  if (!List->isArray())
    Into.push_back({Key, List->toText(), "a list of texts"});
  for (const Json &One : List->items()) {
    if (One.isText())
      Result.push_back(One.asText());
    else
      Into.push_back({Key, One.toText(), "a text"});
  }
  return Result;
}

void readRegions(const Json &From, GatewaySettings &To, Faults &Into) {
  const Json *Domains = From.find("failureDomains");
  if (!Domains || !Domains->isObject() || Domains->members().empty()) {
    Into.push_back({"failureDomains", Domains ? Domains->toText() : "nothing",
                    "an object from failure domain to region"});
    return;
  }
  for (const auto &[Domain, Region] : Domains->members()) {
    if (Region.isText())
      To.m_Regions[FailureDomainName(Domain)] = RegionName(Region.asText());
    else
      Into.push_back({"failureDomains." + Domain, Region.toText(), "a text"});
  }
  if (!To.m_Regions.contains(To.m_Here.m_Domain))
    Into.push_back({"failureDomain", To.m_Here.m_Domain.str(),
                    "a member of failureDomains"});
}

double positive(const Json &From, const std::string &Key, double Default,
                Faults &Into) {
  const Json *Value = From.find(Key);
  if (!Value || Value->kind() == Json::Kind::Null)
    return Default;
  bool Number = Value->isInteger() || Value->kind() == Json::Kind::Real;
  if (Number && Value->asReal() > 0)
    return Value->asReal();
  Into.push_back({Key, Value->toText(), "a number over 0"});
  return Default;
}

void readTime(const Json &From, const std::string &Key, Duration &To,
              Faults &Into) {
  const Json *Value = From.find(Key);
  if (!Value || Value->kind() == Json::Kind::Null)
    return;
  auto Time =
      Value->isText() ? durationOf(Value->asText()) : std::optional<Duration>();
  if (Time)
    To = *Time;
  else
    Into.push_back({"limits." + Key, Value->toText(), "a time such as \"2s\""});
}

void readLimits(const Json &From, GatewaySettings &To, Faults &Into) {
  readTime(From, "stopGrace", To.m_Grace, Into);
  readTime(From, "lookupLifeMost", To.m_LookupLifeMost, Into);
  readTime(From, "retryWindow", To.m_Retry.m_Window, Into);
  To.m_Retry.m_Ratio = positive(From, "retryRatio", To.m_Retry.m_Ratio, Into);
  To.m_Retry.m_Slack = positive(From, "retrySlack", To.m_Retry.m_Slack, Into);
}

/// \brief Optional constants of the choice, for measurements.
void readChoice(const Json &From, ChoiceTuning &To, Faults &Into) {
  To.m_Holders = unsigned(positive(From, "holders", To.m_Holders, Into));
  To.m_TargetPart = positive(From, "targetPart", To.m_TargetPart, Into);
  To.m_StrangerLoad = positive(From, "strangerLoad", To.m_StrangerLoad, Into);
}

} // namespace

std::optional<Duration> durationOf(std::string_view Text) {
  double Value = 0;
  auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  std::string_view Unit(End, std::size_t(Text.data() + Text.size() - End));
  double Scale = Unit == "ms" ? 1e3 : Unit == "s" ? 1e6 : 0;
  if (Error != std::errc() || Scale == 0 || Value < 0 || Value > 1e9)
    return std::nullopt;
  return Duration(std::llround(Value * Scale));
}

GatewaySettings readGatewaySettings(const std::string &Text, Faults &Into) {
  GatewaySettings Result;
  JsonResult Parsed = parseJson(Text);
  if (!Parsed || !Parsed.m_Value.isObject()) {
    Into.push_back({"(document)", Parsed.m_Error, "a JSON object"});
    return Result;
  }
  const Json &All = Parsed.m_Value;
  ObjectReader In(All, "", Into);
  Result.m_Vm = VmName(In.text("vm"));
  Result.m_Here.m_Region = RegionName(In.text("region"));
  Result.m_Here.m_Domain = FailureDomainName(In.text("failureDomain"));
  readRegions(All, Result, Into);
  Result.m_StoreAddress = In.address("store");

  const Json *ListenAt = All.find("listen");
  Json Nothing = Json::object();
  const Json &ListenFrom = ListenAt ? *ListenAt : Nothing;
  ObjectReader Listen(ListenFrom, "listen", Into);
  Result.m_CallerAddress = Listen.address("callers");
  Result.m_ReadyAddress = Listen.address("ready");
  Result.m_LookupAddress = Listen.address("lookups");
  Result.m_SeedAddress = optionalAddress(ListenFrom, "seeds", Into);
  Result.m_MetricsAddress = optionalAddress(ListenFrom, "metrics", Into);
  std::vector<std::string> Ports = texts(ListenFrom, "peerPorts", Into);
  std::string Ip = ListenFrom.textOr("ip", "");
  if (Ports.empty() || !endpointOf<Udp>(Ip + ":" + Ports.front()))
    Into.push_back({"listen.peerPorts", Ports.empty() ? "nothing" : Ports[0],
                    "a list of ports, and listen.ip an IP"});
  else
    Result.m_PeerAddress = Ip + ":" + Ports.front();

  for (const std::string &Seed : texts(All, "seeds", Into))
    Result.m_SeedIps.push_back(ipOf(Seed));
  Result.m_Cores = positive(All, "cores", Result.m_Cores, Into);
  Result.m_LinkMbps = positive(All, "linkMbps", Result.m_LinkMbps, Into);
  readLimits(In.object("limits"), Result, Into);
  if (const Json *Choice = All.find("choice"))
    readChoice(*Choice, Result.m_Choice, Into);
  Result.m_LookupLife = std::min(Result.m_LookupLife, Result.m_LookupLifeMost);
  return Result;
}

} // namespace mustardspoke::steer
