/// \file
/// Runs the decision-level cells whose names start with NAME, by default all:
/// proof-decisions [--cell=NAME] [--first=N] [--seeds=N] [--report=FILE].
/// Exits with 1 if a cell isn't proved.
#include "proof/cells.h"

#include <charconv>
#include <chrono>
#include <fstream>
#include <iostream>

namespace {

std::uint64_t numberOption(std::string_view Argument, std::string_view Prefix,
                           std::uint64_t Default) {
  if (!Argument.starts_with(Prefix))
    return Default;
  Argument.remove_prefix(Prefix.size());
  std::from_chars(Argument.data(), Argument.data() + Argument.size(), Default);
  return Default;
}

} // namespace

int main(int Argc, char **Argv) {
  using namespace mustardspoke::test;
  std::string CellPrefix;
  std::string ReportPath;
  std::uint64_t FirstSeed = 1;
  std::uint64_t SeedCount = 2;
  for (int I = 1; I < Argc; ++I) {
    std::string_view Argument = Argv[I];
    if (Argument.starts_with("--cell="))
      CellPrefix = Argument.substr(7);
    if (Argument.starts_with("--report="))
      ReportPath = Argument.substr(9);
    FirstSeed = numberOption(Argument, "--first=", FirstSeed);
    SeedCount = numberOption(Argument, "--seeds=", SeedCount);
  }
  std::ofstream Report;
  if (!ReportPath.empty())
    Report.open(ReportPath);
  auto StartedAt = std::chrono::steady_clock::now();
  int Unproved = 0;
  std::uint64_t Runs = 0;
  for (const Cell &Tested : decisionCells()) {
    if (!CellPrefix.empty() && !Tested.m_Name.starts_with(CellPrefix))
      continue;
    CellResult Result = runCell(Tested, FirstSeed, SeedCount);
    Runs += 2 * SeedCount;
    bool Proved = Result.proved();
    Unproved += Proved ? 0 : 1;
    std::cout << Tested.m_Name << ": " << (Proved ? "proved" : "NOT PROVED")
              << ", violations " << Result.m_Violations
              << Result.m_ViolationSummary << ", calls done " << Result.m_Done
              << ", control violations " << Result.m_ControlViolations << "\n";
    Report << Tested.m_Flow << "\t" << Tested.m_Fault << "\t"
           << Tested.m_Invariant << "\t" << Tested.m_Name << "\t" << FirstSeed
           << "-" << FirstSeed + SeedCount - 1 << "\t"
           << Tested.m_ControlMechanism << "\t"
           << (Proved ? "proved" : "failed") << "\n";
  }
  auto Elapsed = std::chrono::steady_clock::now() - StartedAt;
  std::cout << Runs << " runs in "
            << std::chrono::duration_cast<std::chrono::seconds>(Elapsed).count()
            << " s\n";
  return Unproved == 0 && Runs > 0 ? 0 : 1;
}
