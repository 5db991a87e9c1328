/// \file
/// State of one upstream as observed by an entry VM.
#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "steer/rate_limit.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace mustardspoke::steer {

/// \brief Number of an update of a registration, which grows with every update
/// between two starts. Registrations that differ only in it count as equal.
struct UpdateSequence {
  std::int64_t m_Value = 0; ///< 0 if unknown.
  friend bool operator==(const UpdateSequence &,
                         const UpdateSequence &) noexcept {
    return true;
  }
};

/// \brief Registration data that an upstream published.
struct UpstreamRegistration {
  std::string m_Id; ///< May be reused by later incarnations.
  ServiceName m_Service;
  std::string m_Address; ///< "IP:port".
  FailureDomainName m_Domain;
  RegionName m_Region;
  unsigned m_Slots = 1;         ///< Requests that it processes concurrently.
  bool m_Leaving = false;       ///< Shutting down; accepts no new requests.
  Duration m_WarmUpRemaining{}; ///< At the time of the registration.
  std::int64_t m_StartedMs = 0; ///< Unix time of its start; 0 if unknown.
  UpdateSequence m_Sequence;

  friend bool operator==(const UpstreamRegistration &,
                         const UpstreamRegistration &) = default;
};

/// \brief Names one run of an upstream, from its start to its end; equal on all
/// VMs.
using UpstreamRunKey = std::uint64_t;
[[nodiscard]] inline UpstreamRunKey
runKey(const UpstreamRegistration &Registration) {
  return stableHash(Registration.m_Id, std::uint64_t(Registration.m_StartedMs));
}

/// \brief Load that an upstream reports in an answer.
struct LoadReport {
  unsigned m_Running = 0;
  unsigned m_Waiting = 0;
  unsigned m_Slots = 0;
  /// Time that work takes on its machine now, relative to the usual one; none
  /// if it doesn't report it.
  std::optional<double> m_Pace;

  [[nodiscard]] bool hasNoFreeSlot() const noexcept {
    return m_Slots > 0 && m_Running >= m_Slots;
  }
};

/// \brief Parameters for load estimation and ejection of one upstream.
struct UpstreamHealthTuning {
  /// Load reports older than this are ignored; a load changes completely
  /// within half a second.
  Duration m_ReportMaxAge = 400ms;
  /// Weight of a new sample in the exponential moving averages.
  double m_SampleWeight = 0.15;
  /// Samples are capped at this multiple of the mean: processing a key that
  /// the upstream has not cached takes several times as long.
  double m_MaxSampleFactor = 1.6;
  /// An upstream is slow if its mean latency exceeds this multiple of the
  /// median over the service's upstreams.
  double m_SlowFactor = 2.5;
  /// A reported pace counts for this long; it changes several times a second.
  Duration m_PaceMaxAge = 250ms;
  /// Time constant of the moving average of the load, which shows how busy an
  /// upstream is beyond single requests.
  Duration m_LoadMeanTime = 1500ms;
  unsigned m_MinSamples = 4; ///< Needed before the mean latency is used.
  /// Consecutive failures that eject an upstream.
  unsigned m_EjectAfterFailures = 2;
  Duration m_FirstEjection = 700ms; ///< Doubles with each further ejection.
  Duration m_MaxEjection = 5600ms;
  /// A failure rate above this also ejects the upstream.
  double m_EjectFailureRate = 0.4;
};

