/// \file
/// The other entry VMs as this one knows them, and answers to look-ups.
#pragma once

#include "steer/choice.h"

#include <map>
#include <string>
#include <vector>

namespace mustardspoke::steer {

/// \brief What an entry VM says of itself.
struct EntryVm {
  VmName m_Vm;
  Incarnation m_Incarnation = 0;
  RegionName m_Region;
  FailureDomainName m_Domain;
  std::string m_CallerAddress; ///< Named in answers to look-ups.
  std::string m_PeerAddress;   ///< Inner protocol.
  bool m_Ready = false;        ///< Takes callers.
  bool m_Leaving = false;
  bool m_Reading = false; ///< Follows the shared store itself, and reaches it.
  double m_Capacity = 1;  ///< Relative share of callers that it can carry.
  Duration m_Lag{};       ///< Mean lateness of its timers; grows with its work.
};

struct FleetTuning {
  /// A VM not heard for this long is no longer named; three lost datagrams at
  /// the slowest rate of the exchange.
  Duration m_SilentAfter = 3s;
  /// The same in a large fleet, where a VM is mostly heard of from others;
  /// what they tell is up to a second older.
  Duration m_CrowdSilentAfter = 4s;
  /// VMs of a region that follow the store and tell the others.
  unsigned m_Readers = 2;
  /// A reader not heard for this long is replaced. A change must be in force
  /// within 2 s at the strictest deployment; reading anew takes a fraction of
  /// one.
  Duration m_ReaderSilentAfter = 1s;
  std::size_t m_MostNamed = 12; ///< Entry VMs in one look-up answer.
  std::size_t m_LeastNamed = 2; ///< Other regions fill up to this.
  /// Smaller VMs than this part of the largest near one are named only when
  /// the larger ones are busy: fewer VMs reuse more connections and know more
  /// of each upstream.
  double m_SmallPart = 0.5;
  Duration m_BusyLag = 25ms; ///< A VM whose timers are later is busy.
  /// Up to so many peers, each beat goes to all of them.
  std::size_t m_SmallFleet = 16;
  // Above, a beat goes to a few by chance, and carries how long ago others were
  // heard. At 420 VMs, four datagrams of 500 bytes in 250 ms and as many
  // received are 16 KB/s, what a VM may spend on control.
  Duration m_CrowdBeat = 250ms; ///< Between two beats.
  /// Of the own region, in a fleet of m_NearFull; fewer in a larger one, in
  /// proportion. Loads known later than within a second fill small regions.
  std::size_t m_NearPerBeat = 8;
  std::size_t m_NearFull = 100;
  std::size_t m_NearLeast = 3;
  std::size_t m_FarPerBeat = 1;
  std::size_t m_MostAges = 32; ///< Other VMs that one beat tells of.
  /// Peers that have not been told of this run yet and get the next beat
  /// besides; a whole fleet of 420 is met within 1.4 s.
  std::size_t m_FirstPerBeat = 60;
};

/// \brief How long ago a VM was heard, as one peer tells another.
struct PeerAge {
  static constexpr unsigned HashBits = 20;
  static constexpr unsigned RunBits = 4;
  std::uint32_t m_VmHash = 0; ///< Low bits of the name's hash.
  std::uint32_t m_Run = 0;    ///< Low bits of the incarnation.
  Duration m_Age{};
};

/// \brief Load that a peer has put on one upstream.
struct PeerLoad {
  std::uint64_t m_UpstreamHash = 0;
  double m_Busy = 0; ///< Requests that it has at the upstream.
};

/// \brief Membership by datagrams, with rows in the store for meeting.
class Fleet {
public:
  Fleet(EntryVm Self, FleetTuning Tuning)
      : m_Self(std::move(Self)), m_Tuning(Tuning) {}
  // m_ByHash points into m_Peers; a move keeps its nodes, a copy would not.
  Fleet(const Fleet &) = delete;
  Fleet &operator=(const Fleet &) = delete;
  Fleet(Fleet &&) = default;
  Fleet &operator=(Fleet &&) = default;
  ~Fleet() = default;

