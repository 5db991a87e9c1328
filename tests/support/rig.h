/// \file
/// Real processes on loopback: platform, upstreams, proxies and entry VMs.
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

/// \brief Shape of a rig; every rig has ports of its own.
struct RigPlan {
  unsigned m_PortBase = 0;
  unsigned m_Vms = 2;
  unsigned m_OrderSlots = 4;
  unsigned m_OrderMs = 20;
  unsigned m_StockMs = 5;
  unsigned m_SheetMs = 0;
  std::string m_OrderDeadlineMs = "3000";
  std::string m_Tuning;               ///< Members of "tuning", without braces.
  std::vector<std::string> m_TakeOut; ///< Mechanisms that entry VMs lack.
  bool m_StartPlatform = true;
  std::vector<std::string> m_ProxyStoreOf; ///< VMs behind a proxy to the store.
  bool m_ProxyOrders = false;              ///< Proxy in front of the upstream.
};

/// \brief One fleet of processes with one bundle in force.
///
/// \details Services: "stock-lookup" (repeatable, 10 slots), "order-booking"
/// and "load-sheets" (repeatable, 3 slots); one upstream each, region dfw.
class Rig {
public:
  explicit Rig(RigPlan Plan);
  ~Rig();

  void startPlatform();
  void startVm(unsigned Vm);
  /// \brief Accepts the first bundle and waits until every VM has shares.
  void acceptFirst();
  /// \brief Waits until \p Vm serves under a bundle and holds shares.
  [[nodiscard]] bool ready(unsigned Vm);

  [[nodiscard]] CallerResult call(unsigned Vm, const std::string &Service,
                                  const std::string &Path,
                                  const std::string &Body = "");
  /// \brief Shows \p Ticket at \p Address with a booking of \p Id.
  [[nodiscard]] CallerResult book(const std::string &Address,
                                  const std::string &Ticket,
                                  const std::string &Id);
  /// \brief A ticket whose owner is \p Vm.
  [[nodiscard]] std::string ticketOf(unsigned Vm);
  [[nodiscard]] std::vector<std::string> namedBy(unsigned Vm);

  [[nodiscard]] Json operatorGet(unsigned Vm, const std::string &Path);
  [[nodiscard]] HttpResponse accept(unsigned Vm,
                                    const std::vector<Section> &Sections);
  [[nodiscard]] Section section(const std::string &Team, std::uint64_t Revision,
                                const std::string &Mark = "");
  [[nodiscard]] std::uint64_t bundleVersion(unsigned Vm);

  void store(const std::string &Mode, int Millis = 0);
  void proxy(const std::string &Name, const std::string &Mode);
  void upstream(const std::string &Service, const std::string &Query);
  [[nodiscard]] Json runs(const std::string &Service);
  /// \brief How often \p Id ran at the order upstream.
  [[nodiscard]] unsigned runsOf(const std::string &Id);

  [[nodiscard]] std::string address(unsigned Vm) const;
  [[nodiscard]] Process &vm(unsigned Vm) { return *m_Vms.at(Vm); }
  void stopVm(unsigned Vm) { m_Vms.erase(Vm); }
  [[nodiscard]] std::string port(unsigned Offset) const;

private:
  void start(const std::string &Name, const std::vector<std::string> &Words);
  [[nodiscard]] std::string settings(unsigned Vm) const;
  [[nodiscard]] std::string vmName(unsigned Vm) const;
  [[nodiscard]] std::string sectionText(const std::string &Team,
                                        const std::string &Mark) const;

  RigPlan m_Plan;
  std::string m_Folder;
  std::map<std::string, std::unique_ptr<Process>> m_Others;
  std::map<unsigned, std::unique_ptr<Process>> m_Vms;
};

} // namespace mustardspoke::test
