/// \file
/// Prints the results of the load patterns for each selection strategy.
#include "support/load_model.h"

#include <cstdio>

using namespace mustardspoke;
using namespace mustardspoke::test;

namespace {

constexpr std::uint64_t Seeds = 5; ///< The mean over these runs is printed.

struct Strategy {
  const char *m_Name;
  steer::UpstreamStrategy m_Choose;
};
constexpr Strategy Strategies[] = {
    {"least load", steer::chooseLeastLoad},
    {"by key, near first", steer::chooseByKeyLocalFirst}};

void print(const LoadPattern &Pattern, const Strategy &Selection) {
  double InTarget = 0;
  double Late = 0;
  double Refused = 0;
  double Lost = 0;
  double WorstRegion = 0;
  double WorstSecond = 0;
  double UncachedWork = 0;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    LoadPlan Plan;
    Plan.m_Strategy = Selection.m_Choose;
    Plan.m_Seed = Seed;
    LoadModel Model(Plan);
    Pattern.m_Prepare(Model);
    LoadResult Result = Model.run();
    double Weight = 1.0 / (double(Result.m_All.m_Requests) * Seeds);
    InTarget += Result.m_All.m_InTarget * Weight;
    Late += Result.m_All.m_Late * Weight;
    Refused += Result.m_All.m_Refused * Weight;
    Lost += Result.m_All.m_Lost * Weight;
    WorstRegion += Result.worstRegion() / Seeds;
    WorstSecond += Result.worstSecond() / Seeds;
    UncachedWork += double(Result.m_UncachedWork.count()) / 1e6 / Seeds;
  }
  std::printf("| %s | %s | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.0f |\n",
              Pattern.m_Name, Selection.m_Name, InTarget, Late, Refused, Lost,
              WorstRegion, WorstSecond, UncachedWork);
}

} // namespace

int main() {
  std::printf("| pattern | rule | in target | late | refused | lost | worst "
              "region | worst second | work on keys not held, s |\n"
              "|---|---|--:|--:|--:|--:|--:|--:|--:|\n");
  for (const LoadPattern &Pattern : loadPatterns())
    for (const Strategy &Selection : Strategies)
      print(Pattern, Selection);
}
