/// \file
/// Formatting of quotas for the log and the metrics address.
#include "gateway/quota_report.h"

#include "observe/log.h"

#include <sstream>

namespace mustardspoke::steer {
namespace {

std::string formatNumber(double Value) {
  std::ostringstream Out;
  Out.precision(1);
  Out << std::fixed << Value;
  return Out.str();
}

/// \brief A label value; quotes, backslashes and line ends are escaped.
std::string labelValue(const std::string &Text) {
  std::string Result;
  for (char C : Text) {
    if (C == '"' || C == '\\')
      Result += '\\';
    if (C == '\n')
      Result += "\\n";
    else
      Result += C;
  }
  return Result;
}

} // namespace

QuotaFleet quotaFleet(const Fleet &Members, TimePoint Now) {
  QuotaFleet Result;
  Result.m_IsComplete = Members.isComplete();
  Result.m_KnownVms = Members.knownCount();
  Members.forEachPeer(
      [&](const EntryVm &Vm, const std::optional<TimePoint> &HeardAt) {
        if (Vm.m_Region != Members.m_Self.m_Region)
          ++Result.m_RemoteVms[Vm.m_Region];
        else if (HeardAt && Now - *HeardAt < CustomerQuotas::ReportMaxAge)
          ++Result.m_LocalVms;
      });
  return Result;
}

void QuotaLog::logChanges(const CustomerQuotas &Quotas, TimePoint Now) {
  std::map<CustomerName, State> Kept;
  for (const QuotaStatus &Status : Quotas.status()) {
    State &Known = Kept[Status.m_Customer];
    if (auto Found = m_States.find(Status.m_Customer); Found != m_States.end())
      Known = Found->second;
    if (Status.m_Refused != Known.m_Refused)
      Known.m_RefusedAt = Now;
    Known.m_Refused = Status.m_Refused;
    bool IsOver = Status.m_Refused > 0 && Now - Known.m_RefusedAt < QuietTime;
    if (IsOver == Known.m_IsOver || Now - Known.m_LoggedAt < LineInterval)
      continue;
    logEvent(IsOver ? LogLevel::Warning : LogLevel::Info,
             IsOver ? "customer-over-quota" : "customer-within-quota",
             {{"customer", Status.m_Customer.str()},
              {"perSecond", formatNumber(Status.m_RatePerSecond)},
              {"demandPerSecond", formatNumber(Status.m_DemandPerSecond)},
              {"refused",
               std::to_string(Status.m_Refused - Known.m_LoggedRefused)}});
    Known.m_IsOver = IsOver;
    Known.m_LoggedAt = Now;
    Known.m_LoggedRefused = Status.m_Refused;
  }
  m_States = std::move(Kept);
}

std::string quotaExposition(const CustomerQuotas &Quotas) {
  std::ostringstream Out;
  Out << "# TYPE mustardspoke_over_quota_total counter\n"
         "# TYPE mustardspoke_customer_demand_per_second gauge\n"
         "# TYPE mustardspoke_customers_near_quota gauge\n";
  std::size_t Near = 0;
  for (const QuotaStatus &Status : Quotas.status()) {
    std::string Labels =
        "{customer=\"" + labelValue(Status.m_Customer.str()) + "\"} ";
    if (Status.m_Refused > 0)
      Out << "mustardspoke_over_quota_total" << Labels << Status.m_Refused
          << "\n";
    if (!Status.isNear())
      continue;
    ++Near;
    Out << "mustardspoke_customer_demand_per_second" << Labels
        << Status.m_DemandPerSecond << "\n";
  }
  Out << "mustardspoke_customers_near_quota " << Near << "\n";
  return Out.str();
}

} // namespace mustardspoke::steer
