/// \file
/// Decoding of the shared store's rows by the platform adapter.
#pragma once

#include "gateway/row_store.h"
#include "steer/steer.h"

namespace mustardspoke::steer {

/// \brief A decoded row of the operators' table.
struct OperatorRow {
  enum class Kind : std::uint8_t { Unknown, Routes, Evacuation };
  Kind m_Kind = Kind::Unknown;
  RouteTablePtr m_Routes; ///< For Routes; null if the row can't be decoded.
  FailureDomainName m_Evacuated; ///< For Evacuation.
  std::string m_Error; ///< Place and cause, if the row can't be decoded.
  /// Place and cause of parts that are left out or replaced by a safe value.
  std::vector<std::string> m_Warnings;
};

/// \brief A decoded upstream registration, or the reason why it is invalid.
struct UpstreamRow {
  std::optional<UpstreamRegistration> m_Facts;
  std::string m_Error;
};

/// \brief Row decoding; free functions of the platform adapter.
struct RowDecoder {
  OperatorRow (*m_DecodeOperatorRow)(const StoreRow &Row);
  UpstreamRow (*m_DecodeUpstreamRow)(
      const StoreRow &Row,
      const std::map<FailureDomainName, RegionName> &Regions);
  StoreTables m_Tables;
};

} // namespace mustardspoke::steer
