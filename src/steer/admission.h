/// \file
/// Refusal of the least urgent requests of a service that is short of capacity.
#pragma once

#include "steer/local_share.h"

#include <map>
#include <optional>

namespace mustardspoke::steer {

/// \brief Urgency of a request; 0 is the most urgent.
using Priority = unsigned;

/// \brief Parameters of the controller that adjusts the refused fractions.
struct AdmissionTuning {
  Duration m_StepInterval = 200ms;
  double m_MaxIncrease = 0.05; ///< Per step.
  /// Increase per step for each unit of the service's requests by which the
  /// more urgent ones without room exceed m_HighNoRoom. A constant step would
  /// overshoot the shortage, as requests that were admitted before a step are
  /// still queued for some steps, and would have many requests refused for a
  /// few more urgent ones.
  double m_IncreaseGain = 0.6;
  double m_Decrease = 0.01; ///< Per step.
  /// Largest decrease per step: each step of an uninterrupted decrease is
  /// larger by m_Decrease than the one before. At a constant 0.01, callers
  /// would be refused for ten seconds after the end of a shortage that refused
  /// half of them.
  double m_MaxDecrease = 0.05;
  /// Proportion of the more urgent requests that find no room, above which the
  /// fraction increases, and below which it may decrease. The least urgent ones
  /// that are admitted don't count: refusing them sooner doesn't serve more.
  double m_HighNoRoom = 0.02;
  double m_LowNoRoom = 0.01;
  /// The fraction decreases only while less than this part of the slots is in
  /// use.
  double m_HighUtilization = 0.9;
  /// It increases only while at least this part is in use. Otherwise it would
  /// overshoot while the queues of a shortage empty, and rejections by idle
  /// upstreams would raise it.
  double m_LowUtilization = 0.8;
  /// Time constants: of the count of requests without room, and of the counts
  /// by priority. A VM of a large fleet gets a few requests per second.
  Duration m_NoRoomMemory = 600ms;
  Duration m_MixMemory = 5s;
  /// A priority that wasn't seen for this long doesn't count any more.
  Duration m_PriorityMemory = 10s;
  /// A VM with fewer requests than this in m_NoRoomMemory makes smaller steps
  /// of its own, in proportion.
  double m_MinRequests = 2;
  /// With fewer requests than this in m_MixMemory, the own mix of priorities
  /// limits the fraction only in part.
  double m_MinMixRequests = 10;
  /// A VM tells its peers of its fraction after it has observed requests for
  /// this long, or has adopted theirs.
  Duration m_LearnTime = 1s;
  /// A fraction that neither requests nor peers have refreshed for this long is
  /// dropped.
  Duration m_RefreshTimeout = 3s;
  /// Bounds of the time after which a refused caller may return. A caller waits
  /// for up to a third of the few seconds that it has left.
  Duration m_MinRetryAfter = 100ms;
  Duration m_MaxRetryAfter = 1s;
};

/// \brief Decides for one service which requests are refused for lack of
/// capacity: a fraction of all, from the least urgent up, on which the VMs of a
/// region agree by averaging. Requests of the most urgent priority that is seen
/// are never refused here, so nothing is while there is one priority only.
class AdmissionControl {
public:
  /// \brief Counts a request before it is decided on.
  void recordOffered(Priority Urgency, TimePoint Now);
  /// \brief Counts a request that admits() has refused.
  void recordRefused(Priority Urgency);
  /// \brief Counts an admitted request that isn't served because no upstream
  /// was expected to answer in time, or because upstreams without a free slot
  /// rejected it. A request that was served after a rejection doesn't count: a
  /// service at 0.9 of its capacity has such requests all the time.
  void recordNoRoom(Priority Urgency) { m_Priorities[Urgency].m_NoRoom += 1; }

  /// \brief Whether a request may be sent.
  /// \param Hash Of its identifier; decides within the priority that is refused
  /// in part.
  [[nodiscard]] bool admits(Priority Urgency, std::uint64_t Hash) const;
  /// \brief Fraction of the requests of this priority that admits() refuses.
  [[nodiscard]] double refusedPart(Priority Urgency) const;
  /// \brief When the caller of a refused request may return: spread over an
  /// interval that grows with the fraction and is longer for less urgent
  /// requests.
  [[nodiscard]] Duration retryAfter(Priority Urgency, std::uint64_t Hash,
                                    const AdmissionTuning &Tuning) const;

  /// \brief Makes a step if the step interval has passed.
  /// \param Utilization Of the service's slots; none if what this VM sees of
  /// the upstreams may be wrong, so that only the peers are followed.
  void update(std::optional<double> Utilization, TimePoint Now,
              const AdmissionTuning &Tuning);
  /// \brief Records the fraction of a peer of the same region, 0 to 1.
  void receivedPeerFraction(double Fraction) noexcept;

