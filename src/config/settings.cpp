/// \file
/// Checked reading of the settings file.
#include "config/settings.h"

#include "http/http.h"

namespace mustardspoke {
namespace {

constexpr std::int64_t HourMs = 3600 * 1000;
constexpr std::int64_t DayMs = 24 * HourMs;
constexpr std::int64_t MostWorkers = 64;
constexpr std::size_t KeyDigits = 64;

Duration millis(ObjectReader &In, const std::string &Key, std::int64_t Least,
                std::int64_t Most, Duration Default) {
  return std::chrono::milliseconds(
      In.integerOr(Key, Least, Most, toMillis(Default)));
}

void readTuning(const Json &From, Tuning &To, Faults &Into) {
  ObjectReader In(From, "tuning", Into);
  ShareTuning &Shares = To.m_Shares;
  Shares.m_ShortLease = millis(In, "shortLeaseMs", 500, HourMs, 10s);
  Shares.m_LongLease = millis(In, "longLeaseMs", 1000, DayMs, 2h);
  Shares.m_RenewEvery = millis(In, "renewEveryMs", 50, HourMs, 2s);
  Shares.m_ScanEvery = millis(In, "scanEveryMs", 50, HourMs, 1s);
  Shares.m_ReplyTimeout = millis(In, "storeReplyMs", 50, HourMs, 2s);
  Shares.m_LapseMargin = millis(In, "lapseMarginMs", 0, HourMs, 500ms);
  Shares.m_FloorPercent =
      std::uint32_t(In.integerOr("floorPercent", 0, 100, 90));
  To.m_Gossip.m_SuspectAfter = millis(In, "suspectAfterMs", 200, HourMs, 3s);
  To.m_Gossip.m_Fanout = std::size_t(In.integerOr("gossipFanout", 1, 64, 3));
  To.m_ConfirmLease = millis(In, "confirmLeaseMs", 200, HourMs, 4s);
  To.m_LookupLife = millis(In, "lookupLifeMs", 100, HourMs, 5s);
  To.m_TicketLifeSeconds =
      std::uint64_t(In.integerOr("ticketLifeSeconds", 1, 86400, 60));
  To.m_Upstreams.m_DrainMemory = millis(In, "drainMemoryMs", 500, DayMs, 30s);
  To.m_Upstreams.m_WarmUp = millis(In, "warmUpMs", 0, HourMs, 20s);
  To.m_ShiftStepEvery = millis(In, "shiftStepEveryMs", 10, HourMs, 5s);
  In.done();
  if (Shares.m_RenewEvery * 2 > Shares.m_ShortLease)
    In.fault("renewEveryMs", std::to_string(toMillis(Shares.m_RenewEvery)),
             "at most half of shortLeaseMs");
  if (Shares.m_ShortLease > Shares.m_LongLease)
    In.fault("longLeaseMs", std::to_string(toMillis(Shares.m_LongLease)),
             "at least shortLeaseMs");
}

} // namespace

Settings readSettings(const std::string &Text, Faults &Into) {
  Settings Result;
  JsonResult Parsed = parseJson(Text);
  if (!Parsed) {
    Into.push_back({"(document)", Parsed.m_Error, "a JSON object"});
    return Result;
  }
  ObjectReader In(Parsed.m_Value, "", Into);
  Result.m_Vm = VmName(In.name("vm"));
  Result.m_Region = RegionName(In.name("region"));
  Result.m_Domain = FailureDomainName(In.name("failureDomain"));

  ObjectReader Listen(In.object("listen"), "listen", Into);
  Result.m_CallerAddress = Listen.address("callers");
  Result.m_PeerAddress = Listen.address("peers");
  Result.m_OperatorAddress = Listen.address("operators");
  Listen.done();

  ObjectReader Operators(In.object("operators"), "operators", Into);
  Result.m_OperatorToken = Operators.text("token");
  Operators.done();

  ObjectReader Platform(In.object("platform"), "platform", Into);
  Result.m_PlatformAddress = Platform.address("address");
  Platform.done();

  In.each("peers", [&](const Json &Item, const std::string &Place) {
    std::string Ip;
    unsigned short Port = 0;
    if (Item.isText() && splitAddress(Item.asText(), Ip, Port))
      Result.m_Peers.push_back(Item.asText());
    else
      Into.push_back({Place, Item.toText(), "IP:port"});
  });

  Result.m_RootKey = In.text("rootKey");
  bool IsKey = Result.m_RootKey.size() == KeyDigits &&
               Result.m_RootKey.find_first_not_of("0123456789abcdef") ==
                   std::string::npos;
  if (!IsKey && !Result.m_RootKey.empty())
    In.fault("rootKey", Result.m_RootKey, "64 hexadecimal digits");
  Result.m_Workers =
      unsigned(In.integerOr("workers", 1, MostWorkers, Result.m_Workers));
  Result.m_Seed = std::uint64_t(In.integerOr("seed", 0, INT64_MAX, 0));
  Result.m_LogLevel = In.textOr("logLevel", "info");
  if (Result.m_LogLevel != "info" && Result.m_LogLevel != "warning" &&
      Result.m_LogLevel != "error")
    In.fault("logLevel", Result.m_LogLevel, "info, warning or error");
  static const Json NoTuning = Json::object();
  const Json *Given = Parsed.m_Value.find("tuning");
  readTuning(Given ? In.object("tuning") : NoTuning, Result.m_Tuning, Into);
  In.done();
  return Result;
}

} // namespace mustardspoke
