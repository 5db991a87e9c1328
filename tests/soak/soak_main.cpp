/// \file
/// Soak test: real entry VMs under random faults. Invariants are checked on
/// what callers and upstreams observe.
#include "soak/fault_injector.h"

#include <docopt/docopt.h>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <sys/resource.h>

namespace mustardspoke::soak {
namespace {

constexpr const char *Usage =
    R"(soak: real entry VMs on loopback under random faults.

Usage:
  soak --binary=PATH [--first=SEED] [--seeds=N] [--seconds=N] [--timed]
       [--net=N] [--vms=N] [--regressions=FILE] [--production=PATH]
       [--drills | --cuts | --cut-series | --departures | --floods |
       --customers]
       [--quota]
       [--deliver-aborted]
       [--keep]

Options:
  --binary=PATH       The mustardspoke program.
  --first=SEED        First seed [default: 1].
  --seeds=N           Seeds to run, one after the other [default: 3].
  --seconds=N         Duration of the faults of a seed [default: 10].
  --timed             Also checks time limits; for an otherwise idle machine.
  --net=N             Addresses are 127.N.x.y [default: 77].
  --vms=N             Entry VMs [default: 6].
  --regressions=FILE  Runs the seeds of FILE first. Each line has a seed, the
                      seconds, and the cause of its failure.
  --drills            Also plays a store that comes back older, upstreams that ask
                      for quiet, and a request that ends its upstreams. Seeds
                      draw other faults then.
  --cuts              Also cuts VMs off from all upstreams, by ones, domains and
                      regions, in three forms.
  --cut-series        Plays nothing but such cuts, in a fixed order that takes 50 s.
  --departures        Plays nothing but upstreams that leave while requests to them
                      are held back, and checks that none arrives late.
  --floods            Plays nothing but upstreams and callers that send bytes
                      without end, and callers that don't read large answers.
  --customers         The configuration has customers, whose keys change while
                      callers send valid, unknown, withdrawn and malformed ones.
  --quota             With --customers: one customer has a quota, which is checked.
  --deliver-aborted   Control of --departures, which must fail: links deliver what
                      its sender has withdrawn.
  --production=PATH   Another build of mustardspoke that the VMs run at first. They
                      are replaced one after the other, and back again.
  --keep              Keeps the directory of a seed without violations too.
)";

constexpr unsigned CallerCount = 40;
constexpr Duration SupervisionInterval = 20ms;
/// Limit for serving all requests again after the last fault; the machine may
/// be busy.
constexpr Duration RecoveryTimeout = 30s;
constexpr unsigned RequiredSuccesses = 3;         ///< In a row, for each kind.
constexpr std::uint64_t MaxMemoryKib = 256 << 10; ///< docs/CAPACITY.md.

/// The longest timeout of a route, and a second for a busy machine.
constexpr Duration TimedAnswerDelay = 4s;
/// A request that is held back is given up earlier than this before it could
/// arrive.
constexpr Duration HeldRunDelay = 1s;

struct Options {
  DeploymentPlan m_Plan;
  Duration m_Length{};
  InvariantLimits m_Limits;
  FaultSet m_Faults = FaultSet::Basic;
  bool m_Keep = false;
};

/// \brief The run of one seed, including the check of its invariants.
class SeedRun {
public:
  SeedRun(const Options &Settings, std::uint64_t Seed)
      : m_Settings(Settings),
        m_Deployment(m_Io, m_Observed, planOf(Settings, Seed)),
        m_Callers(m_Io, m_Observed, m_Deployment.ports(), Seed),
        m_FaultInjector(m_Io, m_Deployment, m_Callers, Seed,
                        Settings.m_Faults) {}

  std::vector<std::string> run() {
    test::spawn(m_Io, [this]() { return runScenario(); });
    test::spawn(m_Io, [this]() { return superviseVms(); });
    m_Io.run();
    return m_Observed.findViolations(m_Settings.m_Limits);
  }

  [[nodiscard]] const Observations &observations() const { return m_Observed; }
  [[nodiscard]] const FaultInjector &faults() const { return m_FaultInjector; }
  [[nodiscard]] Duration longestStall() const { return m_LongestStall; }

private:
  using Done = steer::awaitable<void>;
  static DeploymentPlan planOf(const Options &Settings, std::uint64_t Seed) {
    DeploymentPlan Result = Settings.m_Plan;
    Result.m_Seed = Seed;
    return Result;
  }

