/// \file
/// Division of limits among VMs with conditional store writes and leases.
#pragma once

#include "core/limits.h"
#include "core/members.h"
#include "core/store.h"

#include <map>
#include <optional>
#include <set>

namespace mustardspoke {

/// \brief Timing and proportions of the share protocol.
struct ShareTuning {
  Duration m_ShortLease = 10s;
  Duration m_LongLease = 2h;
  Duration m_RenewEvery = 2s;
  Duration m_ScanEvery = 1s;
  Duration m_PlanInterval = 200ms;   ///< Pause after a plan without changes.
  Duration m_ReplyTimeout = 2s;      ///< Later replies are ignored.
  Duration m_LapseMargin = 500ms;    ///< Safety margin of a reclaiming VM.
  Duration m_LowerRequestDelay = 5s; ///< Delay before requesting fewer units.
  std::uint32_t m_ClockDriftPercent = 1; ///< Maximum drift between clocks.
  std::uint32_t m_FloorPercent = 90;     ///< Part of a limit held as floors.
  std::size_t m_RowsPerCommit = 16;
};

/// \brief How long after the last seen renewal units may be reclaimed.
/// \param Lease The lease that must have expired.
/// \param MaxCallDeadline Longest deadline of a call in flight under it.
using ReclaimRule = Duration (*)(const ShareTuning &Tuning, Duration Lease,
                                 Duration MaxCallDeadline);

/// \brief The sum of lease, longest call in flight, clock drift and margin.
[[nodiscard]] Duration reclaimAfterExpiry(const ShareTuning &Tuning,
                                          Duration Lease,
                                          Duration MaxCallDeadline);

/// \brief Units that a holder may use while the outcome of a write that lowers
/// its holding is unknown.
using PendingRule = std::uint32_t (*)(std::uint32_t Before,
                                      std::uint32_t After);

/// \brief The lesser of both values.
[[nodiscard]] std::uint32_t assumeLesser(std::uint32_t Before,
                                         std::uint32_t After);

/// \brief Integer max-min division of \p Capacity over \p Demands.
/// \details Units left over by rounding go to the first unmet demands.
[[nodiscard]] std::vector<std::uint32_t>
maxMinShares(std::uint32_t Capacity, std::span<const std::uint32_t> Demands);

/// \brief Max-min division among the home VMs, then of the rest among others.
/// \param IsHome 1 for every demand of a home VM, else 0.
[[nodiscard]] std::vector<std::uint32_t>
homeFirstShares(std::uint32_t Capacity, std::span<const std::uint32_t> Demands,
                std::span<const std::uint8_t> IsHome);

/// \brief Divides the capacity of a limit among the demands for it.
using DivideRule = std::vector<std::uint32_t> (*)(
    std::uint32_t Capacity, std::span<const std::uint32_t> Demands,
    std::span<const std::uint8_t> IsHome);

/// \brief The floor of \p Self: its units of the part divided as floors.
/// \details Only VMs of the limit's home regions have floors. Within a group of
/// limits the rounding remainders rotate among the VMs, so that limits of few
/// units are spread evenly.
[[nodiscard]] std::uint32_t
floorShare(const Limit &Spec, const VmName &Self,
           std::span<const Participant> Participants,
           std::uint32_t FloorPercent);

/// \brief Maintains this VM's lease and holdings in the store.
///
/// \details At most one store request is outstanding.
///
/// Invariants: a decrease takes effect here before it is written, an increase
/// only after its write is confirmed; leases start before the request is sent.
class ShareManager {
public:
  ShareManager(VmIncarnation Self, ShareTuning Tuning, ReclaimRule Reclaim,
               PendingRule Pending, DivideRule Divide)
      : m_Self(std::move(Self)), m_Tuning(Tuning), m_Reclaim(Reclaim),
        m_Pending(Pending), m_Divide(Divide) {}

  /// \brief The next store request, if one is due.
  [[nodiscard]] std::optional<StoreRequest>
  nextRequest(const Bundle *ActiveBundle, LimitTable &Limits,
              const MemberTable &Members, TimePoint Now, Random &Rng);

  /// \brief Applies the reply to the outstanding request.
  /// \returns Whether it was a successful scan.
  bool onReply(const StoreReply &Reply, LimitTable &Limits, TimePoint Now);

