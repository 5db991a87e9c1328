/// \file
/// Event queue of a simulation.
#pragma once

#include "core/time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>

namespace mustardspoke::test {

/// \brief Simulated clock and events. Events with the same time run in the
/// order in which they were added.
class EventQueue {
public:
  void at(TimePoint When, std::function<void()> Action) {
    m_Events.push({When, m_NextOrder++, std::move(Action)});
  }
  void after(Duration Delay, std::function<void()> Action) {
    at(m_Now + Delay, std::move(Action));
  }
  /// \brief Runs all events up to \p End, including those added meanwhile.
  void run(TimePoint End = TimePoint::max()) {
    while (!m_Events.empty() && m_Events.top().m_At <= End) {
      Event Next = m_Events.top();
      m_Events.pop();
      m_Now = Next.m_At;
      Next.m_Action();
    }
  }

  TimePoint m_Now{1h};

private:
  struct Event {
    TimePoint m_At;
    std::uint64_t m_Order;
    std::function<void()> m_Action;
    bool operator<(const Event &Other) const {
      return std::pair(Other.m_At, Other.m_Order) < std::pair(m_At, m_Order);
    }
  };

  std::uint64_t m_NextOrder = 0;
  std::priority_queue<Event> m_Events;
};

} // namespace mustardspoke::test
