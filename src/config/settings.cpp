/// \file
/// Parsing and validation of the settings file.
#include "config/settings.h"

#include "http/http.h"

namespace mustardspoke {
namespace {

constexpr std::int64_t HourMs = 3600 * 1000;
constexpr std::int64_t DayMs = 24 * HourMs;
constexpr std::int64_t MaxWorkers = 64;
constexpr std::size_t RootKeyDigits = 64;

Duration readMillis(ObjectReader &Reader, const std::string &Key,
                    std::int64_t Min, std::int64_t Max, Duration Default) {
  return std::chrono::milliseconds(
      Reader.integerOr(Key, Min, Max, toMillis(Default)));
}

void readTuning(const Json &Object, Tuning &Result, ValidationErrors &Errors) {
  ObjectReader Reader(Object, "tuning", Errors);
  ShareTuning &Shares = Result.m_Shares;
  Shares.m_ShortLease = readMillis(Reader, "shortLeaseMs", 500, HourMs, 10s);
  Shares.m_LongLease = readMillis(Reader, "longLeaseMs", 1000, DayMs, 2h);
  Shares.m_RenewEvery = readMillis(Reader, "renewEveryMs", 50, HourMs, 2s);
  Shares.m_ScanEvery = readMillis(Reader, "scanEveryMs", 50, HourMs, 1s);
  Shares.m_ReplyTimeout = readMillis(Reader, "storeReplyMs", 50, HourMs, 2s);
  Shares.m_LapseMargin = readMillis(Reader, "lapseMarginMs", 0, HourMs, 500ms);
  Shares.m_FloorPercent =
      std::uint32_t(Reader.integerOr("floorPercent", 0, 100, 90));
  Result.m_Gossip.m_SuspectAfter =
      readMillis(Reader, "suspectAfterMs", 200, HourMs, 3s);
  Result.m_Gossip.m_Fanout =
      std::size_t(Reader.integerOr("gossipFanout", 1, 64, 3));
  Result.m_ConfirmLease = readMillis(Reader, "confirmLeaseMs", 200, HourMs, 4s);
  Result.m_LookupLife = readMillis(Reader, "lookupLifeMs", 100, HourMs, 5s);
  Result.m_TicketLifeSeconds =
      std::uint64_t(Reader.integerOr("ticketLifeSeconds", 1, 86400, 60));
  Result.m_Upstreams.m_DrainMemory =
      readMillis(Reader, "drainMemoryMs", 500, DayMs, 30s);
  Result.m_Upstreams.m_WarmUp = readMillis(Reader, "warmUpMs", 0, HourMs, 20s);
  Result.m_ShiftStepEvery =
      readMillis(Reader, "shiftStepEveryMs", 10, HourMs, 5s);
  Reader.rejectUnknownKeys();
  if (Shares.m_RenewEvery * 2 > Shares.m_ShortLease)
    Reader.addError("renewEveryMs",
                    std::to_string(toMillis(Shares.m_RenewEvery)),
                    "at most half of shortLeaseMs");
  if (Shares.m_ShortLease > Shares.m_LongLease)
    Reader.addError("longLeaseMs", std::to_string(toMillis(Shares.m_LongLease)),
                    "at least shortLeaseMs");
}

} // namespace

Settings readSettings(const std::string &Text, ValidationErrors &Errors) {
  Settings Result;
  JsonResult Parsed = parseJson(Text);
  if (!Parsed) {
    Errors.push_back({"(document)", Parsed.m_Error, "a JSON object"});
    return Result;
  }
  ObjectReader Reader(Parsed.m_Value, "", Errors);
  Result.m_Vm = VmName(Reader.name("vm"));
  Result.m_Region = RegionName(Reader.name("region"));
  Result.m_Domain = FailureDomainName(Reader.name("failureDomain"));

  ObjectReader Listen(Reader.object("listen"), "listen", Errors);
  Result.m_CallerAddress = Listen.address("callers");
  Result.m_PeerAddress = Listen.address("peers");
  Result.m_OperatorAddress = Listen.address("operators");
  Listen.rejectUnknownKeys();

  ObjectReader Operators(Reader.object("operators"), "operators", Errors);
  Result.m_OperatorToken = Operators.text("token");
  Operators.rejectUnknownKeys();

  ObjectReader Platform(Reader.object("platform"), "platform", Errors);
  Result.m_PlatformAddress = Platform.address("address");
  Platform.rejectUnknownKeys();

  Reader.forEachItem(
      "peers", [&](const Json &Item, const std::string &ItemPath) {
        std::string Ip;
        unsigned short Port = 0;
        if (Item.isText() && splitAddress(Item.asText(), Ip, Port))
          Result.m_SeedPeers.push_back(Item.asText());
        else
          Errors.push_back({ItemPath, Item.toText(), "IP:port"});
      });

  Result.m_RootKey = Reader.text("rootKey");
  bool IsValidKey = Result.m_RootKey.size() == RootKeyDigits &&
                    Result.m_RootKey.find_first_not_of("0123456789abcdef") ==
                        std::string::npos;
  if (!IsValidKey && !Result.m_RootKey.empty())
    Reader.addError("rootKey", Result.m_RootKey, "64 hexadecimal digits");
  Result.m_Workers =
      unsigned(Reader.integerOr("workers", 1, MaxWorkers, Result.m_Workers));
  Result.m_Seed = std::uint64_t(Reader.integerOr("seed", 0, INT64_MAX, 0));
  Result.m_LogLevel = Reader.textOr("logLevel", "info");
  if (Result.m_LogLevel != "info" && Result.m_LogLevel != "warning" &&
      Result.m_LogLevel != "error")
    Reader.addError("logLevel", Result.m_LogLevel, "info, warning or error");
  static const Json EmptyObject = Json::object();
  const Json *TuningObject = Parsed.m_Value.find("tuning");
  readTuning(TuningObject ? Reader.object("tuning") : EmptyObject,
             Result.m_Tuning, Errors);
  Reader.rejectUnknownKeys();
  return Result;
}

} // namespace mustardspoke
