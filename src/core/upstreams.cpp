/// \file
/// Health tracking of upstreams and selection of one.
#include "core/upstreams.h"

#include <algorithm>

namespace mustardspoke {
namespace {

constexpr int LatencyWeight = 8; ///< One sample changes the average by 1/8.
constexpr Duration UnknownLatency = 1ms; ///< Assumed before the first sample.

double uniform(Random &Rng) { return double(Rng()) / double(Random::max()); }

/// Index of the candidate with the lowest score. Scores vary by up to 10% at
/// random, so that VMs don't all choose the same upstream.
template <class ScoreOf>
std::size_t lowest(std::span<const Candidate> Candidates, Random &Rng,
                   ScoreOf Score) {
  std::size_t Best = 0;
  double BestScore = 0;
  for (std::size_t I = 0; I < Candidates.size(); ++I) {
    double Value = Score(Candidates[I]) * (1.0 + 0.1 * uniform(Rng));
    if (I == 0 || Value < BestScore) {
      Best = I;
      BestScore = Value;
    }
  }
  return Best;
}

} // namespace

void UpstreamState::recordSuccess(Duration Latency) noexcept {
  m_ConsecutiveFailures = 0;
  m_Ejections = 0;
  if (m_Latency == Duration::zero())
    m_Latency = Latency;
  else
    m_Latency += (Latency - m_Latency) / LatencyWeight;
}

void UpstreamState::recordFailure(TimePoint Now,
                                  const UpstreamTuning &Tuning) noexcept {
  if (++m_ConsecutiveFailures < Tuning.m_FailuresToEject)
    return;
  Duration EjectionTime =
      Tuning.m_BaseEjectionTime * (1U << std::min(m_Ejections, 8U));
  m_EjectedUntil = Now + std::min(EjectionTime, Tuning.m_MaxEjectionTime);
  m_WarmUpSince = m_EjectedUntil;
  ++m_Ejections;
  m_ConsecutiveFailures = 0;
}

void UpstreamState::recordShed(TimePoint Now,
                               const UpstreamTuning &Tuning) noexcept {
  m_EjectedUntil = std::max(m_EjectedUntil, Now + Tuning.m_ShedPause);
}

void UpstreamState::recordReport(const LoadReport &Report, TimePoint Now,
                                 const UpstreamTuning &Tuning) noexcept {
  if (Report.m_Draining)
    recordDrain(Now);
  else if (m_Report && m_Report->m_Draining && !isDraining(Now, Tuning))
    m_WarmUpSince = Now;
  m_Report = Report;
  m_ReportAt = Now;
}

bool UpstreamState::isDraining(TimePoint Now,
                               const UpstreamTuning &Tuning) const noexcept {
  return m_LastDrainSignalAt &&
         Now - *m_LastDrainSignalAt < Tuning.m_DrainMemory;
}

std::uint32_t
UpstreamState::allowance(std::uint32_t Usable, TimePoint Now,
                         const UpstreamTuning &Tuning) const noexcept {
  if (Usable == 0)
    return 0;
  std::uint32_t Allowed = Usable;
  if (m_WarmUpSince && Now < *m_WarmUpSince + Tuning.m_WarmUp) {
    auto SinceStart = std::max(Duration::zero(), Now - *m_WarmUpSince);
    Allowed =
        std::uint32_t(Allowed * SinceStart.count() / Tuning.m_WarmUp.count());
    Allowed = std::max(Allowed, 1U);
  }
  // Each VM uses only its own share of the slots, so the reported busy slots
  // are irrelevant; only fewer slots than the bundle states reduce the
  // allowance.
  if (m_Report && Now - m_ReportAt < Tuning.m_ReportLife &&
      m_Report->m_Slots < m_Spec.m_Slots)
    Allowed = std::min(Allowed, Usable * m_Report->m_Slots / m_Spec.m_Slots);
  return Allowed;
}

std::size_t chooseByLatency(std::span<const Candidate> Candidates,
                            Random &Rng) {
  return lowest(Candidates, Rng, [](const Candidate &C) {
    const UpstreamState &U = *C.m_Upstream;
    Duration Base =
        U.m_Latency > Duration::zero() ? U.m_Latency : UnknownLatency;
    double Load = double(U.m_InFlight) / double(std::max(C.m_Allowance, 1U));
    double Distance = C.m_SameDomain ? 1.0 : 1.05;
    return double(Base.count()) * (1.0 + Load) * Distance;
  });
}

std::size_t chooseRandomly(std::span<const Candidate> Candidates, Random &Rng) {
  return Rng(std::uint32_t(Candidates.size()));
}

std::size_t chooseLeastInFlight(std::span<const Candidate> Candidates,
                                Random &Rng) {
  return lowest(Candidates, Rng, [](const Candidate &C) {
    return double(C.m_Upstream->m_InFlight) + 0.01;
  });
}

} // namespace mustardspoke
