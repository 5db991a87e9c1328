/// \file
/// Start, signals and graceful stop of an entry VM.
#include "entry/entry.h"

#include "entry/operator_api.h"
#include "entry/peer_loop.h"
#include "entry/shared.h"
#include "entry/store_loop.h"
#include "entry/worker.h"

#include <csignal>
#include <memory>
#include <random>
#include <unistd.h>
#include <vector>

namespace mustardspoke {
namespace {

constexpr std::size_t MostOperatorBody = 64UL * 1024 * 1024;
constexpr Duration CheckEvery = 20ms;
constexpr Duration ShareReturnWithin = 3s;
constexpr Duration LookupSlack = 1s; ///< For callers that started late.
constexpr int ExitCut = 3;           ///< Calls in flight were cut off.

/// Signals that the main thread alone takes.
sigset_t handledSignals() {
  sigset_t Set;
  sigemptyset(&Set);
  sigaddset(&Set, SIGTERM);
  sigaddset(&Set, SIGINT);
  sigaddset(&Set, SIGHUP);
  return Set;
}

std::uint64_t drawSeed() {
  std::random_device Source;
  return std::uint64_t(Source()) << 32 | Source();
}

/// Later runs of one VM get greater incarnations.
Incarnation newIncarnation() {
  using namespace std::chrono;
  auto Wall = system_clock::now().time_since_epoch();
  return std::uint64_t(duration_cast<microseconds>(Wall).count());
}

MemberInfo describeSelf(const Settings &From) {
  MemberInfo Self;
  Self.m_Identity = {From.m_Vm, newIncarnation()};
  Self.m_CallerAddress = From.m_CallerAddress;
  Self.m_PeerAddress = From.m_PeerAddress;
  Self.m_Region = From.m_Region;
  Self.m_FailureDomain = From.m_Domain;
  return Self;
}

/// Waits up to \p For for a signal; zero if none came.
int awaitSignal(const sigset_t &Set, Duration For) {
  auto Nanos = std::chrono::nanoseconds(For).count();
  timespec Left{Nanos / 1000000000, Nanos % 1000000000};
  int Signal = sigtimedwait(&Set, nullptr, &Left);
  return Signal > 0 ? Signal : 0;
}

bool isStop(int Signal) { return Signal == SIGTERM || Signal == SIGINT; }

/// The steps of a planned stop, in order; a second signal ends them.
class GracefulStop {
public:
  GracefulStop(Shared &Core, PeerLoop &Peers,
               std::vector<std::unique_ptr<Worker>> &Workers,
               const sigset_t &Signals)
      : m_Core(Core), m_Peers(Peers), m_Workers(Workers), m_Signals(Signals) {}

  /// \returns Whether every call in flight ended.
  bool run() {
    TimePoint Began = monotonicNow();
    logEvent(LogLevel::Info, "leaving");
    m_Core.access()->startLeaving(monotonicNow());
    m_Peers.beatNow();
    // Callers may hold a look-up that names this VM until its life ends.
    Duration Named = m_Core.settings().m_Tuning.m_LookupLife + LookupSlack;
    if (!waitUntil(Named, [] { return false; }) ||
        !waitFor([this] { return m_Core.access()->ticketedInFlight() == 0; }))
      return false;
    if (!m_Peers.handOverTickets())
      logEvent(LogLevel::Warning, "handover-unconfirmed");
    m_Peers.beatNow();
    for (auto &One : m_Workers)
      One->drain();
    if (!waitFor([this] { return m_Core.access()->callsInFlight() == 0; }))
      return false;
    for (auto &One : m_Workers)
      One->join();
    m_Core.access()->returnShares();
    if (!waitUntil(ShareReturnWithin,
                   [this] { return m_Core.access()->sharesReturned(); }))
      return false;
    if (!m_Core.access()->sharesReturned())
      logEvent(LogLevel::Warning, "shares-not-returned");
    m_Core.access()->markLeft();
    m_Peers.beatNow();
    Duration Took = monotonicNow() - Began;
    m_Core.metrics().recordDrain(Took);
    logEvent(LogLevel::Info, "left",
             {{"drainMs", std::to_string(toMillis(Took))}});
    return true;
  }

private:
  /// \returns False if a second stop signal came.
  template <class Done> bool waitFor(Done Condition) {
    while (!Condition())
      if (isStop(awaitSignal(m_Signals, CheckEvery)))
        return cut();
    return true;
  }

  template <class Done> bool waitUntil(Duration Most, Done Condition) {
    TimePoint End = monotonicNow() + Most;
    return waitFor([&] { return monotonicNow() >= End || Condition(); });
  }

  bool cut() {
    logEvent(LogLevel::Error, "cut-off",
             {{"calls", std::to_string(m_Core.access()->callsInFlight())}});
    return false;
  }

  Shared &m_Core;
  PeerLoop &m_Peers;
  std::vector<std::unique_ptr<Worker>> &m_Workers;
  const sigset_t &m_Signals;
};

} // namespace

int runEntry(const Settings &From, const Strategies &Rules) {
  startLog(From.m_Vm.str(), From.m_LogLevel);
  sigset_t Signals = handledSignals();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);

  // Binding the caller address first proves that no older run still has it.
  int ListenFd = listenOn(From.m_CallerAddress);
  std::uint64_t Seed = From.m_Seed ? From.m_Seed : drawSeed();
  Shared Core(From, describeSelf(From), Rules, Seed);
  PlatformClient Platform(From.m_PlatformAddress,
                          From.m_Tuning.m_Shares.m_ReplyTimeout);
  PeerLoop Peers(Core);
  StoreLoop Store(Core, Platform);
  std::vector<std::unique_ptr<Worker>> Workers;
  for (unsigned I = 0; I < From.m_Workers; ++I)
    Workers.push_back(std::make_unique<Worker>(Core, ListenFd));
  OperatorApi Api(Core, Platform);
  HttpServer Operators(
      From.m_OperatorAddress, MostOperatorBody,
      [&Api](const HttpQuery &Query) { return Api.serve(Query); });
  logEvent(LogLevel::Info, "started",
           {{"callers", From.m_CallerAddress},
            {"peers", From.m_PeerAddress},
            {"operators", From.m_OperatorAddress}});

  int Signal = 0;
  while (!isStop(Signal) && !Core.access()->superseded())
    Signal = awaitSignal(Signals, 1s);
  if (!isStop(Signal))
    logEvent(LogLevel::Error, "superseded");
  bool Clean = GracefulStop(Core, Peers, Workers, Signals).run();
  close(ListenFd);
  // Threads that still serve can't be joined once calls are cut off.
  if (!Clean)
    _exit(ExitCut);
  return 0;
}

} // namespace mustardspoke
