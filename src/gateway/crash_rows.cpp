/// \file
/// Rows of requests that are confirmed to end upstreams, in the table of the
/// discovery rows. They outlast the VMs that know of these requests.
#include "gateway/crash_report.h"
#include "gateway/store_replica.h"

#include <algorithm>

namespace mustardspoke::steer {
namespace {

/// Rows of crashing requests in the store; the oldest one makes room.
constexpr std::size_t MaxCrashRows = 64;
constexpr Duration CrashRowRetryDelay = 300ms;
/// An outage of the store that lasts for longer than this many tries leaves the
/// row unwritten; peers still tell each other.
constexpr unsigned MaxCrashRowWrites = 200;

} // namespace

std::vector<std::string> StoreReplica::crashRowKeys() const {
  std::vector<std::pair<std::uint64_t, std::string>> ByVersion;
  auto Rows = m_RowCaches.find(m_State.m_Decoder.m_Tables.m_Vms);
  if (Rows == m_RowCaches.end())
    return {};
  for (const auto &[Key, Row] : Rows->second.rows())
    if (!Row.m_Removed && Key.starts_with(CrashRowPrefix))
      ByVersion.emplace_back(Row.m_Version, Key);
  std::ranges::sort(ByVersion);
  std::vector<std::string> Keys;
  for (auto &[Version, Key] : ByVersion)
    Keys.push_back(std::move(Key));
  return Keys;
}

awaitable<void> StoreReplica::publishCrashRow(RequestFingerprint Request) {
  StoreWrite Write;
  Write.m_Row.m_Table = m_State.m_Decoder.m_Tables.m_Vms;
  Write.m_Row.m_Key = std::string(CrashRowPrefix) + formatFingerprint(Request);
  std::vector<std::string> Known = crashRowKeys();
  if (std::ranges::find(Known, Write.m_Row.m_Key) != Known.end())
    co_return;
  if (Known.size() >= MaxCrashRows) {
    StoreWrite Oldest;
    Oldest.m_Row.m_Table = Write.m_Row.m_Table;
    Oldest.m_Row.m_Key = Known.front();
    Oldest.m_Row.m_Removed = true;
    noteStoreResult(co_await m_Store.write(Oldest), "crash row, oldest");
  }
  Write.m_Row.m_Value =
      crashRowValue(m_State.m_CrashSuspects.report(Request, steadyNow()));
  Write.m_Expected = 0;
  for (unsigned I = 0; I < MaxCrashRowWrites && !m_State.m_Leaving; ++I) {
    StoreResult Result = co_await m_Store.write(Write);
    noteStoreResult(Result, "crash row");
    // A conflict means that another VM has written it.
    if (Result.m_CallStatus == StoreCallStatus::Done ||
        Result.m_CallStatus == StoreCallStatus::Conflict)
      co_return;
    co_await sleepFor(m_State.m_Io, CrashRowRetryDelay);
  }
  logEvent(LogLevel::Warning, "crash-row-not-written",
           {{"request", formatFingerprint(Request)}});
}

awaitable<void> StoreReplica::restoreCrashRows() {
  if (!readsStore())
    co_return;
  for (RequestFingerprint Request : m_State.m_CrashSuspects.confirmedRequests())
    co_await publishCrashRow(Request);
}

void StoreReplica::applyCrashRow(const StoreRow &Row) {
  auto Request = parseFingerprint(
      std::string_view(Row.m_Key).substr(CrashRowPrefix.size()));
  std::string Error = "key: expected hexadecimal digits";
  std::optional<CrashReport> Report;
  if (Request && !Row.m_Removed)
    Report = parseCrashRow(*Request, Row.m_Value, Error);
  if (Report)
    return applyCrashReports(m_State, {&*Report, 1}, "store");
  // A row that is removed may have made room for a newer one.
  if (!Row.m_Removed)
    logEvent(LogLevel::Warning, "crash-row-unreadable",
             {{"row", Row.m_Key}, {"cause", Error}});
}

} // namespace mustardspoke::steer
