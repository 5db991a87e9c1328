/// \file
/// What an adapter makes of the rows of the shared store.
#pragma once

#include "gateway/row_store.h"
#include "steer/steer.h"

namespace mustardspoke::steer {

/// \brief What a row of the operators' table says.
struct OperatorRow {
  enum class Kind : std::uint8_t { Unknown, Routes, Evacuation };
  Kind m_Kind = Kind::Unknown;
  RouteTablePtr m_Routes;        ///< For Routes; null if the row can't be read.
  FailureDomainName m_Evacuated; ///< For Evacuation.
  std::string m_Fault;           ///< Place and cause, if the row can't be read.
};

/// \brief A registration, or why there is none.
struct UpstreamRow {
  std::optional<UpstreamFacts> m_Facts;
  std::string m_Fault;
};

/// \brief Translation of rows; free functions of the adapter.
struct RowDecoder {
  OperatorRow (*m_Operator)(const StoreRow &Row);
  UpstreamRow (*m_Upstream)(
      const StoreRow &Row,
      const std::map<FailureDomainName, RegionName> &Regions);
  StoreTables m_Tables;
};

} // namespace mustardspoke::steer
