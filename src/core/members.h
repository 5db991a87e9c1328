/// \file
/// Gossip membership: which entry VMs are alive, and the state of each.
#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "core/upstreams.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace mustardspoke {

enum class MemberState : std::uint8_t { Starting, Live, Leaving, Left };

/// \brief State of one entry VM, as it announces it in its heartbeats.
struct MemberInfo {
  VmIncarnation m_Identity;
  std::uint64_t m_TicketClock = 0;    ///< The VM's TicketTable::clock().
  std::uint64_t m_HeartbeatCount = 0; ///< Incremented with every heartbeat.
  MemberState m_State = MemberState::Starting;
  std::string m_CallerAddress; ///< "IP:port" for callers.
  std::string m_PeerAddress;   ///< "IP:port" for the inner protocol.
  RegionName m_Region;
  FailureDomainName m_FailureDomain;
  std::uint64_t m_BundleVersion = 0;
  /// Usable slots in the home region for each service, in the order of the
  /// services in bundle m_BundleVersion.
  std::vector<std::uint32_t> m_ServiceSlots;
  /// Upstreams that reported directly to this VM that they drain.
  std::vector<UpstreamName> m_DrainingUpstreams;
  /// Owner of the tickets once the state is Left.
  VmIncarnation m_TicketSuccessor;
};

/// \brief Request of a gossip exchange.
struct GossipPush {
  std::vector<MemberInfo> m_Members; ///< The sender's own entry is first.
};

/// \brief Reply of a gossip exchange.
struct GossipReply {
  std::vector<MemberInfo> m_Members;
  std::uint64_t m_BundleVersion = 0;
  /// Time since the replying VM confirmed that this version is the newest.
  std::optional<Duration> m_ConfirmationAge;
};

/// \brief An entry of the platform's VM list, which may be out of date.
struct ListedVm {
  VmName m_Vm;
  std::string m_PeerAddress;
  bool m_Leaving = false;
};

/// \brief A VM among which limits are divided.
struct Participant {
  VmName m_Vm;
  RegionName m_Region;
};

/// \brief Parameters of the gossip protocol.
struct GossipTuning {
  std::size_t m_Fanout = 3;      ///< Peers per heartbeat.
  std::size_t m_MaxEntries = 48; ///< Members per message.
  Duration m_SuspectAfter = 3s;  ///< Silence after which a VM isn't alive.
  Duration m_ForgetAfter = 600s; ///< Silence after which a VM isn't counted.
};

/// \brief This VM's view of the fleet.
///
/// Invariant: of two entries for one VM, the one with the greater incarnation,
/// then the greater heartbeat count, wins; older entries never replace newer.
class MemberTable {
public:
  struct KnownMember {
    MemberInfo m_Info;
    TimePoint m_LastHeartbeatAt{};     ///< When a newer entry last arrived.
    std::uint64_t m_VerifiedCount = 0; ///< Highest count in a reply.
    TimePoint m_VerifiedAt{}; ///< Send time of the exchange that verified it.
  };

  MemberTable(MemberInfo Self, GossipTuning Tuning)
      : m_Self(std::move(Self)), m_Tuning(Tuning) {}

  [[nodiscard]] MemberInfo &self() noexcept { return m_Self; }
  [[nodiscard]] const MemberInfo &self() const noexcept { return m_Self; }
  [[nodiscard]] const std::map<VmName, KnownMember> &others() const noexcept {
    return m_KnownMembers;
  }

  /// \brief Entries for an exchange: own first, then most recently updated.
  [[nodiscard]] std::vector<MemberInfo> mostRecent(Random &Rng) const;

  /// \brief Merges the entries that a peer sent.
  void merge(std::span<const MemberInfo> Infos, TimePoint Now);

  /// \brief Records which members a reply shows to be alive.
  /// \param SentAt When the request of the exchange was sent.
  /// \details Only replies verify that a member was alive recently: a push may
  /// have waited in a socket buffer while this process was paused.
  void verifyLiveness(std::span<const MemberInfo> Infos, TimePoint SentAt);

  /// \brief Applies the platform's VM list.
  void applyVmList(std::span<const ListedVm> List, TimePoint Now);

  /// \brief Addresses of the peers to gossip with in this heartbeat.
  [[nodiscard]] std::vector<std::string> pickPeers(TimePoint Now, Random &Rng);

  [[nodiscard]] bool isAlive(const VmName &Vm, TimePoint Now) const;
  [[nodiscard]] const MemberInfo *find(const VmName &Vm) const;

  /// \brief Number of alive VMs, this one included.
  [[nodiscard]] std::size_t aliveCount(TimePoint Now) const;

  /// \brief Number of known VMs that aren't known to have ended.
  [[nodiscard]] std::size_t knownCount(TimePoint Now) const;

  /// \brief Whether more than half of the known VMs were verified recently.
  [[nodiscard]] bool seesMajority(TimePoint Now) const;

  /// \brief When \p Vm was first found missing from the list that named it.
  /// \details The list may be outdated, but drops a VM only after it has ended.
  [[nodiscard]] std::optional<TimePoint> unlistedSince(const VmName &Vm) const;

  /// \brief Whether the platform's list marks \p Vm as leaving.
  [[nodiscard]] bool isListedLeaving(const VmName &Vm) const;

  /// \brief The incarnation that now owns the tickets issued for \p Owner.
  /// \details Follows handovers; \p Owner itself if there was none.
  [[nodiscard]] VmIncarnation ticketOwner(VmIncarnation Owner) const;

  /// \brief The VMs among which limits are divided, sorted by name.
  [[nodiscard]] std::vector<Participant> participants(TimePoint Now) const;

private:
  MemberInfo m_Self;
  GossipTuning m_Tuning;
  std::map<VmName, KnownMember> m_KnownMembers;
  std::map<VmName, ListedVm> m_ListedVms;
  std::map<VmIncarnation, VmIncarnation> m_Successors;
  std::map<VmName, TimePoint> m_UnlistedSince;
};

} // namespace mustardspoke
