/// \file
/// Following the store's tables: change feeds, full reads and this VM's
/// discovery row.
#include "gateway/store_replica.h"

#include "gateway/task.h"

#include "observe/log.h"

#include <algorithm>

namespace mustardspoke::steer {
namespace {

/// Longest wait of one feed call. Every wait costs a call, and a dead link is
/// noticed when it ends.
constexpr Duration FeedPollTimeout = 20s;
/// The same for a table with rare full reads, as those then don't reveal a dead
/// link in time.
constexpr Duration ShortFeedPollTimeout = 3s;
/// Interval between full reads per row of the table. A row takes about 350
/// bytes of a response, so full reads use at most 44 KB/s.
constexpr Duration ReadIntervalPerRow = 8ms;
/// Intervals of full reads, which find what a feed has missed. In the strictest
/// deployment the end of an upstream must be known within 2 s.
constexpr Duration UpstreamsReadInterval = 3s;
constexpr Duration OperatorsReadInterval = 3s;
constexpr Duration VmsReadInterval = 8s;
/// Readers other than the first one of a region rely on their feeds; their full
/// reads are this many times rarer.
constexpr int OtherReaderIntervalFactor = 2;
/// After its start, a VM waits this long for the heartbeats of other readers
/// before it follows the feeds.
constexpr Duration RoleSettleTime = 1500ms;
/// Time within which a VM notices that it has to follow the store.
constexpr Duration RoleCheckInterval = 200ms;
constexpr Duration RetryDelay = 300ms;
/// The fleet writes its discovery rows again over this time per VM.
constexpr Duration RestoreSpreadPerVm = 10ms;
/// A change that is known from elsewhere reaches a feed within this time: a
/// round trip on the longest path, and the delay between two calls.
constexpr Duration FeedDelay = 500ms;
/// Delay between two feed calls, so that a series of changes takes few calls.
constexpr Duration MinFeedInterval = 250ms;
Json discoveryRowValue(const EntryVm &Self) {
  Json Value = Json::object();
  Value.set("incarnation", Json(Self.m_Incarnation));
  Value.set("region", Json(Self.m_Region.str()));
  Value.set("domain", Json(Self.m_Domain.str()));
  Value.set("callers", Json(Self.m_CallerAddress));
  Value.set("peers", Json(Self.m_PeerAddress));
  return Value;
}

} // namespace

Duration fullReadInterval(Duration MinInterval, std::size_t RowCount) {
  return std::max(MinInterval, ReadIntervalPerRow * std::int64_t(RowCount));
}

StoreReplica::StoreReplica(GatewayState &State, UpstreamPool &Pool,
                           RowStore &Store)
    : m_State(State), m_Pool(Pool), m_Store(Store), m_FullReadDone(State.m_Io) {
}

void StoreReplica::start() {
  followCrashReports();
  const StoreTables &Tables = m_State.m_Decoder.m_Tables;
  struct TableSchedule {
    std::string m_Table;
    Duration m_ReadInterval;
  };
  for (const TableSchedule &Schedule :
       {TableSchedule{Tables.m_Operators, OperatorsReadInterval},
        TableSchedule{Tables.m_Upstreams, UpstreamsReadInterval},
        TableSchedule{Tables.m_Vms, VmsReadInterval}}) {
    std::string Table = Schedule.m_Table;
    Duration ReadInterval = Schedule.m_ReadInterval;
    startService(m_State.m_Io, "store-feed",
                 [this, Table]() { return feedLoop(Table); });
    startService(m_State.m_Io, "store-read", [this, Table, ReadInterval]() {
      return fullReadLoop(Table, ReadInterval);
    });
  }
}

void StoreReplica::scheduleFullReads(std::string_view Reason) {
  logEvent(LogLevel::Info, "tables-doubted", {{"why", std::string(Reason)}});
  for (const std::string &Table : tableNames())
    m_FullReadDue[Table] = true;
  endFeedCalls(Reason);
}

void StoreReplica::noteStoreResult(const StoreResult &Result,
                                   std::string_view CallName) {
  bool Reachable = Result.m_CallStatus == StoreCallStatus::Done ||
                   Result.m_CallStatus == StoreCallStatus::Conflict ||
                   Result.m_CallStatus == StoreCallStatus::HistoryGone;
  if (Reachable) {
    m_State.m_StoreReachedAt = steadyNow();
    noteEra(eraOf(Result.m_Version), CallName);
  }
  if (Reachable == m_StoreReachable)
    return;
  bool IsFirstAnswer = m_StoreLostAt == TimePoint();
  m_StoreReachable = Reachable;
  (Reachable ? m_StoreReturnedAt : m_StoreLostAt) = steadyNow();
  logEvent(Reachable ? LogLevel::Info : LogLevel::Warning,
           Reachable ? "store-reached" : "store-lost",
           {{"call", std::string(CallName)}, {"cause", Result.m_Detail}});
  // Calls of before or during the outage may never be answered.
  if (Reachable && !IsFirstAnswer)
    endFeedCalls("store-reached");
}

void StoreReplica::endFeedCalls(std::string_view Reason) {
  for (const std::string &Table : tableNames())
    endFeedCall(Table, Reason);
}

void StoreReplica::endFeedCall(const std::string &Table,
                               std::string_view Reason) {
  FeedCall &Call = m_FeedCalls[Table];
  if (!Call.m_Waits || Call.m_Ended)
    return;
  Call.m_Ended = true;
  logEvent(LogLevel::Info, "feed-call-ended",
           {{"table", Table},
            {"why", std::string(Reason)},
            {"after", formatPosition(Call.m_After)},
            {"ms", std::to_string(toMillis(steadyNow() - Call.m_BeganAt))}});
  m_Store.endChangesCall(Table);
}

void StoreReplica::noteChangeBesideFeed(const std::string &Table,
                                        std::uint64_t Version) {
  FeedCall &Call = m_FeedCalls[Table];
  if (!Call.m_Waits || Version <= Call.m_After ||
      std::exchange(Call.m_IsStale, true))
    return;
  startTask(m_State.m_Io, "stale-feed-call",
            [this, Table, Number = Call.m_Number]() {
              return endStaleFeedCall(Table, Number);
            });
}

awaitable<void> StoreReplica::endStaleFeedCall(std::string Table,
                                               std::uint64_t Number) {
  co_await sleepFor(m_State.m_Io, FeedDelay);
  if (m_FeedCalls[Table].m_Number == Number)
    endFeedCall(Table, "change-missed");
}

void StoreReplica::noteEra(std::uint64_t Era, std::string_view Source) {
  if (m_Era && Era <= *m_Era)
    return;
  if (!std::exchange(m_Era, Era))
    return;
  m_EraChangedAt = steadyNow();
  logEvent(LogLevel::Warning, "era-changed",
           {{"era", std::to_string(Era)}, {"source", std::string(Source)}});
  scheduleFullReads("era-changed");
  startService(m_State.m_Io, "restore-rows",
               [this]() { return restoreDiscoveryRow(); });
}

bool StoreReplica::eraJustChanged() const {
  return m_EraChangedAt != TimePoint() &&
         steadyNow() - m_EraChangedAt < ReregistrationTime;
}

awaitable<void> StoreReplica::restoreDiscoveryRow() {
  // Spread out, so that the VMs of a large fleet don't write at once. By then,
  // the rows of the new era have been read or relayed.
  const std::string &Self = m_State.m_Fleet.m_Self.m_Vm.str();
  Duration Spread = RestoreSpreadPerVm * m_State.m_Fleet.knownCount();
  co_await sleepFor(m_State.m_Io,
                    ReregistrationTime +
                        Duration(std::int64_t(stableHash(Self, *m_Era) %
                                              std::uint64_t(Spread.count()))));
  const auto &Rows = m_RowCaches[m_State.m_Decoder.m_Tables.m_Vms].rows();
  auto Found = Rows.find(Self);
  bool Current = Found != Rows.end() && !Found->second.m_Removed &&
                 Found->second.m_Value ==
                     discoveryRowValue(m_State.m_Fleet.m_Self).toText();
  if (!Current && !m_State.m_Leaving)
    co_await publishDiscoveryRow();
  co_await restoreCrashRows();
}

bool StoreReplica::storeJustReturned() const {
  if (eraJustChanged())
    return true;
  return m_StoreLostAt != TimePoint() &&
         (!m_StoreReachable ||
          steadyNow() - m_StoreReturnedAt < ReregistrationTime);
}

awaitable<bool> StoreReplica::readTable(std::string Table) {
  m_State.noticePause();
  TimePoint RequestedAt = steadyNow();
  StoreResult Result = co_await m_Store.read(Table);
  noteStoreResult(Result, "read " + Table);
  if (Result.m_CallStatus != StoreCallStatus::Done)
    co_return false;
  applyFullRead(Table, std::move(Result), RequestedAt);
  m_FullReadDone.notify();
  co_return true;
}

void StoreReplica::applyFullRead(const std::string &Table, StoreResult Result,
                                 TimePoint RequestedAt) {
  beginBatch("read " + Table);
  for (StoreRow &Row : Result.m_Rows) {
    Row.m_Table = Table;
    putRow(Row, storeJustReturned());
  }
  removeMissing(Table, Result.m_Rows, Result.m_Version);
  finishBatch();
  recordFullRead(Table, Result.m_Version, "store");
  std::uint64_t &FeedVersion = m_FeedVersions[Table];
  FeedVersion = std::max(FeedVersion, Result.m_Version);
  if (Table == m_State.m_Decoder.m_Tables.m_Operators)
    m_State.m_Freshness.recordRead(RequestedAt, m_State.routesVersion());
}

void StoreReplica::confirmConfiguration() {
  if (std::exchange(m_Confirms, true))
    return;
  startTask(
      m_State.m_Io, "confirm-configuration",
      [this]() { return confirmationLoop(); }, [this] { m_Confirms = false; });
}

awaitable<void> StoreReplica::confirmationLoop() {
  std::string Table = m_State.m_Decoder.m_Tables.m_Operators;
  while (m_State.m_Freshness.isUnconfirmed()) {
    TimePoint RequestedAt = steadyNow();
    StoreResult Result = co_await m_Store.read(Table);
    // Not noteStoreResult(): whether this VM can follow the store is its
    // concern only while it has to.
    bool Done = Result.m_CallStatus == StoreCallStatus::Done;
    if (Done) {
      m_State.m_StoreReachedAt = steadyNow();
      noteEra(eraOf(Result.m_Version), "confirmation");
      applyFullRead(Table, std::move(Result), RequestedAt);
    }
    if (m_State.m_Freshness.isUnconfirmed())
      co_await sleepFor(m_State.m_Io, RetryDelay);
  }
  // A pause from here on begins the next loop.
  m_Confirms = false;
  logEvent(LogLevel::Info, "configuration-confirmed",
           {{"version", std::to_string(m_State.routesVersion())}});
}

void StoreReplica::setReadsStore(bool ReadsStore) {
  if (ReadsStore == m_ReadsStore)
    return;
  m_ReadsStore = ReadsStore;
  logEvent(LogLevel::Info, ReadsStore ? "follows-store" : "follows-peers");
  if (!ReadsStore) {
    // From now on it is unknown whether the store is reachable; an old outage
    // must not make later removals tentative.
    m_StoreReachable = false;
    m_StoreLostAt = {};
    endFeedCalls("follows-peers");
  }
}

awaitable<void> StoreReplica::fullReadLoop(std::string Table,
                                           Duration ReadInterval) {
  while (!m_State.m_Leaving) {
    Duration Pause = RoleCheckInterval;
    ReaderRole Role = currentRole();
    setReadsStore(Role != ReaderRole::None);
    if (m_ReadsStore)
      Pause = co_await readTable(Table)
                  ? fullReadInterval(ReadInterval *
                                         (Role == ReaderRole::First
                                              ? 1
                                              : OtherReaderIntervalFactor),
                                     m_RowCaches[Table].rows().size())
                  : RetryDelay;
    // Wakes up early if this VM has to start or stop following the store.
    for (TimePoint Until = steadyNow() + Pause; steadyNow() < Until;) {
      co_await sleepFor(m_State.m_Io, std::min(Pause, RoleCheckInterval));
      ReaderRole Now = currentRole();
      bool MoreDuties = Now > Role;
      if (std::exchange(m_FullReadDue[Table], false) || MoreDuties ||
          Now == ReaderRole::None)
        break;
    }
  }
}

StoreReplica::ReaderRole StoreReplica::currentRole() const {
  TimePoint Now = steadyNow();
  if (!m_State.m_Fleet.mustFollowStore(Now, m_ReadsStore))
    return ReaderRole::None;
  return m_State.m_Fleet.isFirstReader(Now) ? ReaderRole::First
                                            : ReaderRole::Other;
}

awaitable<StoreResult> StoreReplica::callFeed(std::string Table,
                                              std::uint64_t After) {
  // Rare full reads don't reveal a dead link in time.
  bool ReadsRarely =
      fullReadInterval(VmsReadInterval, m_RowCaches[Table].rows().size()) >
      VmsReadInterval;
  FeedCall &Call = m_FeedCalls[Table];
  Call = {Call.m_Number + 1, After, steadyNow(), true};
  StoreResult Result = co_await m_Store.changes(
      Table, After, ReadsRarely ? ShortFeedPollTimeout : FeedPollTimeout);
  Call.m_Waits = false;
  co_return Result;
}

awaitable<void> StoreReplica::feedLoop(std::string Table) {
  co_await sleepFor(m_State.m_Io, RoleSettleTime);
  while (!m_State.m_Leaving) {
    std::uint64_t After = m_FeedVersions[Table];
    if (After == 0 || !m_ReadsStore) {
      // The first full read is still running, or other VMs follow the store.
      m_FeedVersions[Table] = 0;
      co_await m_FullReadDone.wait();
      continue;
    }
    StoreResult Changes = co_await callFeed(Table, After);
    if (m_FeedCalls[Table].m_Ended)
      continue;
    noteStoreResult(Changes, "feed " + Table);
    if (Changes.m_CallStatus == StoreCallStatus::Done) {
      beginBatch("feed " + Table);
      for (StoreRow &Row : Changes.m_Rows) {
        Row.m_Table = Table;
        putRow(Row, storeJustReturned());
      }
      finishBatch();
      m_RowCaches[Table].advanceSyncedVersion(Changes.m_Version);
      std::uint64_t &FeedVersion = m_FeedVersions[Table];
      FeedVersion = std::max(FeedVersion, Changes.m_Version);
      co_await sleepFor(m_State.m_Io, MinFeedInterval);
      continue;
    }
    if (Changes.m_CallStatus == StoreCallStatus::HistoryGone)
      logEvent(LogLevel::Warning, "feed-history-gone",
               {{"table", Table}, {"after", formatPosition(After)}});
    // The table contains what the feed would have returned meanwhile.
    (void)co_await readTable(Table);
    co_await sleepFor(m_State.m_Io, RetryDelay);
  }
}

std::string StoreReplica::exposition() const {
  std::string Text;
  auto AddGauge = [&Text](const char *Name, std::int64_t Value) {
    Text += std::string("# TYPE ") + Name + " gauge\n" + Name + " " +
            std::to_string(Value) + "\n";
  };
  AddGauge("mustardspoke_reads_store", readsStore() ? 1 : 0);
  AddGauge("mustardspoke_store_era", std::int64_t(m_Era.value_or(0)));
  AddGauge("mustardspoke_upstreams", std::int64_t(m_State.m_Upstreams.size()));
  AddGauge("mustardspoke_read_delay_ms",
           toMillis(m_State.m_ReadDelay.estimate(steadyNow())));
  if (auto Age = m_State.m_Fleet.readerAge(steadyNow()))
    AddGauge("mustardspoke_store_reader_age_ms", toMillis(*Age));
  return Text;
}

awaitable<void> StoreReplica::publishDiscoveryRow() {
  const EntryVm &Self = m_State.m_Fleet.m_Self;
  while (!m_State.m_Leaving) {
    StoreWrite Write;
    Write.m_Row.m_Table = m_State.m_Decoder.m_Tables.m_Vms;
    Write.m_Row.m_Key = Self.m_Vm.str();
    Write.m_Row.m_Value = discoveryRowValue(Self).toText();
    StoreResult Result = co_await m_Store.write(Write);
    noteStoreResult(Result, "meeting row");
    if (Result.m_CallStatus == StoreCallStatus::Done)
      co_return;
    co_await sleepFor(m_State.m_Io, RetryDelay);
  }
}

awaitable<void> StoreReplica::removeDiscoveryRow() {
  StoreWrite Write;
  Write.m_Row.m_Table = m_State.m_Decoder.m_Tables.m_Vms;
  Write.m_Row.m_Key = m_State.m_Fleet.m_Self.m_Vm.str();
  Write.m_Row.m_Removed = true;
  StoreResult Result = co_await m_Store.write(Write);
  noteStoreResult(Result, "withdraw meeting row");
}

} // namespace mustardspoke::steer
