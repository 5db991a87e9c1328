/// \file
/// Starting, steering and reading the processes of a rig.
#include "support/rig.h"

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
constexpr unsigned OrderProxyControl = 5;
constexpr unsigned FirstVmPort = 10;
constexpr unsigned PortsPerVm =
    5; ///< callers, peers, operators, proxy, control
constexpr std::size_t RequestTimeoutMs = 10000;
constexpr const char *Token = "rig-token";

std::string binary(const std::string &Name) {
  return std::string(MUSTARDSPOKE_BUILD) + "/" + Name;
}

KeyPair keyOf(const std::string &Team) {
  return keyPairFromSeed("rig-" + Team);
}

} // namespace

Rig::Rig(RigPlan Plan) : m_Plan(std::move(Plan)) {
  std::string Template =
      (std::filesystem::temp_directory_path() / "rig-XXXXXX").string();
  m_Folder = mkdtemp(Template.data());
  if (m_Plan.m_StartPlatform)
    startPlatform();
  start("orders", {binary("standin-upstream"), port(OrderPort),
                   std::to_string(m_Plan.m_OrderSlots),
                   std::to_string(m_Plan.m_OrderMs)});
  start("stock", {binary("standin-upstream"), port(StockPort), "10",
                  std::to_string(m_Plan.m_StockMs)});
  start("sheets", {binary("standin-upstream"), port(SheetPort), "3",
                   std::to_string(m_Plan.m_SheetMs)});
  if (m_Plan.m_ProxyOrders)
    start("proxy-orders", {binary("standin-proxy"), port(OrderProxyPort),
                           port(OrderPort), port(OrderProxyControl)});
  for (const std::string &Name : m_Plan.m_ProxyStoreOf) {
    unsigned Vm = unsigned(std::stoul(Name));
    unsigned At = FirstVmPort + Vm * PortsPerVm;
    start("proxy-store-" + Name, {binary("standin-proxy"), port(At + 3),
                                  port(PlatformPort), port(At + 4)});
  }
  for (unsigned Vm = 0; Vm < m_Plan.m_Vms; ++Vm)
    startVm(Vm);
}

Rig::~Rig() {
  m_Vms.clear();
  m_Others.clear();
  if (!std::getenv("RIG_KEEP"))
    std::filesystem::remove_all(m_Folder);
}

void Rig::start(const std::string &Name,
                const std::vector<std::string> &Words) {
  m_Others[Name] =
      std::make_unique<Process>(Words, m_Folder + "/" + Name + ".log");
}

void Rig::startPlatform() {
  start("platform", {binary("standin-platform"), port(PlatformPort)});
  std::vector<ListedVm> List;
  Json Body = Json::array();
  for (unsigned Vm = 0; Vm < m_Plan.m_Vms; ++Vm) {
    Json One = Json::object();
    One.set("vm", Json(vmName(Vm)));
    One.set("peer", Json(port(FirstVmPort + Vm * PortsPerVm + 1)));
    One.set("leaving", Json(false));
    Body.push(std::move(One));
  }
  HttpRequest Query{"POST", "/vms"};
  Query.m_Body = Json::object().set("vms", std::move(Body)).toText();
  bool Listed = eventually([&] {
    return httpExchange(port(PlatformPort), Query, RequestTimeoutMs)
               .m_Progress == HttpProgress::Answered;
  });
  if (!Listed)
    throw std::runtime_error("the platform stand-in doesn't answer");
}

std::string Rig::port(unsigned Offset) const {
  return "127.0.0.1:" + std::to_string(m_Plan.m_PortBase + Offset);
}

std::string Rig::vmName(unsigned Vm) const {
  return "vm-" + std::to_string(Vm);
}

std::string Rig::address(unsigned Vm) const {
  return port(FirstVmPort + Vm * PortsPerVm);
}

