/// \file
/// Listeners, signals, settings reload and shutdown of the gateway process.
#include "gateway/gateway.h"

#include "gateway/address_binder.h"
#include "gateway/buffer_report.h"
#include "gateway/crash_report.h"
#include "gateway/exchange.h"
#include "gateway/explain.h"
#include "gateway/limit_report.h"
#include "gateway/link_monitor.h"
#include "gateway/lookup_report.h"
#include "gateway/peers.h"
#include "gateway/share_report.h"
#include "gateway/task.h"
#include "observe/last_line.h"
#include "observe/log.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <fstream>
#include <iterator>
#include <sys/stat.h>

namespace mustardspoke::steer {
namespace {

/// The process exits this long before the grace period ends, so that it is
/// never killed.
constexpr Duration GraceMargin = 600ms;
/// Time to answer the callers of requests that are still being served then.
constexpr Duration LastAnswersTime = 100ms;
/// A leaving VM keeps running for callers that still use an old look-up
/// response.
constexpr Duration MinDrainTime = 2500ms;
/// After this time without a request, no caller is expected to send one.
constexpr Duration IdleTimeBeforeExit = 700ms;
/// For a predecessor that still has an address of this process.
constexpr Duration MaxAddressWait = 3s;
constexpr Duration TickInterval = 500ms;
/// On the metrics address; every other path is the metrics'.
constexpr std::string_view ExplainPath = "/explain";
/// Room for the fields that a peer adds to a request.
constexpr std::uint32_t RelayHeaderBytes = 1024;
/// Peers close their connections to this VM after less.
constexpr Duration RelayIdleTimeout = 10s;
/// Number of ticks in the running mean of the event loop's lag.
constexpr std::int64_t LagMeanTicks = 4;
/// Smallest change of suspendedTime() that counts as a suspension.
constexpr Duration MinSuspension = 500ms;

/// \brief Total time that the VM was suspended since its boot.
Duration suspendedTime() {
  return timeSinceBoot() - steadyNow().time_since_epoch();
}

std::optional<std::string> readFile(const std::string &Path) {
  std::ifstream In(Path, std::ios::binary);
  if (!In)
    return std::nullopt;
  return std::string(std::istreambuf_iterator<char>(In), {});
}

/// \brief Modification time of the file in nanoseconds; 0 if it doesn't exist.
std::int64_t modificationTime(const std::string &Path) {
  struct stat FileStatus {};
  if (::stat(Path.c_str(), &FileStatus) != 0)
    return 0;
  return std::int64_t(FileStatus.st_mtim.tv_sec) * 1000000000 +
         FileStatus.st_mtim.tv_nsec;
}

class Gateway {
public:
  Gateway(std::string Path, GatewaySettings Settings,
          const GatewayAdapter &Adapter)

      : m_Path(std::move(Path)),
        m_State(m_Io, std::move(Settings), Adapter.m_WireFormat,
                Adapter.m_Decoder),
        m_Pool(m_Io, m_State.m_Settings.m_SourceIp),
        m_Store(Adapter.m_MakeStore(m_Io, m_State.m_Settings.m_StoreAddress)),
        m_Replica(m_State, m_Pool, *m_Store), m_Peers(m_State, m_Replica),
        m_LinkMonitor(m_State, m_Pool),
        m_Signals(m_Io, SIGTERM, SIGINT, SIGHUP) {
    using namespace std::chrono;
    m_State.m_Fleet.m_Self.m_Incarnation = std::uint64_t(
        duration_cast<milliseconds>(system_clock::now().time_since_epoch())
            .count());
    m_State.m_Fleet.startListening(steadyNow());
    m_State.m_OnPause = [this](Duration Pause) {
      logEvent(LogLevel::Warning, "was-paused",
               {{"ms", std::to_string(toMillis(Pause))},
                {"routes", std::to_string(m_State.routesVersion())}});
      m_Replica.confirmConfiguration();
    };
  }

  int run();

private:
  using PageFunction = std::string (Gateway::*)(const HttpHead &Head);

  using LimitsFunction = CallerLimits (Gateway::*)() const;

