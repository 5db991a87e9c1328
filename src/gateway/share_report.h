/// \file
/// Log lines and metrics about the shares of keys that the own region serves.
#pragma once

#include "steer/local_share.h"

#include <map>
#include <string>

namespace mustardspoke::steer {

/// \brief Logs the shares that have changed since their last line.
class ShareLog {
public:
  /// \brief Logs a line for each service that is new or whose share differs by
  /// at least MinLoggedChange from its last line. The steps of the shares bound
  /// the number of lines.
  void logChanges(const LocalShares &Shares);

private:
  static constexpr double MinLoggedChange = 0.05;

  std::map<ServiceName, double> m_LastLogged;
};

/// \brief Gauges of all shares in the Prometheus text exposition format.
[[nodiscard]] std::string shareExposition(const LocalShares &Shares);

} // namespace mustardspoke::steer
