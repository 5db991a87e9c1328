/// \file
/// The store that entry VMs share, as the gateway sees it: versioned rows in
/// tables, conditional writes, and a feed of changes.
#pragma once

#include "gateway/net.h"
#include "steer/store_row.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace mustardspoke::steer {

/// \brief How a call of the store ended.
enum class StoreEnd : std::uint8_t {
  Done,
  Conflict,    ///< A condition did not hold; nothing was done.
  HistoryGone, ///< The feed can't go on from the given version.
  Refused,     ///< Nothing was done.
  Unknown,     ///< No answer; a write may have been done or be done later.
};

struct StoreRead {
  StoreEnd m_End = StoreEnd::Unknown;
  std::vector<StoreRow> m_Rows;
  std::uint64_t m_Version = 0; ///< Newest version of the store.
  std::string m_Detail;        ///< What went wrong.
};

/// \brief One write or removal.
struct StoreWrite {
  StoreRow m_Row; ///< m_Removed drops it.
  /// Version that the row must have; 0 if it must not exist.
  std::optional<std::uint64_t> m_Expected;
};

/// \brief Client of the store; every call ends within its time limit.
class RowStore {
public:
  RowStore() = default;
  RowStore(const RowStore &) = delete;
  RowStore &operator=(const RowStore &) = delete;
  virtual ~RowStore() = default;

  /// \brief All rows of \p Table at one moment.
  virtual awaitable<StoreRead> read(std::string Table) = 0;
  /// \brief Rows of \p Table that changed after \p After; waits up to \p Wait
  /// for the first.
  virtual awaitable<StoreRead> changes(std::string Table, std::uint64_t After,
                                       Duration Wait) = 0;
  virtual awaitable<StoreRead> write(StoreWrite One) = 0;
};

/// \brief Tables whose rows others write and the gateway decodes.
struct StoreTables {
  std::string m_Operators; ///< Configuration and evacuations.
  std::string m_Upstreams; ///< Registrations.
  std::string m_Vms;       ///< The gateway's own meeting rows.
};

} // namespace mustardspoke::steer
