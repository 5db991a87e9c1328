/// \file
/// Reading and validating a gateway's settings file.
#include "gateway/settings.h"

#include "gateway/net.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <unistd.h>

namespace mustardspoke::steer {
namespace {

/// \brief The IP of an address without its port.
std::string ipPart(const std::string &Address) {
  return Address.substr(0, Address.rfind(':'));
}

bool isIp(const std::string &Text) {
  NetError Error;
  asio::ip::make_address(Text, Error);
  return !Error;
}

std::string optionalAddress(const Json &Object, const std::string &Key,
                            ValidationErrors &Problems) {
  std::string Value = Object.textOr(Key, "");
  if (!Value.empty() && !parseEndpoint<Tcp>(Value))
    Problems.push_back({"listen." + Key, Value, "IP:port or an empty string"});
  return Value;
}

std::vector<std::string> stringList(const Json &Object, const std::string &Key,
                                    ValidationErrors &Problems) {
  std::vector<std::string> Result;
  const Json *List = Object.find(Key);
  if (!List || List->kind() == Json::Kind::Null)
    return Result;
  if (!List->isArray())
    Problems.push_back({Key, List->toText(), "a list of strings"});
  for (const Json &Item : List->items()) {
    if (Item.isText())
      Result.push_back(Item.asText());
    else
      Problems.push_back({Key, Item.toText(), "a string"});
  }
  return Result;
}

void readRegions(const Json &Object, GatewaySettings &Settings,
                 ValidationErrors &Problems) {
  const Json *Domains = Object.find("failureDomains");
  if (!Domains || !Domains->isObject() || Domains->members().empty()) {
    Problems.push_back({"failureDomains",
                        Domains ? Domains->toText() : "nothing",
                        "an object that maps failure domains to regions"});
    return;
  }
  for (const auto &[Domain, Region] : Domains->members()) {
    if (Region.isText())
      Settings.m_RegionByDomain[FailureDomainName(Domain)] =
          RegionName(Region.asText());
    else
      Problems.push_back(
          {"failureDomains." + Domain, Region.toText(), "a string"});
  }
  if (!Settings.m_RegionByDomain.contains(Settings.m_Placement.m_Domain))
    Problems.push_back({"failureDomain", Settings.m_Placement.m_Domain.str(),
                        "a member of failureDomains"});
}

double positiveNumber(const Json &Object, const std::string &Key,
                      double Default, ValidationErrors &Problems) {
  const Json *Value = Object.find(Key);
  if (!Value || Value->kind() == Json::Kind::Null)
    return Default;
  bool Number = Value->isInteger() || Value->kind() == Json::Kind::Real;
  if (Number && Value->asReal() > 0)
    return Value->asReal();
  Problems.push_back({Key, Value->toText(), "a number greater than 0"});
  return Default;
}

void readDuration(const Json &Object, const std::string &Key, Duration &Result,
                  ValidationErrors &Problems) {
  const Json *Value = Object.find(Key);
  if (!Value || Value->kind() == Json::Kind::Null)
    return;
  auto Parsed = Value->isText() ? parseDuration(Value->asText())
                                : std::optional<Duration>();
  if (Parsed)
    Result = *Parsed;
  else
    Problems.push_back(
        {"limits." + Key, Value->toText(), "a duration such as \"2s\""});
}

/// \brief A quarter of the VM's memory, as connections, the replica and the
/// allocator need theirs; less on a large VM, where more wouldn't help.
std::size_t defaultBufferBytes() {
  constexpr std::size_t MaxBytes = 64 << 20;
  constexpr std::size_t MinBytes = 8 << 20;
  long Pages = ::sysconf(_SC_PHYS_PAGES);
  long PageBytes = ::sysconf(_SC_PAGESIZE);
  if (Pages <= 0 || PageBytes <= 0)
    return MaxBytes;
  return std::clamp(std::size_t(Pages) * std::size_t(PageBytes) / 4, MinBytes,
                    MaxBytes);
}

void readLimits(const Json &Object, GatewaySettings &Settings,
                ValidationErrors &Problems) {
  readDuration(Object, "stopGrace", Settings.m_StopGracePeriod, Problems);
  readDuration(Object, "lookupLifeMost", Settings.m_MaxLookupTtl, Problems);
  readDuration(Object, "retryWindow", Settings.m_Retry.m_Window, Problems);
  Settings.m_Retry.m_Ratio =
      positiveNumber(Object, "retryRatio", Settings.m_Retry.m_Ratio, Problems);
  Settings.m_Retry.m_Slack =
      positiveNumber(Object, "retrySlack", Settings.m_Retry.m_Slack, Problems);
  constexpr double BytesPerMb = 1 << 20;
  constexpr double MaxBufferMb = 1 << 20;
  Settings.m_BufferBytes = std::size_t(
      BytesPerMb *
      std::min(MaxBufferMb,
               positiveNumber(Object, "bufferMb",
                              double(defaultBufferBytes()) / BytesPerMb,
                              Problems)));
}

/// \brief Optional constants of the upstream choice, for measurements.
void readChoice(const Json &Object, ChoiceTuning &Tuning,
                ValidationErrors &Problems) {
  Tuning.m_HoldersPerKey = unsigned(
      positiveNumber(Object, "holders", Tuning.m_HoldersPerKey, Problems));
  Tuning.m_TargetFraction =
      positiveNumber(Object, "targetPart", Tuning.m_TargetFraction, Problems);
  Tuning.m_NonHolderMaxLoad = positiveNumber(
      Object, "strangerLoad", Tuning.m_NonHolderMaxLoad, Problems);
}

} // namespace

/// In the text's unit; as microseconds, 64 bits hold it.
constexpr double MaxDurationValue = 1e9;

std::optional<Duration> parseDuration(std::string_view Text) {
  double Value = 0;
  auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  std::string_view Unit(End, std::size_t(Text.data() + Text.size() - End));
  double Scale = Unit == "ms" ? 1e3 : Unit == "s" ? 1e6 : 0;
  bool InRange = Value >= 0 && Value <= MaxDurationValue; // Not if NaN.
  if (Error != std::errc() || Scale == 0 || !InRange)
    return std::nullopt;
  return Duration(std::llround(Value * Scale));
}

GatewaySettings readGatewaySettings(const std::string &Text,
                                    ValidationErrors &Problems) {
  GatewaySettings Result;
  JsonResult Parsed = parseJson(Text);
  if (!Parsed || !Parsed.m_Value.isObject()) {
    Problems.push_back({"(document)", Parsed.m_Error, "a JSON object"});
    return Result;
  }
  const Json &Document = Parsed.m_Value;
  ObjectReader Reader(Document, "", Problems);
  Result.m_Vm = VmName(Reader.text("vm"));
  Result.m_Placement.m_Region = RegionName(Reader.text("region"));
  Result.m_Placement.m_Domain = FailureDomainName(Reader.text("failureDomain"));
  readRegions(Document, Result, Problems);
  Result.m_StoreAddress = Reader.address("store");
  Result.m_SourceIp = Document.textOr("sourceIp", "");
  if (!Result.m_SourceIp.empty() && !isIp(Result.m_SourceIp))
    Problems.push_back(
        {"sourceIp", Result.m_SourceIp, "an IP or an empty string"});

  const Json *ListenMember = Document.find("listen");
  Json NoMembers = Json::object();
  const Json &ListenObject = ListenMember ? *ListenMember : NoMembers;
  ObjectReader Listen(ListenObject, "listen", Problems);
  Result.m_CallerAddress = Listen.address("callers");
  Result.m_ReadyAddress = Listen.address("ready");
  Result.m_LookupAddress = Listen.address("lookups");
  Result.m_SeedAddress = optionalAddress(ListenObject, "seeds", Problems);
  Result.m_MetricsAddress = optionalAddress(ListenObject, "metrics", Problems);
  std::vector<std::string> Ports =
      stringList(ListenObject, "peerPorts", Problems);
  std::string Ip = ListenObject.textOr("ip", "");
  if (Ports.empty() || !parseEndpoint<Udp>(Ip + ":" + Ports.front()))
    Problems.push_back({"listen.peerPorts",
                        Ports.empty() ? "nothing" : Ports[0],
                        "a list of ports, and listen.ip an IP"});
  else
    Result.m_PeerAddress = Ip + ":" + Ports.front();
  if (Ports.size() > 1 && !parseEndpoint<Tcp>(Ip + ":" + Ports[1]))
    Problems.push_back({"listen.peerPorts", Ports[1], "a port"});
  else if (Ports.size() > 1)
    Result.m_RelayAddress = Ip + ":" + Ports[1];

  for (const std::string &Seed : stringList(Document, "seeds", Problems))
    Result.m_SeedIps.push_back(ipPart(Seed));
  Result.m_Cores = positiveNumber(Document, "cores", Result.m_Cores, Problems);
  Result.m_LinkMbps =
      positiveNumber(Document, "linkMbps", Result.m_LinkMbps, Problems);
  readLimits(Reader.object("limits"), Result, Problems);
  if (const Json *Choice = Document.find("choice"))
    readChoice(*Choice, Result.m_Choice, Problems);
  Result.m_LookupTtl = std::min(Result.m_LookupTtl, Result.m_MaxLookupTtl);
  return Result;
}

} // namespace mustardspoke::steer
