/// \file
/// The thread that exchanges heartbeats with other entry VMs, advances the
/// core's timers, polls upstreams and hands over tickets.
#pragma once

#include "entry/shared_node.h"

#include <kj/async.h>

#include <future>
#include <memory>
#include <thread>

namespace mustardspoke {

/// \brief Communicates with the other entry VMs and polls upstreams' load
/// reports.
class PeerLoop {
public:
  /// \brief Starts the thread; throws if the peer address can't be bound.
  explicit PeerLoop(SharedNode &Core);
  ~PeerLoop();
  PeerLoop(const PeerLoop &) = delete;
  PeerLoop &operator=(const PeerLoop &) = delete;

  /// \brief Exchanges heartbeats immediately; blocks until every exchange has
  /// finished or timed out.
  void exchangeHeartbeatsNow();

  /// \brief Hands this VM's tickets over to a successor; blocks.
  /// \returns Whether the successor confirmed them, or there is no other VM.
  bool handOverTickets();

private:
  struct Impl;

  void run(std::promise<void> &Started);

  SharedNode &m_Core;
  std::unique_ptr<Impl> m_Impl;
  std::thread m_Thread;
};

} // namespace mustardspoke
