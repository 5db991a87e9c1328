/// \file
/// Prints the time of one selection of an upstream, with as many upstreams as
/// in the deployment of docs/design/14-hard-load.md.
#include "core/upstreams.h"
#include "steer/choice.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <map>
#include <string>
#include <utility>
#include <vector>

using namespace mustardspoke;
using namespace mustardspoke::steer;

namespace {

constexpr unsigned Repetitions = 9;
constexpr unsigned Decisions = 20000; ///< In one repetition.
constexpr unsigned KeyCount = 5000;
constexpr unsigned AnswersPerUpstream = 20; ///< Before the first decision.
constexpr TimePoint Now{1h};
constexpr Duration RegionRoundTrip = 110ms;
constexpr Duration DomainRoundTrip = 1800us;
/// Reports are at most this old, so that none has expired.
constexpr unsigned MaxReportAgeMs = 300;

struct Service {
  const char *m_Name;
  unsigned m_Upstreams;
  unsigned m_Slots;
  Duration m_Target;
};
constexpr std::array<Service, 3> Services{
    {{"a", 188, 3, 500ms}, {"b", 118, 3, 600ms}, {"c", 34, 3, 1200ms}}};
constexpr unsigned UpstreamCount = 340;

struct BenchRegion {
  const char *m_Name;
  double m_LocalShare; ///< Of the keys of its own VMs.
};
constexpr BenchRegion LargeRegion{"north", 1};
constexpr BenchRegion SmallRegion{"south", 0.36};
/// Of each 8 upstreams, 1 is in the small region: 12%.
constexpr std::array<const char *, 8> DomainOfUpstream{
    "north-a", "east-a", "north-b", "east-b",
    "north-a", "east-a", "north-b", "south-a"};

std::string regionOf(const std::string &Domain) {
  return Domain.substr(0, Domain.find('-'));
}

/// \brief Load of the upstreams that the decisions are made with.
struct State {
  const char *m_Name;
  unsigned m_MinLoad; ///< Running and waiting requests of an upstream.
  unsigned m_LoadSpread;
};
/// Near full, a tenth of the decisions and more finds no room at the holder of
/// the key and looks at all upstreams.
constexpr std::array<State, 2> States{{{"warm", 0, 3}, {"near full", 2, 8}}};

/// \brief What one VM knows of all upstreams.
class View {
public:
  View(const State &Load, const BenchRegion &Own) : m_Own(Own) {
    m_Local.m_Region = RegionName(Own.m_Name);
    m_Local.m_Domain = FailureDomainName(std::string(Own.m_Name) + "-a");
    unsigned Index = 0;
    for (const Service &Entry : Services) {
      m_Settings[Entry.m_Name].m_Name = ServiceName(Entry.m_Name);
      for (unsigned I = 0; I < Entry.m_Upstreams; ++I)
        add(Entry, Index++, Load);
      Route &Added = m_Routes[Entry.m_Name];
      Added.m_TargetLatency = Entry.m_Target;
      Added.m_KeyAffinity = true;
      Added.m_Targets.push_back({ServiceName(Entry.m_Name), 1});
    }
  }

  /// \brief Selects an upstream as Exchange::choose() does. \returns Whether
  /// there was one.
  bool decide(const Service &Target, std::uint64_t KeyHash) {
    ChoiceInput Input{m_Routes[Target.m_Name], &m_Settings[Target.m_Name],
                      ServiceName(Target.m_Name),
                      Residency(m_Routes[Target.m_Name])};
    Input.m_KeyHash = KeyHash;
    Input.m_Now = Now;
    Input.m_TimeToTarget = Target.m_Target;
    Input.m_LocalShare = m_Own.m_LocalShare;
    Input.m_MeanProcessingTime =
        m_Table.meanProcessingTime(ServiceName(Target.m_Name));
    Input.m_MeanAnswerBytes = 2048;
    return bool(
        chooseByKeyLocalFirst(Input, m_Table, m_Local, m_Tuning).m_Upstream);
  }

private:
  void add(const Service &Entry, unsigned Index, const State &Load) {
    UpstreamRegistration Registration;
    Registration.m_Id = std::string(Entry.m_Name) + std::to_string(Index);
    Registration.m_Service = ServiceName(Entry.m_Name);
    Registration.m_Address = "10.0.0.1:" + std::to_string(10000 + Index);
    std::string Domain = DomainOfUpstream[Index % DomainOfUpstream.size()];
    if (Domain == "south-a" && Index % 16 == 15)
      Domain = "south-b";
    Registration.m_Domain = FailureDomainName(Domain);
    Registration.m_Region = RegionName(regionOf(Domain));
    Registration.m_Slots = Entry.m_Slots;
    Registration.m_StartedMs = 1;
    (void)m_Table.put(Registration, Now - 1min);
    UpstreamPtr Added = m_Table.find(Registration.m_Id);
    Added->m_ColdUntil = {};
    Duration RoundTrip =
        regionOf(Domain) == m_Own.m_Name ? DomainRoundTrip : RegionRoundTrip;
    Added->recordConnect(RoundTrip);
    for (unsigned I = 0; I < AnswersPerUpstream; ++I) {
      Duration Work = Entry.m_Target / 3 + m_Rng(100) * 1ms;
      m_Table.recordProcessingTime(
          Registration.m_Service,
          Added->recordSuccess(Now - 1s, RoundTrip + Work, 0,
                               m_Tuning.m_HealthTuning));
    }
    unsigned Requests = Load.m_MinLoad + m_Rng(Load.m_LoadSpread);
    steer::LoadReport Report;
    Report.m_Running = std::min(Requests, Entry.m_Slots);
    Report.m_Waiting = Requests - Report.m_Running;
    Report.m_Slots = Entry.m_Slots;
    Added->m_InFlight = m_Rng(2);
    Added->m_PeerActiveRequests = 0.7 * Requests;
    Added->recordLoadReport(Report, Now - m_Rng(MaxReportAgeMs) * 1ms);
  }

