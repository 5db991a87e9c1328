/// \file
/// Listeners, signals, reload and stop of the gateway process.
#include "gateway/gateway.h"

#include "gateway/exchange.h"
#include "gateway/peers.h"
#include "observe/log.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <fstream>
#include <iterator>
#include <sys/stat.h>
#include <time.h>

namespace mustardspoke::steer {
namespace {

/// Exit this long before the grace ends, so that the kill finds nothing.
constexpr Duration GraceMargin = 600ms;
/// Part of the grace in which new requests are taken; the rest is for those
/// under way. Later requests are refused, which sends their callers elsewhere;
/// closing their connections would leave some without an answer.
constexpr double TakingPart = 0.45;
/// A leaving VM stays for callers that still hold an old look-up answer.
constexpr Duration LeastStay = 2500ms;
/// Without a request for so long, nobody is left who would send one.
constexpr Duration QuietBeforeExit = 700ms;
constexpr Duration TickEvery = 500ms;
/// Ticks over which the mean lag of the loop is taken.
constexpr std::int64_t LagBlend = 4;
/// A difference of the clocks that run on and stand still during a suspension.
constexpr Duration SuspendedFor = 500ms;

Duration clockNow(clockid_t Clock) {
  timespec Now{};
  ::clock_gettime(Clock, &Now);
  return std::chrono::duration_cast<Duration>(
      std::chrono::seconds(Now.tv_sec) + std::chrono::nanoseconds(Now.tv_nsec));
}

/// \brief Time that the VM was suspended since its boot.
Duration suspendedTime() {
  return clockNow(CLOCK_BOOTTIME) - clockNow(CLOCK_MONOTONIC);
}

std::optional<std::string> readFile(const std::string &Path) {
  std::ifstream In(Path, std::ios::binary);
  if (!In)
    return std::nullopt;
  return std::string(std::istreambuf_iterator<char>(In), {});
}

/// \brief Changes when the file does.
std::int64_t fileStamp(const std::string &Path) {
  struct stat Of {};
  if (::stat(Path.c_str(), &Of) != 0)
    return 0;
  return std::int64_t(Of.st_mtim.tv_sec) * 1000000000 + Of.st_mtim.tv_nsec;
}

class Gateway {
public:
  Gateway(std::string Path, GatewaySettings Settings,
          const GatewayAdapter &Adapter)

      : m_Path(std::move(Path)), m_State(m_Io, std::move(Settings),
                                         Adapter.m_Dialect, Adapter.m_Decoder),
        m_Pool(m_Io),
        m_Store(Adapter.m_MakeStore(m_Io, m_State.m_Settings.m_StoreAddress)),
        m_Belief(m_State, m_Pool, *m_Store), m_Peers(m_State, m_Belief),
        m_Signals(m_Io, SIGTERM, SIGINT, SIGHUP) {
    using namespace std::chrono;
    m_State.m_Fleet.m_Self.m_Incarnation = std::uint64_t(
        duration_cast<milliseconds>(system_clock::now().time_since_epoch())
            .count());
  }

  int run();

private:
  using Local = std::string (Gateway::*)(const HttpHead &Of);

  [[nodiscard]] bool listen(const std::string &Address,
                            const RequestHandler &Serve);
  awaitable<void> acceptLoop(std::shared_ptr<Tcp::acceptor> On,
                             RequestHandler Serve);
  /// \brief Answers with what a member function returns.
  RequestHandler local(Local Answer);
  [[nodiscard]] std::string ready(const HttpHead &Of);
  [[nodiscard]] std::string lookup(const HttpHead &Of);
  [[nodiscard]] std::string metrics(const HttpHead &Of);
  [[nodiscard]] std::string nothingHere(const HttpHead &Of);

  void armSignals();
  void reload(std::string_view Why);
  awaitable<void> leave();
  awaitable<void> tickLoop();

