/// \file
/// In-memory implementation of the platform's table service.
#pragma once

#include "core/store.h"

#include <map>
#include <string>

namespace mustardspoke {

/// \brief Table with conditional transactions, for tests and demos.
///
/// Invariant: every successful commit increases the revision by one.
class MemoryTable {
public:
  /// \brief Executes \p Request immediately.
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
