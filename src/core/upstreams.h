/// \file
/// This VM's state of each upstream, and the choice among upstreams.
#pragma once

#include "core/limits.h"

#include <pcg_random.hpp>

#include <optional>
#include <span>

namespace mustardspoke {

using Random = pcg32;

/// \brief Load as reported by an upstream; may be outdated or wrong.
struct LoadReport {
  std::uint32_t m_Slots = 0;
  std::uint32_t m_Busy = 0;
  bool m_Draining = false;
};

/// \brief Parameters of ejection, warm-up and draining.
struct UpstreamTuning {
  Duration m_BaseEjectionTime = 5s; ///< First ejection; doubles each time.
  Duration m_MaxEjectionTime = 60s;
  Duration m_WarmUp = 20s;      ///< Ramp-up of a new or returning upstream.
  Duration m_DrainMemory = 30s; ///< How long a drain signal is valid.
  Duration m_ReportLife = 5s;   ///< How long a load report is valid.
  Duration m_ShedPause = 200ms; ///< Ejection after a refused call.
  std::uint32_t m_FailuresToEject = 3;
};

/// \brief State of one upstream at this VM.
class UpstreamState
    : public boost::intrusive_ref_counter<UpstreamState,
                                          boost::thread_unsafe_counter> {
public:
  explicit UpstreamState(Upstream Spec) : m_Spec(std::move(Spec)) {}

  Upstream m_Spec;
  LimitRef m_SlotLimit;
  LimitRef m_RegionCap;

  Duration m_Latency{};         ///< Moving average of the time to first byte.
  std::uint32_t m_InFlight = 0; ///< Calls of this VM only.
  std::uint32_t m_ConsecutiveFailures = 0; ///< Reset by a success.
  std::uint32_t m_Ejections = 0;
  TimePoint m_EjectedUntil{};
  std::optional<TimePoint> m_WarmUpSince; ///< Start of the last warm-up.
  std::optional<TimePoint> m_LastDrainSignalAt;
  std::optional<LoadReport> m_Report;
  TimePoint m_ReportAt{}; ///< When m_Report arrived.

  void recordSuccess(Duration Latency) noexcept;
  void recordFailure(TimePoint Now, const UpstreamTuning &Tuning) noexcept;
  void recordShed(TimePoint Now, const UpstreamTuning &Tuning) noexcept;
  void recordDrain(TimePoint Now) noexcept { m_LastDrainSignalAt = Now; }
  void recordReport(const LoadReport &Report, TimePoint Now,
                    const UpstreamTuning &Tuning) noexcept;

  [[nodiscard]] bool isDraining(TimePoint Now,
                                const UpstreamTuning &Tuning) const noexcept;
  [[nodiscard]] bool isEjected(TimePoint Now) const noexcept {
    return Now < m_EjectedUntil;
  }

  /// \brief Calls that this VM may have in flight at the upstream.
  /// \param Usable This VM's usable units of the upstream's slot limit.
  /// \details Reduced during warm-up and by a report of fewer slots.
  [[nodiscard]] std::uint32_t
  allowance(std::uint32_t Usable, TimePoint Now,
            const UpstreamTuning &Tuning) const noexcept;
};

using UpstreamRef = boost::intrusive_ptr<UpstreamState>;

/// \brief An upstream that can take a call.
struct Candidate {
  UpstreamRef m_Upstream;
  std::uint32_t m_Allowance = 0;
  bool m_SameDomain = false; ///< Same failure domain as this VM.
};

/// \brief Picks one of a non-empty list of candidates.
/// \returns An index into \p Candidates.
using ChooseRule = std::size_t (*)(std::span<const Candidate> Candidates,
                                   Random &);

/// \brief Least expected latency: observed latency scaled by this VM's load.
[[nodiscard]] std::size_t chooseByLatency(std::span<const Candidate> Candidates,
                                          Random &Rng);

/// \brief Uniformly at random; a baseline equivalent to fleet-wide round robin.
[[nodiscard]] std::size_t chooseRandomly(std::span<const Candidate> Candidates,
                                         Random &Rng);

/// \brief Fewest of this VM's own calls in flight; a baseline for comparison.
[[nodiscard]] std::size_t
chooseLeastInFlight(std::span<const Candidate> Candidates, Random &Rng);

} // namespace mustardspoke
