/// \file
/// Child processes of the tests, ended by their ids.
#pragma once

#include "core/time.h"

#include <functional>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace mustardspoke::test {

/// \brief A child process, killed by its id when the object goes.
class Process {
public:
  Process(const std::vector<std::string> &Words, const std::string &LogPath);
  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  void signal(int Number) const;
  /// \brief Waits up to \p Most. \returns The exit status, if it ended.
  std::optional<int> waitExit(Duration Most);
  /// \brief The exit status, if it has ended; never waits.
  std::optional<int> exited();
  [[nodiscard]] pid_t pid() const noexcept { return m_Pid; }
  /// \brief Largest resident size so far, in KiB.
  [[nodiscard]] std::uint64_t peakKib() const;

private:
  pid_t m_Pid = 0;
  std::optional<int> m_Status;
};

/// \brief Polls \p Done until it holds; false after \p Most.
[[nodiscard]] bool eventually(const std::function<bool()> &Done,
                              Duration Most = 20s);

} // namespace mustardspoke::test
