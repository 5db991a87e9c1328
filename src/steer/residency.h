/// \file
/// The regions in which a request may be processed.
#pragma once

#include "steer/route_table.h"

namespace mustardspoke::steer {

/// \brief Which regions may see a request, its body included: those that its
/// route and its customer both allow.
///
/// \details Every place that names a receiver of a request asks it: the choice
/// of an upstream or of a peer, and the last check before bytes leave. Refers
/// to a configuration, which must outlive it.
class Residency {
public:
  /// \brief Of a request that nothing binds.
  [[nodiscard]] static Residency anywhere() { return Residency(); }
  /// \param Owner Null for a request without a customer.
  explicit Residency(const Route &Selected, const Customer *Owner = nullptr)
      : m_Route(&Selected), m_Customer(Owner) {}

  [[nodiscard]] bool allows(const RegionName &Region) const noexcept {
    return (!m_Route || m_Route->allows(Region)) &&
           (!m_Customer || m_Customer->allows(Region));
  }
  /// \brief Whether any region is excluded.
  [[nodiscard]] bool isRestricted() const noexcept {
    return (m_Route && !m_Route->m_AllowedRegions.empty()) ||
           (m_Customer && !m_Customer->m_AllowedRegions.empty());
  }
  /// \brief Whether any region is left.
  [[nodiscard]] bool isSatisfiable() const noexcept {
    return !m_Route || !m_Customer ||
           haveCommonRegion(m_Route->m_AllowedRegions,
                            m_Customer->m_AllowedRegions);
  }

private:
  Residency() = default;

  const Route *m_Route = nullptr;
  const Customer *m_Customer = nullptr;
};

} // namespace mustardspoke::steer
