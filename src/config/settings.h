/// \file
/// Settings of an entry VM's process.
#pragma once

#include "config/validation.h"
#include "core/core.h"

#include <string>
#include <vector>

namespace mustardspoke {

/// \brief The contents of the settings file of `mustardspoke entry`.
struct Settings {
  VmName m_Vm;
  RegionName m_Region;
  FailureDomainName m_Domain;
  std::string m_CallerAddress;   ///< Listens for callers.
  std::string m_PeerAddress;     ///< Listens for other entry VMs.
  std::string m_OperatorAddress; ///< Listens for operators and metrics.
  std::string m_OperatorToken;
  std::string m_PlatformAddress;
  /// Peer addresses of the VMs that this one contacts first.
  std::vector<std::string> m_SeedPeers;
  std::string m_RootKey; ///< Public ed25519 key of the root section.
  unsigned m_Workers = 2;
  std::uint64_t m_Seed = 0; ///< Of the random numbers; 0: from the system.
  std::string m_LogLevel = "info";
  Tuning m_Tuning;
};

/// \brief Parses and validates a settings file.
/// \param Errors Receives all errors found; the result may be used only if
/// there are none.
[[nodiscard]] Settings readSettings(const std::string &Text,
                                    ValidationErrors &Errors);

} // namespace mustardspoke
