/// \file
/// Local replica of the shared store's tables: configuration, upstream
/// registrations and discovery rows. It is fed by the store or by a peer and
/// never replaces a row by an older version.
#pragma once

#include "gateway/row_store.h"
#include "gateway/state.h"
#include "gateway/upstream_pool.h"
#include "inner/heartbeat_codec.h"
#include "observe/log.h"
#include "steer/row_cache.h"

#include <map>

namespace mustardspoke::steer {

/// \brief Time from one full read of a table to the next.
/// \param MinInterval For a small table. A large one is read less often, so
/// that full reads use a bounded bandwidth.
[[nodiscard]] Duration fullReadInterval(Duration MinInterval,
                                        std::size_t RowCount);

/// \brief Keeps the tables up to date and applies their rows to GatewayState.
class StoreReplica {
public:
  StoreReplica(GatewayState &State, UpstreamPool &Pool, RowStore &Store);

  /// \brief Starts the coroutines that follow the store.
  void start();
  /// \brief Schedules a full read of every table, since the replica may have
  /// missed changes.
  void scheduleFullReads(std::string_view Reason);

  /// \brief Synced version of each table, in the order operators, upstreams,
  /// VMs.
  [[nodiscard]] std::vector<std::uint64_t> syncedVersions() const;
  /// \brief Rows for a peer that does not read the store.
  /// \param After Synced versions of the peer by table; empty asks for all
  /// rows.
  [[nodiscard]] RelayedRows
  relayedRows(std::span<const std::uint64_t> After) const;
  /// \brief Applies rows from a peer; those older than the known ones are
  /// ignored.
  void applyRelayedRows(const RelayedRows &Rows);
  /// \brief Reads the operators' rows until the configuration is confirmed,
  /// whatever this VM's role: after a pause, peers may not have told it of a
  /// change yet.
  void confirmConfiguration();
  /// \brief Applies what \p Peer says of the ends of upstreams: runs that have
  /// announced theirs, and runs whose registrations it has removed.
  void receivedDepartures(std::span<const UpstreamRunKey> Announced,
                          std::span<const UpstreamRunKey> Removed,
                          const VmName &Peer);

  /// \brief This VM follows the store itself, and the last call succeeded.
  [[nodiscard]] bool readsStore() const noexcept {
    return m_ReadsStore && m_StoreReachable;
  }
  /// \brief Whether the store answered the last call of this VM.
  [[nodiscard]] bool storeReachable() const noexcept {
    return m_StoreReachable;
  }

  /// \brief Metrics of the replica in the Prometheus text exposition format.
  [[nodiscard]] std::string exposition() const;

  /// \brief Writes this VM's discovery row, or removes it.
  awaitable<void> publishDiscoveryRow();
  awaitable<void> removeDiscoveryRow();

private:
  /// Registrations that expired during a store outage are written again within
  /// this time after it, if their upstreams are alive.
  static constexpr Duration ReregistrationTime = 2200ms;

  /// \brief Duties of this VM towards the store, in increasing order.
  enum class ReaderRole : std::uint8_t { None, Other, First };
  [[nodiscard]] ReaderRole currentRole() const;

  /// \brief The call of a table's feed that waits for a change.
  ///
  /// The store holds it until something changes, so it doesn't show that its
  /// answer has been lost, or that the connection is dead.
  struct FeedCall {
    std::uint64_t m_Number = 0; ///< Increases with each call.
    std::uint64_t m_After = 0;  ///< It returns changes after this version.
    TimePoint m_BeganAt{};
    bool m_Waits = false;
    bool m_Ended = false;   ///< By endFeedCall().
    bool m_IsStale = false; ///< A change that it should return is known.
  };