  /// \brief Fraction of the service's requests that this VM refuses now.
  [[nodiscard]] double refusedFraction() const;
  /// \brief The fraction of which peers are told; none while this VM can't
  /// judge: it has just started, or doesn't see several priorities.
  [[nodiscard]] std::optional<double> fractionToSend() const;
  /// \brief Proportion of the more urgent requests that found no room, 0 to 1:
  /// of those that are more urgent than the least urgent ones still admitted.
  [[nodiscard]] double noRoomProportion() const;

  /// \brief Calls \p Visit with each priority that ever arrived and the number
  /// of its refused requests.
  template <class Visitor> void forEachRefusals(Visitor &&Visit) const {
    for (const auto &[Urgency, Entry] : m_Priorities)
      Visit(Urgency, Entry.m_Refused);
  }

private:
  struct PriorityState {
    double m_Offered = 0; ///< With exponential decay; 0 once it is forgotten.
    // Since about m_NoRoomMemory, with exponential decay:
    double m_RecentlyOffered = 0;
    double m_NoRoom = 0;
    TimePoint m_LastSeenAt{};
    double m_RefusedPart = 0; ///< Of its requests; 0 to 1.
    std::uint64_t m_Refused = 0;
  };

  /// \brief Requests that a larger fraction makes room for.
  struct MoreUrgent {
    double m_Offered = 0; ///< In m_NoRoomMemory.
    double m_NoRoom = 0;
  };
  [[nodiscard]] MoreUrgent moreUrgent() const;
  void forget(Duration Elapsed, TimePoint Now, const AdmissionTuning &Tuning);
  [[nodiscard]] bool seesSeveralPriorities() const;
  [[nodiscard]] double offered() const;
  /// \brief Change that the own observations ask for.
  [[nodiscard]] double ownStep(double Utilization,
                               const AdmissionTuning &Tuning);
  /// \brief The requests that are less urgent than the most urgent ones, as a
  /// fraction of all; larger if few requests were seen.
  [[nodiscard]] double maxFraction(const AdmissionTuning &Tuning) const;
  /// \brief Divides m_Fraction over the priorities.
  void distribute();

  /// On which the VMs of the region agree. It may exceed what this VM refuses
  /// if few of its requests are less urgent.
  double m_Fraction = 0;
  /// Invariant: in the most urgent priority with m_Offered above 0,
  /// m_RefusedPart is 0.
  std::map<Priority, PriorityState> m_Priorities;
  double m_RecentlyOffered = 0; ///< Of all priorities, in m_NoRoomMemory.
  unsigned m_CalmSteps = 0;     ///< Steps of the current decrease.
  double m_PeerSum = 0;         ///< Received since the last step.
  unsigned m_PeerCount = 0;
  bool m_IsLearned = false; ///< See AdmissionTuning::m_LearnTime.
  TimePoint m_LastStepAt{};
  TimePoint m_RefreshedAt{};
  std::optional<TimePoint> m_ObservesSince; ///< Sees several priorities.
};

/// \brief Fraction of a service's slots in use, 0 to 1: in the own region, or
/// in the others if it has no upstreams.
[[nodiscard]] double slotUtilization(const LocalShareState &State,
                                     const AdmissionTuning &Tuning);

/// \brief Admission of all services on one VM.
class AdmissionControls {
public:
  [[nodiscard]] AdmissionControl &of(const ServiceName &Service) {
    return m_Controls[Service];
  }
  /// \brief Makes the steps that are due. \param Shares Its services and their
  /// utilization.
  /// \param ObservesUpstreams False while the VM's own links may be to blame
  /// for what it sees.
  void update(const LocalShares &Shares, bool ObservesUpstreams, TimePoint Now,
              const AdmissionTuning &Tuning);
  /// \brief Records what a peer of the same region refuses. \param Key Of the
  /// service; see messageKey().
  void receivedPeerFraction(std::uint64_t Key, double Fraction);
  /// \brief Names the fraction of \p Service in messages between VMs.
  ///
  /// \details It differs from the hash that names the service's local share, as
  /// fractions are sent without a share too: a VM that doesn't know this key
  /// ignores the entry, instead of taking over a share that isn't adjusted.
  [[nodiscard]] static std::uint64_t messageKey(const ServiceName &Service);

  /// \brief Calls \p Visit with each service and its AdmissionControl.
  template <class Visitor> void forEach(Visitor &&Visit) const {
    for (const auto &[Service, Control] : m_Controls)
      Visit(Service, Control);
  }

private:
  std::map<ServiceName, AdmissionControl> m_Controls;
};

} // namespace mustardspoke::steer