  /// \brief Writes the known holdings into \p Limits, after a new bundle.
  void applyHoldings(LimitTable &Limits) const;

  /// \brief The head row as last scanned, if ever.
  [[nodiscard]] const std::optional<HeadRow> &head() const noexcept {
    return m_Head;
  }

  /// \brief When the last successful scan was sent, if any.
  [[nodiscard]] std::optional<TimePoint> scannedAt() const noexcept {
    return m_ScannedAt;
  }

  /// \brief Makes a scan due immediately.
  void scanNow() noexcept { m_NextScan = TimePoint{}; }

  /// \brief Starts returning all holdings, as far as calls in flight allow.
  void returnAll() noexcept { m_Leaving = true; }

  /// \brief Whether a leaving VM has returned all its holdings.
  [[nodiscard]] bool hasReturnedAll() const noexcept { return m_ReturnedAll; }

  /// \brief Whether a later incarnation of this VM has registered.
  [[nodiscard]] bool superseded() const noexcept { return m_Superseded; }

private:
  struct CachedLimit {
    std::uint64_t m_Revision = 0;
    LimitRow m_Row;
    /// Set while a commit with an unknown outcome, based on this revision, may
    /// still change this VM's holding to m_PendingHolding.
    std::optional<std::uint64_t> m_PendingRevision;
    Holding m_PendingHolding;
  };
  struct CachedVm {
    std::uint64_t m_Revision = 0;
    VmRow m_Row;
    TimePoint m_RenewalSeenAt{}; ///< When the last renewal was first read.
  };
  struct Outstanding {
    StoreRequest m_Request;
    TimePoint m_SentAt{};
    bool m_IsRenewal = false;
  };

  [[nodiscard]] std::optional<StoreRequest>
  send(StoreRequest Request, TimePoint Now, bool IsRenewal = false);
  [[nodiscard]] bool hasNoHoldings() const;
  [[nodiscard]] CommitRequest renewalCommit() const;
  [[nodiscard]] CommitRequest planCommit(const Bundle &ActiveBundle,
                                         LimitTable &Limits,
                                         const MemberTable &Members,
                                         TimePoint Now, Random &Rng);
  [[nodiscard]] std::optional<LimitRow>
  planRow(LimitEntry &Entry, const CachedLimit &Cached,
          std::uint64_t BundleVersion,
          std::span<const Participant> Participants, TimePoint Now);
  [[nodiscard]] std::optional<CommitRequest>
  reclaim(const LimitTable &Limits, const MemberTable &Members, TimePoint Now);
  bool reclaimFrom(Holding &Target, const Limit &Spec,
                   const MemberTable &Members, TimePoint Now) const;
  void applyScan(const StoreReply &Reply, LimitTable &Limits, TimePoint Now);
  void applyCommitReply(const Outstanding &Sent, const StoreReply &Reply,
                        LimitTable &Limits, TimePoint Now);
  static void updateVm(CachedVm &Cached, std::uint64_t Revision,
                       const VmRow &Row, TimePoint Now);
  void applyHolding(const CachedLimit &Cached, LimitTable &Limits) const;
  void lowerBeforeCommit(const CommitRequest &Commit, LimitTable &Limits);

  VmIncarnation m_Self;
  ShareTuning m_Tuning;
  ReclaimRule m_Reclaim;
  PendingRule m_Pending;
  DivideRule m_Divide;

  std::map<std::string, CachedLimit> m_Limits; ///< By row key.
  std::map<VmName, CachedVm> m_Vms;
  std::optional<HeadRow> m_Head;
  std::uint64_t m_Revision = 0; ///< Of the last scan.
  std::optional<TimePoint> m_ScannedAt;
  TimePoint m_NextScan{};
  TimePoint m_NextRenewal{};
  TimePoint m_NextPlan{};
  TimePoint m_NextReclaim{};
  TimePoint m_RegisteredAt{}; ///< When this incarnation registered.
  /// Since when a limit's demand is below the requested units; by row key.
  std::map<std::string, TimePoint> m_RequestLowerSince;
  std::optional<Outstanding> m_Outstanding;
  std::uint64_t m_LastId = 0;
  bool m_Registered = false;
  bool m_Leaving = false;
  bool m_ReturnedAll = false;
  bool m_Superseded = false;
};

} // namespace mustardspoke
