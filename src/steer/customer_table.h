/// \file
/// Customers of one configuration version, and the look-up of a customer by the
/// key that its callers send.
#pragma once

#include "core/ids.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace mustardspoke::steer {

/// \brief Limit on the requests that a customer's callers send to all VMs.
struct CustomerQuota {
  double m_RequestsPerSecond = 0; ///< 0: no limit.
  double m_Burst = 0;             ///< Requests that may come at once.

  [[nodiscard]] bool isLimited() const noexcept {
    return m_RequestsPerSecond > 0;
  }
  friend bool operator==(const CustomerQuota &,
                         const CustomerQuota &) = default;
};

/// \brief An organization on whose behalf callers send requests.
struct Customer {
  CustomerName m_Name;
  /// Goes before the route's; 0 is the most urgent.
  std::optional<unsigned> m_Priority;
  CustomerQuota m_Quota;
  std::vector<RegionName> m_AllowedRegions; ///< Empty: every region.

  [[nodiscard]] bool allows(const RegionName &Region) const noexcept;
};

/// \brief Whether any region is in both lists; an empty list stands for all.
[[nodiscard]] bool haveCommonRegion(std::span<const RegionName> Left,
                                    std::span<const RegionName> Right) noexcept;

/// \brief Whether a configuration asks callers for keys, and whose each key is.
///
/// Invariant: no key belongs to two customers. Keys are neither logged nor sent
/// to upstreams or peers.
class CustomerTable {
public:
  /// \brief Callers need a key from now on, also if no customer is added.
  void requireKeys() noexcept { m_RequiresKeys = true; }
  /// \brief Whether requests on routes that aren't public need a key.
  [[nodiscard]] bool requiresKeys() const noexcept { return m_RequiresKeys; }

  /// \brief Adds a customer with its keys. A key that another customer has as
  /// well identifies neither of them.
  /// \returns The other customers that had one of the keys; an entry that is
  /// equal to the own name means a second customer of this name, which is not
  /// added.
  std::vector<CustomerName> add(Customer Added,
                                std::span<const std::string> Keys);

  /// \returns Null if the key is unknown.
  [[nodiscard]] const Customer *findByKey(std::string_view Key) const noexcept;
  /// \returns Null if there is no customer of this name.
  [[nodiscard]] const Customer *find(const CustomerName &Name) const noexcept;
  [[nodiscard]] std::size_t size() const noexcept { return m_Customers.size(); }

  template <class Visitor> void forEach(Visitor &&Visit) const {
    for (const Customer &Entry : m_Customers)
      Visit(Entry);
  }

private:
  struct KeyHash {
    using is_transparent = void; // NOLINT(readability-identifier-naming)
    std::size_t operator()(std::string_view Key) const noexcept {
      return std::size_t(stableHash(Key));
    }
  };

  bool m_RequiresKeys = false;
  std::vector<Customer> m_Customers;
  std::map<CustomerName, std::size_t> m_ByName; ///< Indexes of m_Customers.
  /// Indexes of m_Customers; none for a key that several customers have.
  std::unordered_map<std::string, std::optional<std::size_t>, KeyHash,
                     std::equal_to<>>
      m_ByKey;
};

} // namespace mustardspoke::steer
