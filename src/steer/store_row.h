/// \file
/// A row of the store that entry VMs share, and rows relayed between VMs.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace mustardspoke::steer {

/// \brief A position in the store's history as one ordered number: the era in
/// the upper 16 bits, the store's own version in the lower 48.
///
/// \details The store may come back from an older copy. It then starts a new
/// era and gives out versions again; positions of different eras are ordered by
/// the era alone. Store versions exist only inside the adapter.
[[nodiscard]] constexpr std::uint64_t storePosition(std::uint64_t Era,
                                                    std::uint64_t Version) {
  constexpr std::uint64_t VersionMask = (1ULL << 48) - 1;
  return (Era << 48) | (Version & VersionMask);
}
[[nodiscard]] constexpr std::uint64_t eraOf(std::uint64_t Position) {
  return Position >> 48;
}
[[nodiscard]] constexpr std::uint64_t versionOf(std::uint64_t Position) {
  return Position & ((1ULL << 48) - 1);
}
/// \brief For logs: "era.version".
[[nodiscard]] inline std::string formatPosition(std::uint64_t Position) {
  return std::to_string(eraOf(Position)) + "." +
         std::to_string(versionOf(Position));
}

/// \brief One row; its version is the position (see storePosition()) of its
/// last change, as the era of the answer that brought it sees it.
struct StoreRow {
  std::string m_Table;
  std::string m_Key;
  std::string m_Value;
  std::uint64_t m_Version = 0;
  bool m_Removed = false;
};

/// \brief A row that one VM sends to another.
struct RelayedRow {
  StoreRow m_Row;
  /// The removal is tentative: the row may reappear soon.
  bool m_Tentative = false;
};

/// \brief Rows that one VM sends to another.
struct RelayedRows {
  std::vector<RelayedRow> m_Rows;
  /// By table: version up to which the sender knows every change.
  std::vector<std::uint64_t> m_SyncedVersions;
  /// The rows are complete: keys without a row were removed by the synced
  /// version.
  bool m_IsFullRead = false;
};

} // namespace mustardspoke::steer
