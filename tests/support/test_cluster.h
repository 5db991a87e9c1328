/// \file
/// Runs the platform, upstreams, proxies and entry VMs as processes on
/// loopback.
#pragma once

#include "cli/caller.h"
#include "config/config.h"
#include "http/http.h"
#include "support/process.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mustardspoke::test {

/// \brief Configuration of a test cluster; each cluster uses its own ports.
struct ClusterOptions {
  unsigned m_PortBase = 0;
  unsigned m_VmCount = 2;
  unsigned m_OrderSlots = 4;
  unsigned m_OrderServiceMs = 20;
  unsigned m_StockServiceMs = 5;
  unsigned m_SheetServiceMs = 0;
  std::string m_OrderDeadlineMs = "3000";
  std::string m_Tuning; ///< Content of "tuning", without braces.
  /// Mechanisms of the core that are disabled in the entry VMs.
  std::vector<std::string> m_DisabledMechanisms;
  bool m_StartPlatform = true;
  /// Numbers of the VMs that reach the store through a proxy.
  std::vector<std::string> m_StoreProxyVms;
  bool m_ProxyOrderUpstream = false; ///< Proxy before the order upstream.
};

/// \brief A fleet of processes that serve one bundle.
///
/// \details Services: "stock-lookup" (repeatable, 10 slots), "order-booking"
/// and "load-sheets" (repeatable, 3 slots); each has one upstream in region
/// dfw.
class TestCluster {
public:
  explicit TestCluster(ClusterOptions Options);
  ~TestCluster();

  void startPlatform();
  void startVm(unsigned Vm);
  /// \brief Accepts the first bundle and waits until every VM is ready.
  void acceptFirstBundle();
  /// \brief Whether \p Vm serves a bundle, holds shares and sees all other VMs.
  [[nodiscard]] bool isReady(unsigned Vm);

  [[nodiscard]] CallerResult call(unsigned Vm, const std::string &Service,
                                  const std::string &Path,
                                  const std::string &Body = "");
  /// \brief Sends a booking of \p Id with \p Ticket to \p Address.
  [[nodiscard]] CallerResult bookOrder(const std::string &Address,
                                       const std::string &Ticket,
                                       const std::string &Id);
  /// \brief Obtains a ticket that \p Vm owns.
  [[nodiscard]] std::string ticketOwnedBy(unsigned Vm);
  /// \brief Names of the VMs that a look-up at \p Vm returns.
  [[nodiscard]] std::vector<std::string> vmsInLookup(unsigned Vm);

  [[nodiscard]] Json operatorGet(unsigned Vm, const std::string &Path);
  [[nodiscard]] HttpResponse
  acceptSections(unsigned Vm, const std::vector<Section> &Sections);
  [[nodiscard]] Section signedSection(const std::string &Team,
                                      std::uint64_t Revision,
                                      const std::string &Suffix = "");
  [[nodiscard]] std::uint64_t bundleVersion(unsigned Vm);

  /// \brief Sets a fault mode of standin-platform.
  void setStoreMode(const std::string &Mode, int Millis = 0);
  /// \brief Sets the mode of the proxy "orders" or of a VM's store proxy.
  /// \param Name "orders" or the number of the VM.
  void setProxyMode(const std::string &Name, const std::string &Mode);
  /// \brief Sends \p Query to `/set` of the upstream of \p Service.
  void configureUpstream(const std::string &Service, const std::string &Query);
  /// \brief The log of the upstream of \p Service, from `/runs`.
  [[nodiscard]] Json upstreamLog(const std::string &Service);
  /// \brief Number of times that \p Id ran at the order upstream.
  [[nodiscard]] unsigned runCount(const std::string &Id);

  [[nodiscard]] std::string callerAddress(unsigned Vm) const;
  [[nodiscard]] Process &process(unsigned Vm) { return *m_Vms.at(Vm); }
  void killVm(unsigned Vm) { m_Vms.erase(Vm); }
  /// \brief "IP:port" of the port at \p Offset from the first one.
  [[nodiscard]] std::string addressOf(unsigned Offset) const;

private:
  void start(const std::string &Name,
             const std::vector<std::string> &CommandLine);
  [[nodiscard]] std::string settings(unsigned Vm) const;
  [[nodiscard]] std::string vmName(unsigned Vm) const;
  [[nodiscard]] std::string sectionText(const std::string &Team,
                                        const std::string &Suffix) const;

  ClusterOptions m_Options;
  std::string m_Directory;
  std::map<std::string, std::unique_ptr<Process>> m_OtherProcesses;
  std::map<unsigned, std::unique_ptr<Process>> m_Vms;
};

} // namespace mustardspoke::test
