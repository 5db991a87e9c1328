/// \file
/// Starts, signals and reaps child processes.
#include "support/process.h"

#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

extern char **environ; // NOLINT(readability-identifier-naming)

namespace mustardspoke::test {

Process::Process(const std::vector<std::string> &CommandLine,
                 const std::string &LogPath) {
  std::vector<char *> Arguments;
  Arguments.reserve(CommandLine.size() + 1);
  for (const std::string &Argument : CommandLine)
    Arguments.push_back(const_cast<char *>(Argument.c_str()));
  Arguments.push_back(nullptr);
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  posix_spawn_file_actions_addopen(&Actions, 1, LogPath.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&Actions, 1, 2);
  // The child must not inherit sockets of the test.
  posix_spawn_file_actions_addclosefrom_np(&Actions, 3);
  int Error = posix_spawn(&m_Pid, Arguments[0], &Actions, nullptr,
                          Arguments.data(), environ);
  posix_spawn_file_actions_destroy(&Actions);
  if (Error != 0)
    throw std::runtime_error("can't start " + CommandLine[0]);
}

Process::~Process() {
  if (m_Status)
    return;
  signal(SIGCONT);
  signal(SIGKILL);
  waitpid(m_Pid, nullptr, 0);
}

void Process::signal(int Number) const { ::kill(m_Pid, Number); }

std::optional<int> Process::waitForExit(Duration Timeout) {
  (void)eventually([this] { return exited().has_value(); }, Timeout);
  return m_Status;
}

std::optional<int> Process::exited() {
  int Status = 0;
  if (!m_Status && waitpid(m_Pid, &Status, WNOHANG) == m_Pid)
    m_Status = Status;
  return m_Status;
}

std::uint64_t Process::peakKib() const {
  std::ifstream In("/proc/" + std::to_string(m_Pid) + "/status");
  std::string Word;
  while (In >> Word) {
    std::uint64_t Value = 0;
    if (Word == "VmHWM:" && In >> Value)
      return Value;
  }
  return 0;
}

bool eventually(const std::function<bool()> &Condition, Duration Timeout) {
  auto Deadline = std::chrono::steady_clock::now() + Timeout;
  while (!Condition()) {
    if (std::chrono::steady_clock::now() >= Deadline)
      return false;
    std::this_thread::sleep_for(20ms);
  }
  return true;
}

} // namespace mustardspoke::test
