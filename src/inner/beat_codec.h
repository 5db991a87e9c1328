/// \file
/// Beats and store rows between entry VMs, as bytes.
#pragma once

#include "steer/fleet.h"
#include "steer/store_row.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace mustardspoke::steer {

/// \brief Share of a service's keys that the sender's region serves itself.
struct PeerShare {
  std::uint64_t m_ServiceHash = 0;
  double m_Local = 1;
  double m_Busy = 0; ///< Busy part of the slots in that region.
};

/// \brief What an entry VM tells its peers several times a second.
struct Beat {
  EntryVm m_From;
  std::uint64_t m_RoutesVersion = 0; ///< Configuration in force there.
  std::vector<PeerLoad> m_Loads;
  std::vector<PeerShare> m_Shares;
  std::vector<std::string> m_Others; ///< Peer addresses that it knows.
  std::vector<PeerAge> m_Ages;       ///< Of some other VMs.
  /// By table: version up to which the sender has everything.
  std::vector<std::uint64_t> m_Reach;
};

[[nodiscard]] std::string encodeBeat(const Beat &From);
/// \returns Nothing if \p Bytes are no beat.
[[nodiscard]] std::optional<Beat> decodeBeat(std::string_view Bytes);

/// \param After By table; empty asks for all rows.
[[nodiscard]] std::string encodeQuestion(std::span<const std::uint64_t> After);
[[nodiscard]] std::optional<std::vector<std::uint64_t>>
decodeQuestion(std::string_view Bytes);
[[nodiscard]] std::string encodeRows(const RelayedRows &From);
[[nodiscard]] std::optional<RelayedRows> decodeRows(std::string_view Bytes);

} // namespace mustardspoke::steer
