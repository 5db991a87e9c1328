/// \file
/// Prints what the load model's patterns come to, by rule of choice.
#include "support/load_model.h"

#include <cstdio>

using namespace mustardspoke;
using namespace mustardspoke::test;

namespace {

constexpr std::uint64_t Seeds = 5; ///< Runs whose mean is printed.

struct Row {
  const char *m_Name;
  steer::UpstreamRule m_Choose;
};
constexpr Row Rules[] = {{"least load", steer::chooseLeastLoad},
                         {"by key, near first", steer::chooseByKeyNearFirst}};

void print(const LoadPattern &Pattern, const Row &By) {
  double InTarget = 0;
  double Late = 0;
  double Refused = 0;
  double Lost = 0;
  double Region = 0;
  double Second = 0;
  double Cold = 0;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    LoadPlan Plan;
    Plan.m_Choose = By.m_Choose;
    Plan.m_Seed = Seed;
    LoadModel Model(Plan);
    Pattern.m_Prepare(Model);
    LoadResult Of = Model.run();
    double Part = 1.0 / (double(Of.m_All.m_Asked) * Seeds);
    InTarget += Of.m_All.m_InTarget * Part;
    Late += Of.m_All.m_Late * Part;
    Refused += Of.m_All.m_Refused * Part;
    Lost += Of.m_All.m_Lost * Part;
    Region += Of.worstRegion() / Seeds;
    Second += Of.worstSecond() / Seeds;
    Cold += double(Of.m_ColdWork.count()) / 1e6 / Seeds;
  }
  std::printf("| %s | %s | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.0f |\n",
              Pattern.m_Name, By.m_Name, InTarget, Late, Refused, Lost, Region,
              Second, Cold);
}

} // namespace

int main() {
  std::printf("| pattern | rule | in target | late | refused | lost | worst "
              "region | worst second | work on keys not held, s |\n"
              "|---|---|--:|--:|--:|--:|--:|--:|--:|\n");
  for (const LoadPattern &Pattern : loadPatterns())
    for (const Row &By : Rules)
      print(Pattern, By);
}
