/// \file
/// The soak: real entry VMs under drawn faults, judged from outside.
#include "soak/faults.h"

#include <docopt/docopt.h>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <sys/resource.h>

namespace mustardspoke::soak {
namespace {

constexpr const char *Usage =
    R"(soak: real entry VMs on loopback under drawn faults.

Usage:
  soak --binary=PATH [--first=SEED] [--seeds=N] [--seconds=N] [--timed]
       [--net=N] [--vms=N] [--regressions=FILE] [--keep]

Options:
  --binary=PATH       The mustardspoke program.
  --first=SEED        First seed [default: 1].
  --seeds=N           Seeds to play, one after the other [default: 3].
  --seconds=N         Length of the faults of a seed [default: 10].
  --timed             Also judges bounds of time; for a machine with nothing
                      else to do.
  --net=N             Addresses are 127.N.x.y [default: 77].
  --vms=N             Entry VMs [default: 6].
  --regressions=FILE  Plays the seeds of FILE first: a seed, the seconds, and
                      the cause of its failure on a line.
  --keep              Keeps the folder of a clean seed too.
)";

constexpr unsigned CallerCount = 40;
/// All is served again this long after the last fault, at the latest; the
/// machine may be busy.
constexpr Duration RecoverWithin = 30s;
constexpr unsigned GoodInARow = 3;                 ///< Answers of each kind.
constexpr std::uint64_t MostMemoryKib = 256 << 10; ///< docs/CAPACITY.md.

/// The longest timeout of a route, and a second for a busy machine.
constexpr Duration TimedAnswer = 4s;

struct Options {
  SitePlan m_Plan;
  Duration m_Length{};
  Bounds m_Bounds;
  bool m_Keep = false;
};

/// \brief One seed from start to verdict.
class Play {
public:
  Play(const Options &With, std::uint64_t Seed)
      : m_With(With), m_Site(m_Io, m_Log, planOf(With, Seed)),
        m_Callers(m_Io, m_Log, m_Site.ports(), Seed),
        m_Faults(m_Io, m_Site, Seed) {}

  std::vector<std::string> run() {
    test::spawn(m_Io, [this]() { return story(); });
    test::spawn(m_Io, [this]() { return watch(); });
    m_Io.run();
    return m_Log.judge(m_With.m_Bounds);
  }

  [[nodiscard]] const Ledger &ledger() const { return m_Log; }
  [[nodiscard]] const Faults &faults() const { return m_Faults; }

private:
  using Done = steer::awaitable<void>;
  static SitePlan planOf(const Options &With, std::uint64_t Seed) {
    SitePlan Result = With.m_Plan;
    Result.m_Seed = Seed;
    return Result;
  }

  Done story() {
    co_await recovered("at the start");
    m_Callers.start(CallerCount);
    m_Faults.start(m_With.m_Length);
    while (m_Faults.open() > 0)
      co_await steer::sleepFor(m_Io, 50ms);
    m_Site.heal();
    co_await recovered("after the last fault");
    m_Callers.stop();
    while (m_Callers.open() > 0)
      co_await steer::sleepFor(m_Io, 50ms);
    if (std::uint64_t Peak = m_Site.peakKib(); Peak > MostMemoryKib)
      m_Log.m_Violations.push_back("a process took " + std::to_string(Peak) +
                                   " KiB");
    m_Io.stop();
  }

  Done watch() {
    for (;;) {
      m_Site.lookAtVms();
      co_await steer::sleepFor(m_Io, 20ms);
    }
  }

  /// \brief Waits until every VM serves every kind several times in a row.
  Done recovered(std::string When) {
    TimePoint End = steer::steadyNow() + RecoverWithin;
    for (unsigned Vm = 0; Vm < m_Site.plan().m_Vms; ++Vm)
      for (unsigned Good = 0; Good < GoodInARow;) {
        bool Served = co_await m_Callers.ready(Vm);
        for (Ask What : {Ask::Read, Ask::Order, Ask::Edition})
          Served = Served && co_await m_Callers.once(Vm, What) == 200;
        Good = Served ? Good + 1 : 0;
        if (!Served)
          co_await steer::sleepFor(m_Io, 100ms);
        if (steer::steadyNow() > End) {
          m_Log.m_Violations.push_back("vm " + std::to_string(Vm) +
                                       " didn't serve all kinds " + When);
          co_return;
        }
      }
  }