  Done runScenario() {
    co_await waitForRecovery("at the start");
    m_Callers.start(CallerCount);
    m_FaultInjector.start(m_Settings.m_Length);
    while (m_FaultInjector.activeCount() > 0)
      co_await steer::sleepFor(m_Io, 50ms);
    m_Deployment.endAllFaults();
    co_await waitForRecovery("after the last fault");
    m_Callers.stop();
    while (m_Callers.activeCount() > 0)
      co_await steer::sleepFor(m_Io, 50ms);
    if (std::uint64_t Peak = m_Deployment.peakKib(); Peak > MaxMemoryKib)
      m_Observed.m_Violations.push_back("a process used " +
                                        std::to_string(Peak) + " KiB");
    m_Io.stop();
  }

  Done superviseVms() {
    for (;;) {
      TimePoint Before = steer::steadyNow();
      m_Deployment.checkVms();
      co_await steer::sleepFor(m_Io, SupervisionInterval);
      m_LongestStall = std::max(m_LongestStall, steer::steadyNow() - Before -
                                                    SupervisionInterval);
    }
  }

  [[nodiscard]] std::vector<RequestKind> kinds() const {
    std::vector<RequestKind> Result{RequestKind::Read, RequestKind::Order,
                                    RequestKind::Edition};
    if (m_Settings.m_Plan.m_HasCustomers)
      for (RequestKind Kind : {RequestKind::Public, RequestKind::Upload})
        Result.push_back(Kind);
    return Result;
  }

  /// \brief Waits until every VM has answered every kind of request several
  /// times in a row.
  Done waitForRecovery(std::string When) {
    TimePoint End = steer::steadyNow() + RecoveryTimeout;
    for (unsigned Vm = 0; Vm < m_Deployment.plan().m_Vms; ++Vm)
      for (unsigned Good = 0; Good < RequiredSuccesses;) {
        bool Served = co_await m_Callers.isReady(Vm);
        for (RequestKind Kind : kinds())
          Served = Served && co_await m_Callers.sendOnce(Vm, Kind) == 200;
        Good = Served ? Good + 1 : 0;
        if (!Served)
          co_await steer::sleepFor(m_Io, 100ms);
        if (steer::steadyNow() > End) {
          m_Observed.m_Violations.push_back(
              "vm " + std::to_string(Vm) +
              " didn't serve all kinds of requests " + When);
          co_return;
        }
      }
  }

