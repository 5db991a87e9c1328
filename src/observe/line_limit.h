/// \file
/// Rate limit of the log.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <utility>

namespace mustardspoke {

/// \brief Limits the rate of lines before they are formatted, as an overloaded
/// VM leaves most of them out. May be used by several threads.
class LineLimit {
public:
  using Clock = std::chrono::steady_clock;
  /// Limit on average and for a burst. At 150 lines per second, logging takes
  /// less than 1% of the CPU time of a VM that has a fifth of a core.
  static constexpr double LinesPerSecond = 150;
  static constexpr double BurstLines = 600;

  explicit LineLimit(Clock::time_point Now) : m_RefilledAt(Now) {}

  /// \returns Whether a line may be written; counts it as dropped if not.
  bool admit(Clock::time_point Now) {
    std::scoped_lock Lock(m_Mutex);
    std::chrono::duration<double> Elapsed = Now - m_RefilledAt;
    m_RefilledAt = Now;
    m_Tokens =
        std::min(BurstLines, m_Tokens + Elapsed.count() * LinesPerSecond);
    if (m_Tokens < 1) {
      ++m_Dropped;
      return false;
    }
    m_Tokens -= 1;
    return true;
  }
  void countDropped() {
    std::scoped_lock Lock(m_Mutex);
    ++m_Dropped;
  }
  /// \returns The number of lines dropped since the last call.
  std::uint64_t takeDropped() {
    std::scoped_lock Lock(m_Mutex);
    return std::exchange(m_Dropped, 0);
  }

private:
  std::mutex m_Mutex; ///< Guards all members.
  std::uint64_t m_Dropped = 0;
  double m_Tokens = BurstLines;
  Clock::time_point m_RefilledAt;
};

} // namespace mustardspoke
