/// \file
/// What the parts of one gateway process share. All of it belongs to the one
/// thread that runs the event loop, so there are no locks.
#pragma once

#include "gateway/decoder.h"
#include "gateway/dialect.h"
#include "gateway/settings.h"
#include "observe/metrics.h"

#include <algorithm>
#include <map>

namespace mustardspoke::steer {

/// \brief What a VM can carry: its processor share, or less on a thin link.
inline double capacityOf(const GatewaySettings &Of) {
  // Large answers fill 400 Mbit/s with the work of one core.
  constexpr double MbpsPerCore = 400;
  return std::min(Of.m_Cores, Of.m_LinkMbps / MbpsPerCore);
}

/// \brief This VM as its peers will know it.
inline EntryVm selfOf(const GatewaySettings &From) {
  EntryVm Self;
  Self.m_Vm = From.m_Vm;
  Self.m_Region = From.m_Here.m_Region;
  Self.m_Domain = From.m_Here.m_Domain;
  Self.m_CallerAddress = From.m_CallerAddress;
  Self.m_PeerAddress = From.m_PeerAddress;
  Self.m_Capacity = capacityOf(From);
  return Self;
}

/// \brief Mechanisms that may be exchanged for a comparison or a proof.
struct GatewayStrategies {
  UpstreamStrategy m_Choose = chooseByKeyLocalFirst;
};

/// \brief Beliefs and counters of one gateway process.
struct GatewayState {
  GatewayState(asio::io_context &Loop, GatewaySettings From,
               const Dialect &Speaks, RowDecoder Decodes)
      : m_Io(Loop), m_Settings(std::move(From)), m_Dialect(Speaks),
        m_Decoder(std::move(Decodes)),
        m_Fleet(selfOf(m_Settings), m_Settings.m_Fleet) {}

  asio::io_context &m_Io;
  GatewaySettings m_Settings;
  const Dialect &m_Dialect;
  RowDecoder m_Decoder;
  GatewayStrategies m_Strategies;

  RouteTablePtr m_Routes; ///< Null until the first configuration.
  UpstreamTable m_Upstreams;
  Fleet m_Fleet;
  LocalShares m_Shares;
  TrafficSplitter m_Parts;
  std::map<ServiceName, RetryBudget> m_Budgets;
  /// Running mean of the bytes of a route's answers, by route name.
  std::map<std::string, double> m_AnswerBytes;

  Metrics m_Metrics;
  unsigned m_InFlight = 0;   ///< Requests read and not yet answered.
  TimePoint m_LastRequest{}; ///< When the last request was read.
  bool m_Taking = true;      ///< False late in a stop: requests are refused.
  bool m_Leaving = false;    ///< The stop signal came; never taken back.

  /// \brief Takes callers: has a configuration and upstreams, and stays.
  [[nodiscard]] bool ready() const noexcept {
    return m_Routes && m_Upstreams.size() > 0 && !m_Leaving;
  }
};

} // namespace mustardspoke::steer
