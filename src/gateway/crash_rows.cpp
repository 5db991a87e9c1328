/// \file
/// Rows of requests that are confirmed to end upstreams, in the table of the
/// discovery rows. They outlast the VMs that know of these requests.
#include "gateway/crash_report.h"
#include "gateway/store_replica.h"
#include "gateway/task.h"

#include <algorithm>

namespace mustardspoke::steer {
namespace {

/// Rows of crashing requests in the store.
constexpr std::size_t MaxCrashRows = 64;
constexpr Duration CrashRowRetryDelay = 300ms;
/// An outage of the store that lasts for longer than this many tries leaves the
/// row unwritten; peers still tell each other.
constexpr unsigned MaxCrashRowWrites = 200;

std::string crashRowKey(RequestFingerprint Request) {
  return std::string(CrashRowPrefix) + formatFingerprint(Request);
}

} // namespace

void StoreReplica::followCrashReports() {
  m_State.m_OnCrashConfirmed = [this](RequestFingerprint Request) {
    startTask(m_State.m_Io, "publish-crash-row",
              [this, Request]() { return publishCrashRow(Request); });
  };
  m_State.m_OnCrashCleared = [this](RequestFingerprint Request) {
    startTask(m_State.m_Io, "remove-crash-row",
              [this, Request]() { return removeCrashRow(Request); });
  };
}

bool StoreReplica::hasCrashRow(RequestFingerprint Request) const {
  auto Rows = m_RowCaches.find(m_State.m_Decoder.m_Tables.m_Vms);
  if (Rows == m_RowCaches.end())
    return false;
  auto Found = Rows->second.rows().find(crashRowKey(Request));
  return Found != Rows->second.rows().end() && !Found->second.m_Removed;
}

std::size_t StoreReplica::crashRowCount() const {
  auto Rows = m_RowCaches.find(m_State.m_Decoder.m_Tables.m_Vms);
  if (Rows == m_RowCaches.end())
    return 0;
  return std::size_t(
      std::ranges::count_if(Rows->second.rows(), [](const auto &Each) {
        return !Each.second.m_Removed && Each.first.starts_with(CrashRowPrefix);
      }));
}

awaitable<void> StoreReplica::writeCrashRow(RequestFingerprint Request,
                                            bool Removed) {
  StoreWrite Write;
  Write.m_Row.m_Table = m_State.m_Decoder.m_Tables.m_Vms;
  Write.m_Row.m_Key = crashRowKey(Request);
  Write.m_Row.m_Removed = Removed;
  if (!Removed) {
    Write.m_Row.m_Value =
        crashRowValue(m_State.m_CrashSuspects.report(Request, steadyNow()));
    Write.m_Expected = 0;
  }
  for (unsigned I = 0; I < MaxCrashRowWrites && !m_State.m_Leaving; ++I) {
    StoreResult Result = co_await m_Store.write(Write);
    noteStoreResult(Result, "crash row");
    // A conflict means that another VM has written it.
    if (Result.m_CallStatus == StoreCallStatus::Done ||
        Result.m_CallStatus == StoreCallStatus::Conflict)
      co_return;
    co_await sleepFor(m_State.m_Io, CrashRowRetryDelay);
    // It may have been cleared, or found again, meanwhile.
    if (m_State.m_CrashSuspects.isConfirmed(Request) == Removed)
      co_return;
  }
  logEvent(LogLevel::Warning, "crash-row-not-written",
           {{"request", formatFingerprint(Request)}, {"cause", "store"}});
}

awaitable<void> StoreReplica::publishCrashRow(RequestFingerprint Request) {
  if (hasCrashRow(Request))
    co_return;
  if (crashRowCount() >= MaxCrashRows) {
    logEvent(LogLevel::Warning, "crash-row-not-written",
             {{"request", formatFingerprint(Request)}, {"cause", "too many"}});
    co_return;
  }
  co_await writeCrashRow(Request, false);
}

awaitable<void> StoreReplica::removeCrashRow(RequestFingerprint Request) {
  if (hasCrashRow(Request))
    co_await writeCrashRow(Request, true);
}

awaitable<void> StoreReplica::restoreCrashRows() {
  if (!readsStore())
    co_return;
  for (RequestFingerprint Request : m_State.m_CrashSuspects.confirmedRequests())
    co_await publishCrashRow(Request);
}

void StoreReplica::applyCrashRow(const StoreRow &Row) {
  std::string Error = "key: expected hexadecimal digits";
  std::optional<CrashReport> Report;
  if (auto Request = parseFingerprint(
          std::string_view(Row.m_Key).substr(CrashRowPrefix.size()))) {
    // A removed row means that the request was answered, or that an operator
    // lifts its refusal; an older copy of the store says nothing.
    if (Row.m_Removed && eraJustChanged())
      return;
    if (Row.m_Removed)
      Report = CrashReport{*Request, {}, Duration::zero(), {}, 0, {}};
    else
      Report = parseCrashRow(*Request, Row.m_Value, Error);
  }
  if (Report)
    return applyCrashReports(m_State, {&*Report, 1}, "store");
  logEvent(LogLevel::Warning, "crash-row-unreadable",
           {{"row", Row.m_Key}, {"cause", Error}});
}

} // namespace mustardspoke::steer
