/// \file
/// Local copy of the rows of a shared store's table.
#pragma once

#include "steer/store_row.h"

#include <algorithm>
#include <map>

namespace mustardspoke::steer {

/// \brief Rows of one table with the newest known version of each key.
///
/// \details Does no input or output; only decides which rows are new.
class RowCache {
public:
  /// \brief Stores a row that was read from the store or received from a peer.
  /// \returns Whether it is newer than the known version.
  [[nodiscard]] bool put(const StoreRow &Row);
  /// \brief Known keys that a full read no longer contains.
  /// \param All Every row of the full read.
  /// \param AsOf Version of the full read; keys with newer rows are kept.
  [[nodiscard]] std::vector<std::string>
  missingKeys(const std::vector<StoreRow> &All, std::uint64_t AsOf) const;
  /// \brief Marks a key as removed as of \p Version.
  void remove(const std::string &Key, std::uint64_t Version);

  [[nodiscard]] const std::map<std::string, StoreRow> &rows() const noexcept {
    return m_Rows;
  }
  /// \brief Version up to which every change is known. Single rows may be
  /// newer, as the pages of a long read are not from a single snapshot.
  [[nodiscard]] std::uint64_t syncedVersion() const noexcept {
    return m_SyncedVersion;
  }
  void advanceSyncedVersion(std::uint64_t Version) noexcept {
    m_SyncedVersion = std::max(m_SyncedVersion, Version);
  }
  /// \brief Notes that a full read as of \p Version has been stored.
  void recordFullRead(std::uint64_t Version) noexcept {
    if (m_FirstFullRead == 0 || eraOf(m_FirstFullRead) < eraOf(Version))
      m_FirstFullRead = Version;
    advanceSyncedVersion(Version);
  }
  /// \brief Whether every change after \p Version is known, removals included.
  /// Changes before the first full read are not.
  [[nodiscard]] bool hasChangesSince(std::uint64_t Version) const noexcept {
    return m_FirstFullRead != 0 && Version >= m_FirstFullRead;
  }

private:
  /// \brief Whether a row whose key isn't known is older than the first full
  /// read, which didn't contain it. A peer may not have heard of its removal.
  [[nodiscard]] bool
  wasRemovedBeforeTheFirstRead(const StoreRow &Unknown) const;

  /// Removed keys are kept, marked as removed, with the version of the removal.
  std::map<std::string, StoreRow> m_Rows;
  std::uint64_t m_SyncedVersion = 0;
  std::uint64_t m_FirstFullRead = 0; ///< Its version; 0 before it.
};

} // namespace mustardspoke::steer
