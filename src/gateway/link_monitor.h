/// \file
/// Probes of upstreams while this VM's own links are in doubt.
#pragma once

#include "gateway/state.h"
#include "gateway/upstream_pool.h"

namespace mustardspoke::steer {

/// \brief Opens a connection to \p Target and watches whether it stays open.
/// The result goes to the state's OwnLinks; a connection that stays open goes
/// to \p Pool. \returns Whether it was opened and stays open.
awaitable<bool> probeUpstream(GatewayState &State, UpstreamPool &Pool,
                              UpstreamPtr Target);

/// \brief Whether another upstream than \p Target is reachable after \p Since,
/// by what comes in or by a probe.
awaitable<bool> otherUpstreamIsReachable(GatewayState &State,
                                         UpstreamPool &Pool, UpstreamPtr Target,
                                         TimePoint Since);

/// \brief Opens a connection to the relay port of \p Peer, and records whether
/// the peer was reached.
/// \returns Null if it wasn't; \p Error says why.
awaitable<UpstreamConnectionPtr>
openPeerConnection(GatewayState &State, UpstreamPool &Pool, const EntryVm &Peer,
                   Duration Timeout, NetError &Error);

/// \brief Probes while the links are in doubt or lost, and when a peer asks.
class LinkMonitor {
public:
  LinkMonitor(GatewayState &State, UpstreamPool &Pool)
      : m_State(State), m_Pool(Pool) {}

  void start();

private:
  awaitable<void> run();
  /// \brief Probes one upstream and, if it doesn't answer soon, several at
  /// once.
  awaitable<void> probeRound();
  void startProbe(const UpstreamPtr &Target);
  awaitable<void> runProbe(UpstreamPtr Target);
  /// \brief Connects to a peer that could relay, if there is one.
  awaitable<void> probePeer();
  /// \brief Waits until the probes have ended or there is contact.
  awaitable<void> waitForProbes(TimePoint Began, Duration MaxTime);
  [[nodiscard]] bool peerAsks() const;

  GatewayState &m_State;
  UpstreamPool &m_Pool;
  unsigned m_RunningProbes = 0;
  std::uint64_t m_Round = 0;
};

} // namespace mustardspoke::steer
