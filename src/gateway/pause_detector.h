/// \file
/// Detection of times in which the process did not run.
#pragma once

#include "core/time.h"

#include <optional>

namespace mustardspoke::steer {

/// \brief Time since the boot of the machine, suspensions included.
[[nodiscard]] Duration timeSinceBoot();

/// \brief Notices that the process was stopped, or its VM suspended.
///
/// \details Is called in short intervals, and before anything is done that
/// relies on what the process knew before: what has arrived during a pause is
/// handled before timers that expired in it.
class PauseDetector {
public:
  /// Longer than the interval of calls on a busy VM.
  static constexpr Duration MinPause = 2s;

  /// \param Now See timeSinceBoot().
  explicit PauseDetector(Duration Now) : m_LastSeen(Now) {}

  /// \returns The length of a pause that has just ended, if there was one.
  std::optional<Duration> check(Duration Now) noexcept {
    Duration Gap = Now - m_LastSeen;
    m_LastSeen = Now;
    return Gap >= MinPause ? std::optional<Duration>(Gap) : std::nullopt;
  }

private:
  Duration m_LastSeen;
};

} // namespace mustardspoke::steer