  EntryVm m_Self;

  /// \brief A VM named by the store or by a peer; not yet heard.
  void meet(const EntryVm &One);
  /// \brief A VM's row is gone from the store.
  void part(const VmName &Vm);
  /// \brief A VM spoke for itself.
  /// \returns Whether it is news: a new run, or it was silent, or its state
  /// changed.
  bool heard(const EntryVm &One, TimePoint Now);
  /// \brief A peer tells how long ago it heard, itself or from others, of a
  /// VM. Only extends the life of a run that has spoken for itself before.
  void heardOf(const PeerAge &One, TimePoint Now);
  /// \brief What to tell of others of the region: some of those that live.
  /// Of other regions the few that were heard lately are enough, as they
  /// only stand in for a region without VMs.
  [[nodiscard]] std::vector<PeerAge> ages(TimePoint Now, unsigned Round) const;
  /// \brief Every beat goes to every peer.
  [[nodiscard]] bool small() const noexcept {
    return m_Peers.size() <= m_Tuning.m_SmallFleet;
  }
  /// \brief The peers that beat number \p Round goes to; each new run of a
  /// peer gets one soon.
  [[nodiscard]] std::vector<EntryVm> audience(unsigned Round);

  /// \brief The load that \p Vm reports; replaces its last report.
  void loads(const VmName &Vm, std::vector<PeerLoad> Of, TimePoint Now);

  /// \brief Sum of the peers' requests at upstreams, by hash; silent
  /// peers count nothing. Of a region whose VMs were heard only in part, the
  /// sum is raised to the whole.
  [[nodiscard]] std::map<std::uint64_t, double> peersBusy(TimePoint Now) const;

  /// \brief Other VMs that a message may be sent to.
  [[nodiscard]] std::vector<EntryVm> peers() const;
  [[nodiscard]] bool alive(const VmName &Vm, TimePoint Now) const;
  /// \brief VMs known at all, this one included; the divisor of shares, as a
  /// silent VM may still be serving.
  [[nodiscard]] unsigned knownCount() const noexcept {
    return unsigned(m_Peers.size()) + 1;
  }
  /// \brief Whether this VM is among the \p Senders that may send to a cold
  /// upstream.
  [[nodiscard]] bool sendsCold(std::uint64_t UpstreamHash,
                               unsigned Senders) const;

  /// \brief Whether this VM must follow the store itself: fewer than the
  /// wanted number of VMs before it in its region do.
  [[nodiscard]] bool mustRead(TimePoint Now) const;
  /// \brief A VM of the region that follows the store and is alive.
  [[nodiscard]] bool isReader(const VmName &Vm, TimePoint Now) const;

  /// \brief Caller addresses for a caller at \p At, best first.
  [[nodiscard]] std::vector<std::string> named(const Placement &At,
                                               TimePoint Now) const;

private:
  void dropSmall(std::vector<const EntryVm *> &From) const;

  struct Peer {
    EntryVm m_Vm;
    std::optional<TimePoint> m_HeardAt;
    std::vector<PeerLoad> m_Loads;
    TimePoint m_LoadsAt{};
    bool m_Told = false; ///< Its present run has got a beat.
  };
  [[nodiscard]] bool live(const Peer &One, TimePoint Now) const;
  /// \brief A number that differs by VM and \p Number, evenly spread.
  [[nodiscard]] std::uint64_t draw(std::uint64_t Number) const;
  [[nodiscard]] static PeerAge ageOf(const Peer &One, TimePoint Now);

  FleetTuning m_Tuning;
  std::map<VmName, Peer> m_Peers; ///< Never holds this VM.
  /// Members of m_Peers, whose nodes don't move.
  std::map<std::uint32_t, Peer *> m_ByHash; ///< By PeerAge::m_VmHash.
};

} // namespace mustardspoke::steer
