/// \file
/// Longest-prefix match from client addresses to regions.
#pragma once

#include "core/bundle.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace mustardspoke {

/// \brief Maps an IPv4 address to the region of its most specific block.
///
/// \details The blocks are flattened into disjoint ranges, so that a look-up is
/// one binary search; a range takes six bytes. A change rebuilds the table.
///
/// Invariants: m_Starts is strictly increasing and starts with 0; m_Starts and
/// m_RegionIndices have the same length.
class PrefixTable {
public:
  PrefixTable() = default;
  explicit PrefixTable(std::span<const ClientBlock> Blocks);

  /// \returns The region, or null if no block covers \p Address.
  [[nodiscard]] const RegionName *find(std::uint32_t Address) const noexcept;

  [[nodiscard]] std::size_t rangeCount() const noexcept {
    return m_Starts.size();
  }
  [[nodiscard]] std::size_t memoryBytes() const noexcept;

private:
  static constexpr std::uint16_t NoRegion = 0xffff;

  std::vector<std::uint32_t> m_Starts;
  /// Index into m_Regions or NoRegion.
  std::vector<std::uint16_t> m_RegionIndices;
  std::vector<RegionName> m_Regions;
};

/// \brief Parses a dotted IPv4 address such as "10.1.2.3".
[[nodiscard]] std::optional<std::uint32_t> parseIpv4(std::string_view Text);

} // namespace mustardspoke
