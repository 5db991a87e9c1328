/// \file
/// Histograms and counters per service and tenant.
#pragma once

#include "core/errors.h"
#include "core/ids.h"

#include <memory>
#include <string>

namespace mustardspoke {

/// \brief Measurements of one finished call.
struct CallSample {
  ServiceName m_Service;
  TenantName m_Tenant;
  ErrorKind m_Error = ErrorKind::None;
  Outcome m_Outcome = Outcome::Done;
  Duration m_Latency{};   ///< From arrival to the end of the response.
  Duration m_QueueTime{}; ///< Time spent in the queue.
};

/// \brief Collects the metrics of a process.
/// \details Thread-safe. Its mutex is acquired after all others but the log's.
class Metrics {
public:
  Metrics();
  ~Metrics();

  void recordCall(const CallSample &Sample);

  /// \brief Records the free capacity units of one service, sampled once per
  /// second.
  void recordHeadroom(const ServiceName &Service, std::uint32_t Units);

  /// \brief Records the time from the stop signal to the end of the last call.
  void recordDrain(Duration DrainTime);

  /// \brief Returns all metrics in the Prometheus text exposition format.
  [[nodiscard]] std::string exposition() const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace mustardspoke
