/// \file
/// The entry VMs known to this one, and the answers to look-ups.
#pragma once

#include "steer/choice.h"
#include "steer/upstream_links.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mustardspoke::steer {

/// \brief State that an entry VM publishes about itself.
struct EntryVm {
  VmName m_Vm;
  Incarnation m_Incarnation = 0;
  RegionName m_Region;
  FailureDomainName m_Domain;
  std::string m_CallerAddress; ///< Returned by look-ups.
  std::string m_PeerAddress;   ///< Of the inner protocol.
  bool m_Ready = false;        ///< Accepts callers.
  bool m_Leaving = false;
  bool m_FollowsStore = false; ///< Reads the shared store itself, and can.
  double m_Capacity = 1;       ///< Relative capacity for callers.
  Duration m_TimerLag{}; ///< Mean delay of its timers; grows with its load.
  /// Condition of its own links to the upstreams.
  LinkState m_Links = LinkState::Up;
  bool m_DoubtsLinks = false; ///< It is trying to find out.
  /// Time since it was last in contact with any upstream; none if it never was.
  std::optional<Duration> m_ContactAge;
};

/// \brief An attempt that a peer is to carry to an upstream.
struct RelayNeed {
  std::uint64_t m_UpstreamHash = 0;
  RegionName m_UpstreamRegion;
  Residency m_Residency; ///< Of the request.
};

struct FleetTuning {
  /// A VM not heard from for this long is left out of look-ups; three lost
  /// heartbeats at their lowest rate.
  Duration m_PeerTimeout = 3s;
  /// The same in a large fleet, where most VMs are heard of through others,
  /// whose information is up to a second older.
  Duration m_LargeFleetPeerTimeout = 4s;
  /// VMs of a region that read the store (its readers) and update the others.
  unsigned m_ReadersPerRegion = 2;
  /// A reader not heard from for this long is replaced. In the strictest
  /// deployment a change must take effect within 2 s; a full read by the
  /// replacement takes a fraction of a second.
  Duration m_ReaderTimeout = 1s;
  /// The same in a large fleet, where reader ages arrive through several VMs.
  /// The strictest deployment of that size allows 4 s for a change, of which
  /// the replacement's read and the relay of rows take about one.
  Duration m_LargeFleetReaderTimeout = 2500ms;
  /// VMs of a large fleet that may replace a reader at the same moment, by
  /// rank; each further group of this size waits longer, in case the VMs before
  /// it have failed as well.
  unsigned m_TakeoverGroupSize = 4;
  Duration m_TakeoverGroupDelay = 500ms;
  Duration m_MaxTakeoverDelay = 2s;
  std::size_t m_MaxLookupAddresses = 12;
  /// VMs of other regions are added up to this number, unless the single VM of
  /// the caller's region has time and links.
  std::size_t m_MinLookupAddresses = 2;
  /// Until then, a VM answers look-ups only for regions that it knows. In plays
  /// with 77 VMs, those that named other regions had started less than 1 s
  /// before.
  Duration m_ListeningTime = 1500ms;
  /// It knows a region before, once it has heard from this fraction of the
  /// region's VMs.
  double m_MinHeardFraction = 0.5;
  /// VMs below this fraction of the capacity of the region's largest VM are
  /// returned only when the larger ones are busy: with fewer VMs, each reuses
  /// more connections and knows more about each upstream.
  double m_SmallVmFraction = 0.5;
  Duration m_BusyTimerLag = 25ms; ///< A VM with a larger lag is busy.
  /// A VM without own links is returned by look-ups if fewer than this fraction
  /// of the region's VMs have theirs.
  double m_MinLinkedFraction = 0.5;
  /// A peer relays attempts if it was in contact with an upstream within this
  /// time. In a large fleet a given peer is heard every few seconds.
  Duration m_RelayContactAge = 1500ms;
  Duration m_LargeFleetRelayContactAge = 5s;
  /// After a failure to relay, a peer gets no attempts for this long.
  Duration m_RelayPause = 2s;
  /// Up to this many peers, each heartbeat is sent to all of the own region.
  std::size_t m_SmallFleetMaxPeers = 16;
  /// In a small fleet, peers of other regions get every n-th heartbeat: their
  /// upstreams receive only what overflows.
  unsigned m_RemoteHeartbeatInterval = 3;
  // In larger fleets a heartbeat is sent to a few random peers and tells when
  // other VMs were last heard from. At 420 VMs, sending and receiving four
  // datagrams of 500 bytes each 250 ms is 16 KB/s, the limit for a VM's control
  // traffic.
  Duration m_LargeFleetHeartbeatInterval = 250ms;
  /// Recipients in the own region, in a fleet of up to m_FullRateFleetSize
  /// VMs; fewer in a larger one, in inverse proportion. If loads took longer
  /// than a second to spread, small regions would be overloaded.
  std::size_t m_MaxLocalPeersPerHeartbeat = 8;
  std::size_t m_FullRateFleetSize = 100;
  std::size_t m_MinLocalPeersPerHeartbeat = 3;
  std::size_t m_RemotePeersPerHeartbeat = 1;
  std::size_t m_MaxAgesPerHeartbeat = 32; ///< VMs that one heartbeat reports.
  /// A peer that has reported loads within this time carries traffic. VMs of a
  /// region that carry traffic hear each other first, as the others put no load
  /// on upstreams.
  Duration m_CarrierTimeout = 20s;
  /// Additional recipients that have received no heartbeat of this incarnation
  /// yet; a fleet of 420 is contacted within 1.4 s.
  std::size_t m_FirstContactsPerHeartbeat = 60;
};