std::string Rig::settings(unsigned Vm) const {
  unsigned At = FirstVmPort + Vm * PortsPerVm;
  bool Proxied = false;
  for (const std::string &Name : m_Plan.m_ProxyStoreOf)
    Proxied |= Name == std::to_string(Vm);
  std::string Peers;
  for (unsigned Other = 0; Other < m_Plan.m_Vms; ++Other)
    if (Other != Vm)
      Peers += (Peers.empty() ? "\"" : ",\"") +
               port(FirstVmPort + Other * PortsPerVm + 1) + "\"";
  return R"({"vm":")" + vmName(Vm) +
         R"(","region":"dfw","failureDomain":"dfw-a","listen":{"callers":")" +
         port(At) + R"(","peers":")" + port(At + 1) + R"(","operators":")" +
         port(At + 2) + R"("},"operators":{"token":")" + Token +
         R"("},"platform":{"address":")" +
         port(Proxied ? At + 3 : PlatformPort) + R"("},"peers":[)" + Peers +
         R"(],"rootKey":")" + keyOf("root").m_Public + R"(","seed":)" +
         std::to_string(Vm + 1) + R"(,"tuning":{"lookupLifeMs":300)" +
         (m_Plan.m_Tuning.empty() ? "" : "," + m_Plan.m_Tuning) + "}}";
}

void Rig::startVm(unsigned Vm) {
  std::string Path = m_Folder + "/" + vmName(Vm) + ".json";
  std::ofstream(Path) << settings(Vm);
  std::vector<std::string> Words{binary("mustardspoke"), "entry", Path};
  if (!m_Plan.m_TakeOut.empty()) {
    Words = {binary("standin-entry"), Path};
    Words.insert(Words.end(), m_Plan.m_TakeOut.begin(), m_Plan.m_TakeOut.end());
  }
  m_Vms[Vm] =
      std::make_unique<Process>(Words, m_Folder + "/" + vmName(Vm) + ".log");
}

std::string Rig::sectionText(const std::string &Team,
                             const std::string &Mark) const {
  if (Team == "root")
    return R"({"teams":[{"name":"orders","publicKey":")" +
           keyOf("orders").m_Public + R"("},{"name":"stock","publicKey":")" +
           keyOf("stock").m_Public +
           R"("}],"regions":[{"name":"dfw","cap":40,"failureDomains":)" +
           R"(["dfw-a","dfw-b"]}]})";
  auto Upstream = [&](const std::string &Name, unsigned At, unsigned Slots) {
    return R"("upstreams":[{"name":")" + Name + R"(","address":")" + port(At) +
           R"(","region":"dfw","failureDomain":"dfw-a","slots":)" +
           std::to_string(Slots) + "}]}";
  };
  if (Team == "stock")
    return R"({"services":[{"name":"stock-lookup","repeatable":true,)" +
           Upstream("stock-1", StockPort, 10) + "]}" + Mark;
  unsigned At = m_Plan.m_ProxyOrders ? OrderProxyPort : OrderPort;
  return R"({"services":[{"name":"order-booking","deadlineMs":)" +
         m_Plan.m_OrderDeadlineMs + R"(,"maxDeadlineMs":)" +
         m_Plan.m_OrderDeadlineMs + "," +
         Upstream("orders-1", At, m_Plan.m_OrderSlots) +
         R"(,{"name":"load-sheets","repeatable":true,"deadlineMs":60000,)" +
         R"("maxDeadlineMs":60000,)" + Upstream("sheets-1", SheetPort, 3) +
         "]}" + Mark;
}

Section Rig::section(const std::string &Team, std::uint64_t Revision,
                     const std::string &Mark) {
  Section One{TeamName(Team), Revision, sectionText(Team, Mark), ""};
  One.m_Signature = sign(One.signedText(), keyOf(Team).m_Secret).value();
  return One;
}

HttpResponse Rig::accept(unsigned Vm, const std::vector<Section> &Sections) {
  BundleDocument Document;
  Document.m_Sections = Sections;
  HttpRequest Query{"POST", "/bundle"};
  Query.m_Authorization = std::string("Bearer ") + Token;
  Query.m_Body = Document.toText();
  return httpExchange(port(FirstVmPort + Vm * PortsPerVm + 2), Query,
                      RequestTimeoutMs * 3)
      .m_Response;
}

void Rig::acceptFirst() {
  bool Accepted = eventually([&] {
    return accept(0, {section("root", 1), section("stock", 1),
                      section("orders", 1)})
               .m_Body.find("version") != std::string::npos;
  });
  for (unsigned Vm = 0; Vm < m_Plan.m_Vms; ++Vm)
    Accepted = Accepted && eventually([&] { return ready(Vm); });
  if (!Accepted)
    throw std::runtime_error("the first bundle did not come into force");
}

