/// \file
/// Rows of the platform's table service and the core's requests to it.
#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace mustardspoke {

/// \brief Registration and lease of one entry VM; key "vm/<name>".
struct VmRow {
  VmName m_Vm;
  Incarnation m_Incarnation = 0;
  std::uint64_t m_Renewals = 0; ///< Incremented with every lease renewal.
  /// Incremented when others reclaim units of this VM.
  std::uint64_t m_Fences = 0;
  bool m_Left = false; ///< The VM has stopped and holds no units.
};

/// \brief The units of one limit that one VM holds.
struct Holding {
  VmIncarnation m_Holder;
  std::uint32_t m_Floor = 0;     ///< Held under the long lease.
  std::uint32_t m_Surplus = 0;   ///< Held under the short lease.
  std::uint32_t m_Requested = 0; ///< Units that the holder's demand requires.

  [[nodiscard]] std::uint32_t total() const noexcept {
    return m_Floor + m_Surplus;
  }
};

/// \brief The division of one limit; key "limit/<name>".
///
/// Invariant: the holdings never sum to more than m_Capacity, except after a
/// bundle lowered it; until they fit again they only decrease.
struct LimitRow {
  LimitName m_Limit;
  std::uint32_t m_Capacity = 0;
  std::uint64_t m_BundleVersion = 0; ///< The bundle that set m_Capacity.
  std::vector<Holding> m_Holdings;

  [[nodiscard]] std::uint32_t totalHeld() const noexcept;
  [[nodiscard]] Holding *find(const VmIncarnation &Holder) noexcept;
  [[nodiscard]] const Holding *find(const VmIncarnation &Holder) const noexcept;
};

/// \brief The newest accepted bundle; key "head".
struct HeadRow {
  std::uint64_t m_Version = 0;
  std::string m_Object; ///< Name of the document in the object store.
};

using Row = std::variant<VmRow, LimitRow, HeadRow>;

/// \brief A row with the table revision of its last write.
struct StoredRow {
  std::string m_Key;
  std::uint64_t m_Revision = 0;
  Row m_Row;
};

/// \brief Reads a snapshot of all rows written after a revision.
struct ScanRequest {
  std::uint64_t m_SinceRevision = 0;
};

/// \brief One row of a commit, which fails unless m_ExpectedRevision matches.
struct RowWrite {
  std::string m_Key;
  std::uint64_t m_ExpectedRevision = 0; ///< Zero: the row must not exist.
  std::optional<Row> m_Row;             ///< Empty: only check the revision.
};

/// \brief Applies all writes atomically.
struct CommitRequest {
  std::vector<RowWrite> m_Writes;
};

/// \brief A request; each VM has at most one outstanding.
struct StoreRequest {
  std::uint64_t m_Id = 0;
  std::variant<ScanRequest, CommitRequest> m_Body;
};

enum class StoreStatus : std::uint8_t {
  Ok,
  Conflict,
  NotApplied, ///< Has had no effect and never will.
  Unknown     ///< May have taken effect or may do so later.
};

/// \brief The reply to a StoreRequest.
struct StoreReply {
  std::uint64_t m_Id = 0;
  StoreStatus m_Status = StoreStatus::Unknown;
  std::uint64_t m_Revision = 0;  ///< Of the snapshot or the commit.
  std::vector<StoredRow> m_Rows; ///< For a scan.
};

[[nodiscard]] std::string vmKey(const VmName &Vm);
[[nodiscard]] std::string limitKey(const LimitName &Limit);
inline constexpr const char *HeadKey = "head";

} // namespace mustardspoke
