/// \file
/// Settings of a gateway process.
#pragma once

#include "config/validation.h"
#include "steer/steer.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mustardspoke::steer {

/// \brief The contents of a gateway's settings file.
struct GatewaySettings {
  VmName m_Vm;
  Placement m_Placement;
  /// Region of every failure domain.
  std::map<FailureDomainName, RegionName> m_RegionByDomain;

  std::string m_CallerAddress; ///< Listener for callers' requests.
  std::string m_ReadyAddress;  ///< Listener for readiness checks.
  std::string m_LookupAddress; ///< Listener for look-ups of entry VMs.
  /// Given to new VMs as a seed address; may be empty.
  std::string m_SeedAddress;
  std::string m_PeerAddress; ///< Inner protocol, over UDP and TCP.
  /// Carries attempts of peers to upstreams; empty: neither this VM nor its
  /// peers do. Peers listen at the same port.
  std::string m_RelayAddress;
  std::string m_MetricsAddress; ///< Listener for metrics; may be empty.
  std::string m_StoreAddress;
  /// Source address of connections to upstreams; if it is empty, the system
  /// selects one.
  std::string m_SourceIp;
  /// VMs to contact when the store is unavailable.
  std::vector<std::string> m_SeedIps;

  Duration m_StopGracePeriod = 6s; ///< From the stop signal to the kill.
  Duration m_LookupTtl = 3s;
  /// Callers cache a look-up no longer than this.
  Duration m_MaxLookupTtl = 5s;
  double m_Cores = 1; ///< Processor cores of the VM; may be a fraction.
  double m_LinkMbps = 1000;
  /// Limit of BufferBudget, in bytes.
  std::size_t m_BufferBytes = 64 << 20;

  RetryBudgetTuning m_Retry;
  ChoiceTuning m_Choice;
  LocalShareTuning m_LocalShare;
  AdmissionTuning m_Admission;
  FleetTuning m_Fleet;
};

/// \brief Parses a duration such as "1500ms" or "2.5s".
[[nodiscard]] std::optional<Duration> parseDuration(std::string_view Text);

/// \brief Reads and validates settings in JSON.
/// \param Problems Gets every problem found; the result is usable only if there
/// is none.
[[nodiscard]] GatewaySettings readGatewaySettings(const std::string &Text,
                                                  ValidationErrors &Problems);

} // namespace mustardspoke::steer
