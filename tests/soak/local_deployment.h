/// \file
/// A deployment on loopback: store, upstreams, entry VMs and the connections
/// between them.
///
/// Entry VMs are real processes; everything else runs in the process of the
/// soak test.
#pragma once

#include "soak/callers.h"
#include "soak/link_proxy.h"
#include "soak/upstream_standin.h"
#include "support/process.h"

#include "json/json.h"

#include <deque>
#include <memory>

namespace mustardspoke::soak {

/// \brief Size and location of a deployment.
struct DeploymentPlan {
  std::string m_Binary; ///< The program under test.
  /// The program that VMs run at first, as before an upgrade; may be empty.
  std::string m_ProductionBinary;
  /// See LinkProxy::deliverAborted().
  bool m_DeliversAborted = false;
  std::string m_Directory; ///< Settings and logs.
  unsigned m_Network = 77; ///< All addresses are 127.NET.x.y.
  unsigned m_Vms = 6;      ///< In two regions with two failure domains each.
  unsigned m_StockUpstreams = 6; ///< For idempotent requests.
  unsigned m_OrderUpstreams = 4; ///< For requests that must run at most once.
  unsigned m_MaxEditions = 12;   ///< Maximum number of configurations.
  bool m_HasCustomers = false;   ///< Callers need keys.
  bool m_HasQuota = false;       ///< One of the customers has.
  std::uint64_t m_Seed = 1;
};

class LocalDeployment {
public:
  LocalDeployment(steer::asio::io_context &Io, Observations &Observed,
                  DeploymentPlan Plan);

  // Entry VMs.
  void startVm(unsigned Vm);
  /// \brief Selects what the VM runs from its next start on.
  void setProduction(unsigned Vm, bool RunsProduction) {
    m_Vms[Vm].m_RunsProduction = RunsProduction;
  }
  void killVm(unsigned Vm);
  void stopVm(unsigned Vm); ///< Sends the stop signal.
  void pauseVm(unsigned Vm);
  void resumeVm(unsigned Vm);
  void reloadVm(unsigned Vm); ///< Sends the reload signal.
  void rewriteSettings(unsigned Vm) const;
  [[nodiscard]] bool isRunning(unsigned Vm) const {
    return m_Vms[Vm].m_Process != nullptr;
  }
  [[nodiscard]] bool isStopping(unsigned Vm) const {
    return m_Vms[Vm].m_Stopping;
  }
  /// \brief Records processes that have ended, and kills those that should
  /// have.
  void checkVms();
  [[nodiscard]] std::uint64_t peakKib() const;

  // The operator.
  void nextEdition();
  /// \brief Takes a key away from a customer, and gives it, or a new one, to
  /// another.
  void changeKeys(Random &Rng);
  void evacuate(const std::string &Domain);
  void cancelEvacuation(const std::string &Domain);

  // The store and the connections to it.
  void setStoreMode(TableMode Mode);
  void truncateHistory() { m_Table.truncateHistory(); }
  [[nodiscard]] TableStandIn &table() noexcept { return m_Table; }
  void setStoreLinkMode(unsigned Vm, LinkMode Mode);

  // Upstreams and the connections to them.
  void crashUpstream(unsigned Upstream);
  void leaveUpstream(unsigned Upstream);
  void startUpstream(unsigned Upstream);
  void setUpstreamLinkMode(unsigned Upstream, LinkMode Mode);
  /// \brief Cuts a VM off from all upstreams.
  void cutVm(unsigned Vm, CutForm Form);
  [[nodiscard]] UpstreamStandIn &upstream(unsigned Index) {
    return m_Upstreams[Index];
  }
  /// \brief Number of upstreams that faults may affect; those of editions are
  /// excluded.
  [[nodiscard]] unsigned faultTargets() const {
    return m_Plan.m_StockUpstreams + m_Plan.m_OrderUpstreams;
  }

  /// \brief Ends every fault and starts everything that is not running.
  void endAllFaults();

  [[nodiscard]] std::vector<VmAddresses> ports() const;
  [[nodiscard]] Observations &observations() noexcept { return m_Observed; }
  [[nodiscard]] const DeploymentPlan &plan() const { return m_Plan; }
  static const std::vector<std::string> &failureDomains();

private:
  struct Vm {
    std::unique_ptr<test::Process> m_Process; ///< Null: not running.
    bool m_RunsProduction = false;
    bool m_Stopping = false;
    TimePoint m_StoppedAt{};
    TimePoint m_ReloadedAt{};
  };

  [[nodiscard]] std::string address(unsigned Group, unsigned Index,
                                    unsigned Port) const;
  [[nodiscard]] std::string vmIp(unsigned Vm) const;
  [[nodiscard]] std::string settingsOf(unsigned Vm) const;
  [[nodiscard]] std::string settingsPath(unsigned Vm) const;
  void addUpstream(const std::string &Id, const std::string &Service);
  steer::awaitable<void> restartUpstreamLater(unsigned Upstream);
  void writeConfiguration();
  /// \brief Makes a key that is listed from \p From on.
  void addKey(const std::string &Customer, TimePoint From);
  [[nodiscard]] Json customersJson() const;
  void recordWithdrawal(Withdrawal::Kind Kind, const std::string &Target);
  void recordReturn(Withdrawal::Kind Kind, const std::string &Target);
  /// \brief Begins a disruption, or ends the current one.
  static void recordDisruption(std::vector<Disruption> &Disruptions,
                               bool Disturbed);
  void recordStoreDisruption();

  steer::asio::io_context &m_Io;
  Observations &m_Observed;
  DeploymentPlan m_Plan;
  TableStandIn m_Table;
  std::vector<Vm> m_Vms;
  std::deque<UpstreamStandIn> m_Upstreams;
  std::deque<LinkProxy> m_UpstreamLinks; ///< One in front of each upstream.
  std::deque<LinkProxy> m_StoreLinks;    ///< One for each VM.
  std::vector<bool> m_StoreLinkDisturbed;
  std::vector<bool> m_UpstreamLinkDisturbed;
  bool m_StoreDisturbed = false;
  unsigned m_Edition = 0;
  unsigned m_Keys = 0;    ///< Number of keys made so far.
  unsigned m_Version = 0; ///< Of the configuration; increases in uneven steps.
  std::vector<std::string> m_EvacuatedDomains;
};

} // namespace mustardspoke::soak
