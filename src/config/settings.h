/// \file
/// Settings of one entry VM's process.
#pragma once

#include "config/faults.h"
#include "core/core.h"

#include <string>
#include <vector>

namespace mustardspoke {

/// \brief Everything that a process learns from its settings file.
struct Settings {
  VmName m_Vm;
  RegionName m_Region;
  FailureDomainName m_Domain;
  std::string m_CallerAddress;   ///< Where callers reach this VM.
  std::string m_PeerAddress;     ///< Inner protocol.
  std::string m_OperatorAddress; ///< Operators, metrics.
  std::string m_OperatorToken;
  std::string m_PlatformAddress;
  std::vector<std::string> m_Peers; ///< Inner addresses to start from.
  std::string m_RootKey; ///< ed25519 key that signs the root section.
  unsigned m_Workers = 2;
  std::uint64_t m_Seed = 0; ///< Zero draws one from the system.
  std::string m_LogLevel = "info";
  Tuning m_Tuning;
};

/// \brief Reads settings from JSON and checks them whole.
/// \param Into Gets every fault found; the result is usable only without any.
[[nodiscard]] Settings readSettings(const std::string &Text, Faults &Into);

} // namespace mustardspoke
