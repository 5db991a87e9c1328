/// \file
/// Estimate of how long requests wait before a busy event loop reads them.
#pragma once

#include "core/time.h"

namespace mustardspoke::steer {

/// \brief Estimates the wait of an arriving request from the lateness of
/// timers, which wait for their turn in the event loop as reads do.
class ReadDelay {
public:
  /// \brief Records that a timer ran \p Lateness after its time.
  void record(Duration Lateness, TimePoint Now) noexcept;
  /// \returns The lower one of the last two latenesses, as one pause says
  /// nothing of requests that arrive after it; zero if they are old.
  [[nodiscard]] Duration estimate(TimePoint Now) const noexcept;

private:
  static constexpr Duration MaxAge = 2s;

  Duration m_Previous{};
  Duration m_Last{};
  TimePoint m_PreviousAt{};
  TimePoint m_LastAt{};
};

} // namespace mustardspoke::steer