  /// \param Limits Called for each connection.
  [[nodiscard]] bool listen(const AddressBinder &Binder,
                            const std::string &Address,
                            const RequestHandler &Handler,
                            LimitsFunction Limits = &Gateway::callerLimits);
  awaitable<void> acceptLoop(std::shared_ptr<Tcp::acceptor> Acceptor,
                             RequestHandler Handler, LimitsFunction Limits);
  [[nodiscard]] CallerLimits callerLimits() const;
  [[nodiscard]] CallerLimits relayLimits() const;
  /// \brief Makes a handler that responds with the result of a member function.
  RequestHandler pageHandler(PageFunction Page);
  [[nodiscard]] std::string readyPage(const HttpHead &Head);
  [[nodiscard]] std::string lookupPage(const HttpHead &Head);
  [[nodiscard]] std::string metricsPage(const HttpHead &Head);
  [[nodiscard]] std::string notFoundPage(const HttpHead &Head);

  void armSignals();
  void reload(std::string_view Reason);
  awaitable<void> shutDown();
  /// \brief Answers the callers of requests that are still being served.
  awaitable<void> endRequests();
  awaitable<void> maintenanceLoop();

  std::string m_Path;
  asio::io_context m_Io{1};
  GatewayState m_State;
  UpstreamPool m_Pool;
  std::unique_ptr<RowStore> m_Store;
  StoreReplica m_Replica;
  PeerService m_Peers;
  LinkMonitor m_LinkMonitor;
  BufferLog m_BufferLog;
  LookupReport m_Lookups;
  asio::signal_set m_Signals;
};

std::string Gateway::readyPage(const HttpHead &Head) {
  if (Head.m_Target.substr(0, Head.m_Target.find('?')) !=
      m_State.m_WireFormat.m_ReadyPath)
    return notFoundPage(Head);
  return m_State.ready() ? completeResponse(200, "text/plain", "ready\n")
                         : completeResponse(503, "text/plain", "not ready\n");
}

std::string Gateway::lookupPage(const HttpHead &Head) {
  if (Head.m_Target.substr(0, Head.m_Target.find('?')) !=
      m_State.m_WireFormat.m_LookupPath)
    return notFoundPage(Head);
  LookupQuery Query = m_State.m_WireFormat.m_ReadLookupQuery(Head.m_Target);
  Placement CallerPlacement{RegionName(Query.m_Region),
                            FailureDomainName(Query.m_Domain)};
  Fleet &Peers = m_State.m_Fleet;
  Peers.m_Self.m_Ready = m_State.ready();
  Peers.m_Self.m_Leaving = m_State.m_Leaving;
  m_State.noticePause();
  LookupAnswer Answer = Peers.answerLookup(CallerPlacement, steadyNow());
  m_Lookups.record(CallerPlacement, Answer, steadyNow() - m_State.m_StartedAt);
  if (Answer.m_Addresses.empty())
    return completeResponse(503, "text/plain",
                            Answer.m_IsTooEarly
                                ? "this entry VM has just started\n"
                                : "no entry VM is ready\n");
  return completeResponse(
      200, "application/json",
      m_State.m_WireFormat.m_MakeLookupBody(Answer.m_Addresses,
                                            m_State.m_Settings.m_LookupTtl));
}

std::string Gateway::metricsPage(const HttpHead &Head) {
  if (Head.m_Target.substr(0, Head.m_Target.find('?')) == ExplainPath)
    return explainPage(m_State, Head.m_Target);
  return completeResponse(
      200, "text/plain",
      m_State.m_Metrics.exposition() + m_Replica.exposition() +
          shareExposition(m_State.m_LocalShares) +
          admissionExposition(m_State.m_Admission) +
          limitExposition(m_State.m_Upstreams, steadyNow()) +
          quotaExposition(m_State.m_Quotas) +
          crashExposition(m_State.m_CrashSuspects) +
          bufferExposition(m_State.m_Buffers) +
          linkExposition(m_State.m_OwnLinks) + m_Lookups.exposition());
}

std::string Gateway::notFoundPage(const HttpHead & /*Head*/) {
  return completeResponse(404, "text/plain", "no such page\n");
}

RequestHandler Gateway::pageHandler(PageFunction Page) {
  return [this, Page](CallerConnectionPtr Caller,
                      PendingRequestPtr Request) -> awaitable<bool> {
    if (Request->m_ParseError != HttpParseError::None ||
        Request->m_HeadTimedOut) {
      co_await Caller->send(
          Request, completeResponse(400, "text/plain", "unreadable\n"));
      co_return false;
    }
    bool StillConnected =
        co_await Caller->send(Request, (this->*Page)(Request->m_Head));
    co_return StillConnected && Request->m_Head.m_KeepAlive;
  };
}

CallerLimits Gateway::callerLimits() const {
  return m_State.m_Routes ? m_State.m_Routes->m_Limits : CallerLimits();
}

CallerLimits Gateway::relayLimits() const {
  CallerLimits Result = callerLimits();
  // The peer has added fields to a request that was within the limit.
  Result.m_MaxHeaderBytes += RelayHeaderBytes;
  Result.m_IdleTimeout = RelayIdleTimeout;
  return Result;
}

bool Gateway::listen(const AddressBinder &Binder, const std::string &Address,
                     const RequestHandler &Handler, LimitsFunction Limits) {
  auto Acceptor = std::make_shared<Tcp::acceptor>(m_Io);
  if (Binder.listen(*Acceptor, Address))
    return false;
  startService(m_Io, "accept", [this, Acceptor, Handler, Limits]() {
    return acceptLoop(Acceptor, Handler, Limits);
  });
  return true;
}

awaitable<void> Gateway::acceptLoop(std::shared_ptr<Tcp::acceptor> Acceptor,
                                    RequestHandler Handler,
                                    LimitsFunction Limits) {
  while (Acceptor->is_open()) {
    NetError Error;
    Tcp::socket Socket = co_await Acceptor->async_accept(noThrow(Error));
    if (Error == asio::error::operation_aborted)
      co_return; // The listener was closed.
    if (Error) {
      // No free descriptors, or the caller has already disconnected; others may
      // still connect.
      logEvent(LogLevel::Warning, "accept-failed",
               {{"cause", Error.message()}});
      co_await sleepFor(m_Io, 10ms);
      continue;
    }
    CallerConnectionPtr Connection(
        new CallerConnection(m_Io, std::move(Socket), (this->*Limits)(),
                             m_State.m_Buffers, Handler));
    Connection->start();
  }
}

void Gateway::armSignals() {
  m_Signals.async_wait([this](const NetError &Error, int SignalNumber) {
    if (Error)
      return;
    if (SignalNumber == SIGHUP) {
      reload("signal");
    } else if (!m_State.m_Leaving) {
      m_State.beginStop(steadyNow() + m_State.m_Settings.m_StopGracePeriod -
                        GraceMargin);
      startTask(
          m_Io, "stop", [this]() { return shutDown(); },
          [this] { m_Io.stop(); });
    }
    armSignals();
  });
}

void Gateway::reload(std::string_view Reason) {
  auto Text = readFile(m_Path);
  ValidationErrors Problems;
  GatewaySettings NewSettings;
  if (Text)
    NewSettings = readGatewaySettings(*Text, Problems);
  else
    Problems.push_back({"(file)", m_Path, "a readable file"});
  if (!Problems.empty()) {
    // The last valid settings stay in force.
    logEvent(
        LogLevel::Error, "settings-refused",
        {{"why", std::string(Reason)}, {"faults", formatErrors(Problems)}});
    return;
  }
  GatewaySettings &Current = m_State.m_Settings;
  Current.m_Retry = NewSettings.m_Retry;
  Current.m_StopGracePeriod = NewSettings.m_StopGracePeriod;
  Current.m_LookupTtl = NewSettings.m_LookupTtl;
  Current.m_MaxLookupTtl = NewSettings.m_MaxLookupTtl;
  Current.m_SeedIps = NewSettings.m_SeedIps;
  Current.m_RegionByDomain = NewSettings.m_RegionByDomain;
  logEvent(LogLevel::Info, "settings-reloaded", {{"why", std::string(Reason)}});
}

awaitable<void> Gateway::shutDown() {
  TimePoint StartedAt = steadyNow();
  logEvent(LogLevel::Info, "stopping",
           {{"inFlight", std::to_string(m_State.m_InFlight)}});
  m_Peers.broadcastHeartbeat();
  startTask(m_Io, "remove-row",
            [this]() { return m_Replica.removeDiscoveryRow(); });
  for (;;) {
    TimePoint Now = steadyNow();
    bool Idle = m_State.m_InFlight == 0 &&
                Now - m_State.m_LastRequest > IdleTimeBeforeExit &&
                Now - StartedAt > MinDrainTime;
    if (Idle || Now > m_State.m_StopsAt)
      break;
    co_await sleepFor(m_Io, 50ms);
  }
  co_await endRequests();
  m_State.m_Metrics.recordDrain(steadyNow() - StartedAt);
  logEvent(LogLevel::Info, "stopped",
           {{"cutOff", std::to_string(m_State.m_InFlight)},
            {"afterMs", std::to_string(toMillis(steadyNow() - StartedAt))}});
  m_Io.stop();
}

awaitable<void> Gateway::endRequests() {
  if (m_State.m_InFlight == 0)
    co_return;
  logEvent(LogLevel::Warning, "requests-ended",
           {{"inFlight", std::to_string(m_State.m_InFlight)}});
  m_State.endRequests();
  TimePoint End = steadyNow() + LastAnswersTime;
  while (m_State.m_InFlight > 0 && steadyNow() < End)
    co_await sleepFor(m_Io, 10ms);
}

awaitable<void> Gateway::maintenanceLoop() {
  asio::steady_timer Timer(m_Io);
  NetError Ignored;
  std::int64_t LastModified = modificationTime(m_Path);
  Duration Suspended = suspendedTime();
  bool WasReady = false;
  for (;;) {
    TimePoint Due = steadyNow() + TickInterval;
    Timer.expires_at(toSteady(Due));
    co_await Timer.async_wait(noThrow(Ignored));
    m_State.noticePause();
    m_Pool.closeExpired(steadyNow());
    m_BufferLog.logChanges(m_State.m_Buffers);
    Duration Lateness = steadyNow() - Due;
    Duration &Lag = m_State.m_Fleet.m_Self.m_TimerLag;
    Lag += (Lateness - Lag) / LagMeanTicks;
    if (std::int64_t Now = modificationTime(m_Path);
        Now != LastModified && Now != 0) {
      LastModified = Now;
      reload("file-changed");
    }
    if (Duration Now = suspendedTime(); Now - Suspended > MinSuspension) {
      logEvent(LogLevel::Warning, "was-suspended",
               {{"ms", std::to_string(toMillis(Now - Suspended))}});
      Suspended = Now;
      m_Pool.closeAllIdle();
      m_Replica.scheduleFullReads("suspended");
    }
    if (bool Now = m_State.ready(); Now != WasReady) {
      WasReady = Now;
      logEvent(LogLevel::Info, Now ? "ready" : "not-ready");
    }
  }
}

int Gateway::run() {
  using Source = Exchange::Source;
  auto ForwardHandler = [this](Source From) {
    return [this, From](CallerConnectionPtr Caller,
                        PendingRequestPtr Request) -> awaitable<bool> {
      Exchange Served(m_State, m_Pool, Caller, Request, From);
      co_return co_await Served.run();
    };
  };
  const GatewaySettings &Settings = m_State.m_Settings;
  AddressBinder Binder(MaxAddressWait);
  bool Listening = listen(Binder, Settings.m_CallerAddress,
                          ForwardHandler(Source::Caller)) &&
                   listen(Binder, Settings.m_ReadyAddress,
                          pageHandler(&Gateway::readyPage)) &&
                   listen(Binder, Settings.m_LookupAddress,
                          pageHandler(&Gateway::lookupPage));
  if (Listening && !Settings.m_MetricsAddress.empty())
    Listening = listen(Binder, Settings.m_MetricsAddress,
                       pageHandler(&Gateway::metricsPage));
  if (Listening && !Settings.m_RelayAddress.empty())
    Listening = listen(Binder, Settings.m_RelayAddress,
                       ForwardHandler(Source::Peer), &Gateway::relayLimits);
  if (Listening && !Settings.m_SeedAddress.empty())
    Listening = listen(Binder, Settings.m_SeedAddress,
                       pageHandler(&Gateway::notFoundPage));
  if (!Listening || m_Peers.start(Binder))
    return 2;
  logEvent(
      LogLevel::Info, "started",
      {{"callers", Settings.m_CallerAddress},
       {"store", Settings.m_StoreAddress},
       {"peers", Settings.m_PeerAddress},
       {"relay", Settings.m_RelayAddress},
       {"incarnation", std::to_string(m_State.m_Fleet.m_Self.m_Incarnation)}});
  // A wait for an address is no pause.
  (void)m_State.m_Pauses.check(timeSinceBoot());
  armSignals();
  m_Replica.start();
  m_LinkMonitor.start();
  startService(m_Io, "publish-row",
               [this]() { return m_Replica.publishDiscoveryRow(); });
  startService(m_Io, "maintenance", [this]() { return maintenanceLoop(); });
  runEvents(m_Io);
  return 0;
}

} // namespace

int runGateway(const std::string &Path, const GatewaySettings &Settings,
               const GatewayAdapter &Adapter) {
  // Writing to a closed connection must return an error instead of raising a
  // signal.
  std::signal(SIGPIPE, SIG_IGN);
  logFatalEnds(Settings.m_Vm.str());
  Gateway Process(Path, Settings, Adapter);
  int Status = Process.run();
  // Handlers of requests that the grace period cut off still refer to the
  // gateway's members, so skip the destructors.
  std::_Exit(Status);
}

} // namespace mustardspoke::steer