  const Options &m_Settings;
  steer::asio::io_context m_Io;
  Observations m_Observed;
  LocalDeployment m_Deployment;
  Callers m_Callers;
  FaultInjector m_FaultInjector;
  /// For which this process, with its callers and upstreams, did nothing. A
  /// long one explains late answers; it doesn't excuse them.
  Duration m_LongestStall{};
};

void report(const SeedRun &Run, std::uint64_t Seed) {
  std::map<unsigned, unsigned> ByStatus;
  for (const Attempt &Current : Run.observations().m_Attempts)
    ++ByStatus[Current.m_Outcome == AttemptOutcome::Answered ? Current.m_Status
                                                             : 0];
  std::cout << "seed " << Seed << ": " << Run.observations().m_Attempts.size()
            << " requests;";
  for (const auto &[Status, Count] : ByStatus)
    std::cout << ' '
              << (Status == 0 ? std::string("unanswered")
                              : std::to_string(Status))
              << ' ' << Count;
  std::cout << "; a request ended "
            << Run.observations().m_CrashedByRequest.size()
            << " upstreams; the soak stood still for up to "
            << toMillis(Run.longestStall()) << " ms" << std::endl;
}

/// \returns A message for each log of a VM in which a key appears.
std::vector<std::string> findLoggedKeys(const std::string &Directory) {
  std::vector<std::string> Result;
  for (const auto &Entry : std::filesystem::directory_iterator(Directory)) {
    std::ifstream In(Entry.path());
    for (std::string Line; std::getline(In, Line);)
      if (Line.find(KeyMarker) != std::string::npos) {
        Result.push_back(Entry.path().filename().string() +
                         " has a key: " + Line);
        break;
      }
  }
  return Result;
}

/// \returns Whether there was no violation.
bool runSeed(Options Settings, std::uint64_t Seed) {
  std::string Template =
      (std::filesystem::temp_directory_path() / "soak-XXXXXX").string();
  Settings.m_Plan.m_Directory = mkdtemp(Template.data());
  std::vector<std::string> Violations;
  {
    SeedRun Current(Settings, Seed);
    Violations = Current.run();
    report(Current, Seed);
    for (std::string &Line : findLoggedKeys(Settings.m_Plan.m_Directory))
      Violations.push_back(std::move(Line));
    std::ofstream Timeline(Settings.m_Plan.m_Directory + "/timeline.log");
    for (const std::string &Line : Current.faults().timeline())
      Timeline << Line << '\n';
  }
  for (const std::string &Line : Violations)
    std::cout << "  violated: " << Line << std::endl;
  if (Violations.empty() && !Settings.m_Keep)
    std::filesystem::remove_all(Settings.m_Plan.m_Directory);
  else
    std::cout << "  logs: " << Settings.m_Plan.m_Directory << std::endl;
  return Violations.empty();
}

/// \brief Runs the seeds that failed before. \returns How many fail now.
unsigned runRegressions(Options Settings, const std::string &Path) {
  unsigned Failed = 0;
  std::ifstream In(Path);
  for (std::string Line; std::getline(In, Line);) {
    std::istringstream Words(Line);
    std::uint64_t Seed = 0;
    unsigned Seconds = 0;
    if (Line.starts_with("#") || !(Words >> Seed >> Seconds))
      continue;
    Settings.m_Length = std::chrono::seconds(Seconds);
    Failed += runSeed(Settings, Seed) ? 0 : 1;
  }
  return Failed;
}

int runSoak(int Argc, char **Argv) {
  auto Words = docopt::docopt(Usage, {Argv + 1, Argv + Argc}, true, "");
  // The connections of many callers and proxies end in this process.
  rlimit Files{};
  getrlimit(RLIMIT_NOFILE, &Files);
  Files.rlim_cur = Files.rlim_max;
  setrlimit(RLIMIT_NOFILE, &Files);

  Options Settings;
  Settings.m_Plan.m_Binary = Words["--binary"].asString();
  Settings.m_Plan.m_Network = unsigned(Words["--net"].asLong());
  Settings.m_Plan.m_Vms = unsigned(Words["--vms"].asLong());
  if (Words["--production"])
    Settings.m_Plan.m_ProductionBinary = Words["--production"].asString();
  Settings.m_Plan.m_DeliversAborted = Words["--deliver-aborted"].asBool();
  Settings.m_Length = std::chrono::seconds(Words["--seconds"].asLong());
  Settings.m_Limits.m_CheckTiming = Words["--timed"].asBool();
  if (Settings.m_Limits.m_CheckTiming)
    Settings.m_Limits.m_AnswerDelay = TimedAnswerDelay;
  Settings.m_Keep = Words["--keep"].asBool();
  unsigned Failed = 0;
  if (Words["--regressions"])
    Failed += runRegressions(Settings, Words["--regressions"].asString());
  if (Words["--drills"].asBool())
    Settings.m_Faults = FaultSet::Drills;
  if (Words["--cuts"].asBool())
    Settings.m_Faults = FaultSet::Cuts;
  if (Words["--cut-series"].asBool())
    Settings.m_Faults = FaultSet::CutSeries;
  if (Words["--floods"].asBool())
    Settings.m_Faults = FaultSet::Floods;
  if (Words["--customers"].asBool()) {
    Settings.m_Faults = FaultSet::Customers;
    Settings.m_Plan.m_HasCustomers = true;
    Settings.m_Plan.m_HasQuota = Words["--quota"].asBool();
    Settings.m_Limits.m_CheckQuota = Settings.m_Plan.m_HasQuota;
  }
  if (Words["--departures"].asBool()) {
    Settings.m_Faults = FaultSet::Departures;
    Settings.m_Limits.m_CheckLateRuns = true;
    Settings.m_Limits.m_LateRunDelay = HeldRunDelay;
  }
  auto First = std::uint64_t(Words["--first"].asLong());
  auto Count = std::uint64_t(Words["--seeds"].asLong());
  for (std::uint64_t Seed = First; Seed < First + Count; ++Seed)
    Failed += runSeed(Settings, Seed) ? 0 : 1;
  std::cout << (Failed == 0 ? "no violation"
                            : std::to_string(Failed) + " seeds failed")
            << std::endl;
  return Failed == 0 ? 0 : 1;
}

} // namespace
} // namespace mustardspoke::soak

int main(int Argc, char **Argv) {
  return mustardspoke::soak::runSoak(Argc, Argv);
}