  awaitable<void> feedLoop(std::string Table);
  awaitable<StoreResult> callFeed(std::string Table, std::uint64_t After);
  /// \brief Ends a feed call that may never be answered; the feed's loop makes
  /// the next one.
  void endFeedCall(const std::string &Table, std::string_view Reason);
  void endFeedCalls(std::string_view Reason);
  /// \brief Notes that a change is known from elsewhere than the table's feed.
  void noteChangeBesideFeed(const std::string &Table, std::uint64_t Version);
  awaitable<void> endStaleFeedCall(std::string Table, std::uint64_t Number);
  awaitable<void> fullReadLoop(std::string Table, Duration ReadInterval);
  awaitable<bool> readTable(std::string Table);
  /// \brief Applies a full read of a table.
  /// \param RequestedAt When it was asked for.
  void applyFullRead(const std::string &Table, StoreResult Result,
                     TimePoint RequestedAt);
  awaitable<void> confirmationLoop();
  /// \brief Removes the rows that are missing from a full read at version
  /// \p Version.
  void removeMissing(const std::string &Table,
                     const std::vector<StoreRow> &Rows, std::uint64_t Version);
  [[nodiscard]] std::vector<std::string> tableNames() const;
  void setReadsStore(bool ReadsStore);
  void noteStoreResult(const StoreResult &Result, std::string_view CallName);
  /// \brief Notes the store's era. In a new one, rows that an older copy lacks
  /// are removed only if nobody writes them again, and every table is due for a
  /// full read.
  void noteEra(std::uint64_t Era, std::string_view Source);
  /// \brief Whether rows may be missing because the store came back older and
  /// their writers have not written them again yet.
  [[nodiscard]] bool eraJustChanged() const;
  /// \brief Writes the discovery row again if the store's new era lacks it.
  awaitable<void> restoreDiscoveryRow();

  /// \brief Applies a row if it is newer than the known one.
  /// \param Tentative The row was removed, but may soon be written again.
  void putRow(const StoreRow &Row, bool Tentative);
  void applyRow(const StoreRow &Row, bool Tentative);
  void applyOperatorRow(const StoreRow &Row);
  void applyEvacuations();
  void applyUpstreamRow(const StoreRow &Row, bool Tentative);
  void applyVmRow(const StoreRow &Row);
  void applyCrashRow(const StoreRow &Row);
  /// \brief Has rows of crashing requests written and removed as this VM learns
  /// of them.
  void followCrashReports();
  /// \brief Writes the row of a request that is confirmed to end its upstreams,
  /// unless a VM has done so. VMs that start learn of it, also if no other one
  /// is left.
  awaitable<void> publishCrashRow(RequestFingerprint Request);
  /// \brief Removes the row of a request that an upstream has answered.
  awaitable<void> removeCrashRow(RequestFingerprint Request);
  /// \brief Writes the rows of crashing requests that the store's new era
  /// lacks.
  awaitable<void> restoreCrashRows();
  [[nodiscard]] bool hasCrashRow(RequestFingerprint Request) const;
  [[nodiscard]] std::size_t crashRowCount() const;
  awaitable<void> writeCrashRow(RequestFingerprint Request, bool Removed);
  /// \brief Whether the row's upstream has a delayed removal.
  [[nodiscard]] bool isInDoubt(const StoreRow &Row) const;
  void removeUpstream(const std::string &Id);
  /// \brief Logs a change of one upstream and where it came from, up to a
  /// number of lines per batch.
  void logUpstreamChange(std::vector<LogField> Fields);
  /// \brief Begins the changes of one answer from \p Source.
  void beginBatch(std::string Source) { m_BatchSource = std::move(Source); }
  /// \brief Records that every row of a table as of \p Version has been
  /// applied; 0 if a peer relayed it without having read it.
  void recordFullRead(const std::string &Table, std::uint64_t Version,
                      std::string_view Source);
  /// \brief Ends them: logs how many changes were not listed.
  void finishBatch();
  /// \brief Whether the store has just become reachable again: registrations
  /// that expired during the outage are about to be written again.
  [[nodiscard]] bool storeJustReturned() const;
  awaitable<void> removeUpstreamLater(std::string Id, std::uint64_t Version);

  GatewayState &m_State;
  UpstreamPool &m_Pool;
  RowStore &m_Store;
  std::map<std::string, RowCache> m_RowCaches;
  /// 0: needs a full read first.
  std::map<std::string, std::uint64_t> m_FeedVersions;
  std::map<std::string, FeedCall> m_FeedCalls;
  Notifier m_FullReadDone; ///< Notified after a full read of a table.

  /// Whether this VM has a reader's role; true until it hears of others.
  bool m_ReadsStore = true;

  /// Changes of upstreams since the last finishBatch().
  unsigned m_BatchUpstreamLines = 0;
  std::string m_BatchSource; ///< See beginBatch().

  bool m_Confirms = false; ///< confirmationLoop() is running.
  bool m_StoreReachable = false;
  TimePoint m_StoreLostAt{};
  TimePoint m_StoreReturnedAt{};
  std::optional<std::uint64_t> m_Era; ///< Highest known one; none at first.
  TimePoint m_EraChangedAt{};         ///< Zero: never.
  /// Tables that are due for a full read.
  std::map<std::string, bool> m_FullReadDue;
};

} // namespace mustardspoke::steer
