/// \file
/// Starts, controls and queries the processes of a test cluster.
#include "support/test_cluster.h"

#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace mustardspoke::test {
namespace {

constexpr unsigned PlatformPort = 0;
constexpr unsigned OrderPort = 1;
constexpr unsigned StockPort = 2;
constexpr unsigned SheetPort = 3;
constexpr unsigned OrderProxyPort = 4;
constexpr unsigned OrderProxyControlPort = 5;
constexpr unsigned FirstVmPort = 10;
/// Ports of callers, peers, operators, the store proxy and its control.
constexpr unsigned PortsPerVm = 5;
constexpr std::size_t RequestTimeoutMs = 10000;
constexpr const char *Token = "rig-token";

std::string binaryPath(const std::string &Name) {
  return std::string(MUSTARDSPOKE_BUILD) + "/" + Name;
}

KeyPair teamKey(const std::string &Team) {
  return keyPairFromSeed("rig-" + Team);
}

} // namespace

TestCluster::TestCluster(ClusterOptions Options)
    : m_Options(std::move(Options)) {
  std::string Template =
      (std::filesystem::temp_directory_path() / "rig-XXXXXX").string();
  m_Directory = mkdtemp(Template.data());
  if (m_Options.m_StartPlatform)
    startPlatform();
  start("orders", {binaryPath("standin-upstream"), addressOf(OrderPort),
                   std::to_string(m_Options.m_OrderSlots),
                   std::to_string(m_Options.m_OrderServiceMs)});
  start("stock", {binaryPath("standin-upstream"), addressOf(StockPort), "10",
                  std::to_string(m_Options.m_StockServiceMs)});
  start("sheets", {binaryPath("standin-upstream"), addressOf(SheetPort), "3",
                   std::to_string(m_Options.m_SheetServiceMs)});
  if (m_Options.m_ProxyOrderUpstream)
    start("proxy-orders",
          {binaryPath("standin-proxy"), addressOf(OrderProxyPort),
           addressOf(OrderPort), addressOf(OrderProxyControlPort)});
  for (const std::string &Name : m_Options.m_StoreProxyVms) {
    unsigned Vm = unsigned(std::stoul(Name));
    unsigned FirstPort = FirstVmPort + Vm * PortsPerVm;
    start("proxy-store-" + Name,
          {binaryPath("standin-proxy"), addressOf(FirstPort + 3),
           addressOf(PlatformPort), addressOf(FirstPort + 4)});
  }
  for (unsigned Vm = 0; Vm < m_Options.m_VmCount; ++Vm)
    startVm(Vm);
}

TestCluster::~TestCluster() {
  m_Vms.clear();
  m_OtherProcesses.clear();
  if (!std::getenv("RIG_KEEP"))
    std::filesystem::remove_all(m_Directory);
}

void TestCluster::start(const std::string &Name,
                        const std::vector<std::string> &CommandLine) {
  m_OtherProcesses[Name] =
      std::make_unique<Process>(CommandLine, m_Directory + "/" + Name + ".log");
}

void TestCluster::startPlatform() {
  start("platform", {binaryPath("standin-platform"), addressOf(PlatformPort)});
  std::vector<ListedVm> List;
  Json Vms = Json::array();
  for (unsigned Vm = 0; Vm < m_Options.m_VmCount; ++Vm) {
    Json Entry = Json::object();
    Entry.set("vm", Json(vmName(Vm)));
    Entry.set("peer", Json(addressOf(FirstVmPort + Vm * PortsPerVm + 1)));
    Entry.set("leaving", Json(false));
    Vms.push(std::move(Entry));
  }
  HttpRequest Request{"POST", "/vms"};
  Request.m_Body = Json::object().set("vms", std::move(Vms)).toText();
  bool Listed = eventually([&] {
    return httpExchange(addressOf(PlatformPort), Request, RequestTimeoutMs)
               .m_Progress == HttpProgress::Answered;
  });
  if (!Listed)
    throw std::runtime_error("the platform stand-in doesn't respond");
}

std::string TestCluster::addressOf(unsigned Offset) const {
  return "127.0.0.1:" + std::to_string(m_Options.m_PortBase + Offset);
}

std::string TestCluster::vmName(unsigned Vm) const {
  return "vm-" + std::to_string(Vm);
}

std::string TestCluster::callerAddress(unsigned Vm) const {
  return addressOf(FirstVmPort + Vm * PortsPerVm);
}

