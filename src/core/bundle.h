/// \file
/// Data types of the steering configuration and the limits derived from it.
#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace mustardspoke {

/// \brief A team and the public key that verifies its signatures.
struct Team {
  TeamName m_Name;
  std::string m_PublicKey; ///< ed25519, 64 hexadecimal digits.
};

/// \brief A region and the maximum number of calls that run in it concurrently.
struct Region {
  RegionName m_Name;
  TeamName m_Team;
  std::uint32_t m_Cap = 0;
  std::vector<FailureDomainName> m_FailureDomains;
};

/// \brief Capacity for calls from entry VMs in one region to upstreams in
/// another.
struct Link {
  RegionName m_From;
  RegionName m_To;
  TeamName m_Team;
  std::uint32_t m_Cap = 0; ///< In link units; Service::m_LinkUnits per call.
};

/// \brief One server of a service.
struct Upstream {
  UpstreamName m_Name;
  std::string m_Address; ///< "IP:port"
  RegionName m_Region;
  FailureDomainName m_FailureDomain;
  std::uint32_t m_Slots = 0;
  std::uint32_t m_Connections = 0;
  bool m_Leaving = false; ///< Being removed; gets no new calls.
};

/// \brief A service and the upstreams that serve its calls.
struct Service {
  ServiceName m_Name;
  TeamName m_Team;
  bool m_Repeatable = false;   ///< Idempotent: a call may run more than once.
  Duration m_Deadline = 2s;    ///< Default if the caller sets none.
  Duration m_MaxDeadline = 5s; ///< Upper bound on a caller's deadline.
  std::uint32_t m_QueueLimit = 64;
  std::uint32_t m_LinkUnits = 1; ///< Units of a link that one call uses.
  std::vector<Upstream> m_Upstreams;
};

/// \brief Permission to send calls of one service to another region, with a
/// cap.
///
/// \details Without a shift, calls stay in their home region. With m_Percent
/// zero, a shift carries only the calls that the home region has no headroom
/// for.
struct Shift {
  ShiftName m_Name;
  TeamName m_Team;
  ServiceName m_Service;
  RegionName m_From;
  RegionName m_To;
  std::uint32_t m_Cap = 0;     ///< Concurrent calls, summed over all entry VMs.
  std::uint32_t m_Percent = 0; ///< Percentage of calls to move; zero: overflow.
};

/// \brief Assigns a block of client addresses to a region.
struct ClientBlock {
  std::uint32_t m_Prefix = 0; ///< IPv4, host byte order.
  std::uint8_t m_PrefixLength = 0;
  RegionName m_Region;
};

/// \brief One fleet-wide limit; a call occupies units of it while in flight.
struct Limit {
  LimitName m_Name;
  std::uint32_t m_Capacity = 0;
  Duration m_MaxCallDeadline{}; ///< Longest deadline of a call that can use it.
  /// Regions whose entry VMs have priority: the region that the limit belongs
  /// to and those with a planned shift into it.
  std::vector<RegionName> m_HomeRegions;

  /// Limits of one group assign their rounding remainders to different VMs in
  /// rotation, so that limits of few units are spread evenly.
  std::uint64_t m_RoundingGroup = 0;
  std::uint32_t m_IndexInGroup = 0; ///< Position in the group.

  [[nodiscard]] bool isHomeRegion(const RegionName &Region) const noexcept;
};

/// \brief One accepted version of the configuration.
struct Bundle {
  std::uint64_t m_Version = 0;
  std::vector<Team> m_Teams;
  std::vector<Region> m_Regions;
  std::vector<Link> m_Links;
  std::vector<Service> m_Services;
  std::vector<Shift> m_Shifts;
  std::vector<ClientBlock> m_Clients;

  /// \brief The service called \p Wanted, or null.
  [[nodiscard]] const Service *
  findService(const ServiceName &Wanted) const noexcept;

  /// \brief The link between two regions, or null when it has no limit.
  [[nodiscard]] const Link *findLink(const RegionName &From,
                                     const RegionName &To) const noexcept;
};

[[nodiscard]] LimitName limitName(const UpstreamName &Upstream);
[[nodiscard]] LimitName limitName(const RegionName &Region);
[[nodiscard]] LimitName limitName(const ShiftName &Shift);
[[nodiscard]] LimitName limitName(const Link &Path);

/// \brief All limits that \p Config implies, sorted by name.
[[nodiscard]] std::vector<Limit> limitsOf(const Bundle &Config);

} // namespace mustardspoke