/// \brief Time since a VM was last heard from, as one peer reports to another.
struct PeerAge {
  static constexpr unsigned HashBits = 20;
  static constexpr unsigned IncarnationBits = 4;
  std::uint32_t m_VmHash = 0;         ///< Low bits of the hash of its name.
  std::uint32_t m_IncarnationLow = 0; ///< Low bits of its incarnation.
  Duration m_Age{};
};

/// \brief Key of an upstream in the loads that peers report: 24 bits of the
/// hash of its identifier. Two upstreams of a large deployment with the same
/// key count each other's requests.
[[nodiscard]] constexpr std::uint32_t loadKey(std::uint64_t IdHash) {
  return std::uint32_t(IdHash >> 40);
}

/// \brief Load that a peer causes at one upstream.
struct PeerLoad {
  std::uint32_t m_UpstreamKey = 0; ///< See loadKey().
  double m_ActiveRequests = 0;     ///< See Upstream::ownActiveRequests().
};

/// \brief Entry VMs that a look-up names, and what was known of the others.
struct LookupAnswer {
  std::vector<std::string> m_Addresses; ///< Of callers, best first.
  std::size_t m_RemoteCount = 0; ///< How many of them are of other regions.
  /// VMs of the caller's region that are alive and ready.
  std::size_t m_ReadyCount = 0;
  /// All VMs of the caller's region of which this VM has a row or heard.
  std::size_t m_KnownCount = 0;
  /// Too little is known of the caller's region yet, so that only another VM
  /// can answer; no VM is named.
  bool m_IsTooEarly = false;
  /// When the named VM that was silent longest was last heard from; zero if
  /// only this VM is named.
  Duration m_OldestAge{};
};

/// \brief Fleet membership by heartbeats; rows in the store serve discovery.
class Fleet {
public:
  Fleet(EntryVm Self, FleetTuning Tuning)
      : m_Self(std::move(Self)), m_Tuning(Tuning) {}
  // m_ByHash points into m_Peers, whose nodes survive a move but not a copy.
  Fleet(const Fleet &) = delete;
  Fleet &operator=(const Fleet &) = delete;
  Fleet(Fleet &&) = default;
  Fleet &operator=(Fleet &&) = default;
  ~Fleet() = default;

  EntryVm m_Self;

  /// \brief Adds a VM that the store or a peer named; it counts as alive only
  /// after its first heartbeat.
  void addPeer(const EntryVm &Vm);
  /// \brief Removes a VM whose row is gone from the store.
  void removePeer(const VmName &Vm);
  /// \brief Processes a VM's own heartbeat.
  /// \returns Whether something is new: the incarnation, the state, or that the
  /// VM is alive again.
  bool receivedHeartbeat(const EntryVm &Vm, TimePoint Now);
  /// \brief Processes a peer's report of when a VM was last heard from,
  /// directly or through others. Only extends the life of an incarnation whose
  /// own heartbeat was received before.
  void receivedAge(const PeerAge &Report, TimePoint Now);
  /// \brief Ages to report to peers, for some live VMs of the own region.
  /// For other regions the few direct heartbeats suffice, as their VMs only
  /// substitute for a region without VMs.
  [[nodiscard]] std::vector<PeerAge> agesToSend(TimePoint Now,
                                                unsigned Round) const;
  /// \brief Whether each heartbeat is sent to every peer.
  [[nodiscard]] bool isSmall() const noexcept {
    return m_Peers.size() <= m_Tuning.m_SmallFleetMaxPeers;
  }
  /// \brief A VM that receives the next heartbeat.
  struct Recipient {
    EntryVm m_State;
    /// No heartbeat was sent to this incarnation before.
    bool m_FirstContact = false;
  };
  /// \brief The recipients of heartbeat number \p Round; each new incarnation
  /// of a peer receives one soon.
  /// \param Carries Whether this VM carries traffic.
  [[nodiscard]] std::vector<Recipient>
  nextRecipients(unsigned Round, TimePoint Now, bool Carries);
  /// \brief A known peer by the hash of its name.
  /// \returns Null if no such VM is known in that incarnation.
  [[nodiscard]] const EntryVm *findPeer(std::uint64_t NameHash,
                                        Incarnation Expected) const;

