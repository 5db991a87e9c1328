/// \file
/// Token buckets and stated limits.
#include "steer/rate_limit.h"

#include <cmath>

namespace mustardspoke::steer {

void TokenBucket::refill(TimePoint Now, double Rate, double Burst) {
  double Elapsed = std::chrono::duration<double>(Now - m_UpdatedAt).count();
  m_Tokens = std::min(Burst, m_Tokens + Elapsed * Rate);
  m_UpdatedAt = Now;
}

bool TokenBucket::take() noexcept {
  if (!hasToken())
    return false;
  m_Tokens -= 1;
  return true;
}

LimitChange RateLimit::apply(const StatedLimit &Statement) {
  if (Statement.m_At <= m_Stated.m_At ||
      (!Statement.m_Rate && !m_Stated.m_Rate))
    return LimitChange::None;
  bool WasSet = isSet(Statement.m_At);
  std::optional<double> Before = m_Stated.m_Rate;
  m_Stated = Statement;
  if (!Statement.m_Rate)
    return WasSet ? LimitChange::Ended : LimitChange::None;
  if (!WasSet) {
    m_Tokens = TokenBucket(0, Statement.m_At);
    return LimitChange::Named;
  }
  return Before == Statement.m_Rate ? LimitChange::None : LimitChange::Changed;
}

unsigned RateLimit::maxSenders() const noexcept {
  constexpr double Many = 1e6; // More than any fleet has.
  return unsigned(std::clamp(std::floor(usableRate()), 1.0, Many));
}

bool RateLimit::permits(TimePoint Now, double Fraction) {
  double Rate = usableRate() * Fraction;
  m_Tokens.refill(Now, Rate, 1 + Rate * BurstSeconds);
  return Fraction > 0 && m_Tokens.hasToken();
}

Duration ReturnSchedule::reserve(TimePoint Now, double Rate) {
  if (Rate <= 0)
    return UnknownDelay;
  std::chrono::duration<double> Interval(1 / Rate);
  m_LastReturn =
      std::max(m_LastReturn, Now) +
      std::min(std::chrono::duration_cast<Duration>(Interval), MaxDelay);
  m_LastReturn = std::min(m_LastReturn, Now + MaxDelay);
  return m_LastReturn - Now;
}

} // namespace mustardspoke::steer
