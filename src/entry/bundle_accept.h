/// \file
/// Accepts signed sections into a new bundle version.
#pragma once

#include "entry/shared_node.h"
#include "tables/tables.h"

#include <vector>

namespace mustardspoke {

/// \brief Result of an operator's request to accept sections.
struct AcceptResult {
  ErrorKind m_Error = ErrorKind::None;
  std::uint64_t m_Version = 0; ///< A version that contains the sections.
  ValidationErrors m_ValidationErrors; ///< Of BundleRefused, BundleConflict.
};

/// \brief Merges \p Sections into the newest bundle, validates the result and
/// publishes it as the next version.
///
/// \details A conditional write of the head row makes the new version current.
/// If two requests race, sections of different teams are both accepted, one
/// after the other; of two sections with the same team and revision, the first
/// is accepted and the second is refused. If the reply to the write is lost,
/// the head row is read again to find out whether the write took effect.
[[nodiscard]] AcceptResult acceptSections(SharedNode &Core,
                                          const PlatformClient &Platform,
                                          const std::vector<Section> &Sections);

} // namespace mustardspoke
