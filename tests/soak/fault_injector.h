/// \file
/// Random faults of the soak test, determined by a seed; they may repeat and
/// overlap.
#pragma once

#include "soak/local_deployment.h"

namespace mustardspoke::soak {

/// \brief What the injector draws from. A seed draws the same faults from a set
/// each time.
enum class FaultSet : std::uint8_t {
  Basic,
  Drills,    ///< Also the store that comes back older, quiet upstreams and
             ///< crashing requests.
  Cuts,      ///< Also VMs that lose their links to all upstreams.
  CutSeries, ///< Nothing but cuts in a fixed order, of VMs that the seed draws.
  Floods,    ///< Nothing but bytes without end, and answers that aren't read.
  Customers, ///< Also cuts, and configurations that change customers' keys.
  Departures, ///< Nothing but upstreams that leave while requests are held
              ///< back on the way to them.
};

/// \brief Injects faults into a deployment for a given time.
class FaultInjector {
public:
  FaultInjector(steer::asio::io_context &Io, LocalDeployment &Deployment,
                Callers &Requests, std::uint64_t Seed, FaultSet Set);

  /// \brief Draws and schedules the faults. FaultSet::CutSeries and Departures
  /// have lengths of their own. If there is a program in production, the VMs
  /// are replaced by the one under test and back, one after the other.
  void start(Duration Length);
  /// \brief Number of faults that are scheduled or have not ended.
  [[nodiscard]] unsigned activeCount() const { return m_ActiveFaults; }
  /// \brief The injected faults, with the milliseconds since the start.
  [[nodiscard]] const std::vector<std::string> &timeline() const {
    return m_Timeline;
  }

private:
  using Done = steer::awaitable<void>;
  struct Kind {
    const char *m_Name;
    Done (FaultInjector::*m_Run)();
  };
  static const std::vector<Kind> &kinds(FaultSet Set);

  Done runFault(Duration When, const Kind &Fault, unsigned Times);
  Done killVm();
  Done killAllVms();
  Done stopVm();
  Done stopVmTwice();
  Done stopPausedVm();
  Done pauseVm();
  Done reloadVm();
  Done rewriteSettings();
  Done disturbStore();
  Done truncateHistory();
  Done disturbStoreLink();
  Done crashUpstream();
  Done leaveUpstream();
  Done slowUpstream();
  Done corruptAnswers();
  Done disturbUpstreamLink();
  Done changeEdition();
  Done playKeyChanges();
  Done evacuateDomain();
  Done bringBackOlderStore();
  Done quietUpstream();
  Done sendCrashingRequests();
  Done cutVm();
  Done cutDomain();
  Done cutRegion();
  Done cutAllButOne();
  Done cutBriefly();

  Done playCutSeries();
  Done playDepartures();
  Done floodFromUpstreams();
  Done floodFromCallers();
  Done playUpgrades();
  Done cutVms(std::vector<unsigned> Vms, CutForm Form, Duration Length);
  [[nodiscard]] std::vector<unsigned> vmsOf(std::string_view Domain) const;
  [[nodiscard]] std::vector<unsigned> allVmsBut(unsigned Spared) const;
  [[nodiscard]] std::string randomDomain();
  CutForm randomCut();

  Done stopAndRestart(unsigned Vm, Duration Repeat);
  Done randomDelay(Duration Min, Duration Max);
  unsigned randomVm() { return m_Rng(m_Deployment.plan().m_Vms); }
  unsigned randomUpstream() { return m_Rng(m_Deployment.faultTargets()); }
  void log(const std::string &Text);

  steer::asio::io_context &m_Io;
  LocalDeployment &m_Deployment;
  Callers &m_Callers;
  Random m_Rng;
  FaultSet m_Set = FaultSet::Basic;
  bool m_StoreDrillRunning = false;
  TimePoint m_Start;
  Duration m_Length{}; ///< Of the time in which faults begin.
  unsigned m_ActiveFaults = 0;
  std::vector<std::string> m_Timeline;
};

} // namespace mustardspoke::soak
