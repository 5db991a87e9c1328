/// \file
/// Budget for sending requests to a second upstream.
#pragma once

#include "core/time.h"

#include <array>
#include <cstdint>

namespace mustardspoke::steer {

/// \brief Retry limit of the whole fleet and the fraction that VMs use.
struct RetryBudgetTuning {
  Duration m_Window = 10s; ///< The limit holds in every window this long.
  double m_Ratio = 0.2;    ///< Retries per request, fleet-wide.
  double m_Slack = 50;     ///< Additional retries, fleet-wide.
  /// Fraction of the limit that is actually used. The rest is a safety margin:
  /// some VMs may be unknown, and requests counted towards the limit may have
  /// been received by a VM that has terminated since.
  double m_UsableFraction = 0.5;
};

/// \brief Counts requests and retries to one service in a sliding window.
class RetryBudget {
public:
  void recordRequest(TimePoint Now) { ++slot(Now).m_Requests; }

  /// \brief Consumes one retry if the budget allows it.
  /// \param SlackFraction Fraction of the fleet's slack that this VM may use,
  /// 0 to 1.
  [[nodiscard]] bool takeRetry(TimePoint Now, double SlackFraction,
                               const RetryBudgetTuning &Tuning);

  friend bool operator==(const RetryBudget &, const RetryBudget &) = default;

private:
  static constexpr std::size_t SlotCount = 10;
  /// Counters of one tenth of the window.
  struct Slot {
    std::int64_t m_Index = -1; ///< Start time divided by the slot length.
    std::uint64_t m_Requests = 0;
    std::uint64_t m_Retries = 0;

    friend bool operator==(const Slot &, const Slot &) = default;
  };

  Slot &slot(TimePoint Now);

  Duration m_SlotLength = 1s;
  std::array<Slot, SlotCount> m_Slots{};
};

} // namespace mustardspoke::steer
