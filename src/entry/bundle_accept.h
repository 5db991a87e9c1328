/// \file
/// Acceptance of signed sections into a new bundle version.
#pragma once

#include "entry/shared.h"
#include "tables/tables.h"

#include <vector>

namespace mustardspoke {

/// \brief What became of an operator's request to accept sections.
struct AcceptResult {
  ErrorKind m_Error = ErrorKind::None;
  std::uint64_t m_Version = 0; ///< The version that has the sections.
  ValidationErrors m_Faults;   ///< For BundleRefused and BundleConflict.
};

/// \brief Merges \p Sections into the newest bundle and accepts the result.
///
/// \details One conditional write of the head row decides. Racing sections of
/// different teams both get in, one after the other; of two with one team and
/// revision, the first wins and the second is refused. A write whose answer
/// was lost is settled by reading the head again.
[[nodiscard]] AcceptResult acceptSections(Shared &Core,
                                          const PlatformClient &Platform,
                                          const std::vector<Section> &Sections);

} // namespace mustardspoke
