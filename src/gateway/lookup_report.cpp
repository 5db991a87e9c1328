/// \file
/// Log lines and metrics of the answers to look-ups.
#include "gateway/lookup_report.h"

#include "observe/log.h"

namespace mustardspoke::steer {

void LookupReport::record(const Placement &Caller, const LookupAnswer &Answer,
                          Duration Uptime) {
  bool IsRefused = Answer.m_Addresses.empty();
  bool IsRemote = Answer.m_RemoteCount > 0;
  ++(IsRefused ? m_Refused : IsRemote ? m_Remote : m_Local);
  std::string Named;
  for (const std::string &Address : Answer.m_Addresses)
    Named += (Named.empty() ? "" : " ") + Address;
  logEvent(IsRefused || IsRemote ? LogLevel::Warning : LogLevel::Info, "lookup",
           {{"region", Caller.m_Region.str()},
            {"domain", Caller.m_Domain.str()},
            {"named", Named},
            {"remote", std::to_string(Answer.m_RemoteCount)},
            {"ready", std::to_string(Answer.m_ReadyCount)},
            {"known", std::to_string(Answer.m_KnownCount)},
            {"tooEarly", Answer.m_IsTooEarly ? "yes" : "no"},
            {"oldestMs", std::to_string(toMillis(Answer.m_OldestAge))},
            {"uptimeMs", std::to_string(toMillis(Uptime))}});
}

std::string LookupReport::exposition() const {
  std::string Text = "# TYPE mustardspoke_lookups_total counter\n";
  auto Add = [&Text](const char *Answer, std::uint64_t Count) {
    Text += std::string("mustardspoke_lookups_total{answer=\"") + Answer +
            "\"} " + std::to_string(Count) + "\n";
  };
  Add("local", m_Local);
  Add("remote", m_Remote);
  Add("refused", m_Refused);
  return Text;
}

} // namespace mustardspoke::steer
