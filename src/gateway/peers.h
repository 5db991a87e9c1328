/// \file
/// Beats between entry VMs, and rows for one that can't read the store.
#pragma once

#include "gateway/belief.h"

#include <map>

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
  awaitable<void> answerQuestion(std::shared_ptr<Tcp::socket> Peer);
  awaitable<void> fetchRows(std::string Address,
                            std::vector<std::uint64_t> After);
  void received(const Heartbeat &From);
  /// \brief Fetches rows from \p From if it has newer ones and reads the
  /// store while this VM does not.
  void follow(const Heartbeat &From);
  void send(const std::string &Bytes, const std::string &To);
  /// \param For Peers of this region get it; loads of its upstreams only, if
  /// it is another region.
  [[nodiscard]] Heartbeat ownBeat(const RegionName &For) const;
  [[nodiscard]] std::map<RegionName, std::string>
  encodedBeats(std::span<const EntryVm> To) const;
  [[nodiscard]] Duration period() const;

  GatewayState &m_State;
  Belief &m_Beliefs;
  Udp::socket m_Socket;
  Tcp::acceptor m_Acceptor;
  unsigned m_Round = 0;
  bool m_Fetching = false; ///< At most one fetch of rows at a time.
  TimePoint m_FetchedAt{};
};

} // namespace mustardspoke::steer