std::string TestCluster::settings(unsigned Vm) const {
  unsigned FirstPort = FirstVmPort + Vm * PortsPerVm;
  bool HasStoreProxy = false;
  for (const std::string &Name : m_Options.m_StoreProxyVms)
    HasStoreProxy |= Name == std::to_string(Vm);
  std::string Peers;
  for (unsigned Other = 0; Other < m_Options.m_VmCount; ++Other)
    if (Other != Vm)
      Peers += (Peers.empty() ? "\"" : ",\"") +
               addressOf(FirstVmPort + Other * PortsPerVm + 1) + "\"";
  return R"({"vm":")" + vmName(Vm) +
         R"(","region":"dfw","failureDomain":"dfw-a","listen":{"callers":")" +
         addressOf(FirstPort) + R"(","peers":")" + addressOf(FirstPort + 1) +
         R"(","operators":")" + addressOf(FirstPort + 2) +
         R"("},"operators":{"token":")" + Token +
         R"("},"platform":{"address":")" +
         addressOf(HasStoreProxy ? FirstPort + 3 : PlatformPort) +
         R"("},"peers":[)" + Peers + R"(],"rootKey":")" +
         teamKey("root").m_Public + R"(","seed":)" + std::to_string(Vm + 1) +
         R"(,"tuning":{"lookupLifeMs":300)" +
         (m_Options.m_Tuning.empty() ? "" : "," + m_Options.m_Tuning) + "}}";
}

void TestCluster::startVm(unsigned Vm) {
  std::string Path = m_Directory + "/" + vmName(Vm) + ".json";
  std::ofstream(Path) << settings(Vm);
  std::vector<std::string> CommandLine{binaryPath("mustardspoke"), "entry",
                                       Path};
  if (!m_Options.m_DisabledMechanisms.empty()) {
    CommandLine = {binaryPath("standin-entry"), Path};
    CommandLine.insert(CommandLine.end(),
                       m_Options.m_DisabledMechanisms.begin(),
                       m_Options.m_DisabledMechanisms.end());
  }
  m_Vms[Vm] = std::make_unique<Process>(CommandLine, m_Directory + "/" +
                                                         vmName(Vm) + ".log");
}

std::string TestCluster::sectionText(const std::string &Team,
                                     const std::string &Suffix) const {
  if (Team == "root")
    return R"({"teams":[{"name":"orders","publicKey":")" +
           teamKey("orders").m_Public + R"("},{"name":"stock","publicKey":")" +
           teamKey("stock").m_Public +
           R"("}],"regions":[{"name":"dfw","cap":40,"failureDomains":)" +
           R"(["dfw-a","dfw-b"]}]})";
  auto Upstream = [&](const std::string &Name, unsigned Port, unsigned Slots) {
    return R"("upstreams":[{"name":")" + Name + R"(","address":")" +
           addressOf(Port) +
           R"(","region":"dfw","failureDomain":"dfw-a","slots":)" +
           std::to_string(Slots) + "}]}";
  };
  if (Team == "stock")
    return R"({"services":[{"name":"stock-lookup","repeatable":true,)" +
           Upstream("stock-1", StockPort, 10) + "]}" + Suffix;
  unsigned Port = m_Options.m_ProxyOrderUpstream ? OrderProxyPort : OrderPort;
  return R"({"services":[{"name":"order-booking","deadlineMs":)" +
         m_Options.m_OrderDeadlineMs + R"(,"maxDeadlineMs":)" +
         m_Options.m_OrderDeadlineMs + "," +
         Upstream("orders-1", Port, m_Options.m_OrderSlots) +
         R"(,{"name":"load-sheets","repeatable":true,"deadlineMs":60000,)" +
         R"("maxDeadlineMs":60000,)" + Upstream("sheets-1", SheetPort, 3) +
         "]}" + Suffix;
}

Section TestCluster::signedSection(const std::string &Team,
                                   std::uint64_t Revision,
                                   const std::string &Suffix) {
  Section Signed{TeamName(Team), Revision, sectionText(Team, Suffix), ""};
  Signed.m_Signature =
      sign(Signed.signedText(), teamKey(Team).m_Secret).value();
  return Signed;
}

HttpResponse TestCluster::acceptSections(unsigned Vm,
                                         const std::vector<Section> &Sections) {
  BundleDocument Document;
  Document.m_Sections = Sections;
  HttpRequest Request{"POST", "/bundle"};
  Request.m_Authorization = std::string("Bearer ") + Token;
  Request.m_Body = Document.toText();
  return httpExchange(addressOf(FirstVmPort + Vm * PortsPerVm + 2), Request,
                      RequestTimeoutMs * 3)
      .m_Response;
}

void TestCluster::acceptFirstBundle() {
  bool Accepted = eventually([&] {
    return acceptSections(0,
                          {signedSection("root", 1), signedSection("stock", 1),
                           signedSection("orders", 1)})
               .m_Body.find("version") != std::string::npos;
  });
  for (unsigned Vm = 0; Vm < m_Options.m_VmCount; ++Vm)
    Accepted = Accepted && eventually([&] { return isReady(Vm); });
  if (!Accepted)
    throw std::runtime_error("not every VM became ready with the first bundle");
}

