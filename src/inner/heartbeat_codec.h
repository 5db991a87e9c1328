/// \file
/// Encoding of heartbeats and relayed store rows between entry VMs.
#pragma once

#include "steer/crash_suspects.h"
#include "steer/customer_quota.h"
#include "steer/fleet.h"
#include "steer/store_row.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace mustardspoke::steer {

/// \brief How the sender's region serves the keys of one service.
struct ServiceShare {
  std::uint64_t m_ServiceHash = 0;
  double m_LocalShare = 1;  ///< Fraction of the keys served in the region.
  double m_Utilization = 0; ///< Fraction of the region's slots in use.
  /// Fraction of the service's requests that the sender refuses for lack of
  /// room, the least urgent first. In entries of their own, whose m_ServiceHash
  /// is AdmissionControls::messageKey(), for VMs of the own region.
  double m_RefusedFraction = 0;
};

/// \brief What a VM knows of the rate limit of an upstream.
struct PeerLimit {
  UpstreamRunKey m_Run = 0;
  std::optional<double> m_Rate; ///< As in StatedLimit.
  Duration m_Age{}; ///< Since the request was sent whose answer stated it.
};

/// \brief State that an entry VM sends to its peers several times a second.
struct Heartbeat {
  /// A brief heartbeat omits its names and addresses.
  EntryVm m_Sender;
  /// Set in a brief heartbeat: hash of the sender's name.
  std::optional<std::uint64_t> m_BriefSenderHash;
  std::uint64_t m_ConfigVersion = 0; ///< Configuration in force at the sender.
  std::vector<PeerLoad> m_UpstreamLoads;
  std::vector<ServiceShare> m_ServiceShares;
  /// Peer addresses of other VMs that the sender knows.
  std::vector<std::string> m_KnownPeerAddresses;
  /// Time since the last heartbeat of some other VMs.
  std::vector<PeerAge> m_PeerAges;
  /// Time since VMs of the sender's region reached the store.
  std::vector<PeerAge> m_ReaderAges;
  /// For each table: the version up to which the sender knows every row.
  std::vector<std::uint64_t> m_SyncedVersions;
  /// Upstreams that lately announced their end, to the sender or a peer.
  std::vector<UpstreamRunKey> m_AnnouncedRuns;
  /// Upstreams whose registrations the sender lately removed.
  std::vector<UpstreamRunKey> m_RemovedRuns;
  std::vector<PeerLimit> m_Limits;
  std::vector<CrashReport> m_Crashes;
  /// Of customers near their quotas: of the sender, for VMs of its region; of
  /// its region, for VMs of others.
  std::vector<CustomerLoad> m_CustomerLoads;
};

[[nodiscard]] std::string encodeHeartbeat(const Heartbeat &Message);
/// \returns Nothing if \p Bytes are not a valid heartbeat.
[[nodiscard]] std::optional<Heartbeat> decodeHeartbeat(std::string_view Bytes);

/// \param AfterVersions For each table: the version after which changed rows
/// are requested; empty requests all rows.
[[nodiscard]] std::string
encodeRowsRequest(std::span<const std::uint64_t> AfterVersions);
/// \returns The versions, or nothing if \p Bytes are not a valid request.
[[nodiscard]] std::optional<std::vector<std::uint64_t>>
decodeRowsRequest(std::string_view Bytes);
[[nodiscard]] std::string encodeRows(const RelayedRows &Relayed);
/// \returns Nothing if \p Bytes are not valid relayed rows.
[[nodiscard]] std::optional<RelayedRows> decodeRows(std::string_view Bytes);

} // namespace mustardspoke::steer