  BenchRegion m_Own;
  Placement m_Local;
  ChoiceTuning m_Tuning;
  Random m_Rng{20261206};
  UpstreamTable m_Table;
  std::map<std::string, ServiceSettings> m_Settings;
  std::map<std::string, Route> m_Routes;
};

double nanoseconds() {
  timespec At{};
  clock_gettime(CLOCK_MONOTONIC, &At);
  return double(At.tv_sec) * 1e9 + double(At.tv_nsec);
}

/// \brief Processor time of this thread in nanoseconds.
double processorNanoseconds() {
  timespec At{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &At);
  return double(At.tv_sec) * 1e9 + double(At.tv_nsec);
}

/// \param Fraction Part of the values that are smaller.
double quantile(std::vector<double> &Values, double Fraction) {
  auto At = Values.begin() + std::lround(Fraction * double(Values.size() - 1));
  std::nth_element(Values.begin(), At, Values.end());
  return *At;
}

/// \brief The time that reading the clock adds to a measured one.
double clockCost() {
  std::vector<double> Costs;
  for (unsigned I = 0; I < Decisions; ++I) {
    double Begin = nanoseconds();
    Costs.push_back(nanoseconds() - Begin);
  }
  return quantile(Costs, 0.5);
}

const Service &serviceOf(unsigned Drawn) {
  for (const Service &Entry : Services) {
    if (Drawn < Entry.m_Upstreams)
      return Entry;
    Drawn -= Entry.m_Upstreams;
  }
  return Services.back();
}

struct Figure {
  std::vector<double> m_Values; ///< One of each repetition.

  void print() {
    double Median = quantile(m_Values, 0.5);
    std::printf(" %.0f | %.0f to %.0f |", Median,
                *std::min_element(m_Values.begin(), m_Values.end()),
                *std::max_element(m_Values.begin(), m_Values.end()));
  }
};

void measure(const State &Load, const BenchRegion &Own, double ClockCost) {
  View Vm(Load, Own);
  Figure Median;
  Figure Late;
  Figure Processor;
  unsigned Refused = 0;
  // The first repetition, which warms the caches, isn't counted.
  for (unsigned Repetition = 0; Repetition <= Repetitions; ++Repetition) {
    Random Rng(Repetition + 1);
    std::vector<double> Times;
    Times.reserve(Decisions);
    std::vector<std::pair<const Service *, std::uint64_t>> Drawn;
    for (unsigned I = 0; I < Decisions; ++I) {
      const Service &Target = serviceOf(Rng(UpstreamCount));
      Drawn.emplace_back(&Target,
                         stableHash("k" + std::to_string(Rng(KeyCount))));
    }
    for (const auto &[Target, Key] : Drawn) {
      double Begin = nanoseconds();
      Refused += Vm.decide(*Target, Key) ? 0 : 1;
      Times.push_back(nanoseconds() - Begin - ClockCost);
    }
    // Again without reading the clock in between, for the processor time alone.
    double Begin = processorNanoseconds();
    for (const auto &[Target, Key] : Drawn)
      Vm.decide(*Target, Key);
    double Sum = processorNanoseconds() - Begin;
    if (Repetition == 0) {
      Refused = 0;
      continue;
    }
    Median.m_Values.push_back(quantile(Times, 0.5));
    Late.m_Values.push_back(quantile(Times, 0.99));
    Processor.m_Values.push_back(Sum / Decisions);
  }
  std::printf("| %s | %s |", Load.m_Name, Own.m_Name);
  Median.print();
  Late.print();
  Processor.print();
  std::printf(" %.3f |\n", double(Refused) / (Decisions * Repetitions));
}

} // namespace

int main() {
  std::printf("%u decisions, %u repetitions; ns; the range is that of the "
              "repetitions\n\n"
              "| state | region | median | range | 99th percentile | range | "
              "mean processor time | range | refused |\n"
              "|---|---|--:|--:|--:|--:|--:|--:|--:|\n",
              Decisions, Repetitions);
  double ClockCost = clockCost();
  for (const State &Load : States)
    for (const BenchRegion &Own : {LargeRegion, SmallRegion})
      measure(Load, Own, ClockCost);
}
