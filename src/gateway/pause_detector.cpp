/// \file
/// The clock that counts suspensions.
#include "gateway/pause_detector.h"

#include <time.h>

namespace mustardspoke::steer {

Duration timeSinceBoot() {
  timespec Now{};
  ::clock_gettime(CLOCK_BOOTTIME, &Now);
  return std::chrono::duration_cast<Duration>(
      std::chrono::seconds(Now.tv_sec) + std::chrono::nanoseconds(Now.tv_nsec));
}

} // namespace mustardspoke::steer