  const Options &m_With;
  steer::asio::io_context m_Io;
  Ledger m_Log;
  Site m_Site;
  Callers m_Callers;
  Faults m_Faults;
};

void report(const Play &Of, std::uint64_t Seed) {
  std::map<unsigned, unsigned> ByStatus;
  for (const Attempt &One : Of.ledger().m_Attempts)
    ++ByStatus[One.m_Ending == Ending::Answered ? One.m_Status : 0];
  std::cout << "seed " << Seed << ": " << Of.ledger().m_Attempts.size()
            << " requests;";
  for (const auto &[Status, Count] : ByStatus)
    std::cout << ' '
              << (Status == 0 ? std::string("unanswered")
                              : std::to_string(Status))
              << ' ' << Count;
  std::cout << std::endl;
}

/// \returns Whether there was no violation.
bool playSeed(Options With, std::uint64_t Seed) {
  std::string Template =
      (std::filesystem::temp_directory_path() / "soak-XXXXXX").string();
  With.m_Plan.m_Folder = mkdtemp(Template.data());
  std::vector<std::string> Violations;
  {
    Play One(With, Seed);
    Violations = One.run();
    report(One, Seed);
    std::ofstream Timeline(With.m_Plan.m_Folder + "/timeline.log");
    for (const std::string &Line : One.faults().timeline())
      Timeline << Line << '\n';
  }
  for (const std::string &Line : Violations)
    std::cout << "  violated: " << Line << std::endl;
  if (Violations.empty() && !With.m_Keep)
    std::filesystem::remove_all(With.m_Plan.m_Folder);
  else
    std::cout << "  logs: " << With.m_Plan.m_Folder << std::endl;
  return Violations.empty();
}

/// \brief Plays the seeds that failed once. \returns How many fail now.
unsigned playRegressions(Options With, const std::string &Path) {
  unsigned Failed = 0;
  std::ifstream In(Path);
  for (std::string Line; std::getline(In, Line);) {
    std::istringstream Words(Line);
    std::uint64_t Seed = 0;
    unsigned Seconds = 0;
    if (Line.starts_with("#") || !(Words >> Seed >> Seconds))
      continue;
    With.m_Length = std::chrono::seconds(Seconds);
    Failed += playSeed(With, Seed) ? 0 : 1;
  }
  return Failed;
}

int runSoak(int Argc, char **Argv) {
  auto Words = docopt::docopt(Usage, {Argv + 1, Argv + Argc}, true, "");
  // Many callers' and proxies' connections end in this process.
  rlimit Files{};
  getrlimit(RLIMIT_NOFILE, &Files);
  Files.rlim_cur = Files.rlim_max;
  setrlimit(RLIMIT_NOFILE, &Files);

  Options With;
  With.m_Plan.m_Binary = Words["--binary"].asString();
  With.m_Plan.m_Net = unsigned(Words["--net"].asLong());
  With.m_Plan.m_Vms = unsigned(Words["--vms"].asLong());
  With.m_Length = std::chrono::seconds(Words["--seconds"].asLong());
  With.m_Bounds.m_Timed = Words["--timed"].asBool();
  if (With.m_Bounds.m_Timed)
    With.m_Bounds.m_Answer = TimedAnswer;
  With.m_Keep = Words["--keep"].asBool();
  unsigned Failed = 0;
  if (Words["--regressions"])
    Failed += playRegressions(With, Words["--regressions"].asString());
  auto First = std::uint64_t(Words["--first"].asLong());
  auto Count = std::uint64_t(Words["--seeds"].asLong());
  for (std::uint64_t Seed = First; Seed < First + Count; ++Seed)
    Failed += playSeed(With, Seed) ? 0 : 1;
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
