/// \file
/// Cells of the fault matrix that run on simulated decision cores.
#pragma once

#include "support/fleet.h"

#include <functional>
#include <string>
#include <vector>

namespace mustardspoke::test {

/// \brief One cell: a flow, a fault, an invariant, and a control, which is the
/// same run with a mechanism disabled, in which the invariant must break.
struct Cell {
  std::string m_Name; ///< Unique; used on the command line.
  std::string m_Flow;
  std::string m_Fault;
  std::string m_Invariant;
  std::string m_ControlMechanism; ///< The mechanism that the control disables.
  /// Changes the configuration of both runs.
  std::function<void(SimulationConfig &)> m_Configure;
  /// Schedules the faults.
  std::function<void(SimulatedFleet &)> m_ScheduleFaults;
  /// Disables the mechanism in the configuration of the control.
  std::function<void(SimulationConfig &)> m_DisableMechanism;
  /// Counts the violations that the control has to show.
  std::function<std::uint64_t(const SimulatedFleet &)> m_CountViolations;
};

/// \brief All decision-level cells, in the order of the report.
[[nodiscard]] std::vector<Cell> decisionCells();

/// \brief Sums over the runs of a cell with several seeds.
struct CellResult {
  std::uint64_t m_Violations = 0; ///< Of all invariants, mechanism enabled.
  std::uint64_t m_Done = 0;       ///< Calls done; with none, nothing is proved.
  std::uint64_t m_ControlViolations = 0;
  std::string m_ViolationSummary; ///< The violated invariants and how often.

  [[nodiscard]] bool proved() const noexcept {
    return m_Violations == 0 && m_Done > 0 && m_ControlViolations > 0;
  }
};

/// \brief Runs \p Tested and its control with \p SeedCount seeds from
/// \p FirstSeed on.
[[nodiscard]] CellResult runCell(const Cell &Tested, std::uint64_t FirstSeed,
                                 std::uint64_t SeedCount);

} // namespace mustardspoke::test