  /// \brief Replaces the loads last reported by \p Vm.
  void setPeerLoads(const VmName &Vm, std::vector<PeerLoad> Loads,
                    TimePoint Now);

  /// \brief Sum of the peers' active requests by loadKey() of the upstream,
  /// without outdated reports. If only some VMs of the own region have
  /// reported, their sum is extrapolated to the whole region.
  [[nodiscard]] std::map<std::uint32_t, double>
  peerActiveRequests(TimePoint Now) const;

  /// \brief Calls \p Visit with the state of each known VM except this one,
  /// and with when it was last heard from, directly or through others.
  template <class Visitor> void forEachPeer(Visitor &&Visit) const {
    for (const auto &[Vm, Entry] : m_Peers)
      Visit(Entry.m_State, Entry.m_LastHeardAt);
  }
  /// \brief All known VMs except this one.
  [[nodiscard]] std::vector<EntryVm> peers() const;
  [[nodiscard]] bool isAlive(const VmName &Vm, TimePoint Now) const;
  /// \brief Number of known VMs, including this one.
  [[nodiscard]] unsigned knownCount() const noexcept {
    return unsigned(m_Peers.size()) + 1;
  }
  /// \brief Notes that this VM has only just begun to hear from its peers: the
  /// process has started, or stood still.
  void startListening(TimePoint Now) noexcept { m_ListensSince = Now; }
  /// \brief Records that the rows of all VMs have been read, here or by a peer
  /// that relayed them.
  void setComplete() noexcept { m_IsComplete = true; }
  [[nodiscard]] bool isComplete() const noexcept { return m_IsComplete; }
  /// \brief Fraction of a fleet-wide limit that this VM may use: an equal part
  /// for each known VM, as one that isn't heard from may still serve requests;
  /// none until the fleet is complete.
  [[nodiscard]] double limitFraction() const noexcept {
    return m_IsComplete ? 1.0 / knownCount() : 0;
  }
  /// \brief This VM's part of a rate that an upstream tolerates from all VMs
  /// together: an equal part if it is one of the few that may send there, else
  /// 0. These are VMs of the upstream's region, as most of its requests come
  /// from there; only while none of them is alive, VMs of any region. The parts
  /// add up to 1 on VMs that know the same VMs, whether or not these are alive.
  /// 0 until the fleet is complete: each VM would count itself among the few.
  [[nodiscard]] double senderFraction(std::uint64_t UpstreamHash,
                                      const RegionName &Region,
                                      unsigned MaxSenders, TimePoint Now) const;

  /// \brief Number of live VMs that come before this one in an order that
  /// depends on \p Hash and is the same on all VMs.
  /// \param CarriersOnly Whether only VMs that carry traffic are counted.
  [[nodiscard]] unsigned turnOf(std::uint64_t Hash, TimePoint Now,
                                bool CarriersOnly) const;

  /// \brief Whether this VM must read the store itself, because too few other
  /// VMs of its region do.
  /// \param Follows Whether it does now. In a large fleet, a reader stays one
  /// until enough VMs with a higher rank read the store.
  [[nodiscard]] bool mustFollowStore(TimePoint Now, bool Follows) const;
  /// \brief Whether no other known reader of the region has a higher rank. The
  /// first reader verifies its feeds by frequent full reads; the others follow
  /// only their feeds.
  [[nodiscard]] bool isFirstReader(TimePoint Now) const;
  /// \brief Processes a report, by a VM of the own region, of when a VM of
  /// that region was last known to read the store.
  void receivedReaderAge(const PeerAge &Report, TimePoint Now);
  /// \brief Ages of the known readers of the own region, for heartbeats to its
  /// VMs.
  [[nodiscard]] std::vector<PeerAge> readerAgesToSend(TimePoint Now) const;
  /// \brief Time since a reader of the own region is known to have reached the
  /// store; nothing if none is known.
  [[nodiscard]] std::optional<Duration> readerAge(TimePoint Now) const;
  /// \brief Whether \p Vm is a live VM of the own region that reads the store.
  [[nodiscard]] bool isStoreReader(const VmName &Vm, TimePoint Now) const;

