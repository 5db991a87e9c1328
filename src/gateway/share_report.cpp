/// \file
/// Formatting of the shares for the log and the metrics address.
#include "gateway/share_report.h"

#include "observe/log.h"

#include <cmath>
#include <sstream>

namespace mustardspoke::steer {
namespace {

/// \brief A fraction with two digits.
std::string formatFraction(double Value) {
  std::ostringstream Out;
  Out.precision(2);
  Out << std::fixed << Value;
  return Out.str();
}

} // namespace

void ShareLog::logChanges(const LocalShares &Shares) {
  Shares.forEach([this](const ServiceName &Service,
                        const LocalShareState &State) {
    auto [Logged, New] = m_LastLogged.try_emplace(Service, State.m_Share);
    if (!New && std::abs(State.m_Share - Logged->second) < MinLoggedChange)
      return;
    logEvent(
        LogLevel::Info, "local-share",
        {{"service", Service.str()},
         {"share", formatFraction(State.m_Share)},
         {"before", New ? "" : formatFraction(Logged->second)},
         {"localSlots", std::to_string(State.m_LocalSlots)},
         {"allSlots", std::to_string(State.m_TotalSlots)},
         {"localUtilization", formatFraction(State.m_Utilization)},
         {"remoteUtilization", State.m_RemoteUtilization
                                   ? formatFraction(*State.m_RemoteUtilization)
                                   : ""}});
    Logged->second = State.m_Share;
  });
}

std::string shareExposition(const LocalShares &Shares) {
  std::ostringstream Out;
  Out << "# TYPE mustardspoke_local_share gauge\n"
         "# TYPE mustardspoke_local_utilization gauge\n"
         "# TYPE mustardspoke_remote_utilization gauge\n";
  Shares.forEach(
      [&Out](const ServiceName &Service, const LocalShareState &State) {
        std::string Labels = "{service=\"" + Service.str() + "\"} ";
        Out << "mustardspoke_local_share" << Labels << State.m_Share << "\n"
            << "mustardspoke_local_utilization" << Labels << State.m_Utilization
            << "\n";
        if (State.m_RemoteUtilization)
          Out << "mustardspoke_remote_utilization" << Labels
              << *State.m_RemoteUtilization << "\n";
      });
  return Out.str();
}

} // namespace mustardspoke::steer