bool Rig::ready(unsigned Vm) {
  Json Status = operatorGet(Vm, "/status");
  const Json *Limits = Status.find("limits");
  if (!Status.boolOr("mayServe", false) || !Limits)
    return false;
  std::int64_t Usable = 0;
  for (const Json &One : Limits->items())
    if (One.textOr("limit", "") == "upstream/stock-1")
      Usable = One.integerOr("usable", 0);
  const Json *Self = Status.find("self");
  if (!Self || Self->textOr("state", "") != "live")
    return false;
  const Json *Members = Status.find("members");
  bool SeesAll = Members && Members->items().size() + 1 >= m_Vms.size();
  return Usable > 0 && SeesAll;
}

CallerResult Rig::call(unsigned Vm, const std::string &Service,
                       const std::string &Path, const std::string &Body) {
  CallerRequest Request;
  Request.m_EntryAddresses = {address(Vm)};
  Request.m_Service = Service;
  Request.m_Path = Path;
  Request.m_Body = Body;
  return lookUpAndCall(Request);
}

CallerResult Rig::book(const std::string &Address, const std::string &Ticket,
                       const std::string &Id) {
  return sendCall(Address, "/call/order-booking/run/" + Id, Ticket, "{}");
}

std::string Rig::ticketOf(unsigned Vm) {
  std::string Found;
  (void)eventually([&] {
    CallerResult Result =
        sendCall(address(Vm), "/lookup?service=order-booking", "", "");
    std::string Ticket =
        parseJson(Result.m_BodyStart).m_Value.textOr("ticket", "");
    if (Ticket.find("." + vmName(Vm) + ".") != std::string::npos)
      Found = Ticket;
    return !Found.empty();
  });
  return Found;
}

std::vector<std::string> Rig::namedBy(unsigned Vm) {
  std::vector<std::string> Names;
  CallerResult Result =
      sendCall(address(Vm), "/lookup?service=stock-lookup", "", "");
  if (const Json *List = parseJson(Result.m_BodyStart).m_Value.find("vms"))
    for (const Json &One : List->items())
      Names.push_back(One.textOr("vm", ""));
  return Names;
}

Json Rig::operatorGet(unsigned Vm, const std::string &Path) {
  HttpRequest Query{"GET", Path};
  Query.m_Authorization = std::string("Bearer ") + Token;
  HttpExchange Exchange = httpExchange(port(FirstVmPort + Vm * PortsPerVm + 2),
                                       Query, RequestTimeoutMs);
  return parseJson(Exchange.m_Response.m_Body).m_Value;
}

std::uint64_t Rig::bundleVersion(unsigned Vm) {
  return std::uint64_t(operatorGet(Vm, "/status").integerOr("bundle", 0));
}

void Rig::store(const std::string &Mode, int Millis) {
  HttpRequest Query{"POST", "/fault"};
  Query.m_Body =
      Json::object().set("mode", Json(Mode)).set("ms", Json(Millis)).toText();
  (void)httpExchange(port(PlatformPort), Query, RequestTimeoutMs);
}

void Rig::proxy(const std::string &Name, const std::string &Mode) {
  unsigned Control = OrderProxyControl;
  if (Name != "orders")
    Control = FirstVmPort + unsigned(std::stoul(Name)) * PortsPerVm + 4;
  HttpRequest Query{"POST", "/mode"};
  Query.m_Body = Json::object().set("mode", Json(Mode)).toText();
  (void)httpExchange(port(Control), Query, RequestTimeoutMs);
}

void Rig::upstream(const std::string &Service, const std::string &Query) {
  unsigned At = Service == "orders"  ? OrderPort
                : Service == "stock" ? StockPort
                                     : SheetPort;
  (void)sendCall(port(At), "/set?" + Query, "", "");
}

Json Rig::runs(const std::string &Service) {
  unsigned At = Service == "orders"  ? OrderPort
                : Service == "stock" ? StockPort
                                     : SheetPort;
  HttpExchange Exchange =
      httpExchange(port(At), {"GET", "/runs"}, RequestTimeoutMs);
  return parseJson(Exchange.m_Response.m_Body).m_Value;
}

unsigned Rig::runsOf(const std::string &Id) {
  unsigned Count = 0;
  Json Log = runs("orders");
  if (const Json *List = Log.find("runs"))
    for (const Json &One : List->items())
      Count += One.textOr("id", "") == Id ? 1 : 0;
  return Count;
}

} // namespace mustardspoke::test
