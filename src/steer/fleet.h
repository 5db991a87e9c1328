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
  DomainName m_Domain;
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
  /// VMs of a region that follow the store and tell the others.
  unsigned m_Readers = 2;
  /// A reader not heard for this long is replaced. A change must be in force
  /// within 2 s at the strictest site; reading anew takes a fraction of one.
  Duration m_ReaderSilentAfter = 1s;
  std::size_t m_MostNamed = 12; ///< Entry VMs in one look-up answer.
  std::size_t m_LeastNamed = 2; ///< Other regions fill up to this.
  /// Smaller VMs than this part of the largest near one are named only when
  /// the larger ones are busy: fewer VMs reuse more connections and know more
  /// of each upstream.
  double m_SmallPart = 0.5;
  Duration m_BusyLag = 25ms; ///< A VM whose timers are later is busy.
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

  EntryVm m_Self;

  /// \brief A VM named by the store or by a peer; not yet heard.
  void meet(const EntryVm &One);
  /// \brief A VM's row is gone from the store.
  void part(const VmName &Vm);
  /// \brief A VM spoke for itself.
  /// \returns Whether it is news: a new run, or it was silent, or its state
  /// changed.
  bool heard(const EntryVm &One, TimePoint Now);
  /// \brief The load that \p Vm reports; replaces its last report.
  void loads(const VmName &Vm, std::vector<PeerLoad> Of, TimePoint Now);

  /// \brief Sum of the peers' requests at upstreams, by hash; silent
  /// peers count nothing.
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
  };
  [[nodiscard]] bool live(const Peer &One, TimePoint Now) const;

  FleetTuning m_Tuning;
  std::map<VmName, Peer> m_Peers; ///< Never holds this VM.
};

} // namespace mustardspoke::steer
