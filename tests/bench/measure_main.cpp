/// \file
/// Writes docs/MEASUREMENTS.md: simulations of both deployments at their
/// present sizes, with the product and baseline policies. The output is
/// deterministic for a given build.
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

/// One of the two deployments, with the network delays that its user stated.
struct Deployment {
  const char *m_Folder;
  const char *m_Title;
  Duration m_DomainDelay;
  Duration m_RegionDelay;
  Duration m_CallerDelay;
  const char *m_HotRegion;
  const char *m_FaultyUpstream;
  std::map<std::string, Duration> m_MeanServiceTime;
};

struct Policy {
  const char *m_Name;
  void (*m_Apply)(SimulationConfig &);
};

/// A fault that is injected while the load runs.
struct InjectedFault {
  const char *m_Name;
  void (*m_Inject)(SimulatedFleet &, const Deployment &);
};

bool neverRetry(const Call &, AttemptResult, RetryBudget &) { return false; }

std::vector<std::uint32_t>
homeRegionOnly(std::uint32_t Capacity, std::span<const std::uint32_t> Demands,
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
    {"mustardspoke", [](SimulationConfig &) {}},
    {"floor: static shares, even choice, no retries",
     [](SimulationConfig &P) {
       P.m_Tuning.m_Shares.m_FloorPercent = 100;
       P.m_Strategies.m_Divide = homeRegionOnly;
       P.m_Strategies.m_Choose = chooseRandomly;
       P.m_Strategies.m_Retry = neverRetry;
     }},
    {"least in flight",
     [](SimulationConfig &P) {
       P.m_Strategies.m_Choose = chooseLeastInFlight;
     }},
};

const std::vector<InjectedFault> InjectedFaults{
    {"quiet", [](SimulatedFleet &, const Deployment &) {}},
    {"a VM killed",
     [](SimulatedFleet &F, const Deployment &) {
       F.scheduleAt(10s, [&F] { F.kill(1); });
     }},
    {"a VM frozen 10 s",
     [](SimulatedFleet &F, const Deployment &) {
       F.scheduleAt(10s, [&F] { F.pause(1); });
       F.scheduleAt(20s, [&F] { F.resume(1); });
     }},
    {"store down",
     [](SimulatedFleet &F, const Deployment &) {
       F.scheduleAt(8s, [&F] { F.setStore(StoreMode::Down); });
     }},
    {"store slow",
     [](SimulatedFleet &F, const Deployment &) {
       F.scheduleAt(8s, [&F] { F.setStore(StoreMode::Slow); });
     }},
    {"an upstream drains",
     [](SimulatedFleet &F, const Deployment &D) {
       F.scheduleAt(10s, [&F, &D] { F.drainUpstream(D.m_FaultyUpstream); });
     }},
    {"an upstream loses answers",
     [](SimulatedFleet &F, const Deployment &D) {
       F.scheduleAt(10s, [&F, &D] { F.loseAnswers(D.m_FaultyUpstream, 0.5); });
     }},
    {"a region cut off",
     [](SimulatedFleet &F, const Deployment &) {
       F.scheduleAt(10s, [&F] {
         for (std::size_t Vm = 0; Vm < 4; ++Vm) {
           F.setPartition(Vm, 1);
           F.setStoreCut(Vm, true);
         }
       });
     }},
    {"a bundle accepted",
     [](SimulatedFleet &F, const Deployment &D) {
       F.scheduleAt(12s, [&F, &D] {
         (void)F.acceptBundle(3, exampleBundle(D.m_Folder));
       });
     }},
};

struct RunResults {
  std::map<ServiceName, ServiceResults> m_ServiceResults;
  double m_PeakUpstream = 0;
  double m_PeakRegion = 0;
  double m_PeakShift = 0;
  double m_UsableSlots = 0;
  std::optional<Duration> m_DrainTime;
  std::optional<Duration> m_BundleSpread;
  std::uint64_t m_Violations = 0;
};

