/// \file
/// Log lines and metrics about requests that are refused for lack of capacity.
#pragma once

#include "steer/admission.h"

#include <map>
#include <string>

namespace mustardspoke::steer {

/// \brief Logs the refused fractions that have changed since their last line.
class AdmissionLog {
public:
  /// \brief Logs a line for each service whose fraction differs by at least
  /// MinLoggedChange from its last line, or has become or ceased to be zero; at
  /// most one in MinInterval for each service.
  void logChanges(const AdmissionControls &Controls, TimePoint Now);

private:
  static constexpr double MinLoggedChange = 0.05;
  static constexpr Duration MinInterval = 1s;

  struct Line {
    double m_Fraction = 0;
    std::optional<TimePoint> m_At; ///< None before the first line.
  };
  std::map<ServiceName, Line> m_LastLogged;
};

/// \brief Refused fractions and refusals by priority in the Prometheus text
/// exposition format.
[[nodiscard]] std::string
admissionExposition(const AdmissionControls &Controls);

} // namespace mustardspoke::steer
