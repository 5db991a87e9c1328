/// \file
/// Routes of one configuration version and the choice of a route by host and
/// path.
#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace mustardspoke::steer {

/// \brief What may be done again with a request whose fate is unknown.
enum class RepeatRule : std::uint8_t {
  Safe,     ///< Idempotent; may run on several upstreams.
  Unsafe,   ///< Runs at most once.
  Download, ///< Idempotent, with a large answer.
};

/// \brief One target of a route and its share of the route's requests.
struct TrafficPart {
  ServiceName m_Service;
  std::uint32_t m_Weight = 1; ///< Relative to the sum over the route's parts.
};

/// \brief How requests below one prefix of a host are served.
struct Route {
  std::string m_Name;
  std::string m_Prefix; ///< Begins and ends with a slash.
  RepeatRule m_Repeat = RepeatRule::Safe;
  Duration m_TargetLatency{}; ///< An answer within it has its full value.
  Duration m_Timeout{};       ///< A caller waits no longer than this.
  unsigned m_Priority = 0;    ///< 0 is the most urgent.
  unsigned m_MaxAttempts = 1; ///< Upstreams that one request may be sent to.
  bool m_KeyAffinity = false; ///< Upstreams work faster on keys seen lately.
  std::vector<TrafficPart> m_Parts;         ///< Never empty.
  std::vector<RegionName> m_AllowedRegions; ///< Empty: every region.

  [[nodiscard]] bool idempotent() const noexcept {
    return m_Repeat != RepeatRule::Unsafe;
  }
  [[nodiscard]] bool allows(const RegionName &Region) const noexcept;
};

/// \brief Properties that all upstreams of a service share.
struct ServiceRules {
  ServiceName m_Name;
  std::string m_HealthPath;
  std::uint32_t m_MostConnections = 0; ///< At one upstream, from all VMs.
  Duration m_WarmUp{};                 ///< Cold for so long after a start.
  double m_ColdPerSecond = 0; ///< Requests/s a cold upstream tolerates.
};

/// \brief Bounds on what a caller may send.
struct CallerLimits {
  std::uint32_t m_HeaderBytes = 16384;
  std::uint64_t m_BodyBytes = 64ULL << 20;
  Duration m_HeaderTimeout = 3s; ///< From a head's first byte to its last.
  Duration m_IdleTimeout = 15s;  ///< Between requests of a connection.
};

/// \brief One configuration version; immutable once it is shared.
class RouteTable {
public:
  std::uint64_t m_Version = 0;
  CallerLimits m_Limits;
  std::map<ServiceName, ServiceRules> m_Services;

  void add(const std::string &Host, Route One);

  /// \brief The route of \p Host with the longest prefix that begins \p Path.
  /// \returns Null if there is none.
  [[nodiscard]] const Route *find(std::string_view Host,
                                  std::string_view Path) const noexcept;

  [[nodiscard]] const ServiceRules *
  service(const ServiceName &Of) const noexcept;

  [[nodiscard]] std::size_t size() const noexcept;

private:
  /// Routes of each host, longest prefix first.
  std::map<std::string, std::vector<Route>, std::less<>> m_Hosts;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

/// \brief Deals a route's requests to its parts in proportion to the weights.
///
/// \details Smooth weighted round robin: after any number of requests each
/// part is within one request of its exact share.
class PartDealer {
public:
  /// \returns The part for the next request of \p Of.
  [[nodiscard]] const ServiceName &next(const Route &Of);

private:
  struct Credit {
    ServiceName m_Service;
    std::int64_t m_Credit = 0; ///< Sums to zero over the parts of a route.
  };
  std::map<std::string, std::vector<Credit>, std::less<>> m_Routes;
};

} // namespace mustardspoke::steer
