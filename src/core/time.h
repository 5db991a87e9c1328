/// \file
/// Time types of the decision core.
#pragma once

#include <chrono>

namespace mustardspoke {

using Duration = std::chrono::microseconds;

/// \brief Clock type of TimePoint; it has no now().
///
/// \details The core never reads a clock: its callers pass the time in.
/// Processes use CLOCK_MONOTONIC; tests advance the time themselves.
struct CoreClock {
  using duration = Duration;       // NOLINT(readability-identifier-naming)
  using rep = duration::rep;       // NOLINT(readability-identifier-naming)
  using period = duration::period; // NOLINT(readability-identifier-naming)
};

using TimePoint = std::chrono::time_point<CoreClock, Duration>;

using std::chrono_literals::operator""us;
using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""min;
using std::chrono_literals::operator""h;

/// \brief \p Value in milliseconds, rounded towards zero.
[[nodiscard]] constexpr std::int64_t toMillis(Duration Value) noexcept {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Value).count();
}

} // namespace mustardspoke
