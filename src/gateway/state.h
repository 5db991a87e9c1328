/// \file
/// State that the components of one gateway process share. All of it belongs to
/// the thread that runs the event loop, so there are no locks.
#pragma once

#include "gateway/own_links.h"
#include "gateway/pause_detector.h"
#include "gateway/row_decoder.h"
#include "gateway/settings.h"
#include "gateway/wire_format.h"
#include "observe/metrics.h"

#include <boost/intrusive/list.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <set>

namespace mustardspoke::steer {

/// \brief Capacity of a VM in cores; a slow link lowers it.
inline double vmCapacity(const GatewaySettings &Settings) {
  // Sending large responses at 400 Mbit/s takes one processor core.
  constexpr double MbpsPerCore = 400;
  return std::min(Settings.m_Cores, Settings.m_LinkMbps / MbpsPerCore);
}

/// \brief This VM, as it describes itself to its peers.
inline EntryVm selfDescription(const GatewaySettings &Settings) {
  EntryVm Self;
  Self.m_Vm = Settings.m_Vm;
  Self.m_Region = Settings.m_Placement.m_Region;
  Self.m_Domain = Settings.m_Placement.m_Domain;
  Self.m_CallerAddress = Settings.m_CallerAddress;
  Self.m_PeerAddress = Settings.m_PeerAddress;
  Self.m_Capacity = vmCapacity(Settings);
  return Self;
}

/// \brief Algorithms that measurements and proofs may replace.
struct GatewayStrategies {
  UpstreamStrategy m_Choose = chooseByKeyLocalFirst;
};

/// \brief Is told when the process is about to end. Leaves its list when it is
/// destroyed.
struct StopListener
    : boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
  std::function<void()> m_OnStop;
};

/// \brief Shared state and counters of one gateway process.
struct GatewayState {
  GatewayState(asio::io_context &Loop, GatewaySettings Settings,
               const WireFormat &Format, RowDecoder Decoder)
      : m_Io(Loop), m_Settings(std::move(Settings)), m_WireFormat(Format),
        m_Decoder(std::move(Decoder)), m_Buffers(m_Settings.m_BufferBytes),
        m_OwnLinks(Loop, m_Upstreams),
        m_Fleet(selfDescription(m_Settings), m_Settings.m_Fleet),
        m_Quotas(m_Settings.m_Vm) {}

  asio::io_context &m_Io;
  GatewaySettings m_Settings;
  const WireFormat &m_WireFormat;
  RowDecoder m_Decoder;
  BufferBudget m_Buffers;
  GatewayStrategies m_Strategies;

  RouteTablePtr m_Routes; ///< Null until the first configuration is adopted.
  TimePoint m_RoutesAdoptedAt{}; ///< When m_Routes was set.
  ConfigFreshness m_Freshness;   ///< Of m_Routes.
  PauseDetector m_Pauses{timeSinceBoot()};
  /// Called after a pause of the process, with its length.
  std::function<void(Duration)> m_OnPause;
  TimePoint m_StoreReachedAt{}; ///< Last answer of the store to this VM.
  UpstreamTable m_Upstreams;
  OwnLinks m_OwnLinks;
  Fleet m_Fleet;
  CustomerQuotas m_Quotas;
  LocalShares m_LocalShares;
  KeyPlacement m_KeyPlacement;
  AdmissionControls m_Admission;
  TrafficSplitter m_TrafficSplit;
  std::map<ServiceName, RetryBudget> m_RetryBudgets;
  /// For callers refused because all upstreams of the service are limited.
  std::map<ServiceName, ReturnSchedule> m_LimitedReturns;
  CrashSuspects m_CrashSuspects;
  /// Runs of upstreams that are being checked for their end.
  std::set<UpstreamRunKey> m_EndChecks;
  /// Called with each request that is confirmed by an end seen by this VM.
  std::function<void(RequestFingerprint)> m_OnCrashConfirmed;
  /// Called with each suspected request that an upstream has answered to this
  /// VM.
  std::function<void(RequestFingerprint)> m_OnCrashCleared;
  /// Called when peers should soon hear of requests that end upstreams, of a
  /// change of this VM's links, or of a new configuration.
  std::function<void()> m_OnNews;
  /// Running mean of the response size of each route in bytes, by route name.
  std::map<std::string, double> m_MeanResponseBytes;
  /// When an answer of a route was last streamed, by route name.
  std::map<std::string, TimePoint> m_LastStreamed;

  ReadDelay m_ReadDelay;
  Metrics m_Metrics;
  TimePoint m_StartedAt = steadyNow();
  unsigned m_InFlight = 0;   ///< Requests read and not yet answered.
  TimePoint m_LastRequest{}; ///< When the last request was read.
  bool m_Leaving = false;    ///< The stop signal was received; never reset.
  /// When requests that are still being served are ended, during a shutdown.
  TimePoint m_StopsAt = TimePoint::max();
  boost::intrusive::list<StopListener,
                         boost::intrusive::constant_time_size<false>>
      m_StopListeners;

  /// \brief Whether callers are accepted: a configuration and upstreams are
  /// known, and the VM isn't shutting down.
  [[nodiscard]] bool ready() const noexcept {
    return m_Routes && m_Upstreams.size() > 0 && !m_Leaving;
  }
  /// \brief Time since the store has answered this VM or a reader of its
  /// region, whose rows it follows; nothing if that isn't known.
  [[nodiscard]] std::optional<Duration> storeAge(TimePoint Now) const {
    std::optional<Duration> Age = m_Fleet.readerAge(Now);
    if (m_StoreReachedAt != TimePoint())
      Age = std::min(Age.value_or(Duration::max()), Now - m_StoreReachedAt);
    return Age;
  }
  /// \brief Version of m_Routes; 0 without one.
  [[nodiscard]] std::uint64_t routesVersion() const noexcept {
    return m_Routes ? m_Routes->m_Version : 0;
  }
  /// \brief To be called before anything that relies on what was known before
  /// the last turn of the event loop.
  void noticePause() {
    std::optional<Duration> Pause = m_Pauses.check(timeSinceBoot());
    if (!Pause)
      return;
    m_Freshness.recordPause(steadyNow());
    m_Fleet.startListening(steadyNow());
    if (m_OnPause)
      m_OnPause(*Pause);
  }
  /// \brief Begins a shutdown, at whose end requests are ended.
  void beginStop(TimePoint StopsAt) noexcept {
    m_Leaving = true;
    m_StopsAt = StopsAt;
  }
  /// \brief Whether a shutdown may end a request with this deadline, so that
  /// it isn't to be sent to an upstream.
  [[nodiscard]] bool mayCutOff(TimePoint Deadline) const noexcept {
    return Deadline > m_StopsAt;
  }
  /// \brief Ends the requests that are being served, as if their deadlines had
  /// passed: their callers get an answer, which takes some turns of the event
  /// loop.
  void endRequests() {
    for (StopListener &Listener : m_StopListeners)
      Listener.m_OnStop();
  }
  /// \brief Whether peers can carry attempts to upstreams for this VM.
  [[nodiscard]] bool hasRelay() const {
    return !m_Settings.m_RelayAddress.empty() && m_Fleet.hasRelay(steadyNow());
  }
};

} // namespace mustardspoke::steer
