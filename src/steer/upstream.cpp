/// \file
/// Load estimation, moving averages and ejection of one upstream.
#include "steer/upstream.h"

#include <algorithm>

namespace mustardspoke::steer {

void Upstream::recordLoadReport(const LoadReport &Report, TimePoint Now) {
  m_LastReport = Report;
  m_LastReportAt = Now;
  m_InFlightAtReport = m_InFlight;
}

void Upstream::recordUntimedSuccess(
    TimePoint Now, const UpstreamHealthTuning &Tuning) noexcept {
  m_LastAnswerAt = Now;
  m_ConsecutiveFailures = 0;
  m_FailureRate *= 1 - Tuning.m_SampleWeight;
  m_LastEjection = Duration::zero();
}

void Upstream::discardFailures(TimePoint Since) noexcept {
  if (m_LastFailureAt <= Since)
    return;
  m_LastFailureAt = {};
  m_ConsecutiveFailures = 0;
  m_FailureRate = 0;
  m_EjectedUntil = {};
  m_LastEjection = Duration::zero();
}

Duration Upstream::recordSuccess(TimePoint Now, Duration Latency,
                                 double LoadBefore,
                                 const UpstreamHealthTuning &Tuning) {
  recordUntimedSuccess(Now, Tuning);
  double QueueFactor =
      std::max(1.0, LoadBefore / double(m_Registration.m_Slots));
  double RoundTrip = double(m_RoundTripTime.count());
  double Unqueued =
      RoundTrip +
      std::max(0.0, double(Latency.count()) - RoundTrip) / QueueFactor;
  double Mean = double(m_MeanLatency.count());
  if (m_Samples++ == 0)
    Mean = Unqueued;
  else
    Mean += (std::min(Unqueued, Mean * Tuning.m_MaxSampleFactor) - Mean) *
            Tuning.m_SampleWeight;
  m_MeanLatency = Duration(std::int64_t(Mean));
  return Duration(std::int64_t(std::max(0.0, Unqueued - RoundTrip)));
}

bool Upstream::recordFailure(TimePoint Now, const UpstreamHealthTuning &Tuning,
                             bool AnswersOthers) {
  m_LastFailureAt = Now;
  if (!AnswersOthers)
    ++m_ConsecutiveFailures;
  m_FailureRate += (1 - m_FailureRate) * Tuning.m_SampleWeight;
  bool FailsAlways = m_ConsecutiveFailures >= Tuning.m_EjectAfterFailures;
  bool Eject = FailsAlways || m_FailureRate > Tuning.m_EjectFailureRate;
  if (!Eject || isEjected(Now))
    return false;
  m_EjectedAfterFailures = FailsAlways;
  m_LastEjection = m_LastEjection == Duration::zero()
                       ? Tuning.m_FirstEjection
                       : std::min(m_LastEjection * 2, Tuning.m_MaxEjection);
  m_EjectedUntil = Now + m_LastEjection;
  return true;
}

void Upstream::recordEnd(TimePoint Now, const UpstreamHealthTuning &Tuning) {
  m_LastFailureAt = Now;
  m_ConsecutiveFailures =
      std::max(m_ConsecutiveFailures, Tuning.m_EjectAfterFailures);
  m_EjectedAfterFailures = true;
  m_LastEjection = Tuning.m_MaxEjection;
  m_EjectedUntil = Now + m_LastEjection;
}

void Upstream::recordConnect(Duration Elapsed) noexcept {
  m_RoundTripTime = m_RoundTripTime == Duration::zero()
                        ? Elapsed
                        : std::min(m_RoundTripTime, Elapsed);
}

Duration Upstream::meanProcessingTime() const noexcept {
  return std::max(m_MeanLatency - m_RoundTripTime, m_MeanLatency / 10);
}

double Upstream::ownActiveRequests() const noexcept {
  if (m_MeanLatency == Duration::zero())
    return m_InFlight;
  return double(m_InFlight) * double(meanProcessingTime().count()) /
         double(m_MeanLatency.count());
}

double Upstream::load(TimePoint Now,
                      const UpstreamHealthTuning &Tuning) const noexcept {
  double Counted = ownActiveRequests() + m_PeerActiveRequests;
  if (!m_LastReportAt || Now - *m_LastReportAt > Tuning.m_ReportMaxAge)
    return Counted;
  double Reported = m_LastReport.m_Running + m_LastReport.m_Waiting;
  double SentSince =
      m_InFlight > m_InFlightAtReport ? m_InFlight - m_InFlightAtReport : 0;
  return std::max(Counted, Reported + SentSince);
}

void Upstream::sampleLoad(TimePoint Now,
                          const UpstreamHealthTuning &Tuning) noexcept {
  double Load = load(Now, Tuning);
  double Elapsed = double((Now - m_LoadSampledAt).count());
  double Weight =
      m_LoadSampledAt == TimePoint()
          ? 1
          : std::min(1.0, Elapsed / double(Tuning.m_LoadMeanTime.count()));
  m_MeanLoad += (Load - m_MeanLoad) * Weight;
  m_LoadSampledAt = Now;
}

double Upstream::pace(TimePoint Now,
                      const UpstreamHealthTuning &Tuning) const noexcept {
  bool IsFresh = m_LastReportAt && Now - *m_LastReportAt <= Tuning.m_PaceMaxAge;
  return IsFresh ? m_LastReport.m_Pace.value_or(1) : 1;
}

void Upstream::resetAfterRestart() {
  m_MeanLoad = 0;
  m_LoadSampledAt = {};
  m_LastReportAt.reset();
  m_MeanLatency = Duration::zero();
  m_Samples = 0;
  m_ConsecutiveFailures = 0;
  m_FailureRate = 0;
  m_EjectedUntil = {};
  m_LastEjection = Duration::zero();
  m_AnnouncedLeaving = false;
  m_AddressLost = false;
  m_QuietUntil = {};
  m_RateLimit = {};
}

} // namespace mustardspoke::steer
