/// \file
/// Many decision cores in one process, with fakes of all that surrounds them.
///
/// A run is determined by its seed. Invariants are judged by what the fake
/// upstreams and callers saw, never by a core's own word.
#pragma once

#include "core/core.h"
#include "support/event_queue.h"
#include "tables/memory_table.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace mustardspoke::test {

// How often a VM does what it does by itself.
inline constexpr Duration BeatEvery = 500ms;
inline constexpr Duration TickEvery = 10ms;
inline constexpr Duration StoreEvery = 20ms;
inline constexpr Duration PollEvery = 1s;

/// \brief How the fake store treats requests.
enum class StoreMode { Up, Down, Slow, LoseAnswers };

/// \brief Shape of the fleet and of its load.
struct FleetPlan {
  std::shared_ptr<const Bundle> m_Bundle;
  Tuning m_Tuning;
  Strategies m_Rules;
  std::size_t m_VmsPerDomain = 2;
  double m_Load = 0.8;     ///< Of the slots' capacity.
  Duration m_Length = 30s; ///< Load runs this long.
  std::uint64_t m_Seed = 1;
  Duration m_DomainDelay = 1500us; ///< One way, between failure domains.
  Duration m_RegionDelay = 50ms;
  Duration m_CallerDelay = 10ms;
  std::map<std::string, Duration> m_ServiceTime; ///< By service; mean.
  bool m_CallersRetry = true;
  bool m_HandOverRecords = true; ///< False is a control.
  /// Region whose callers make this part of the load; others share the rest.
  std::string m_HotRegion;
  double m_HotPart = 0;
};

/// \brief What the callers of one service were told and how fast.
struct ServiceTally {
  std::uint64_t m_Offered = 0;
  std::uint64_t m_Done = 0;
  std::uint64_t m_NotRun = 0;
  std::uint64_t m_Unknown = 0;
  std::vector<double> m_LatencyMs; ///< Of calls answered done.
};

/// \brief Violations of the brief's invariants, counted from outside.
struct Violations {
  std::uint64_t m_UpstreamOver = 0; ///< Starts beyond an upstream's slots.
  std::uint64_t m_RegionOver = 0;
  std::uint64_t m_ShiftOver = 0;
  std::uint64_t m_RanTwice = 0;    ///< Tickets that ran more than once.
  std::uint64_t m_FalseNotRun = 0; ///< Told not-run, but ran.
  std::uint64_t m_FalseDone = 0;   ///< Told done, but never ran.
  std::uint64_t m_CrossedAnswer = 0;
  std::uint64_t m_DrainLate = 0;  ///< Starts long after a drain began.
  std::uint64_t m_BundleLate = 0; ///< Starts under a superseded bundle.
  std::uint64_t m_BundleBack = 0; ///< A VM's version fell.
  std::uint64_t m_NamedDead = 0;  ///< Look-ups that named a dead VM late.

  [[nodiscard]] std::uint64_t total() const noexcept;
  /// \brief The counts that are not zero, with their names.
  [[nodiscard]] std::string kinds() const;
};

/// \brief The fleet, its surroundings and the clock.
class Fleet {
public:
  explicit Fleet(FleetPlan Plan);
  ~Fleet();

  // Faults; usable before run() through at().

  /// \brief Calls \p Action at \p When after the start.
  void at(Duration When, std::function<void()> Action);
  void kill(std::size_t Vm);
  /// \brief Starts a new run on the VM; \p SameName false takes a new name.
  void restart(std::size_t Vm, bool SameName);
  void pause(std::size_t Vm);
  void resume(std::size_t Vm);
  /// \brief Cuts or mends the link from one VM to the store.
  void cutStore(std::size_t Vm, bool Cut) { m_Vms[Vm].m_StoreCut = Cut; }
  /// \brief Puts VMs in a group; only VMs of one group reach each other.
  void setGroup(std::size_t Vm, int Group) { m_Vms[Vm].m_Group = Group; }
  void setStore(StoreMode Mode) { m_StoreMode = Mode; }
  /// \brief The upstream begins to drain and says so.
  void drainUpstream(const std::string &Name);
  /// \brief The upstream answers this part of its calls by losing them.
  void loseAnswers(const std::string &Name, double Part);
  /// \brief An operator accepts a bundle through \p Vm, if that VM may.
  /// \returns The accepted version, or zero.
  std::uint64_t acceptBundle(std::size_t Vm, Bundle Next);
  void freezeVmList(bool Frozen) { m_ListFrozen = Frozen; }
  void leaveVm(std::size_t Vm);

  /// \brief Runs the load and everything after it to its end.
  void run();

  // What was seen.

