/// \file
/// A row of the store that entry VMs share, and rows relayed between VMs.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace mustardspoke::steer {

/// \brief One row; its version increases with every change.
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