  /// \brief The peer that carries an attempt to an upstream for this VM.
  ///
  /// \details Peers that can open connections come first; of these, peers of
  /// the own region and of the upstream's, as any other region lengthens the
  /// way; of these, peers with time before busy ones. Among equals, the
  /// attempts to one upstream go to one peer, so that it needs few connections;
  /// different VMs and upstreams select different peers, in proportion to their
  /// capacities.
  ///
  /// \returns Null if no peer can.
  [[nodiscard]] const EntryVm *selectRelay(const RelayNeed &Need,
                                           TimePoint Now) const;
  /// \brief Whether any peer can carry attempts, whatever the upstream.
  [[nodiscard]] bool hasRelay(TimePoint Now) const;
  /// \brief Notes that \p Vm has failed to carry an attempt.
  void recordRelayFailure(const VmName &Vm, TimePoint Now);
  void recordRelayAnswer(const VmName &Vm, TimePoint Now);
  [[nodiscard]] bool hasRelayAnsweredSince(const VmName &Vm,
                                           TimePoint Since) const;
  /// \brief Whether a peer that is heard from doubts its links.
  [[nodiscard]] bool anyPeerDoubtsLinks(TimePoint Now) const;

  /// \brief The VMs for a caller at \p Caller: those of its region. VMs of
  /// other regions are named only if this region is known to have none that
  /// are ready, or a single one that is busy or has lost its links.
  [[nodiscard]] LookupAnswer answerLookup(const Placement &Caller,
                                          TimePoint Now) const;

private:
  /// \brief Whether VMs of \p Region that haven't been heard from may be taken
  /// for dead.
  [[nodiscard]] bool knowsRegion(const RegionName &Region, TimePoint Now) const;
  /// \brief A VM that a look-up may name.
  struct LookupCandidate {
    const EntryVm *m_Vm = nullptr;
    Duration m_Age{}; ///< Since it was last heard from; zero for this VM.
  };
  void dropSmallVms(std::vector<LookupCandidate> &Vms) const;
  void dropUnlinkedVms(std::vector<LookupCandidate> &Vms) const;

  struct Peer {
    EntryVm m_State;
    std::optional<TimePoint> m_LastHeardAt;
    std::vector<PeerLoad> m_Loads;
    TimePoint m_LoadsReceivedAt{};
    std::optional<TimePoint> m_CarriedAt; ///< Last report of any load.
    /// A heartbeat was sent to its current incarnation.
    bool m_Contacted = false;
    /// Last contact with an upstream that it has reported.
    std::optional<TimePoint> m_ContactAt;
    TimePoint m_NoRelayUntil{};  ///< See recordRelayFailure().
    TimePoint m_RelayAnswerAt{}; ///< Last answer to an attempt that it carried.
  };
  [[nodiscard]] bool mayRelay(const Peer &Entry, TimePoint Now) const;
  [[nodiscard]] bool isLive(const Peer &Entry, TimePoint Now) const;
  /// \brief Evenly distributed pseudo-random number that depends on this VM's
  /// name and \p Number.
  [[nodiscard]] std::uint64_t pseudoRandom(std::uint64_t Number) const;
  [[nodiscard]] static PeerAge ageOf(const Peer &Entry, TimePoint Now);
  [[nodiscard]] Duration readerTimeout() const noexcept {
    return isSmall() ? m_Tuning.m_ReaderTimeout
                     : m_Tuning.m_LargeFleetReaderTimeout;
  }
  /// \brief Additional time after which this VM replaces a missing reader.
  [[nodiscard]] Duration takeoverDelay(TimePoint Now) const;

  /// \brief A VM of the own region that reads the store.
  struct StoreReader {
    std::uint32_t m_IncarnationLow = 0;
    /// Newest time at which it is known to have reached the store.
    TimePoint m_ReachedStoreAt{};
  };

  FleetTuning m_Tuning;
  std::map<VmName, Peer> m_Peers; ///< Never contains this VM.
  bool m_IsComplete = false;      ///< See setComplete(); never reset.
  TimePoint m_ListensSince{};     ///< See startListening().
  /// Points into m_Peers, whose nodes don't move; by PeerAge::m_VmHash.
  std::map<std::uint32_t, Peer *> m_ByHash;
  /// By PeerAge::m_VmHash; never contains this VM. Knowledge of a reader needs
  /// no heartbeat from it: its age travels with the heartbeats of other VMs.
  std::map<std::uint32_t, StoreReader> m_StoreReaders;
};

} // namespace mustardspoke::steer