  [[nodiscard]] const Violations &violations() const { return m_Violations; }
  [[nodiscard]] const std::map<ServiceName, ServiceTally> &tallies() const {
    return m_Tallies;
  }
  /// \brief Largest use of any limit of the kind, in percent.
  [[nodiscard]] double peakUse(const std::string &Kind) const;
  /// \brief Usable units over capacity of all upstream slots, now.
  [[nodiscard]] double usableShare() const;
  /// \brief Time after acceptance until the last VM had the version.
  [[nodiscard]] std::optional<Duration> spreadTime(std::uint64_t Of) const;
  [[nodiscard]] std::optional<Duration> drainTime() const;
  [[nodiscard]] Node &node(std::size_t Vm) { return *m_Vms[Vm].m_Node; }
  [[nodiscard]] std::size_t size() const { return m_Vms.size(); }
  [[nodiscard]] TimePoint now() const { return m_Clock.m_Now; }
  [[nodiscard]] MemoryTable &table() { return m_Table; }
  [[nodiscard]] std::uint64_t storeWrites() const { return m_StoreWrites; }
  /// \brief Runs at upstreams, over all calls.
  [[nodiscard]] std::uint64_t runs() const { return m_Runs; }
  [[nodiscard]] std::uint64_t sends() const { return m_CallerSends; }

private:
  struct Vm {
    std::unique_ptr<Node> m_Node;
    MemberInfo m_Self;
    bool m_Alive = true;
    bool m_Paused = false;
    bool m_StoreCut = false;
    int m_Group = 0;
    std::uint64_t m_Run = 0; ///< Rises with every restart.
    std::uint64_t m_Version = 0;
    TimePoint m_DiedAt{};
    std::set<std::uint64_t> m_Fetching; ///< Versions on their way.
    std::vector<std::function<void()>> m_Deferred;
    std::map<CallId, std::function<void(CallStep)>> m_Waiters;
  };
  struct FakeUpstream {
    Upstream m_Spec;
    std::uint32_t m_Busy = 0;
    std::uint32_t m_Peak = 0;
    std::optional<TimePoint> m_DrainSince;
    TimePoint m_LastStart{};
    double m_LosePart = 0;
    double m_Slowness = 1;
  };
  /// One try of a caller, with everything that it was told.
  struct Attempt {
    ServiceName m_Service;
    RegionName m_Home;
    std::optional<Ticket> m_Ticket;
    std::vector<EntryVmAddress> m_Vms;
    std::size_t m_NextVm = 0;
    TimePoint m_Begun{};
    TimePoint m_Deadline{};
    std::uint32_t m_Runs = 0;
    bool m_MayRepeat = false;
    bool m_ToldNotRun = false;
    bool m_ToldDone = false;
    bool m_Settled = false;
    int m_Sends = 0;
  };
  using AttemptRef = std::shared_ptr<Attempt>;
  using Reply = std::function<void(const CallStep &)>;

  void after(Duration Delay, std::function<void()> Action);
  /// Runs \p Action on the VM as it is then: dead drops it, paused keeps it.
  void onVm(std::size_t Vm, std::function<void()> Action);
  [[nodiscard]] std::size_t vmAt(const std::string &Address) const;
  [[nodiscard]] Duration delayBetween(const Vm &From, const FakeUpstream &To);
  void addVm(std::size_t Index, const FailureDomainName &Domain,
             const RegionName &Region);
  void beatLoop(std::size_t Vm, std::uint64_t Run);
  void tickLoop(std::size_t Vm, std::uint64_t Run);
  void storeStep(std::size_t Vm, std::uint64_t Run);
  void pollLoads(std::size_t Vm, std::uint64_t Run);
  void listLoop();
  void fetchBundles(std::size_t Vm);
  void deliver(std::size_t Vm);
  void handOver(std::size_t Vm);
  void noteVersion(std::size_t Vm);

  void arrivals(const Service &Of, const RegionName &Home, double PerSecond);
  void lookUp(const AttemptRef &Of);
  void sendCall(const AttemptRef &Of);
  void serveCall(std::size_t Vm, const AttemptRef &Of, std::uint8_t Hops,
                 const Reply &Told);
  void follow(std::size_t Vm, CallId Id, const AttemptRef &Of,
              const CallStep &Step, const Reply &Told);
  void startRun(std::size_t Vm, CallId Id, const AttemptRef &Of,
                const CallStep &Step, const Reply &Told);
  void told(const AttemptRef &Of, const CallStep &Step);
  void settle(const AttemptRef &Of, Outcome Last);
  void judge();
  double uniform() { return double(m_Rng()) / double(Random::max()); }
  Duration exponential(Duration Mean);

  FleetPlan m_Plan;
  Random m_Rng;
  EventQueue m_Clock;
  TimePoint m_Start{1h};
  std::vector<Vm> m_Vms;
  std::map<UpstreamName, FakeUpstream> m_Upstreams;
  std::map<RegionName, std::uint32_t> m_RegionBusy;
  std::map<RegionName, std::uint32_t> m_RegionPeak;
  std::map<ShiftName, std::uint32_t> m_ShiftBusy;
  std::map<ShiftName, std::uint32_t> m_ShiftPeak;
  MemoryTable m_Table;
  StoreMode m_StoreMode = StoreMode::Up;
  bool m_ListFrozen = false;
  std::vector<ListedVm> m_List;
  std::map<std::uint64_t, std::shared_ptr<const Bundle>> m_Bundles;
  std::map<std::uint64_t, TimePoint> m_AcceptedAt;
  std::map<std::uint64_t, TimePoint> m_SpreadAt;
  std::vector<AttemptRef> m_Attempts;
  std::map<ServiceName, ServiceTally> m_Tallies;
  Violations m_Violations;
  std::uint64_t m_StoreWrites = 0;
  std::uint64_t m_Runs = 0;
  std::uint64_t m_CallerSends = 0;
  std::uint64_t m_NewNames = 0;
};

} // namespace mustardspoke::test
