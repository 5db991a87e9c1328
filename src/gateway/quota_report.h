/// \file
/// Quotas of customers: what they need to know of the fleet, log lines and
/// metrics.
#pragma once

#include "steer/steer.h"

#include <map>
#include <string>

namespace mustardspoke::steer {

/// \brief The fleet as the quotas see it.
[[nodiscard]] QuotaFleet quotaFleet(const Fleet &Members, TimePoint Now);

/// \brief Logs when this VM begins and ceases to refuse requests of a customer.
class QuotaLog {
public:
  /// \brief Logs a line for each customer whose state has changed, at most one
  /// in LineInterval.
  void logChanges(const CustomerQuotas &Quotas, TimePoint Now);

private:
  static constexpr Duration LineInterval = 1s;
  /// A customer without refusals for this long is within its quota again.
  static constexpr Duration QuietTime = 3s;

  struct State {
    std::uint64_t m_Refused = 0; ///< See QuotaStatus::m_Refused.
    std::uint64_t m_LoggedRefused = 0;
    TimePoint m_RefusedAt{};
    TimePoint m_LoggedAt{};
    bool m_IsOver = false; ///< As logged.
  };
  std::map<CustomerName, State> m_States;
};

/// \brief Metrics of the quotas in the Prometheus text exposition format.
[[nodiscard]] std::string quotaExposition(const CustomerQuotas &Quotas);

} // namespace mustardspoke::steer