/// \brief State of one upstream; shared by the table and running requests.
class Upstream
    : public boost::intrusive_ref_counter<Upstream,
                                          boost::thread_unsafe_counter> {
public:
  explicit Upstream(UpstreamRegistration Registration)
      : m_Registration(std::move(Registration)) {}

  UpstreamRegistration m_Registration;
  std::uint64_t m_IdHash = 0; ///< Hash of the identifier; equal on all VMs.

  bool m_IsRegistered = true; ///< False once the registration is removed.
  /// It announced in an answer, here or to a peer, that it shuts down; reset
  /// only by its next start. Set by UpstreamTable::announceLeaving().
  bool m_AnnouncedLeaving = false;
  /// Another upstream answered at its address; reset when it registers with
  /// another address, or by its next start.
  bool m_AddressLost = false;
  /// Its registration is gone, but may only have expired while the store was
  /// unreachable. Set by UpstreamTable::setRemovalInDoubt().
  bool m_RemovalInDoubt = false;
  TimePoint m_ColdUntil{}; ///< End of its warm-up.
  /// Until then it wants no requests from this VM.
  TimePoint m_QuietUntil{};

  unsigned m_InFlight = 0; ///< Requests of this VM without an answer yet.
  /// Sum of ownActiveRequests() over all other VMs.
  double m_PeerActiveRequests = 0;

  /// \brief Records the load report of an answer.
  void recordLoadReport(const LoadReport &Report, TimePoint Now);
  /// \brief Records a complete answer.
  /// \param LoadBefore Estimated load when the request was sent, from which
  /// its queueing time is estimated.
  /// \returns The estimated processing time, without queueing and network.
  Duration recordSuccess(TimePoint Now, Duration Latency, double LoadBefore,
                         const UpstreamHealthTuning &Tuning);
  /// \brief Records a failure caused by the upstream.
  /// \param AnswersOthers Whether it has answered other requests meanwhile. It
  /// is then reachable, and ejected only for a high failure rate.
  /// \returns Whether this failure ejected the upstream.
  bool recordFailure(TimePoint Now, const UpstreamHealthTuning &Tuning,
                     bool AnswersOthers = false);
  /// \brief Records that it has ended: it is ejected until its registration is
  /// gone or names a new start.
  void recordEnd(TimePoint Now, const UpstreamHealthTuning &Tuning);
  /// \brief Records a complete answer whose latency isn't the upstream's alone:
  /// it came over a peer's link, or its caller has delayed it.
  void recordUntimedSuccess(TimePoint Now,
                            const UpstreamHealthTuning &Tuning) noexcept;
  /// \brief Takes back the failures of a time in which this VM's own link was
  /// to blame, with the ejection that they caused. \param Since Begin of that
  /// time. Earlier failures stay.
  void discardFailures(TimePoint Since) noexcept;
  /// \brief Whether it has answered any request since \p Since.
  [[nodiscard]] bool hasAnsweredSince(TimePoint Since) const noexcept {
    return m_LastAnswerAt >= Since;
  }

  /// \brief Records the time to open a connection, which is one round trip.
  void recordConnect(Duration Elapsed) noexcept;
  [[nodiscard]] Duration roundTripTime() const noexcept {
    return m_RoundTripTime;
  }
  /// \brief Mean processing time of a request, without the round trip.
  [[nodiscard]] Duration meanProcessingTime() const noexcept;

  /// \brief Estimated number of this VM's requests in flight that are at the
  /// upstream and not in transit.
  [[nodiscard]] double ownActiveRequests() const noexcept;
  /// \brief Estimated number of requests that it processes or queues.
  [[nodiscard]] double load(TimePoint Now,
                            const UpstreamHealthTuning &Tuning) const noexcept;
  /// \brief Updates the moving average of the load.
  void sampleLoad(TimePoint Now, const UpstreamHealthTuning &Tuning) noexcept;
  /// \brief Mean load over the last seconds, in requests.
  [[nodiscard]] double meanLoad() const noexcept { return m_MeanLoad; }
  /// \brief Time that work takes there now, relative to the usual one; 1 if it
  /// doesn't report it, or did so too long ago.
  [[nodiscard]] double pace(TimePoint Now,
                            const UpstreamHealthTuning &Tuning) const noexcept;
  /// \brief Whether it is still warming up.
  [[nodiscard]] bool isCold(TimePoint Now) const noexcept {
    return Now < m_ColdUntil;
  }
  [[nodiscard]] bool isEjected(TimePoint Now) const noexcept {
    return Now < m_EjectedUntil;
  }
  /// \brief Whether it is ejected after consecutive failures, and not for a
  /// high failure rate, which requests that time out in its queue cause too.
  [[nodiscard]] bool isFailing(TimePoint Now) const noexcept {
    return isEjected(Now) && m_EjectedAfterFailures;
  }
  [[nodiscard]] bool isQuiet(TimePoint Now) const noexcept {
    return Now < m_QuietUntil;
  }
  /// \brief Whether it accepts new requests, regardless of ejection and load.
  [[nodiscard]] bool isUsable() const noexcept {
    return m_IsRegistered && !m_AnnouncedLeaving && !m_AddressLost &&
           !m_Registration.m_Leaving;
  }
  /// \brief Mean time to an answer without queueing; zero before the first
  /// answer.
  [[nodiscard]] Duration meanLatency() const noexcept { return m_MeanLatency; }
  [[nodiscard]] unsigned samples() const noexcept { return m_Samples; }
  /// \brief Discards measurements of an earlier incarnation with the same id.
  void resetAfterRestart();

  TokenBucket m_ColdTokens{1}; ///< For requests while it is cold.
  RateLimit m_RateLimit;       ///< That it names in its answers.

private:
  LoadReport m_LastReport;
  std::optional<TimePoint> m_LastReportAt; ///< None before the first report.
  double m_MeanLoad = 0;                   ///< See sampleLoad().
  TimePoint m_LoadSampledAt{};             ///< Zero before the first sample.
  unsigned m_InFlightAtReport = 0; ///< This VM's requests at the last report.
  Duration m_MeanLatency{};
  Duration m_RoundTripTime{}; ///< Shortest one seen; zero before the first.
  unsigned m_Samples = 0;
  TimePoint m_LastAnswerAt{};
  TimePoint m_LastFailureAt{};
  unsigned m_ConsecutiveFailures = 0;
  double m_FailureRate = 0; ///< Exponential moving average, 0 to 1.
  TimePoint m_EjectedUntil{};
  Duration m_LastEjection{};
  bool m_EjectedAfterFailures = false; ///< Reason of the last ejection.
};

using UpstreamPtr = boost::intrusive_ptr<Upstream>;

} // namespace mustardspoke::steer
