/// \file
/// Sliding-window accounting of repeats.
#include "steer/retry_budget.h"

#include <algorithm>

namespace mustardspoke::steer {

RetryBudget::Slot &RetryBudget::slot(TimePoint Now) {
  std::int64_t Index = Now.time_since_epoch() / m_SlotLength;
  Slot &One = m_Slots[std::size_t(Index) % SlotCount];
  if (One.m_Index != Index)
    One = {Index, 0, 0};
  return One;
}

bool RetryBudget::take(TimePoint Now, unsigned Vms,
                       const RetryBudgetTuning &Tuning) {
  m_SlotLength = Tuning.m_Window / SlotCount;
  Slot &Current = slot(Now);
  std::uint64_t Requests = 0;
  std::uint64_t Repeats = 0;
  for (const Slot &One : m_Slots)
    if (Current.m_Index - One.m_Index < std::int64_t(SlotCount)) {
      Requests += One.m_Requests;
      Repeats += One.m_Repeats;
    }
  double Allowed = Tuning.m_Spent * (Tuning.m_Ratio * double(Requests) +
                                     Tuning.m_Slack / std::max(1U, Vms));
  if (double(Repeats + 1) > Allowed)
    return false;
  ++Current.m_Repeats;
  return true;
}

} // namespace mustardspoke::steer
