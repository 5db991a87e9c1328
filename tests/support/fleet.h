/// \file
/// Simulation of a fleet of entry VMs: many decision cores in one process, with
/// fakes of the network, the store, the upstreams and the callers.
///
/// A run is determined by its seed. Violations of invariants are detected from
/// what the fake upstreams and callers observe, never from a core's own state.
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

// Intervals of the periodic work of each VM.
inline constexpr Duration HeartbeatInterval = 500ms;
inline constexpr Duration TickInterval = 10ms;
inline constexpr Duration StoreInterval = 20ms;
inline constexpr Duration LoadPollInterval = 1s;

/// \brief How the fake store treats requests. LoseAnswers executes commits and
/// drops half of their replies.
enum class StoreMode { Up, Down, Slow, LoseAnswers };

/// \brief Size of the fleet, its tuning and its load.
struct SimulationConfig {
  std::shared_ptr<const Bundle> m_Bundle;
  Tuning m_Tuning;
  Strategies m_Strategies;
  std::size_t m_VmsPerDomain = 2;
  double m_OfferedLoad = 0.8;    ///< Relative to the capacity of all slots.
  Duration m_LoadDuration = 30s; ///< Callers arrive for this long.
  std::uint64_t m_Seed = 1;
  Duration m_DomainDelay = 1500us; ///< One way, between failure domains.
  Duration m_RegionDelay = 50ms;
  Duration m_CallerDelay = 10ms;
  std::map<std::string, Duration> m_MeanServiceTime; ///< By service.
  bool m_CallersRetry = true;
  /// Whether a leaving VM hands over its ticket records; the control of the
  /// handover sets it to false.
  bool m_HandOverRecords = true;
  /// Region whose callers make m_HotRegionShare of the load; the other regions
  /// share the rest evenly. Empty: all regions have the same load.
  std::string m_HotRegion;
  double m_HotRegionShare = 0;
};

/// \brief Outcomes and latencies of the calls of one service.
struct ServiceResults {
  std::uint64_t m_Offered = 0;
  std::uint64_t m_Done = 0;
  std::uint64_t m_NotRun = 0;
  std::uint64_t m_Unknown = 0;
  std::vector<double> m_LatencyMs; ///< Of calls with the outcome done.
};

/// \brief Number of violations of each invariant, as callers and upstreams saw
/// them.
struct Violations {
  std::uint64_t m_UpstreamOverloads =
      0; ///< Calls started beyond an upstream's slots.
  std::uint64_t m_RegionOverloads = 0;
  std::uint64_t m_ShiftOverloads = 0;
  std::uint64_t m_DuplicateRuns = 0; ///< Tickets whose call ran more than once.
  std::uint64_t m_FalseNotRun = 0;   ///< Reported not-run, but the call ran.
  std::uint64_t m_FalseDone = 0;     ///< Reported done, but never ran.
  std::uint64_t m_MisroutedAnswers = 0;
  /// Calls started long after a drain began.
  std::uint64_t m_StartsAfterDrain = 0;
  /// Calls started under an outdated bundle.
  std::uint64_t m_StaleBundleStarts = 0;
  std::uint64_t m_BundleReversions = 0; ///< A VM went back to an older version.
  std::uint64_t m_DeadVmsNamed = 0;     ///< Look-ups that named a VM long dead.

  [[nodiscard]] std::uint64_t total() const noexcept;
  /// \brief The counts above zero, with their names.
  [[nodiscard]] std::string summary() const;
};

/// \brief The entry VMs, their environment and the simulated clock.
class SimulatedFleet {
public:
  explicit SimulatedFleet(SimulationConfig Config);
  ~SimulatedFleet();

  // Fault injection; to be scheduled before run() with scheduleAt().