RunResults simulate(const Deployment &D, const Policy &P,
                    const InjectedFault &F, double Load, bool Hot) {
  SimulationConfig Config;
  Config.m_Bundle = std::make_shared<const Bundle>(exampleBundle(D.m_Folder));
  Config.m_OfferedLoad = Load;
  Config.m_LoadDuration = 25s;
  Config.m_DomainDelay = D.m_DomainDelay;
  Config.m_RegionDelay = D.m_RegionDelay;
  Config.m_CallerDelay = D.m_CallerDelay;
  Config.m_MeanServiceTime = D.m_MeanServiceTime;
  if (Hot) {
    Config.m_HotRegion = D.m_HotRegion;
    Config.m_HotRegionShare = 0.5;
  }
  P.m_Apply(Config);
  SimulatedFleet Run(Config);
  F.m_Inject(Run, D);
  RunResults Result;
  Run.scheduleAt(24s, [&] { Result.m_UsableSlots = Run.usableSlotFraction(); });
  Run.run();
  Result.m_ServiceResults = Run.serviceResults();
  Result.m_PeakUpstream = Run.peakUtilization("upstream");
  Result.m_PeakRegion = Run.peakUtilization("region");
  Result.m_PeakShift = Run.peakUtilization("shift");
  Result.m_DrainTime = Run.longestDrainTime();
  Result.m_BundleSpread = Run.bundleSpreadTime(2);
  Result.m_Violations = Run.violations().total();
  return Result;
}

double percentile(std::vector<double> &Sorted, double Fraction) {
  if (Sorted.empty())
    return 0;
  auto Index = std::size_t(double(Sorted.size() - 1) * Fraction);
  return Sorted[Index];
}

void printCalls(const std::string &Label, RunResults &Results) {
  for (auto &[Name, Tally] : Results.m_ServiceResults) {
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

std::string formatSeconds(const std::optional<Duration> &Value) {
  if (!Value)
    return "-";
  std::array<char, 32> Text{};
  std::snprintf(Text.data(), Text.size(), "%.2f", double(Value->count()) / 1e6);
  return Text.data();
}

void printLimits(const std::string &Label, const RunResults &Results) {
  std::printf("| %s | %.0f%% | %.0f%% | %.0f%% | %.0f%% | %s | %s | %llu |\n",
              Label.c_str(), Results.m_PeakUpstream, Results.m_PeakRegion,
              Results.m_PeakShift, 100.0 * Results.m_UsableSlots,
              formatSeconds(Results.m_DrainTime).c_str(),
              formatSeconds(Results.m_BundleSpread).c_str(),
              (unsigned long long)Results.m_Violations);
}

/// One run with its label, computed concurrently with the others.
struct LabelledRun {
  std::string m_Label;
  std::future<RunResults> m_Result;
};

LabelledRun start(const std::string &Label, const Deployment &D,
                  const Policy &P, const InjectedFault &F, double Load,
                  bool Hot) {
  return {Label, std::async(std::launch::async, [=, &D, &P, &F] {
            return simulate(D, P, F, Load, Hot);
          })};
}

void printAll(std::vector<LabelledRun> Runs) {
  std::vector<std::pair<std::string, RunResults>> Done;
  for (LabelledRun &Run : Runs)
    Done.emplace_back(Run.m_Label, Run.m_Result.get());
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
  std::vector<LabelledRun> ByLoad;
  for (double Load : {0.5, 0.8, 1.0, 1.5})
    for (const Policy &P : Policies)
      ByLoad.push_back(start(std::to_string(int(Load * 100)) + "%, " + P.m_Name,
                             D, P, InjectedFaults.front(), Load, false));
  printAll(std::move(ByLoad));

  std::printf("## %s: one hot region\n\n%s makes half of the load.\n\n",
              D.m_Title, D.m_HotRegion);
  std::vector<LabelledRun> Hot;
  for (double Load : {0.5, 0.8})
    for (const Policy &P : Policies)
      Hot.push_back(start(std::to_string(int(Load * 100)) + "%, " + P.m_Name, D,
                          P, InjectedFaults.front(), Load, true));
  printAll(std::move(Hot));

  std::printf("## %s: single faults at 80%%\n\n", D.m_Title);
  std::vector<LabelledRun> ByFault;
  for (const InjectedFault &F : InjectedFaults)
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
