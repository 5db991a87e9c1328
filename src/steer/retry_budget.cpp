/// \file
/// Sliding-window accounting of retries.
#include "steer/retry_budget.h"

namespace mustardspoke::steer {

RetryBudget::Slot &RetryBudget::slot(TimePoint Now) {
  std::int64_t Index = Now.time_since_epoch() / m_SlotLength;
  Slot &Current = m_Slots[std::size_t(Index) % SlotCount];
  if (Current.m_Index != Index)
    Current = {Index, 0, 0};
  return Current;
}

bool RetryBudget::takeRetry(TimePoint Now, double SlackFraction,
                            const RetryBudgetTuning &Tuning) {
  m_SlotLength = Tuning.m_Window / SlotCount;
  Slot &Current = slot(Now);
  std::uint64_t Requests = 0;
  std::uint64_t Retries = 0;
  for (const Slot &Counted : m_Slots)
    if (Current.m_Index - Counted.m_Index < std::int64_t(SlotCount)) {
      Requests += Counted.m_Requests;
      Retries += Counted.m_Retries;
    }
  double Allowed =
      Tuning.m_UsableFraction *
      (Tuning.m_Ratio * double(Requests) + Tuning.m_Slack * SlackFraction);
  if (double(Retries + 1) > Allowed)
    return false;
  ++Current.m_Retries;
  return true;
}

} // namespace mustardspoke::steer
