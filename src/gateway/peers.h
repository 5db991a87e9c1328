/// \file
/// Heartbeats between entry VMs, and relayed rows for VMs that don't read the
/// store.
#pragma once

#include "gateway/address_binder.h"
#include "gateway/admission_report.h"
#include "gateway/quota_report.h"
#include "gateway/share_report.h"
#include "gateway/store_replica.h"

#include <map>
#include <set>

namespace mustardspoke::steer {

/// \brief Sends and receives heartbeats over UDP and serves relayed rows over
/// TCP.
class PeerService {
public:
  PeerService(GatewayState &State, StoreReplica &Replica);

  /// \returns The error if the peer address can't be used.
  [[nodiscard]] NetError start(const AddressBinder &Binder);
  /// \brief Sends a heartbeat to every peer immediately, outside of the usual
  /// interval.
  void broadcastHeartbeat();

private:
  /// \brief Encodings of the current heartbeat, by region of the receivers.
  class HeartbeatCache {
  public:
    explicit HeartbeatCache(const PeerService &Owner) : m_Owner(Owner) {}
    [[nodiscard]] const std::string &bytesFor(const RegionName &Region,
                                              bool Brief);

  private:
    const PeerService &m_Owner;
    std::map<std::pair<RegionName, bool>, std::string> m_Bytes;
  };

  awaitable<void> receiveLoop();
  /// \brief Sends the heartbeats of one round. \returns The recipients.
  std::vector<Fleet::Recipient> sendHeartbeats();
  /// \brief Sends heartbeats before the next round is due; see
  /// GatewayState::m_OnNews.
  void sendNewsSoon();
  awaitable<void> sendNews();
  awaitable<void> heartbeatLoop();
  awaitable<void> serveRows();
  awaitable<void> serveRowsRequest(std::shared_ptr<Tcp::socket> Peer);
  awaitable<void> fetchRows(std::string Address,
                            std::vector<std::uint64_t> After);
  /// \brief Brings the quotas up to date for the heartbeats of a round.
  void refreshQuotas();
  void handleHeartbeat(const Heartbeat &Heartbeat);
  /// \brief Notes that the sender has a newer configuration than this VM.
  void noteReportedRoutes(const Heartbeat &Heartbeat);
  /// \brief Whether rows may be fetched from this peer: usually, one fetch runs
  /// at a time.
  [[nodiscard]] bool mayFetch(const std::string &Address, TimePoint Now) const;
  /// \brief Fetches rows from the sender if this VM lags behind it.
  void fetchRowsIfBehind(const Heartbeat &Heartbeat);
  void send(const std::string &Bytes, const std::string &Address);
  /// \param Region Region of the receivers. Another region gets the loads of
  /// its own upstreams only.
  [[nodiscard]] Heartbeat ownHeartbeat(const RegionName &Region) const;
  /// \brief Fills in what a brief heartbeat omits.
  /// \returns Whether the sender is known in this incarnation.
  [[nodiscard]] bool completeIdentity(Heartbeat &Brief) const;
  [[nodiscard]] Duration heartbeatInterval() const;

  GatewayState &m_State;
  StoreReplica &m_Replica;
  Udp::socket m_Socket;
  Tcp::acceptor m_Acceptor;
  unsigned m_Round = 0;
  bool m_NewsPending = false;           ///< sendNews() is about to run.
  std::set<std::string> m_FetchingFrom; ///< Addresses of peers.
  TimePoint m_LastFetchAt{};
  RowLag m_RowLag;
  ShareLog m_ShareLog;
  AdmissionLog m_AdmissionLog;
  QuotaLog m_QuotaLog;
};

} // namespace mustardspoke::steer
