/// \file
/// Verification of ended upstreams, and reports about the requests they had.
#include "gateway/crash_report.h"

#include "gateway/link_monitor.h"
#include "gateway/task.h"
#include "observe/log.h"

#include <charconv>

namespace mustardspoke::steer {
namespace {

/// An upstream that ends closes its connections one after the other; its
/// listening socket may be the last.
constexpr Duration EndCheckDelay = 10ms;
/// Longer than a round trip on the longest path.
constexpr Duration EndCheckTimeout = 400ms;
/// The connection of a check is used for a request that comes soon.
constexpr Duration CheckedConnectionIdleTimeout = 1s;

void logChange(RequestFingerprint Request, CrashChange Change, unsigned Ends,
               std::string_view Source) {
  if (Change == CrashChange::None)
    return;
  constexpr const char *Names[] = {"", "suspected", "confirmed", "cleared"};
  logEvent(LogLevel::Warning, "crashing-request",
           {{"request", formatFingerprint(Request)},
            {"change", Names[std::size_t(Change)]},
            {"ends", std::to_string(Ends)},
            {"source", std::string(Source)}});
}

awaitable<void> checkEnd(GatewayState &State, UpstreamPool &Pool,
                         UpstreamPtr Target) {
  UpstreamRunKey Run = runKey(Target->m_Registration);
  co_await sleepFor(State.m_Io, EndCheckDelay);
  TimePoint Began = steadyNow();
  NetError Error;
  UpstreamConnectionPtr Connection =
      co_await Pool.open(Target, EndCheckTimeout, Error);
  // On a VM without links to any upstream, all of them refuse connections.
  bool Ended = Error == asio::error::connection_refused &&
               co_await otherUpstreamIsReachable(State, Pool, Target, Began);
  State.m_EndChecks.erase(Run);
  logEvent(LogLevel::Info, "upstream-end-checked",
           {{"upstream", Target->m_Registration.m_Id},
            {"ended", Ended ? "yes" : "no"},
            {"cause", Error ? Error.message() : ""}});
  if (Ended) {
    Target->recordEnd(steadyNow(), State.m_Settings.m_Choice.m_HealthTuning);
    confirmEnd(State, Run, Target->m_Registration.m_Id);
    co_return;
  }
  State.m_CrashSuspects.refuteEnd(Run, steadyNow());
  if (Connection) {
    Connection->m_IdleTimeout = CheckedConnectionIdleTimeout;
    Pool.release(*Target, Connection, steadyNow());
  }
}

} // namespace

std::uint32_t digestHead(const HttpHead &Head,
                         const RequestMetadata &Metadata) {
  std::uint64_t Digest = stableHash(hostWithoutPort(Head));
  for (std::string_view Part : std::initializer_list<std::string_view>{
           Head.m_Method, Head.m_Target, Metadata.m_AffinityKey,
           Metadata.m_CallerCredential})
    Digest = stableHash(Part, Digest);
  return std::uint32_t(Digest);
}

void reportLoss(GatewayState &State, UpstreamPool &Pool,
                RequestFingerprint Request, const UpstreamPtr &Target,
                std::string_view RequestId) {
  UpstreamRunKey Run = runKey(Target->m_Registration);
  State.m_CrashSuspects.recordLoss(Request, Run, steadyNow());
  logEvent(LogLevel::Info, "request-lost-its-upstream",
           {{"id", std::string(RequestId)},
            {"request", formatFingerprint(Request)},
            {"upstream", Target->m_Registration.m_Id},
            {"ends", std::to_string(State.m_CrashSuspects.endsOf(Request))}});
  if (!State.m_EndChecks.insert(Run).second)
    return; // The check that is running counts for this request as well.
  startTask(
      State.m_Io, "check-end",
      [&State, &Pool, Target]() { return checkEnd(State, Pool, Target); },
      [&State, Run] { State.m_EndChecks.erase(Run); });
}

void reportAnswer(GatewayState &State, RequestFingerprint Request,
                  std::string_view RequestId) {
  CrashChange Change = State.m_CrashSuspects.recordAnswer(Request, steadyNow());
  logChange(Request, Change, 0, RequestId);
  if (Change == CrashChange::Cleared && State.m_OnCrashCleared)
    State.m_OnCrashCleared(Request);
}

void confirmEnd(GatewayState &State, UpstreamRunKey Run,
                std::string_view Source) {
  if (!State.m_CrashSuspects.knowsRun(Run))
    return;
  if (State.m_OnNews)
    State.m_OnNews();
  for (RequestFingerprint Request :
       State.m_CrashSuspects.confirmEnd(Run, steadyNow())) {
    logChange(Request, CrashChange::Confirmed,
              State.m_CrashSuspects.endsOf(Request), Source);
    if (State.m_OnCrashConfirmed)
      State.m_OnCrashConfirmed(Request);
  }
}

void applyCrashReports(GatewayState &State,
                       std::span<const CrashReport> Reports,
                       std::string_view Source) {
  bool IsNews = false;
  for (const CrashReport &Report : Reports) {
    CrashChange Change = State.m_CrashSuspects.merge(Report, steadyNow());
    IsNews |= Change != CrashChange::None;
    logChange(Report.m_Request, Change,
              State.m_CrashSuspects.endsOf(Report.m_Request), Source);
  }
  if (IsNews && State.m_OnNews)
    State.m_OnNews();
}

std::string formatFingerprint(RequestFingerprint Request) {
  char Digits[17];
  std::snprintf(Digits, sizeof Digits, "%016llx",
                static_cast<unsigned long long>(Request));
  return Digits;
}

std::optional<RequestFingerprint> parseFingerprint(std::string_view Text) {
  constexpr int Hexadecimal = 16;
  RequestFingerprint Request = 0;
  auto [End, Error] = std::from_chars(Text.data(), Text.data() + Text.size(),
                                      Request, Hexadecimal);
  if (Error != std::errc() || End != Text.data() + Text.size())
    return std::nullopt;
  return Request;
}

std::string crashRowValue(const CrashReport &Report) {
  Json Ends = Json::array();
  for (const CrashReport::End &Each : Report.m_Ends)
    Ends.push(Json(formatFingerprint(Each.m_Run)));
  Json Value = Json::object();
  Value.set("ends", std::move(Ends));
  return Value.toText();
}

std::optional<CrashReport> parseCrashRow(RequestFingerprint Request,
                                         const std::string &Value,
                                         std::string &Error) {
  JsonResult Parsed = parseJson(Value);
  if (!Parsed) {
    Error = Parsed.m_Error;
    return std::nullopt;
  }
  const Json *Ends = Parsed.m_Value.find("ends");
  if (!Ends || !Ends->isArray()) {
    Error = "ends: expected an array";
    return std::nullopt;
  }
  CrashReport Result;
  Result.m_Request = Request;
  Result.m_TrialStage = 1; // A request is stored once it was tried.
  for (const Json &Each : Ends->items()) {
    auto Run = parseFingerprint(Each.asText());
    if (!Run) {
      Error = "ends: expected hexadecimal numbers";
      return std::nullopt;
    }
    Result.m_Ends.push_back({*Run, Duration::zero()});
  }
  return Result;
}

std::string crashExposition(const CrashSuspects &Suspects) {
  auto Gauge = [](std::string_view Name, std::size_t Value) {
    return "# TYPE " + std::string(Name) + " gauge\n" + std::string(Name) +
           " " + std::to_string(Value) + "\n";
  };
  return Gauge("mustardspoke_suspected_requests", Suspects.size()) +
         Gauge("mustardspoke_crashing_requests",
               Suspects.confirmedRequests().size());
}

} // namespace mustardspoke::steer
