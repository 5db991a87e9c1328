/// \file
/// Routes of one configuration version, and route lookup by host and path.
#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "steer/customer_table.h"

#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace mustardspoke::steer {

/// \brief Whether a request with unknown outcome may be sent again.
enum class RetrySafety : std::uint8_t {
  Safe,     ///< Idempotent; may run on several upstreams.
  Unsafe,   ///< Must run at most once.
  Download, ///< Idempotent, with a large answer.
  Upload,   ///< Must run at most once; has a large body.
};

/// \brief One target of a route and its share of the route's requests.
struct TrafficTarget {
  ServiceName m_Service;
  std::uint32_t m_Weight = 1; ///< Relative to the sum over all targets.
};

/// \brief How requests with one host and path prefix are served.
struct Route {
  std::string m_Name;
  std::string m_Prefix; ///< Begins and ends with a slash.
  RetrySafety m_RetrySafety = RetrySafety::Safe;
  Duration m_TargetLatency{}; ///< Later answers are worth less to the caller.
  Duration m_Timeout{};       ///< Longest time that a caller waits.
  unsigned m_Priority = 0;    ///< 0 is the most urgent.
  unsigned m_MaxAttempts = 1; ///< Upstreams that one request may be sent to.
  bool m_IsPublic = false;    ///< Callers need no key.
  bool m_KeyAffinity = false; ///< Recently used keys are processed faster.
  std::vector<TrafficTarget> m_Targets;     ///< Never empty.
  std::vector<RegionName> m_AllowedRegions; ///< Empty: every region.

  [[nodiscard]] bool idempotent() const noexcept {
    return m_RetrySafety == RetrySafety::Safe ||
           m_RetrySafety == RetrySafety::Download;
  }
  [[nodiscard]] bool allows(const RegionName &Region) const noexcept;
};

/// \brief Settings that apply to all upstreams of a service.
struct ServiceSettings {
  ServiceName m_Name;
  std::string m_HealthPath;
  std::uint32_t m_MaxConnections = 0; ///< Per upstream, from all VMs.
  Duration m_WarmUp{};                ///< Time after a start while it is cold.
  double m_ColdRequestsPerSecond = 0; ///< Tolerated by a cold upstream.
};

/// \brief Limits on requests and connections of callers.
struct CallerLimits {
  std::uint32_t m_MaxHeaderBytes = 16384;
  std::uint64_t m_MaxBodyBytes = 64ULL << 20;
  Duration m_HeaderTimeout = 3s; ///< From the first to the last header byte.
  Duration m_IdleTimeout = 15s;  ///< Between requests on a connection.
};

/// \brief One configuration version; immutable once it is shared.
class RouteTable {
public:
  std::uint64_t m_Version = 0;
  CallerLimits m_Limits;
  std::map<ServiceName, ServiceSettings> m_Services;
  CustomerTable m_Customers;

  void add(const std::string &Host, Route NewRoute);

  /// \brief The route of \p Host with the longest prefix of \p Path.
  /// \returns Null if there is none.
  [[nodiscard]] const Route *find(std::string_view Host,
                                  std::string_view Path) const noexcept;

  /// \returns Null if the service isn't configured.
  [[nodiscard]] const ServiceSettings *
  findService(const ServiceName &Service) const noexcept;

  [[nodiscard]] std::size_t size() const noexcept;

private:
  /// Routes of each host, longest prefix first.
  std::map<std::string, std::vector<Route>, std::less<>> m_Hosts;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

/// \brief Distributes the requests of a route over its targets by weight.
///
/// \details Smooth weighted round robin: after any number of requests the
/// count of each target differs from its exact share by at most one.
class TrafficSplitter {
public:
  /// \returns The target of the next request on \p Split.
  [[nodiscard]] const ServiceName &next(const Route &Split);

  friend bool operator==(const TrafficSplitter &,
                         const TrafficSplitter &) = default;

private:
  struct Credit {
    ServiceName m_Service;
    std::int64_t m_Credit = 0; ///< Sums to zero over the targets of a route.

    friend bool operator==(const Credit &, const Credit &) = default;
  };
  std::map<std::string, std::vector<Credit>, std::less<>> m_Routes;
};

} // namespace mustardspoke::steer
