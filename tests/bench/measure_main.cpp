/// \file
/// Writes docs/MEASUREMENTS.md: both deployments at their sizes of today, each
/// policy and its baselines in the same run. The same build prints the same
/// page every time.
#include "support/deployments.h"
#include "support/fleet.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <future>
#include <string>
#include <vector>

namespace {

using namespace mustardspoke;
using namespace mustardspoke::test;

/// One of the two users, with the delays that their letter names.
struct Deployment {
  const char *m_Folder;
  const char *m_Title;
  Duration m_DomainDelay;
  Duration m_RegionDelay;
  Duration m_CallerDelay;
  const char *m_HotRegion;
  const char *m_Drained;
  std::map<std::string, Duration> m_ServiceTime;
};

struct Policy {
  const char *m_Name;
  void (*m_Set)(FleetPlan &);
};

/// A fault under which the whole load runs.
struct Fault {
  const char *m_Name;
  void (*m_Set)(Fleet &, const Deployment &);
};

bool neverRetry(const Call &, AttemptResult, RetryBudget &) { return false; }

std::vector<std::uint32_t> noGuests(std::uint32_t Capacity,
                                    std::span<const std::uint32_t> Demands,
                                    std::span<const std::uint8_t> IsHome) {
  auto Shares = homeFirstShares(Capacity, Demands, IsHome);
  for (std::size_t I = 0; I < Shares.size(); ++I)
    Shares[I] = IsHome[I] ? Shares[I] : 0;
  return Shares;
}

const std::vector<Deployment> Deployments{
    {"lone-star",
     "Lone Star",
     1500us,
     50ms,
     10ms,
     "dfw",
     "order-booking-2",
     {{"stock-lookup", 20ms}, {"order-booking", 60ms}, {"load-sheets", 2s}}},
    {"zuinig",
     "Zuinig",
     500us,
     10ms,
     3ms,
     "midden",
     "booking-voucher-2",
     {{"dossier-lookup", 20ms},
      {"booking-voucher", 60ms},
      {"floor-plans", 2s}}}};

const std::vector<Policy> Policies{
    {"mustardspoke", [](FleetPlan &) {}},
    {"floor: static shares, even choice, no retries",
     [](FleetPlan &P) {
       P.m_Tuning.m_Shares.m_FloorPercent = 100;
       P.m_Rules.m_Divide = noGuests;
       P.m_Rules.m_Choose = chooseRandomly;
       P.m_Rules.m_Retry = neverRetry;
     }},
    {"least in flight",
     [](FleetPlan &P) { P.m_Rules.m_Choose = chooseLeastInFlight; }},
};

const std::vector<Fault> Faults{
    {"quiet", [](Fleet &, const Deployment &) {}},
    {"a VM killed",
     [](Fleet &F, const Deployment &) { F.at(10s, [&F] { F.kill(1); }); }},
    {"a VM frozen 10 s",
     [](Fleet &F, const Deployment &) {
       F.at(10s, [&F] { F.pause(1); });
       F.at(20s, [&F] { F.resume(1); });
     }},
    {"store down",
     [](Fleet &F, const Deployment &) {
       F.at(8s, [&F] { F.setStore(StoreMode::Down); });
     }},
    {"store slow",
     [](Fleet &F, const Deployment &) {
       F.at(8s, [&F] { F.setStore(StoreMode::Slow); });
     }},
    {"an upstream drains",
     [](Fleet &F, const Deployment &D) {
       F.at(10s, [&F, &D] { F.drainUpstream(D.m_Drained); });
     }},
    {"an upstream loses answers",
     [](Fleet &F, const Deployment &D) {
       F.at(10s, [&F, &D] { F.loseAnswers(D.m_Drained, 0.5); });
     }},
    {"a region cut off",
     [](Fleet &F, const Deployment &) {
       F.at(10s, [&F] {
         for (std::size_t Vm = 0; Vm < 4; ++Vm) {
           F.setGroup(Vm, 1);
           F.cutStore(Vm, true);
         }
       });
     }},
    {"a bundle accepted",
     [](Fleet &F, const Deployment &D) {
       F.at(12s,
            [&F, &D] { (void)F.acceptBundle(3, exampleBundle(D.m_Folder)); });
     }},
};

struct RunFigures {
  std::map<ServiceName, ServiceTally> m_Tallies;
  double m_PeakUpstream = 0;
  double m_PeakRegion = 0;
  double m_PeakShift = 0;
  double m_Usable = 0;
  std::optional<Duration> m_Drain;
  std::optional<Duration> m_Spread;
  std::uint64_t m_Violations = 0;
};

RunFigures runOne(const Deployment &D, const Policy &P, const Fault &F,
                  double Load, bool Hot) {
  FleetPlan Plan;
  Plan.m_Bundle = std::make_shared<const Bundle>(exampleBundle(D.m_Folder));
  Plan.m_Load = Load;
  Plan.m_Length = 25s;
  Plan.m_DomainDelay = D.m_DomainDelay;
  Plan.m_RegionDelay = D.m_RegionDelay;
  Plan.m_CallerDelay = D.m_CallerDelay;
  Plan.m_ServiceTime = D.m_ServiceTime;
  if (Hot) {
    Plan.m_HotRegion = D.m_HotRegion;
    Plan.m_HotPart = 0.5;
  }
  P.m_Set(Plan);
  Fleet Run(Plan);
  F.m_Set(Run, D);
  RunFigures Result;
  Run.at(24s, [&] { Result.m_Usable = Run.usableShare(); });
  Run.run();
  Result.m_Tallies = Run.tallies();
  Result.m_PeakUpstream = Run.peakUse("upstream");
  Result.m_PeakRegion = Run.peakUse("region");
  Result.m_PeakShift = Run.peakUse("shift");
  Result.m_Drain = Run.drainTime();
  Result.m_Spread = Run.spreadTime(2);
  Result.m_Violations = Run.violations().total();
  return Result;
}

double percentile(std::vector<double> &Sorted, double Part) {
  if (Sorted.empty())
    return 0;
  auto At = std::size_t(double(Sorted.size() - 1) * Part);
  return Sorted[At];
}

void printCalls(const std::string &Label, RunFigures &Of) {
  for (auto &[Name, Tally] : Of.m_Tallies) {
    std::ranges::sort(Tally.m_LatencyMs);
    std::printf(
        "| %s | %s | %llu | %.1f%% | %.1f%% | %.2f%% | %.0f | %.0f | "
        "%.0f |\n",
        Label.c_str(), Name.str().c_str(), (unsigned long long)Tally.m_Offered,
        100.0 * double(Tally.m_Done) / double(Tally.m_Offered),
        100.0 * double(Tally.m_NotRun) / double(Tally.m_Offered),
        100.0 * double(Tally.m_Unknown) / double(Tally.m_Offered),
        percentile(Tally.m_LatencyMs, 0.5), percentile(Tally.m_LatencyMs, 0.99),
        percentile(Tally.m_LatencyMs, 0.999));
  }
}

const char *const CallHeader =
    "| run | service | offered | done | not run | unknown | p50 ms | p99 ms | "
    "p99.9 ms |\n|---|---|--:|--:|--:|--:|--:|--:|--:|\n";
const char *const LimitHeader =
    "| run | peak upstream | peak region | peak shift | usable slots | drain "
    "s | in force s | violations |\n|---|--:|--:|--:|--:|--:|--:|--:|\n";

std::string secondsOr(const std::optional<Duration> &Value) {
  if (!Value)
    return "-";
  std::array<char, 32> Text{};
  std::snprintf(Text.data(), Text.size(), "%.2f", double(Value->count()) / 1e6);
  return Text.data();
}

void printLimits(const std::string &Label, const RunFigures &Of) {
  std::printf("| %s | %.0f%% | %.0f%% | %.0f%% | %.0f%% | %s | %s | %llu |\n",
              Label.c_str(), Of.m_PeakUpstream, Of.m_PeakRegion, Of.m_PeakShift,
              100.0 * Of.m_Usable, secondsOr(Of.m_Drain).c_str(),
              secondsOr(Of.m_Spread).c_str(),
              (unsigned long long)Of.m_Violations);
}

/// One labelled run, computed beside the others.
struct Labelled {
  std::string m_Label;
  std::future<RunFigures> m_Result;
};

Labelled start(const std::string &Label, const Deployment &D, const Policy &P,
               const Fault &F, double Load, bool Hot) {
  return {Label, std::async(std::launch::async, [=, &D, &P, &F] {
            return runOne(D, P, F, Load, Hot);
          })};
}

void printAll(std::vector<Labelled> Runs) {
  std::vector<std::pair<std::string, RunFigures>> Done;
  for (Labelled &One : Runs)
    Done.emplace_back(One.m_Label, One.m_Result.get());
  std::printf("%s", CallHeader);
  for (auto &[Label, Result] : Done)
    printCalls(Label, Result);
  std::printf("\n%s", LimitHeader);
  for (auto &[Label, Result] : Done)
    printLimits(Label, Result);
  std::printf("\n");
}

void printDeployment(const Deployment &D) {
  std::printf("## %s: load\n\nQuiet, load spread evenly over the regions.\n\n",
              D.m_Title);
  std::vector<Labelled> ByLoad;
  for (double Load : {0.5, 0.8, 1.0, 1.5})
    for (const Policy &P : Policies)
      ByLoad.push_back(start(std::to_string(int(Load * 100)) + "%, " + P.m_Name,
                             D, P, Faults.front(), Load, false));
  printAll(std::move(ByLoad));

  std::printf("## %s: one hot region\n\n%s makes half of the load.\n\n",
              D.m_Title, D.m_HotRegion);
  std::vector<Labelled> Hot;
  for (double Load : {0.5, 0.8})
    for (const Policy &P : Policies)
      Hot.push_back(start(std::to_string(int(Load * 100)) + "%, " + P.m_Name, D,
                          P, Faults.front(), Load, true));
  printAll(std::move(Hot));

  std::printf("## %s: single faults at 80%%\n\n", D.m_Title);
  std::vector<Labelled> ByFault;
  for (const Fault &F : Faults)
    ByFault.push_back(start(F.m_Name, D, Policies.front(), F, 0.8, false));
  printAll(std::move(ByFault));
}

} // namespace

int main() {
  std::printf("# Measurements\n\n"
              "Written by `make measure`. 12 decision cores and their "
              "surroundings in one process, on simulated time: 25 s of load "
              "after 5 s of settling, seed 1. Delays are the users' own; mean "
              "service times are 20 ms, 60 ms and 2 s, a quarter of the "
              "servers takes half as long again. Load is a percentage of the "
              "slots' capacity without any transit time, so 100%% can't be "
              "reached. Latency is from the caller's look-up to the end of "
              "its answer, with a caller's retries. A peak over 100%% would "
              "be a broken limit.\n\n");
  for (const Deployment &D : Deployments)
    printDeployment(D);
}
