/// \file
/// Formatting of the refused fractions for the log and the metrics address.
#include "gateway/admission_report.h"

#include "observe/log.h"

#include <cmath>
#include <sstream>

namespace mustardspoke::steer {
namespace {

/// \brief A fraction with three digits.
std::string formatFraction(double Value) {
  std::ostringstream Out;
  Out.precision(3);
  Out << std::fixed << Value;
  return Out.str();
}

} // namespace

void AdmissionLog::logChanges(const AdmissionControls &Controls,
                              TimePoint Now) {
  Controls.forEach([&](const ServiceName &Service,
                       const AdmissionControl &Control) {
    double Fraction = Control.refusedFraction();
    Line &Last = m_LastLogged[Service];
    bool Changed = std::abs(Fraction - Last.m_Fraction) >= MinLoggedChange ||
                   (Fraction > 0) != (Last.m_Fraction > 0);
    if (!Changed || (Last.m_At && Now - *Last.m_At < MinInterval))
      return;
    logEvent(LogLevel::Info, "admission-changed",
             {{"service", Service.str()},
              {"refused", formatFraction(Fraction)},
              {"before", formatFraction(Last.m_Fraction)},
              {"noRoom", formatFraction(Control.noRoomProportion())}});
    Last = {Fraction, Now};
  });
}

std::string admissionExposition(const AdmissionControls &Controls) {
  std::ostringstream Out;
  Out << "# TYPE mustardspoke_refused_fraction gauge\n"
         "# TYPE mustardspoke_shortage_refusals_total counter\n";
  Controls.forEach(
      [&Out](const ServiceName &Service, const AdmissionControl &Control) {
        std::string Label = "{service=\"" + Service.str() + "\"";
        Out << "mustardspoke_refused_fraction" << Label << "} "
            << Control.refusedFraction() << "\n";
        Control.forEachRefusals([&](Priority Urgency, std::uint64_t Refused) {
          Out << "mustardspoke_shortage_refusals_total" << Label
              << ",priority=\"" << Urgency << "\"} " << Refused << "\n";
        });
      });
  return Out.str();
}

} // namespace mustardspoke::steer
