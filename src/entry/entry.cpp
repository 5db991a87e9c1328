/// \file
/// Startup, signal handling and graceful stop of an entry VM.
#include "entry/entry.h"

#include "entry/operator_api.h"
#include "entry/peer_loop.h"
#include "entry/shared_node.h"
#include "entry/store_loop.h"
#include "entry/worker.h"

#include <csignal>
#include <memory>
#include <random>
#include <unistd.h>
#include <vector>

namespace mustardspoke {
namespace {

constexpr std::size_t MaxOperatorBodyBytes = 64UL * 1024 * 1024;
constexpr Duration StopCheckInterval = 20ms;
constexpr Duration ShareReturnTimeout = 3s;
/// Allowance for callers that start a call just before their look-up expires.
constexpr Duration LookupExpirySlack = 1s;
/// Exit status if calls in flight were aborted.
constexpr int ExitCallsAborted = 3;

/// Signals that only the main thread handles.
sigset_t handledSignals() {
  sigset_t Set;
  sigemptyset(&Set);
  sigaddset(&Set, SIGTERM);
  sigaddset(&Set, SIGINT);
  sigaddset(&Set, SIGHUP);
  return Set;
}

std::uint64_t randomSeed() {
  std::random_device Device;
  return std::uint64_t(Device()) << 32 | Device();
}

/// Taken from the wall clock, so that a restarted VM gets a greater
/// incarnation.
Incarnation newIncarnation() {
  using namespace std::chrono;
  auto Wall = system_clock::now().time_since_epoch();
  return std::uint64_t(duration_cast<microseconds>(Wall).count());
}

MemberInfo makeMemberInfo(const Settings &Config) {
  MemberInfo Self;
  Self.m_Identity = {Config.m_Vm, newIncarnation()};
  Self.m_CallerAddress = Config.m_CallerAddress;
  Self.m_PeerAddress = Config.m_PeerAddress;
  Self.m_Region = Config.m_Region;
  Self.m_FailureDomain = Config.m_Domain;
  return Self;
}

/// Waits up to \p Timeout for a signal. \returns Zero if none arrived.
int waitForSignal(const sigset_t &Signals, Duration Timeout) {
  auto Nanos = std::chrono::nanoseconds(Timeout).count();
  timespec Remaining{Nanos / 1000000000, Nanos % 1000000000};
  int Signal = sigtimedwait(&Signals, nullptr, &Remaining);
  return Signal > 0 ? Signal : 0;
}

bool isStopSignal(int Signal) { return Signal == SIGTERM || Signal == SIGINT; }

/// Performs a planned stop; a second stop signal aborts it.
class GracefulStop {
public:
  GracefulStop(SharedNode &Core, PeerLoop &Peers,
               std::vector<std::unique_ptr<Worker>> &Workers,
               const sigset_t &Signals)
      : m_Core(Core), m_Peers(Peers), m_Workers(Workers), m_Signals(Signals) {}

  /// \returns Whether every call in flight has finished.
  bool run() {
    TimePoint StartedAt = monotonicNow();
    logEvent(LogLevel::Info, "leaving");
    m_Core.access()->startLeaving(monotonicNow());
    m_Peers.exchangeHeartbeatsNow();
    // Callers may use look-up answers that list this VM until they expire.
    Duration LookupExpiry =
        m_Core.settings().m_Tuning.m_LookupLife + LookupExpirySlack;
    if (!waitAtMost(LookupExpiry, [] { return false; }) ||
        !waitFor([this] { return m_Core.access()->ticketedInFlight() == 0; }))
      return false;
    if (!m_Peers.handOverTickets())
      logEvent(LogLevel::Warning, "handover-unconfirmed");
    m_Peers.exchangeHeartbeatsNow();
    for (auto &W : m_Workers)
      W->drain();
    if (!waitFor([this] { return m_Core.access()->callsInFlight() == 0; }))
      return false;
    for (auto &W : m_Workers)
      W->join();
    m_Core.access()->returnShares();
    if (!waitAtMost(ShareReturnTimeout,
                    [this] { return m_Core.access()->sharesReturned(); }))
      return false;
    if (!m_Core.access()->sharesReturned())
      logEvent(LogLevel::Warning, "shares-not-returned");
    m_Core.access()->markLeft();
    m_Peers.exchangeHeartbeatsNow();
    Duration DrainTime = monotonicNow() - StartedAt;
    m_Core.metrics().recordDrain(DrainTime);
    logEvent(LogLevel::Info, "left",
             {{"drainMs", std::to_string(toMillis(DrainTime))}});
    return true;
  }

private:
  /// \returns False if a second stop signal arrived.
  template <class Predicate> bool waitFor(Predicate Condition) {
    while (!Condition())
      if (isStopSignal(waitForSignal(m_Signals, StopCheckInterval)))
        return logAbortedCalls();
    return true;
  }

  template <class Predicate>
  bool waitAtMost(Duration Timeout, Predicate Condition) {
    TimePoint Deadline = monotonicNow() + Timeout;
    return waitFor([&] { return monotonicNow() >= Deadline || Condition(); });
  }

  bool logAbortedCalls() {
    logEvent(LogLevel::Error, "cut-off",
             {{"calls", std::to_string(m_Core.access()->callsInFlight())}});
    return false;
  }

  SharedNode &m_Core;
  PeerLoop &m_Peers;
  std::vector<std::unique_ptr<Worker>> &m_Workers;
  const sigset_t &m_Signals;
};

} // namespace

int runEntry(const Settings &Config, const Strategies &Rules) {
  startLog(Config.m_Vm.str(), Config.m_LogLevel);
  logFatalEnds(Config.m_Vm.str());
  sigset_t Signals = handledSignals();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);

  // Binding the callers' address first ensures that no earlier process of this
  // VM is still running.
  int ListenFd = listenOn(Config.m_CallerAddress);
  std::uint64_t Seed = Config.m_Seed ? Config.m_Seed : randomSeed();
  SharedNode Core(Config, makeMemberInfo(Config), Rules, Seed);
  PlatformClient Platform(Config.m_PlatformAddress,
                          Config.m_Tuning.m_Shares.m_ReplyTimeout);
  PeerLoop Peers(Core);
  StoreLoop Store(Core, Platform);
  std::vector<std::unique_ptr<Worker>> Workers;
  for (unsigned I = 0; I < Config.m_Workers; ++I)
    Workers.push_back(std::make_unique<Worker>(Core, ListenFd));
  OperatorApi Api(Core, Platform);
  HttpServer OperatorServer(
      Config.m_OperatorAddress, MaxOperatorBodyBytes,
      [&Api](const HttpRequest &Request) { return Api.serve(Request); });
  logEvent(LogLevel::Info, "started",
           {{"callers", Config.m_CallerAddress},
            {"peers", Config.m_PeerAddress},
            {"operators", Config.m_OperatorAddress}});

  int Signal = 0;
  while (!isStopSignal(Signal) && !Core.access()->superseded())
    Signal = waitForSignal(Signals, 1s);
  if (!isStopSignal(Signal))
    logEvent(LogLevel::Error, "superseded");
  bool IsGraceful = GracefulStop(Core, Peers, Workers, Signals).run();
  close(ListenFd);
  // Workers with unfinished calls can't be joined, so exit without destructors.
  if (!IsGraceful)
    _exit(ExitCallsAborted);
  return 0;
}

} // namespace mustardspoke