  /// \brief Calls \p Action at the time \p When after the start.
  void scheduleAt(Duration When, std::function<void()> Action);
  void kill(std::size_t Vm);
  /// \brief Restarts the VM with a new incarnation, under a new name unless
  /// \p SameName.
  void restart(std::size_t Vm, bool SameName);
  void pause(std::size_t Vm);
  void resume(std::size_t Vm);
  /// \brief Cuts or restores the link from one VM to the store.
  void setStoreCut(std::size_t Vm, bool Cut) { m_Vms[Vm].m_StoreCut = Cut; }
  /// \brief Puts a VM into a network partition; only VMs of the same partition
  /// reach each other.
  void setPartition(std::size_t Vm, int Partition) {
    m_Vms[Vm].m_Partition = Partition;
  }
  void setStore(StoreMode Mode) { m_StoreMode = Mode; }
  /// \brief The upstream starts to drain and reports it in its load reports.
  void drainUpstream(const std::string &Name);
  /// \brief The upstream runs its calls, but loses each answer with this
  /// probability.
  void loseAnswers(const std::string &Name, double Probability);
  /// \brief An operator accepts a bundle through \p Vm, if that VM may do so.
  /// \returns The accepted version, or zero.
  std::uint64_t acceptBundle(std::size_t Vm, Bundle Next);
  void freezeVmList(bool Frozen) { m_VmListFrozen = Frozen; }
  void startPlannedStop(std::size_t Vm);

  /// \brief Runs the load, then another 15 s in which calls complete.
  void run();

  // Results.

  [[nodiscard]] const Violations &violations() const { return m_Violations; }
  [[nodiscard]] const std::map<ServiceName, ServiceResults> &
  serviceResults() const {
    return m_ServiceResults;
  }
  /// \brief Highest utilization of any limit of \p Kind ("upstream", "region"
  /// or "shift"), in percent.
  [[nodiscard]] double peakUtilization(const std::string &Kind) const;
  /// \brief Fraction of all upstream slots that the VMs may use now.
  [[nodiscard]] double usableSlotFraction() const;
  /// \brief Time from the acceptance of a bundle until the last VM adopted it.
  [[nodiscard]] std::optional<Duration>
  bundleSpreadTime(std::uint64_t Version) const;
  [[nodiscard]] std::optional<Duration> longestDrainTime() const;
  [[nodiscard]] Node &node(std::size_t Vm) { return *m_Vms[Vm].m_Node; }
  [[nodiscard]] std::size_t size() const { return m_Vms.size(); }
  [[nodiscard]] TimePoint now() const { return m_Clock.m_Now; }
  [[nodiscard]] MemoryTable &table() { return m_Table; }
  [[nodiscard]] std::uint64_t storeWrites() const { return m_StoreWrites; }
  /// \brief Number of runs at upstreams, over all calls.
  [[nodiscard]] std::uint64_t runs() const { return m_Runs; }
  [[nodiscard]] std::uint64_t sends() const { return m_CallerSends; }

private:
  struct Vm {
    std::unique_ptr<Node> m_Node;
    MemberInfo m_Self;
    bool m_Alive = true;
    bool m_Paused = false;
    bool m_StoreCut = false;
    int m_Partition = 0;
    std::uint64_t m_Incarnation = 0; ///< Increases with every restart.
    std::uint64_t m_BundleVersion = 0;
    TimePoint m_DiedAt{};
    std::set<std::uint64_t> m_BundlesInTransit; ///< Versions.
    std::vector<std::function<void()>> m_DeferredActions;
    std::map<CallId, std::function<void(CallStep)>> m_WaitingCalls;
  };
  struct FakeUpstream {
    Upstream m_Spec;
    std::uint32_t m_InFlight = 0;
    std::uint32_t m_PeakInFlight = 0;
    std::optional<TimePoint> m_DrainingSince;
    TimePoint m_LastStart{};
    double m_AnswerLossProbability = 0;
    double m_ServiceTimeFactor = 1;
  };
  /// One call of a caller, with the answers that the caller has received.
  struct CallerCall {
    ServiceName m_Service;
    RegionName m_HomeRegion;
    std::optional<Ticket> m_Ticket;
    std::vector<EntryVmAddress> m_Vms;
    std::size_t m_NextVm = 0;
    TimePoint m_StartedAt{};
    TimePoint m_Deadline{};
    std::uint32_t m_Runs = 0;
    bool m_IsRepeatable = false;
    bool m_ReportedNotRun = false;
    bool m_ReportedDone = false;
    bool m_Finished = false;
    int m_Sends = 0;
  };
  using CallerCallRef = std::shared_ptr<CallerCall>;
  using ReplyHandler = std::function<void(const CallStep &)>;

