/// \file
/// A table in memory with the semantics of the platform's table service.
#pragma once

#include "core/store.h"

#include <map>
#include <string>

namespace mustardspoke {

/// \brief Conditional transactions over rows, for stand-ins and demos.
///
/// Invariant: the revision rises by one with every commit that wrote a row.
class MemoryTable {
public:
  /// \brief Carries out one request at once.
  [[nodiscard]] StoreReply execute(const StoreRequest &Request);

  /// \brief The row at \p Key, or null.
  [[nodiscard]] const StoredRow *find(const std::string &Key) const;
  [[nodiscard]] const std::map<std::string, StoredRow> &rows() const noexcept {
    return m_Rows;
  }

private:
  [[nodiscard]] StoreReply scan(const ScanRequest &Request) const;
  [[nodiscard]] StoreReply commit(const CommitRequest &Request);

  std::uint64_t m_Revision = 0;
  std::map<std::string, StoredRow> m_Rows;
};

} // namespace mustardspoke
