/// \file
/// Rows of the shared store as a VM knows them, apart from how they came.
#pragma once

#include "steer/store_row.h"

#include <algorithm>
#include <map>

namespace mustardspoke::steer {

/// \brief Rows of one table with the newest version seen of each key.
///
/// \details Pure bookkeeping: decides which rows are news.
class RowCache {
public:
  /// \brief Takes over one row that was read or reported.
  /// \returns Whether it is newer than what was known.
  [[nodiscard]] bool put(const StoreRow &Row);
  /// \brief Keys that a whole reading of version \p AsOf no longer has.
  [[nodiscard]] std::vector<std::string>
  missing(const std::vector<StoreRow> &All, std::uint64_t AsOf) const;
  /// \brief Marks a key as removed at version \p At.
  void remove(const std::string &Key, std::uint64_t At);

  [[nodiscard]] const std::map<std::string, StoreRow> &rows() const noexcept {
    return m_Rows;
  }
  /// \brief Everything up to this version is known. Single rows may be newer:
  /// the pages of a long reading are not of one moment.
  [[nodiscard]] std::uint64_t reach() const noexcept { return m_Reach; }
  void reached(std::uint64_t Version) noexcept {
    m_Reach = std::max(m_Reach, Version);
  }
  /// \brief All rows as of \p Version have come at once.
  void readWhole(std::uint64_t Version) noexcept {
    if (m_Base == 0)
      m_Base = Version;
    reached(Version);
  }
  /// \brief Whether every change after \p Version is here, removals too;
  /// those before the first whole reading are not.
  [[nodiscard]] bool knowsSince(std::uint64_t Version) const noexcept {
    return m_Base != 0 && Version >= m_Base;
  }

private:
  /// Removed keys stay, marked so, with the version of their removal.
  std::map<std::string, StoreRow> m_Rows;
  std::uint64_t m_Reach = 0;
  std::uint64_t m_Base = 0; ///< Of the first whole reading; 0 before it.
};

} // namespace mustardspoke::steer
