/// \file
/// The share of requests that an entry VM may send to a second upstream.
#pragma once

#include "core/time.h"

#include <array>
#include <cstdint>

namespace mustardspoke::steer {

/// \brief Bound of the whole fleet, and the part of it that one VM spends.
struct RetryBudgetTuning {
  Duration m_Window = 10s; ///< The bound holds in every span so long.
  double m_Ratio = 0.2;    ///< Repeats allowed per request, fleet-wide.
  double m_Slack = 50;     ///< Repeats allowed besides, fleet-wide.
  /// Part of both that is spent at all: VMs may be unseen, and requests that
  /// the bound counts may have come to a VM that has since ended.
  double m_Spent = 0.5;
};

/// \brief Counts requests and repeats to one service over a sliding window.
class RetryBudget {
public:
  void request(TimePoint Now) { ++slot(Now).m_Requests; }

  /// \brief Takes one repeat, if the budget has it.
  /// \param Vms Entry VMs among which the fleet's slack is divided.
  [[nodiscard]] bool take(TimePoint Now, unsigned Vms,
                          const RetryBudgetTuning &Tuning);

private:
  static constexpr std::size_t SlotCount = 10;
  struct Slot {
    std::int64_t m_Index = -1; ///< Of the window's tenth that it counts.
    std::uint64_t m_Requests = 0;
    std::uint64_t m_Repeats = 0;
  };

  Slot &slot(TimePoint Now);

  Duration m_SlotLength = 1s;
  std::array<Slot, SlotCount> m_Slots{};
};

} // namespace mustardspoke::steer