  std::string m_Path;
  asio::io_context m_Io{1};
  GatewayState m_State;
  UpstreamPool m_Pool;
  std::unique_ptr<RowStore> m_Store;
  Belief m_Belief;
  PeerLink m_Peers;
  asio::signal_set m_Signals;
};

std::string Gateway::ready(const HttpHead &Of) {
  if (Of.m_Target.substr(0, Of.m_Target.find('?')) !=
      m_State.m_Dialect.m_ReadyPath)
    return nothingHere(Of);
  return m_State.ready() ? wholeAnswer(200, "text/plain", "ready\n")
                         : wholeAnswer(503, "text/plain", "not ready\n");
}

std::string Gateway::lookup(const HttpHead &Of) {
  if (Of.m_Target.substr(0, Of.m_Target.find('?')) !=
      m_State.m_Dialect.m_LookupPath)
    return nothingHere(Of);
  LookupQuestion Question = m_State.m_Dialect.m_ReadLookup(Of.m_Target);
  Placement At{RegionName(Question.m_Region),
               FailureDomainName(Question.m_Domain)};
  Fleet &View = m_State.m_Fleet;
  View.m_Self.m_Ready = m_State.ready();
  View.m_Self.m_Leaving = m_State.m_Leaving;
  std::vector<std::string> Named = View.named(At, steadyNow());
  if (Named.empty())
    return wholeAnswer(503, "text/plain", "no entry VM is ready\n");
  return wholeAnswer(
      200, "application/json",
      m_State.m_Dialect.m_LookupBody(Named, m_State.m_Settings.m_LookupLife));
}

std::string Gateway::metrics(const HttpHead & /*Of*/) {
  return wholeAnswer(200, "text/plain", m_State.m_Metrics.exposition());
}

std::string Gateway::nothingHere(const HttpHead & /*Of*/) {
  return wholeAnswer(404, "text/plain", "no such page\n");
}

RequestHandler Gateway::local(Local Answer) {
  return [this, Answer](CallerConnectionPtr From,
                        PendingRequestPtr Request) -> awaitable<bool> {
    if (Request->m_Fault != HttpFault::None || Request->m_HeadLate) {
      co_await From->send(Request,
                          wholeAnswer(400, "text/plain", "unreadable\n"));
      co_return false;
    }
    bool There = co_await From->send(Request, (this->*Answer)(Request->m_Head));
    co_return There && Request->m_Head.m_KeepAlive;
  };
}

bool Gateway::listen(const std::string &Address, const RequestHandler &Serve) {
  auto At = endpointOf<Tcp>(Address);
  auto On = std::make_shared<Tcp::acceptor>(m_Io);
  NetError Error;
  if (!At)
    Error = asio::error::make_error_code(asio::error::invalid_argument);
  if (!Error)
    On->open(At->protocol(), Error);
  if (!Error)
    On->set_option(asio::socket_base::reuse_address(true), Error);
  if (!Error)
    On->bind(*At, Error);
  if (!Error)
    On->listen(asio::socket_base::max_listen_connections, Error);
  if (Error) {
    logEvent(LogLevel::Error, "listen-failed",
             {{"address", Address}, {"cause", Error.message()}});
    return false;
  }
  asio::co_spawn(
      m_Io, [this, On, Serve]() { return acceptLoop(On, Serve); },
      asio::detached);
  return true;
}

awaitable<void> Gateway::acceptLoop(std::shared_ptr<Tcp::acceptor> On,
                                    RequestHandler Serve) {
  while (On->is_open()) {
    NetError Error;
    Tcp::socket Caller = co_await On->async_accept(noThrow(Error));
    if (Error == asio::error::operation_aborted)
      co_return; // The port was closed.
    if (Error) {
      // Out of descriptors or a caller that left early: others still come.
      logEvent(LogLevel::Warning, "accept-failed",
               {{"cause", Error.message()}});
      co_await sleepFor(m_Io, 10ms);
      continue;
    }
    CallerLimits Limits =
        m_State.m_Routes ? m_State.m_Routes->m_Limits : CallerLimits();
    CallerConnectionPtr One(
        new CallerConnection(m_Io, std::move(Caller), Limits, Serve));
    One->start();
  }
}

void Gateway::armSignals() {
  m_Signals.async_wait([this](const NetError &Error, int Which) {
    if (Error)
      return;
    if (Which == SIGHUP) {
      reload("signal");
    } else if (!m_State.m_Leaving) {
      m_State.m_Leaving = true;
      asio::co_spawn(
          m_Io, [this]() { return leave(); }, asio::detached);
    }
    armSignals();
  });
}

void Gateway::reload(std::string_view Why) {
  auto Text = readFile(m_Path);
  Faults Found;
  GatewaySettings New;
  if (Text)
    New = readGatewaySettings(*Text, Found);
  else
    Found.push_back({"(file)", m_Path, "a readable file"});
  if (!Found.empty()) {
    // The last good settings stay in force.
    logEvent(LogLevel::Error, "settings-refused",
             {{"why", std::string(Why)}, {"faults", faultLines(Found)}});
    return;
  }
  GatewaySettings &Now = m_State.m_Settings;
  Now.m_Retry = New.m_Retry;
  Now.m_Grace = New.m_Grace;
  Now.m_LookupLife = New.m_LookupLife;
  Now.m_LookupLifeMost = New.m_LookupLifeMost;
  Now.m_SeedIps = New.m_SeedIps;
  Now.m_Regions = New.m_Regions;
  logEvent(LogLevel::Info, "settings-reloaded", {{"why", std::string(Why)}});
}

awaitable<void> Gateway::leave() {
  TimePoint Began = steadyNow();
  logEvent(LogLevel::Info, "stopping",
           {{"inFlight", std::to_string(m_State.m_InFlight)}});
  m_Peers.announce();
  asio::co_spawn(
      m_Io, [this]() { return m_Belief.withdraw(); }, asio::detached);
  for (;;) {
    TimePoint Now = steadyNow();
    Duration TakesFor(
        std::int64_t(double(m_State.m_Settings.m_Grace.count()) * TakingPart));
    if (m_State.m_Taking && Now - Began > TakesFor) {
      m_State.m_Taking = false;
      logEvent(LogLevel::Info, "stopped-taking",
               {{"inFlight", std::to_string(m_State.m_InFlight)}});
    }
    bool Quiet = m_State.m_InFlight == 0 &&
                 Now - m_State.m_LastRequest > QuietBeforeExit &&
                 Now - Began > LeastStay;
    if (Quiet || Now - Began > m_State.m_Settings.m_Grace - GraceMargin)
      break;
    co_await sleepFor(m_Io, 50ms);
  }
  m_State.m_Metrics.recordDrain(steadyNow() - Began);
  logEvent(LogLevel::Info, "stopped",
           {{"cutOff", std::to_string(m_State.m_InFlight)},
            {"afterMs", std::to_string(toMillis(steadyNow() - Began))}});
  m_Io.stop();
}

awaitable<void> Gateway::tickLoop() {
  asio::steady_timer Timer(m_Io);
  NetError Ignored;
  std::int64_t Stamp = fileStamp(m_Path);
  Duration Suspended = suspendedTime();
  bool WasReady = false;
  for (;;) {
    TimePoint Due = steadyNow() + TickEvery;
    Timer.expires_at(toSteady(Due));
    co_await Timer.async_wait(noThrow(Ignored));
    m_Pool.sweep(steadyNow());
    Duration Late = steadyNow() - Due;
    Duration &Lag = m_State.m_Fleet.m_Self.m_Lag;
    Lag += (Late - Lag) / LagBlend;
    if (std::int64_t Now = fileStamp(m_Path); Now != Stamp && Now != 0) {
      Stamp = Now;
      reload("file-changed");
    }
    if (Duration Now = suspendedTime(); Now - Suspended > SuspendedFor) {
      logEvent(LogLevel::Warning, "was-suspended",
               {{"ms", std::to_string(toMillis(Now - Suspended))}});
      Suspended = Now;
      m_Pool.dropAll();
      m_Belief.doubt("suspended");
    }
    if (bool Now = m_State.ready(); Now != WasReady) {
      WasReady = Now;
      logEvent(LogLevel::Info, Now ? "ready" : "not-ready");
    }
  }
}

int Gateway::run() {
  auto Forward = [this](CallerConnectionPtr From,
                        PendingRequestPtr Request) -> awaitable<bool> {
    Exchange One(m_State, m_Pool, From, Request);
    co_return co_await One.run();
  };
  const GatewaySettings &Settings = m_State.m_Settings;
  bool Listening = listen(Settings.m_CallerAddress, Forward) &&
                   listen(Settings.m_ReadyAddress, local(&Gateway::ready)) &&
                   listen(Settings.m_LookupAddress, local(&Gateway::lookup));
  if (Listening && !Settings.m_MetricsAddress.empty())
    Listening = listen(Settings.m_MetricsAddress, local(&Gateway::metrics));
  if (Listening && !Settings.m_SeedAddress.empty())
    Listening = listen(Settings.m_SeedAddress, local(&Gateway::nothingHere));
  if (!Listening)
    return 2;
  if (NetError Error = m_Peers.start()) {
    logEvent(LogLevel::Error, "listen-failed",
             {{"address", Settings.m_PeerAddress}, {"cause", Error.message()}});
    return 2;
  }
  logEvent(
      LogLevel::Info, "started",
      {{"callers", Settings.m_CallerAddress},
       {"store", Settings.m_StoreAddress},
       {"peers", Settings.m_PeerAddress},
       {"incarnation", std::to_string(m_State.m_Fleet.m_Self.m_Incarnation)}});
  armSignals();
  m_Belief.start();
  asio::co_spawn(
      m_Io, [this]() { return m_Belief.publish(); }, asio::detached);
  asio::co_spawn(
      m_Io, [this]() { return tickLoop(); }, asio::detached);
  m_Io.run();
  return 0;
}

} // namespace

int runGateway(const std::string &Path, const GatewaySettings &Settings,
               const GatewayAdapter &Adapter) {
  // A caller that left must show as an error of the write, not as a signal.
  std::signal(SIGPIPE, SIG_IGN);
  Gateway One(Path, Settings, Adapter);
  int Status = One.run();
  // Requests that the grace cut off still refer to the gateway's members, so
  // neither is taken down.
  std::_Exit(Status);
}

} // namespace mustardspoke::steer
