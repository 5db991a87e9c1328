/// \file
/// Interface to the store that the entry VMs share: versioned rows in tables,
/// conditional writes, and a feed of changes.
#pragma once

#include "gateway/net.h"
#include "steer/store_row.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace mustardspoke::steer {

/// \brief Status of a call to the store.
enum class StoreCallStatus : std::uint8_t {
  Done,
  Conflict,    ///< A condition did not hold; nothing was written.
  HistoryGone, ///< The feed no longer has the changes since the given version.
  Refused,     ///< Nothing was done.
  Unknown, ///< No response; a write may have been applied or be applied later.
};

struct StoreResult {
  StoreCallStatus m_CallStatus = StoreCallStatus::Unknown;
  std::vector<StoreRow> m_Rows;
  std::uint64_t m_Version = 0; ///< Newest version of the store.
  std::string m_Detail;        ///< Cause of a failure.
};

/// \brief One write or removal.
struct StoreWrite {
  StoreRow m_Row; ///< Removed from the store if m_Removed is set.
  /// Version that the row must have; 0 if it must not exist.
  std::optional<std::uint64_t> m_Expected;
};

/// \brief Client of the store; every call ends within its timeout.
class RowStore {
public:
  RowStore() = default;
  RowStore(const RowStore &) = delete;
  RowStore &operator=(const RowStore &) = delete;
  virtual ~RowStore() = default;

  /// \brief Reads all rows of \p Table; the result's version is the store's at
  /// the start of the read.
  virtual awaitable<StoreResult> read(std::string Table) = 0;
  /// \brief Returns rows of \p Table that changed after version \p After; waits
  /// up to \p Wait for the first change.
  virtual awaitable<StoreResult> changes(std::string Table, std::uint64_t After,
                                         Duration Wait) = 0;
  /// \brief Ends the call of changes() for \p Table that is waiting, if there
  /// is one; it returns soon, with StoreCallStatus::Unknown.
  virtual void endChangesCall(const std::string &Table) = 0;
  virtual awaitable<StoreResult> write(StoreWrite Write) = 0;
};

/// \brief Names of the store's tables.
struct StoreTables {
  std::string m_Operators; ///< Configuration and evacuations.
  std::string m_Upstreams; ///< Upstream registrations.
  std::string m_Vms;       ///< Discovery rows of the gateways.
};

} // namespace mustardspoke::steer
