/// \file
/// Client of the protocol between entry VMs.
#pragma once

#include "core/core.h"
#include "inner/inner.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/timer.h>

#include <string>

namespace mustardspoke {

/// \brief Sends requests to other entry VMs, each over its own connection.
///
/// \details Connections aren't reused: one whose peer has disconnected looks
/// usable until it is used, and using it terminates the process. The cost is
/// small, as a VM makes only a few requests per second, whatever the fleet
/// size.
class PeerClient {
public:
  PeerClient(kj::Network &Network, kj::Timer &Timer)
      : m_Network(Network), m_Timer(Timer) {}

  [[nodiscard]] kj::Promise<GossipReply> gossip(const std::string &PeerAddress,
                                                const GossipPush &Push);
  /// \returns The bundle document, or nothing if the peer's bundle is older
  /// than \p MinVersion.
  [[nodiscard]] kj::Promise<kj::Maybe<std::string>>
  bundle(const std::string &PeerAddress, std::uint64_t MinVersion);
  [[nodiscard]] kj::Promise<void> takeOver(const std::string &PeerAddress,
                                           const TicketHandover &Batch);

private:
  static constexpr kj::Duration RequestTimeout = 1 * kj::SECONDS;

  /// Connects to \p PeerAddress and calls \p SendRequest to send the request;
  /// both together have to finish within RequestTimeout.
  template <class T, class F>
  [[nodiscard]] kj::Promise<T> withConnection(const std::string &PeerAddress,
                                              F SendRequest);

  kj::Network &m_Network;
  kj::Timer &m_Timer;
};

} // namespace mustardspoke
