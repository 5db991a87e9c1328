/// \file
/// Log lines and metrics of the answers to look-ups.
#pragma once

#include "steer/fleet.h"

#include <cstdint>
#include <string>

namespace mustardspoke::steer {

/// \brief Explains which entry VMs look-ups were answered with.
class LookupReport {
public:
  /// \param Uptime Of this process: a young one has heard from few peers.
  void record(const Placement &Caller, const LookupAnswer &Answer,
              Duration Uptime);
  /// \brief Counters in the Prometheus text exposition format.
  [[nodiscard]] std::string exposition() const;

private:
  std::uint64_t m_Local = 0;  ///< Answers with VMs of the caller's region only.
  std::uint64_t m_Remote = 0; ///< Answers with VMs of other regions.
  std::uint64_t m_Refused = 0;
};

} // namespace mustardspoke::steer
