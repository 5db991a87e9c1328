/// \file
/// Strongly typed names and identifiers.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace mustardspoke {

/// \brief A string with a type tag, so that names of different kinds aren't
/// interchangeable.
///
/// \code
/// RegionName Home{"dfw"};
/// \endcode
template <class Tag> class Name {
public:
  Name() = default;
  explicit Name(std::string Text) noexcept : m_Text(std::move(Text)) {}

  [[nodiscard]] const std::string &str() const noexcept { return m_Text; }
  [[nodiscard]] bool empty() const noexcept { return m_Text.empty(); }

  friend auto operator<=>(const Name &, const Name &) = default;

private:
  std::string m_Text;
};

using ServiceName = Name<struct ServiceTag>;
using TenantName = Name<struct TenantTag>;
using CustomerName = Name<struct CustomerTag>;
using TeamName = Name<struct TeamTag>;
using RegionName = Name<struct RegionTag>;
using FailureDomainName = Name<struct DomainTag>;
using UpstreamName = Name<struct UpstreamTag>;
using ShiftName = Name<struct ShiftTag>;
using LimitName = Name<struct LimitTag>;
using VmName = Name<struct VmTag>;

/// \brief Identifies a call within one entry VM's process.
enum class CallId : std::uint64_t {};

/// \brief Number of one start of a VM's process; greater after every restart.
///
/// \details Distinguishes the current process of a VM from earlier ones.
using Incarnation = std::uint64_t;

/// \brief One incarnation of an entry VM: the VM's name and the number.
struct VmIncarnation {
  VmName m_Vm;
  Incarnation m_Incarnation = 0;

  friend auto operator<=>(const VmIncarnation &,
                          const VmIncarnation &) = default;
};

/// \brief 64-bit hash that is the same on all VMs and in all builds.
[[nodiscard]] std::uint64_t stableHash(std::string_view Text,
                                       std::uint64_t Seed = 0) noexcept;

} // namespace mustardspoke
