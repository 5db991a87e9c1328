/// \file
/// Settings of a gateway process.
#pragma once

#include "config/faults.h"
#include "steer/steer.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mustardspoke::steer {

/// \brief Everything that a gateway process learns from its settings file.
struct GatewaySettings {
  VmName m_Vm;
  Placement m_Here;
  std::map<FailureDomainName, RegionName>
      m_Regions; ///< Of every failure domain.

  std::string m_CallerAddress;  ///< Callers' requests.
  std::string m_ReadyAddress;   ///< Readiness checks.
  std::string m_LookupAddress;  ///< Look-ups of entry VMs.
  std::string m_SeedAddress;    ///< Named to new VMs as a seed; may be empty.
  std::string m_PeerAddress;    ///< Inner protocol, datagrams and streams.
  std::string m_MetricsAddress; ///< Counters and histograms; may be empty.
  std::string m_StoreAddress;
  std::vector<std::string> m_SeedIps; ///< VMs to start from without a store.

  Duration m_Grace = 6s; ///< From the stop signal to the kill.
  Duration m_LookupLife = 3s;
  Duration m_LookupLifeMost = 5s; ///< Callers count no more than this.
  double m_Cores = 1;             ///< Share of a core that the VM has.
  double m_LinkMbps = 1000;

  RetryBudgetTuning m_Retry;
  ChoiceTuning m_Choice;
  LocalShareTuning m_LocalShare;
  FleetTuning m_Fleet;
};

/// \brief Reads a time such as "1500ms" or "2.5s".
[[nodiscard]] std::optional<Duration> durationOf(std::string_view Text);

/// \brief Reads settings from JSON and checks them whole.
/// \param Into Gets every fault found; the result is usable only without any.
[[nodiscard]] GatewaySettings readGatewaySettings(const std::string &Text,
                                                  Faults &Into);

} // namespace mustardspoke::steer
