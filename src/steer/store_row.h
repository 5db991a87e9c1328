/// \file
/// A row of the store that entry VMs share, as it is read and as one VM passes
/// it to another.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace mustardspoke::steer {

/// \brief One row; its version rises with every change of it.
struct StoreRow {
  std::string m_Table;
  std::string m_Key;
  std::string m_Value;
  std::uint64_t m_Version = 0;
  bool m_Removed = false;
};

/// \brief A row as one VM passes it to another.
struct CarriedRow {
  StoreRow m_Row;
  bool m_Doubtful = false; ///< Removed, but may soon appear again.
};

/// \brief Rows that one VM passes to another.
struct CarriedRows {
  std::vector<CarriedRow> m_Rows;
  /// By table: version up to which the sender has everything.
  std::vector<std::uint64_t> m_Reach;
  bool m_Whole = false; ///< Rows that are missing up to the reach are gone.
};

} // namespace mustardspoke::steer
