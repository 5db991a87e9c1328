/// \file
/// Selection of the upstream for one attempt of a request.
#pragma once

#include "steer/residency.h"
#include "steer/upstream_table.h"

#include <span>

namespace mustardspoke::steer {

/// \brief Region and failure domain of an entry VM or a caller.
struct Placement {
  RegionName m_Region;
  FailureDomainName m_Domain;
};

/// \brief Parameters of the upstream selection.
struct ChoiceTuning {
  UpstreamHealthTuning m_HealthTuning;
  /// Number of upstreams that share the requests of a key (its holders). An
  /// upstream caches the state of a limited number of keys; more holders per
  /// key evict other keys. See docs/design/08-load-model-and-soak.md.
  unsigned m_HoldersPerKey = 1;
  /// Upstreams among which the holder of a key is selected if placements are
  /// known.
  unsigned m_PlacementsPerKey = 2;
  /// A key moves from one of them to the other if this fraction of its further
  /// requests would else be late: each move makes one request late, and one of
  /// another key that is evicted.
  double m_MoveRisk = 0.13;
  /// No key moves while the upstreams of the first tier have more keys than
  /// this each: they may have to evict one for it.
  double m_MaxKeysPerUpstream = 5;
  /// No key moves to an upstream with a larger risk of late answers: while all
  /// are short of room, moves only have keys evicted.
  double m_MaxMoveTargetRisk = 0.1;
  /// Fraction of the time left until the target latency that the estimated
  /// queueing and processing may take. Above 1 because the mean processing
  /// time includes requests for keys that the upstream does not hold, which
  /// take several times as long as requests at a holder.
  double m_TargetFraction = 1.4;
  /// Load, as a fraction of its slots, up to which an upstream accepts a key
  /// that it does not hold: processing such a key costs several times as much.
  double m_NonHolderMaxLoad = 0.2;
  /// If more than this fraction of the upstreams that may receive a request is
  /// ejected, they are used nevertheless.
  double m_MaxEjectedFraction = 0.3;
  /// Requests whose answers are larger than this prefer the caller's failure
  /// domain: the transfer costs more than a cold cache saves.
  std::uint64_t m_LargeAnswerBytes = 16384;
  /// Assumed processing time before an upstream has answered.
  Duration m_InitialLatency = 200ms;
  /// Fraction of the rate tolerated by a cold upstream that all VMs together
  /// use.
  double m_ColdRateFraction = 0.8;
  /// Number of VMs that may send to one cold upstream.
  unsigned m_MaxColdSenders = 6;
};

/// \brief How a selection judged an upstream.
enum class Verdict : std::uint8_t {
  NotNeeded, ///< One that goes before it was selected.
  Selected,
  Excluded,          ///< See UpstreamTable::exclusion().
  Tried,             ///< In an earlier attempt.
  RegionNotAllowed,  ///< By the route or the customer.
  RateLimited,       ///< At the rate limit that it named.
  OutsideKeyRegions, ///< The request may not overflow.
  Ejected,           ///< After failures.
  TooLate,           ///< Can't answer in time.
  BusyNonHolder,     ///< Doesn't hold the key, and isn't idle enough for it.
  NoFreeSlot,        ///< Cold or slow.
  ColdRate,          ///< Cold; its rate allows no request now.
};

/// \brief Is told how a selection judges each upstream. Requests have none.
class ChoiceObserver {
public:
  virtual ~ChoiceObserver() = default;
  /// \brief Called for each candidate, in order of preference.
  /// \param Expected Time to an answer.
  virtual void ranked(const Upstream &Candidate, Duration Expected) = 0;
  /// \brief The last verdict on an upstream counts. A candidate without one
  /// wasn't needed.
  virtual void judged(const Upstream &Target, Verdict Result) = 0;
};

/// \brief All inputs of one selection.
struct ChoiceInput {
  const Route &m_Route;
  const ServiceSettings *m_ServiceSettings = nullptr; ///< Null if unknown.
  ServiceName m_ServiceName;
  Residency m_Residency; ///< Regions whose upstreams may get the request.
  std::uint64_t m_KeyHash = 0;
  TimePoint m_Now;
  /// Time left until the target latency; negative once it has passed.
  Duration m_TimeToTarget{};
  /// Fraction of the keys that the own region serves.
  double m_LocalShare = 1;
  /// Whether the request may leave the regions assigned to its key if these
  /// have no capacity left.
  bool m_MayOverflow = true;
  /// Mean over the service's upstreams; zero if unknown.
  Duration m_MeanProcessingTime{};
  std::uint64_t m_MeanAnswerBytes = 0;
  std::span<const Upstream *const> m_Tried; ///< Excluded from the selection.
  /// This VM's part of the rate that an upstream tolerates from at most
  /// \p MaxSenders VMs; see Fleet::senderFraction(). If it is null, every VM
  /// has an equal part.
  double (*m_SenderFraction)(const void *Fleet, const Upstream &Target,
                             unsigned MaxSenders, TimePoint Now) = nullptr;
  const void *m_Fleet = nullptr; ///< First argument of m_SenderFraction.
  /// Null if keys are placed by rank alone.
  const KeyPlacement *m_Placement = nullptr;
  PlacementKey m_PlacementKey = NoPlacementKey;
  ProcessingTimes m_ProcessingTimes;
  ChoiceObserver *m_Observer = nullptr; ///< Null on the request path.
};

/// \brief Why no upstream was selected.
enum class RefusalReason : std::uint8_t {
  None,
  NoCandidate, ///< No upstream of the service is known or allowed.
  AllFull,     ///< Every allowed upstream is at its load limit.
  AllQuiet,    ///< Every allowed upstream asked for a pause.
  AllLimited,  ///< Every allowed upstream is at the rate limit that it named.
};

struct Choice {
  UpstreamPtr m_Upstream; ///< Null if the request is refused.
  RefusalReason m_RefusalReason = RefusalReason::None;
  /// Delay after which capacity is expected; set only on refusal.
  Duration m_RetryAfter{};
  /// For AllLimited: requests per second that this VM may send.
  double m_LimitedRate = 0;
  double m_Load = 0;         ///< Estimated load of the selected upstream.
  bool m_IsHeld = false;     ///< The upstream is known to hold the key.
  bool m_IsOverflow = false; ///< Selected outside the regions of the key.
  /// Whether the key is assigned to the own region; also set on refusal.
  bool m_IsLocalKey = false;
};

/// \brief An interchangeable selection strategy.
using UpstreamStrategy = Choice (*)(const ChoiceInput &Input,
                                    const UpstreamTable &Table,
                                    const Placement &Local,
                                    const ChoiceTuning &Tuning);

/// \brief Prefers the holders of the key, which lie in the own region for a
/// stable share of the keys; then any upstream with low load. Refuses
/// immediately if no upstream is expected to answer within the target latency.
/// An upload goes to any upstream of the own region first that can answer in
/// time.
[[nodiscard]] Choice chooseByKeyLocalFirst(const ChoiceInput &Input,
                                           const UpstreamTable &Table,
                                           const Placement &Local,
                                           const ChoiceTuning &Tuning);

/// \brief Baseline for comparison: the least loaded upstream of all regions;
/// never refuses because of load.
[[nodiscard]] Choice chooseLeastLoad(const ChoiceInput &Input,
                                     const UpstreamTable &Table,
                                     const Placement &Local,
                                     const ChoiceTuning &Tuning);

/// \brief Consumes a token of a cold upstream's rate limit.
/// \returns Whether the request may be sent; always true for a warm upstream.
[[nodiscard]] bool takeColdToken(Upstream &Target, const ChoiceInput &Input,
                                 const ChoiceTuning &Tuning);

} // namespace mustardspoke::steer
