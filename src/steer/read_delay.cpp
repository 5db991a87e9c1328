/// \file
/// Lateness of the last timers.
#include "steer/read_delay.h"

#include <algorithm>

namespace mustardspoke::steer {

void ReadDelay::record(Duration Lateness, TimePoint Now) noexcept {
  m_Previous = m_Last;
  m_PreviousAt = m_LastAt;
  m_Last = std::max(Lateness, Duration::zero());
  m_LastAt = Now;
}

Duration ReadDelay::estimate(TimePoint Now) const noexcept {
  bool IsRecent = m_PreviousAt != TimePoint() && Now - m_PreviousAt <= MaxAge;
  return IsRecent ? std::min(m_Previous, m_Last) : Duration::zero();
}

} // namespace mustardspoke::steer
