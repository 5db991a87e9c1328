/// \file
/// Addresses, settings, configuration and processes of the soak's deployment.
#include "soak/local_deployment.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>

namespace mustardspoke::soak {

using namespace steer;

namespace {

// Third byte of the addresses.
/// From the end of an upstream under a request to its next start.
constexpr Duration UpstreamRestartTime = 1500ms;
constexpr unsigned VmGroup = 1;
constexpr unsigned UpstreamGroup = 2;
constexpr unsigned UpstreamLinkGroup = 3;
constexpr unsigned StoreLinkGroup = 4;
// Ports below the ephemeral range of the system.
constexpr unsigned CallerPort = 18080;
constexpr unsigned ReadyPort = 18081;
constexpr unsigned LookupPort = 18082;
constexpr unsigned SeedPort = 18083;
constexpr unsigned MetricsPort = 18084;
constexpr unsigned PeerPort = 18085;
constexpr unsigned StorePort = 18086;
constexpr unsigned UpstreamPort = 18087;
constexpr unsigned RelayPort = 18088;

/// From the stop signal to the kill signal.
constexpr Duration Grace = 3s;
/// A stop signal this soon after a start may arrive before the program has
/// installed its handler, and then terminates it.
constexpr Duration StartupTime = 1s;
/// Upper limit for loading the program, even on a busy machine.
constexpr Duration ExecTime = 100ms;
/// A process may end this much after its grace period, as the machine may be
/// busy.
constexpr Duration GraceTolerance = 2s;

std::string regionOf(const std::string &Domain) {
  return Domain.substr(0, Domain.find('-'));
}

Json ruleJson(const char *Path, const char *Type, const std::string &Service,
              const char *Timeout, unsigned Attempts,
              Json Homes = Json::array()) {
  Json Match = Json::object();
  Match.set("prefix", Json("/" + std::string(Path) + "/"));
  Json Action = Json::object();
  Action.set("service", Json(Service)).set("timeout", Json(Timeout));
  Action.set("maxAttempts", Json(Attempts));
  Action.set("allowedRegions", std::move(Homes));
  Json Result = Json::object();
  Result.set("name", Json(Path)).set("type", Json(Type));
  Result.set("targetLatency", Json("300ms")).set("priority", Json(0));
  Result.set("sessionAffinity", Json(true));
  Result.set("match", std::move(Match)).set("action", std::move(Action));
  return Result;
}

const char *const Customers[] = {"heron", "ibis", "jay", "kestrel"};
/// Customers of the first keys; the first has two.
constexpr unsigned FirstKeys[] = {0, 1, 0, 2, 3};
/// Keys that are never taken away: one that always works, and one of the
/// customer with a quota.
constexpr unsigned SparedKeys = 2;
constexpr unsigned LimitedCustomer = 1;
constexpr double QuotaRate =
    10; ///< Requests per second; less than callers send.
constexpr double QuotaBurst = 10;

Json clusterJson(const std::string &Name) {
  Json Result = Json::object();
  Result.set("name", Json(Name)).set("healthPath", Json("/health"));
  Result.set("maxConnections", Json(200));
  Result.set("warmup", Json("1s")).set("warmupPerS", Json(50));
  return Result;
}

} // namespace

const std::vector<std::string> &LocalDeployment::failureDomains() {
  static const std::vector<std::string> Names{"east-a", "east-b", "west-a",
                                              "west-b"};
  return Names;
}

LocalDeployment::LocalDeployment(asio::io_context &Io, Observations &Observed,
                                 DeploymentPlan Plan)
    : m_Io(Io), m_Observed(Observed), m_Plan(std::move(Plan)),
      m_Table(Io, address(0, 0, StorePort)), m_Vms(m_Plan.m_Vms),
      m_StoreLinkDisturbed(m_Plan.m_Vms) {
  m_Observed.m_Vms.resize(m_Plan.m_Vms);
  for (unsigned Vm = 0; Vm < m_Plan.m_Vms; ++Vm)
    m_Observed.m_Vms[Vm].m_Region =
        regionOf(failureDomains()[Vm % failureDomains().size()]);
  for (unsigned I = 0; I < m_Plan.m_StockUpstreams; ++I)
    addUpstream("stock-" + std::to_string(I), "stock");
  for (unsigned I = 0; I < m_Plan.m_OrderUpstreams; ++I)
    addUpstream("orders-" + std::to_string(I), "orders");
  for (unsigned I = 1; I <= m_Plan.m_MaxEditions; ++I)
    addUpstream("e" + std::to_string(I), "edition-" + std::to_string(I));
  if (m_Plan.m_HasCustomers)
    for (unsigned Customer : FirstKeys)
      addKey(Customers[Customer], {});
  if (m_Plan.m_HasQuota)
    m_Observed.m_Quotas.push_back(
        {Customers[LimitedCustomer], QuotaRate, QuotaBurst});
  nextEdition();
  for (unsigned I = 0; I < m_Plan.m_Vms; ++I) {
    m_StoreLinks.emplace_back(Io, address(StoreLinkGroup, I, StorePort),
                              address(0, 0, StorePort));
    m_Vms[I].m_RunsProduction = !m_Plan.m_ProductionBinary.empty();
    startVm(I);
  }
}

std::string LocalDeployment::address(unsigned Group, unsigned Index,
                                     unsigned Port) const {
  return "127." + std::to_string(m_Plan.m_Network) + "." +
         std::to_string(Group) + "." + std::to_string(10 + Index) + ":" +
         std::to_string(Port);
}

std::string LocalDeployment::vmIp(unsigned Vm) const {
  std::string Address = address(VmGroup, Vm, 0);
  return Address.substr(0, Address.rfind(':'));
}

void LocalDeployment::addUpstream(const std::string &Id,
                                  const std::string &Service) {
  auto Index = unsigned(m_Upstreams.size());
  UpstreamPlan Plan;
  Plan.m_Id = Id;
  Plan.m_Service = Service;
  Plan.m_Domain = failureDomains()[Index % failureDomains().size()];
  Plan.m_Listen = address(UpstreamGroup, Index, UpstreamPort);
  Plan.m_Address = address(UpstreamLinkGroup, Index, UpstreamPort);
  m_UpstreamLinks.emplace_back(m_Io, Plan.m_Address, Plan.m_Listen);
  if (m_Plan.m_DeliversAborted)
    m_UpstreamLinks.back().deliverAborted();
  m_UpstreamLinkDisturbed.push_back(false);
  m_Upstreams.emplace_back(m_Io, m_Table, m_Observed, std::move(Plan),
                           m_Plan.m_Seed);
  m_Upstreams.back().m_OnCrashedByRequest = [this, Index] {
    test::spawn(m_Io, [this, Index]() { return restartUpstreamLater(Index); });
  };
  m_Upstreams.back().start();
}

awaitable<void> LocalDeployment::restartUpstreamLater(unsigned Upstream) {
  co_await sleepFor(m_Io, UpstreamRestartTime);
  startUpstream(Upstream);
}

std::string LocalDeployment::settingsPath(unsigned Vm) const {
  return m_Plan.m_Directory + "/vm-" + std::to_string(Vm) + ".json";
}

std::string LocalDeployment::settingsOf(unsigned Vm) const {
  const std::string &Domain = failureDomains()[Vm % failureDomains().size()];
  Json Domains = Json::object();
  for (const std::string &Name : failureDomains())
    Domains.set(Name, Json(regionOf(Name)));
  Json Ports = Json::array();
  Ports.push(Json(std::to_string(PeerPort)));
  Ports.push(Json(std::to_string(RelayPort)));
  Json Seeds = Json::array();
  for (unsigned Other = 0; Other < 2; ++Other)
    Seeds.push(Json(address(VmGroup, Other, SeedPort)));
  Json Listen = Json::object();
  Listen.set("ip", Json(vmIp(Vm))).set("peerPorts", std::move(Ports));
  Listen.set("callers", Json(address(VmGroup, Vm, CallerPort)));
  Listen.set("ready", Json(address(VmGroup, Vm, ReadyPort)));
  Listen.set("lookups", Json(address(VmGroup, Vm, LookupPort)));
  Listen.set("seeds", Json(address(VmGroup, Vm, SeedPort)));
  Listen.set("metrics", Json(address(VmGroup, Vm, MetricsPort)));
  Json Limits = Json::object();
  Limits.set("stopGrace", Json(std::to_string(toMillis(Grace)) + "ms"));
  Json All = Json::object();
  All.set("vm", Json("vm-" + std::to_string(Vm)));
  All.set("region", Json(regionOf(Domain)));
  All.set("failureDomain", Json(Domain));
  All.set("failureDomains", std::move(Domains));
  All.set("listen", std::move(Listen)).set("seeds", std::move(Seeds));
  All.set("store", Json(address(StoreLinkGroup, Vm, StorePort)));
  All.set("sourceIp", Json(vmIp(Vm)));
  All.set("cores", Json(1)).set("linkMbps", Json(1000));
  All.set("limits", std::move(Limits));
  return All.toText(true);
}

void LocalDeployment::rewriteSettings(unsigned Vm) const {
  // A new file: one that is truncated is written to the disk when it closes,
  // which stops this process while the disk is busy.
  std::error_code Ignored;
  std::filesystem::remove(settingsPath(Vm), Ignored);
  std::ofstream(settingsPath(Vm)) << settingsOf(Vm);
}

void LocalDeployment::startVm(unsigned Vm) {
  if (m_Vms[Vm].m_Process)
    return;
  rewriteSettings(Vm);
  m_Vms[Vm].m_Stopping = false;
  m_Observed.m_Vms[Vm].m_Started.push_back(steadyNow());
  m_Vms[Vm].m_Process = std::make_unique<test::Process>(
      std::vector<std::string>{m_Vms[Vm].m_RunsProduction
                                   ? m_Plan.m_ProductionBinary
                                   : m_Plan.m_Binary,
                               "gateway", settingsPath(Vm)},
      m_Plan.m_Directory + "/vm-" + std::to_string(Vm) + ".log");
}

void LocalDeployment::killVm(unsigned Vm) {
  if (!m_Vms[Vm].m_Process)
    return;
  m_Observed.m_Vms[Vm].m_Killed.push_back(steadyNow());
  m_Vms[Vm].m_Process.reset(); // Kills it by its process id and waits for it.
  m_Observed.m_Vms[Vm].m_Ended.push_back(steadyNow());
  recordDisruption(m_Observed.m_Vms[Vm].m_Paused, false);
}

void LocalDeployment::stopVm(unsigned Vm) {
  if (!m_Vms[Vm].m_Process)
    return;
  m_Vms[Vm].m_Process->signal(SIGTERM);
  if (m_Vms[Vm].m_Stopping)
    return;
  m_Vms[Vm].m_Stopping = true;
  m_Vms[Vm].m_StoppedAt = steadyNow();
  m_Observed.m_Vms[Vm].m_Stopped.push_back(steadyNow());
}

void LocalDeployment::pauseVm(unsigned Vm) {
  if (!m_Vms[Vm].m_Process)
    return;
  m_Vms[Vm].m_Process->signal(SIGSTOP);
  recordDisruption(m_Observed.m_Vms[Vm].m_Paused, true);
}

void LocalDeployment::resumeVm(unsigned Vm) {
  if (m_Vms[Vm].m_Process)
    m_Vms[Vm].m_Process->signal(SIGCONT);
  recordDisruption(m_Observed.m_Vms[Vm].m_Paused, false);
}

void LocalDeployment::reloadVm(unsigned Vm) {
  if (!m_Vms[Vm].m_Process)
    return;
  m_Vms[Vm].m_ReloadedAt = steadyNow();
  m_Vms[Vm].m_Process->signal(SIGHUP);
}

void LocalDeployment::checkVms() {
  for (unsigned I = 0; I < m_Vms.size(); ++I) {
    Vm &Checked = m_Vms[I];
    if (!Checked.m_Process)
      continue;
    std::string Name = "vm " + std::to_string(I);
    VmHistory &History = m_Observed.m_Vms[I];
    if (auto Status = Checked.m_Process->exited()) {
      bool InStart =
          *Status == SIGTERM &&
          Checked.m_StoppedAt - History.m_Started.back() < StartupTime;
      // A program can't ignore a signal before its first instruction, which a
      // process paused while loading reaches late.
      TimePoint Loaded = History.m_Started.back() + ExecTime;
      bool PausedInExec =
          !History.m_Paused.empty() &&
          History.m_Paused.back().m_Begin > History.m_Started.back() &&
          History.m_Paused.back().m_Begin < Loaded;
      bool InExec =
          *Status == SIGHUP && (Checked.m_ReloadedAt < Loaded || PausedInExec);
      if ((!Checked.m_Stopping && !InExec) ||
          (*Status != 0 && !InStart && !InExec))
        m_Observed.m_Violations.push_back(Name + " ended with status " +
                                          std::to_string(*Status));
      Checked.m_Process.reset();
      History.m_Ended.push_back(steadyNow());
      continue;
    }
    if (!Checked.m_Stopping ||
        steadyNow() - Checked.m_StoppedAt < Grace + GraceTolerance)
      continue;
    bool Paused =
        std::ranges::any_of(History.m_Paused, [&](const Disruption &Span) {
          return Span.m_End >= Checked.m_StoppedAt;
        });
    if (!Paused)
      m_Observed.m_Violations.push_back(Name +
                                        " still ran after its grace period");
    killVm(I);
  }
}

std::uint64_t LocalDeployment::peakKib() const {
  std::uint64_t Peak = 0;
  for (const Vm &Entry : m_Vms)
    if (Entry.m_Process)
      Peak = std::max(Peak, Entry.m_Process->peakKib());
  return Peak;
}

void LocalDeployment::nextEdition() {
  if (m_Edition >= m_Plan.m_MaxEditions)
    return;
  if (m_Edition > 0)
    recordWithdrawal(Withdrawal::Kind::Edition,
                     "edition-" + std::to_string(m_Edition));
  ++m_Edition;
  m_Version += 1 + m_Edition % 3;
  TimePoint Now = steadyNow();
  if (!m_Observed.m_Homes.empty())
    m_Observed.m_Homes.back().m_Until = Now;
  const std::string &Domain =
      failureDomains()[m_Edition % failureDomains().size()];
  m_Observed.m_Homes.push_back({regionOf(Domain), Now});
  writeConfiguration();
}

void LocalDeployment::addKey(const std::string &Customer, TimePoint From) {
  m_Observed.m_KeyPeriods.push_back(
      {KeyMarker + std::to_string(++m_Keys), Customer, From});
}

void LocalDeployment::changeKeys(Random &Rng) {
  std::vector<KeyPeriod> &All = m_Observed.m_KeyPeriods;
  std::vector<std::size_t> Listed;
  for (std::size_t I = SparedKeys; I < All.size(); ++I)
    if (All[I].m_Until == TimePoint::max())
      Listed.push_back(I);
  TimePoint Now = steadyNow();
  KeyPeriod &Taken = All[Listed[Rng(std::uint32_t(Listed.size()))]];
  Taken.m_Until = Now;
  std::string Receiver = Customers[Rng(std::uint32_t(std::size(Customers)))];
  if (Rng(3) == 0 && Receiver != Taken.m_Customer)
    All.push_back({std::string(Taken.m_Key), Receiver, Now});
  else
    addKey(Receiver, Now);
  ++m_Version;
  writeConfiguration();
}

Json LocalDeployment::customersJson() const {
  Json Result = Json::array();
  for (std::string Name : Customers) {
    Json Keys = Json::array();
    for (const KeyPeriod &Known : m_Observed.m_KeyPeriods)
      if (Known.m_Customer == Name && Known.m_Until == TimePoint::max())
        Keys.push(Json(Known.m_Key));
    Json Entry = Json::object();
    Entry.set("name", Json(Name)).set("apiKeys", std::move(Keys));
    for (const QuotaLimit &Quota : m_Observed.m_Quotas)
      if (Quota.m_Customer == Name)
        Entry.set("ratePerS", Json(Quota.m_RequestsPerSecond))
            .set("burst", Json(Quota.m_Burst));
    Result.push(std::move(Entry));
  }
  return Result;
}

void LocalDeployment::writeConfiguration() {
  std::string Edition = "edition-" + std::to_string(m_Edition);
  Json Rules = Json::array();
  Rules.push(ruleJson("read", "safe", "stock", "2s", 3));
  Rules.push(ruleJson("order", "unsafe", "orders", "3s", 2));
  Rules.push(ruleJson("edition", "safe", Edition, "2s", 2));
  Json Homes = Json::array();
  Homes.push(Json(m_Observed.m_Homes.back().m_Region));
  Rules.push(ruleJson("home", "safe", "stock", "2s", 3, std::move(Homes)));
  if (m_Plan.m_HasCustomers) {
    Json Public = ruleJson("public", "safe", "stock", "2s", 3);
    Public.set("public", Json(true));
    Rules.push(std::move(Public));
    Rules.push(ruleJson("upload", "upload", "orders", "3s", 2));
  }
  Json Host = Json::object();
  Host.set("host", Json("soak.example")).set("rules", std::move(Rules));
  Json Hosts = Json::array();
  Hosts.push(std::move(Host));
  Json Clusters = Json::array();
  for (const std::string &Name :
       {std::string("stock"), std::string("orders"), Edition})
    Clusters.push(clusterJson(Name));
  Json Limits = Json::object();
  Limits.set("maxHeaderBytes", Json(16384)).set("maxBodyBytes", Json(1 << 20));
  Limits.set("headerTimeout", Json("3s")).set("idleTimeout", Json("4s"));
  Json All = Json::object();
  All.set("version", Json("r" + std::to_string(m_Version)));
  All.set("limits", std::move(Limits)).set("listeners", std::move(Hosts));
  All.set("clusters", std::move(Clusters));
  if (m_Plan.m_HasCustomers)
    All.set("tenants", customersJson());
  m_Table.put("op", "config", All.toText());
}

void LocalDeployment::recordWithdrawal(Withdrawal::Kind Kind,
                                       const std::string &Target) {
  m_Observed.m_Withdrawals.push_back({Kind, Target, steadyNow()});
}

void LocalDeployment::recordReturn(Withdrawal::Kind Kind,
                                   const std::string &Target) {
  for (Withdrawal &Entry : m_Observed.m_Withdrawals)
    if (Entry.m_Kind == Kind && Entry.m_Target == Target &&
        Entry.m_RevokedAt == TimePoint::max())
      Entry.m_RevokedAt = steadyNow();
}

void LocalDeployment::evacuate(const std::string &Domain) {
  m_Table.put("op", "evacuate/" + Domain, "{}");
  m_EvacuatedDomains.push_back(Domain);
  for (const UpstreamStandIn &Entry : m_Upstreams)
    if (Entry.plan().m_Domain == Domain)
      recordWithdrawal(Withdrawal::Kind::Evacuated, Entry.plan().m_Id);
}

void LocalDeployment::cancelEvacuation(const std::string &Domain) {
  m_Table.remove("op", "evacuate/" + Domain);
  std::erase(m_EvacuatedDomains, Domain);
  for (const UpstreamStandIn &Entry : m_Upstreams)
    if (Entry.plan().m_Domain == Domain)
      recordReturn(Withdrawal::Kind::Evacuated, Entry.plan().m_Id);
}

void LocalDeployment::recordDisruption(std::vector<Disruption> &Disruptions,
                                       bool Disturbed) {
  bool Open =
      !Disruptions.empty() && Disruptions.back().m_End == TimePoint::max();
  if (Disturbed && !Open)
    Disruptions.push_back({steadyNow()});
  if (!Disturbed && Open)
    Disruptions.back().m_End = steadyNow();
}

void LocalDeployment::recordStoreDisruption() {
  bool AnyLink = std::ranges::find(m_StoreLinkDisturbed, true) !=
                 m_StoreLinkDisturbed.end();
  recordDisruption(m_Observed.m_StoreDisruptions, m_StoreDisturbed || AnyLink);
  for (unsigned I = 0; I < m_Plan.m_Vms; ++I)
    recordDisruption(m_Observed.m_Vms[I].m_StoreCut,
                     m_StoreDisturbed || m_StoreLinkDisturbed[I]);
}

void LocalDeployment::setStoreMode(TableMode Mode) {
  m_Table.setMode(Mode);
  m_StoreDisturbed = Mode != TableMode::Normal;
  recordStoreDisruption();
}

void LocalDeployment::setStoreLinkMode(unsigned Vm, LinkMode Mode) {
  m_StoreLinks[Vm].setMode(Mode);
  m_StoreLinkDisturbed[Vm] = Mode != LinkMode::Pass;
  recordStoreDisruption();
}

void LocalDeployment::setUpstreamLinkMode(unsigned Upstream, LinkMode Mode) {
  m_UpstreamLinks[Upstream].setMode(Mode);
  m_UpstreamLinkDisturbed[Upstream] = Mode != LinkMode::Pass;
  recordDisruption(m_Observed.m_LinkDisruptions,
                   std::ranges::find(m_UpstreamLinkDisturbed, true) !=
                       m_UpstreamLinkDisturbed.end());
}

void LocalDeployment::cutVm(unsigned Vm, CutForm Form) {
  for (LinkProxy &Link : m_UpstreamLinks)
    Link.setCut(vmIp(Vm), Form);
  recordDisruption(m_Observed.m_Vms[Vm].m_Cut, Form != CutForm::None);
}

void LocalDeployment::crashUpstream(unsigned Upstream) {
  m_Upstreams[Upstream].crash();
}

void LocalDeployment::leaveUpstream(unsigned Upstream) {
  m_Upstreams[Upstream].announceLeaving();
  recordWithdrawal(Withdrawal::Kind::Leaving,
                   m_Upstreams[Upstream].plan().m_Id);
}

void LocalDeployment::startUpstream(unsigned Upstream) {
  UpstreamStandIn &Entry = m_Upstreams[Upstream];
  if (Entry.isRunning())
    return;
  Entry.start();
  recordReturn(Withdrawal::Kind::Leaving, Entry.plan().m_Id);
}

void LocalDeployment::endAllFaults() {
  setStoreMode(TableMode::Normal);
  for (unsigned I = 0; I < m_Plan.m_Vms; ++I) {
    setStoreLinkMode(I, LinkMode::Pass);
    cutVm(I, CutForm::None);
    resumeVm(I);
    startVm(I);
  }
  for (unsigned I = 0; I < m_Upstreams.size(); ++I) {
    setUpstreamLinkMode(I, LinkMode::Pass);
    m_Upstreams[I].m_Faults = {};
    startUpstream(I);
  }
  for (const std::string &Entry : std::vector<std::string>(m_EvacuatedDomains))
    cancelEvacuation(Entry);
}

std::vector<VmAddresses> LocalDeployment::ports() const {
  std::vector<VmAddresses> Result;
  for (unsigned I = 0; I < m_Plan.m_Vms; ++I)
    Result.push_back({address(VmGroup, I, CallerPort),
                      address(VmGroup, I, LookupPort),
                      address(VmGroup, I, ReadyPort)});
  return Result;
}

} // namespace mustardspoke::soak