  void scheduleAfter(Duration Delay, std::function<void()> Action);
  /// Runs \p Action on the VM. Drops it if the VM is dead, defers it while the
  /// VM is paused.
  void runOnVm(std::size_t Vm, std::function<void()> Action);
  [[nodiscard]] std::size_t vmIndexOf(const std::string &Address) const;
  [[nodiscard]] Duration delayBetween(const Vm &Source,
                                      const FakeUpstream &Target);
  void addVm(std::size_t Index, const FailureDomainName &Domain,
             const RegionName &Region);
  void heartbeatLoop(std::size_t Vm, std::uint64_t Incarnation);
  void tickLoop(std::size_t Vm, std::uint64_t Incarnation);
  void storeLoop(std::size_t Vm, std::uint64_t Incarnation);
  void loadPollLoop(std::size_t Vm, std::uint64_t Incarnation);
  void vmListLoop();
  void fetchWantedBundle(std::size_t Vm);
  void resumeReadyCalls(std::size_t Vm);
  void handOverTickets(std::size_t Vm);
  void recordBundleVersion(std::size_t Vm);

  void generateCalls(const Service &Called, const RegionName &HomeRegion,
                     double CallsPerSecond);
  void lookUpVms(const CallerCallRef &Caller);
  void sendCall(const CallerCallRef &Caller);
  void serveCall(std::size_t Vm, const CallerCallRef &Caller, std::uint8_t Hops,
                 const ReplyHandler &OnReply);
  void executeStep(std::size_t Vm, CallId Id, const CallerCallRef &Caller,
                   const CallStep &Step, const ReplyHandler &OnReply);
  void runAtUpstream(std::size_t Vm, CallId Id, const CallerCallRef &Caller,
                     const CallStep &Step, const ReplyHandler &OnReply);
  void onAnswer(const CallerCallRef &Caller, const CallStep &Step);
  void finishCall(const CallerCallRef &Caller, Outcome Final);
  void checkCalls();
  double uniform() { return double(m_Rng()) / double(Random::max()); }
  Duration exponential(Duration Mean);

  SimulationConfig m_Config;
  Random m_Rng;
  EventQueue m_Clock;
  TimePoint m_Start{1h};
  std::vector<Vm> m_Vms;
  std::map<UpstreamName, FakeUpstream> m_Upstreams;
  std::map<RegionName, std::uint32_t> m_RegionInFlight;
  std::map<RegionName, std::uint32_t> m_RegionPeakInFlight;
  std::map<ShiftName, std::uint32_t> m_ShiftInFlight;
  std::map<ShiftName, std::uint32_t> m_ShiftPeakInFlight;
  MemoryTable m_Table;
  StoreMode m_StoreMode = StoreMode::Up;
  bool m_VmListFrozen = false;
  std::vector<ListedVm> m_VmList;
  std::map<std::uint64_t, std::shared_ptr<const Bundle>> m_Bundles;
  std::map<std::uint64_t, TimePoint> m_AcceptedAt;
  std::map<std::uint64_t, TimePoint> m_LastAdoptedAt;
  std::vector<CallerCallRef> m_CallerCalls;
  std::map<ServiceName, ServiceResults> m_ServiceResults;
  Violations m_Violations;
  std::uint64_t m_StoreWrites = 0;
  std::uint64_t m_Runs = 0;
  std::uint64_t m_CallerSends = 0;
  std::uint64_t m_NewNameCount = 0;
};

} // namespace mustardspoke::test
