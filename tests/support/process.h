/// \file
/// Child processes of tests.
#pragma once

#include "core/time.h"

#include <functional>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace mustardspoke::test {

/// \brief A child process; killed by its process id on destruction.
class Process {
public:
  Process(const std::vector<std::string> &CommandLine,
          const std::string &LogPath);
  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  void signal(int Number) const;
  /// \brief Waits up to \p Timeout for the exit.
  /// \returns The wait status, if the process has exited.
  std::optional<int> waitForExit(Duration Timeout);
  /// \brief Returns the wait status if the process has exited; doesn't block.
  std::optional<int> exited();
  [[nodiscard]] pid_t pid() const noexcept { return m_Pid; }
  /// \brief Peak resident set size in KiB.
  [[nodiscard]] std::uint64_t peakKib() const;

private:
  pid_t m_Pid = 0;
  std::optional<int> m_Status;
};

/// \brief Polls \p Condition until it is true.
/// \returns False if it wasn't true within \p Timeout.
[[nodiscard]] bool eventually(const std::function<bool()> &Condition,
                              Duration Timeout = 20s);

} // namespace mustardspoke::test
