/// \file
/// Beats between entry VMs, and rows for one that can't read the store.
#pragma once

#include "gateway/belief.h"

namespace mustardspoke::steer {

/// \brief Sends and receives beats by datagram; serves rows by stream.
class PeerLink {
public:
  PeerLink(GatewayState &State, Belief &Beliefs);

  /// \returns Why the address can't be used, if so.
  [[nodiscard]] NetError start();
  /// \brief Tells every peer at once, out of turn.
  void announce();

private:
  awaitable<void> receiveLoop();
  awaitable<void> beatLoop();
  awaitable<void> serveRows();
  awaitable<void> fetchRows(std::string Address);
  void received(const Beat &From);
  void send(const std::string &Bytes, const std::string &To);
  [[nodiscard]] Beat ownBeat() const;
  [[nodiscard]] Duration period() const;

  GatewayState &m_State;
  Belief &m_Beliefs;
  Udp::socket m_Socket;
  Tcp::acceptor m_Acceptor;
  unsigned m_Round = 0;
  bool m_Fetching = false; ///< At most one fetch of rows at a time.
};

} // namespace mustardspoke::steer