bool TestCluster::isReady(unsigned Vm) {
  Json Status = operatorGet(Vm, "/status");
  const Json *Limits = Status.find("limits");
  if (!Status.boolOr("mayServe", false) || !Limits)
    return false;
  std::int64_t Usable = 0;
  for (const Json &Limit : Limits->items())
    if (Limit.textOr("limit", "") == "upstream/stock-1")
      Usable = Limit.integerOr("usable", 0);
  const Json *Self = Status.find("self");
  if (!Self || Self->textOr("state", "") != "live")
    return false;
  const Json *Members = Status.find("members");
  bool SeesAll = Members && Members->items().size() + 1 >= m_Vms.size();
  return Usable > 0 && SeesAll;
}

CallerResult TestCluster::call(unsigned Vm, const std::string &Service,
                               const std::string &Path,
                               const std::string &Body) {
  CallerRequest Request;
  Request.m_EntryAddresses = {callerAddress(Vm)};
  Request.m_Service = Service;
  Request.m_Path = Path;
  Request.m_Body = Body;
  return lookUpAndCall(Request);
}

CallerResult TestCluster::bookOrder(const std::string &Address,
                                    const std::string &Ticket,
                                    const std::string &Id) {
  return sendCall(Address, "/call/order-booking/run/" + Id, Ticket, "{}");
}

std::string TestCluster::ticketOwnedBy(unsigned Vm) {
  std::string Found;
  (void)eventually([&] {
    CallerResult Result =
        sendCall(callerAddress(Vm), "/lookup?service=order-booking", "", "");
    std::string Ticket =
        parseJson(Result.m_BodyStart).m_Value.textOr("ticket", "");
    if (Ticket.find("." + vmName(Vm) + ".") != std::string::npos)
      Found = Ticket;
    return !Found.empty();
  });
  return Found;
}

std::vector<std::string> TestCluster::vmsInLookup(unsigned Vm) {
  std::vector<std::string> Names;
  CallerResult Result =
      sendCall(callerAddress(Vm), "/lookup?service=stock-lookup", "", "");
  if (const Json *List = parseJson(Result.m_BodyStart).m_Value.find("vms"))
    for (const Json &Entry : List->items())
      Names.push_back(Entry.textOr("vm", ""));
  return Names;
}

Json TestCluster::operatorGet(unsigned Vm, const std::string &Path) {
  HttpRequest Request{"GET", Path};
  Request.m_Authorization = std::string("Bearer ") + Token;
  HttpExchange Exchange = httpExchange(
      addressOf(FirstVmPort + Vm * PortsPerVm + 2), Request, RequestTimeoutMs);
  return parseJson(Exchange.m_Response.m_Body).m_Value;
}

std::uint64_t TestCluster::bundleVersion(unsigned Vm) {
  return std::uint64_t(operatorGet(Vm, "/status").integerOr("bundle", 0));
}

void TestCluster::setStoreMode(const std::string &Mode, int Millis) {
  HttpRequest Request{"POST", "/fault"};
  Request.m_Body =
      Json::object().set("mode", Json(Mode)).set("ms", Json(Millis)).toText();
  (void)httpExchange(addressOf(PlatformPort), Request, RequestTimeoutMs);
}

void TestCluster::setProxyMode(const std::string &Name,
                               const std::string &Mode) {
  unsigned ControlPort = OrderProxyControlPort;
  if (Name != "orders")
    ControlPort = FirstVmPort + unsigned(std::stoul(Name)) * PortsPerVm + 4;
  HttpRequest Request{"POST", "/mode"};
  Request.m_Body = Json::object().set("mode", Json(Mode)).toText();
  (void)httpExchange(addressOf(ControlPort), Request, RequestTimeoutMs);
}

void TestCluster::configureUpstream(const std::string &Service,
                                    const std::string &Query) {
  unsigned Port = Service == "orders"  ? OrderPort
                  : Service == "stock" ? StockPort
                                       : SheetPort;
  (void)sendCall(addressOf(Port), "/set?" + Query, "", "");
}

Json TestCluster::upstreamLog(const std::string &Service) {
  unsigned Port = Service == "orders"  ? OrderPort
                  : Service == "stock" ? StockPort
                                       : SheetPort;
  HttpExchange Exchange =
      httpExchange(addressOf(Port), {"GET", "/runs"}, RequestTimeoutMs);
  return parseJson(Exchange.m_Response.m_Body).m_Value;
}

unsigned TestCluster::runCount(const std::string &Id) {
  unsigned Count = 0;
  Json Log = upstreamLog("orders");
  if (const Json *List = Log.find("runs"))
    for (const Json &Run : List->items())
      Count += Run.textOr("id", "") == Id ? 1 : 0;
  return Count;
}

} // namespace mustardspoke::test
