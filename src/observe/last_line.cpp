/// \file
/// Handlers of fatal signals. They use only what is safe in a signal handler.
#include "observe/last_line.h"

#include "observe/log.h"

#include <array>
#include <charconv>
#include <csignal>
#include <cstring>
#include <exception>
#include <fcntl.h>
#include <string_view>
#include <time.h>
#include <unistd.h>

namespace mustardspoke {
namespace {

constexpr int FatalSignals[] = {SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT};
/// A stack overflow leaves no room on the usual stack.
constexpr std::size_t HandlerStackBytes = 16384;

/// \brief Text of a fixed size; what doesn't fit is left out.
class FixedText {
public:
  FixedText &operator<<(std::string_view Text) {
    std::size_t Size = std::min(Text.size(), m_Bytes.size() - m_Size);
    std::memcpy(m_Bytes.data() + m_Size, Text.data(), Size);
    m_Size += Size;
    return *this;
  }
  FixedText &operator<<(std::int64_t Number) {
    auto Result = std::to_chars(m_Bytes.data() + m_Size,
                                m_Bytes.data() + m_Bytes.size(), Number);
    if (Result.ec == std::errc())
      m_Size = std::size_t(Result.ptr - m_Bytes.data());
    return *this;
  }
  [[nodiscard]] std::string_view view() const {
    return {m_Bytes.data(), m_Size};
  }

private:
  std::array<char, 512> m_Bytes;
  std::size_t m_Size = 0;
};

FixedText VmName; // Written before the handlers are installed.

std::string_view signalName(int Number) {
  switch (Number) {
  case SIGSEGV:
    return "SIGSEGV";
  case SIGBUS:
    return "SIGBUS";
  case SIGFPE:
    return "SIGFPE";
  case SIGILL:
    return "SIGILL";
  case SIGABRT:
    return "SIGABRT";
  default:
    return "";
  }
}

void onFatalSignal(int Number) {
  timespec Now{};
  ::clock_gettime(CLOCK_REALTIME, &Now);
  FixedText Line;
  Line << R"({"time":)"
       << std::int64_t(Now.tv_sec) * 1000 + Now.tv_nsec / 1000000
       << R"(,"level":"error","vm":")" << VmName.view()
       << R"(","event":"ended-by-signal","signal":")" << signalName(Number)
       << "\"}\n";
  int Flags = ::fcntl(STDOUT_FILENO, F_GETFL);
  (void)::fcntl(STDOUT_FILENO, F_SETFL, Flags | O_NONBLOCK);
  [[maybe_unused]] ssize_t Written =
      ::write(STDOUT_FILENO, Line.view().data(), Line.view().size());
  // SA_RESETHAND has restored the default, which ends the process.
  ::raise(Number);
}

void onTerminate() {
  std::string Cause = "no exception";
  try {
    if (std::exception_ptr Thrown = std::current_exception())
      std::rethrow_exception(Thrown);
  } catch (const std::exception &Error) {
    Cause = Error.what();
  } catch (...) {
    Cause = "unknown";
  }
  logEvent(LogLevel::Error, "terminated", {{"cause", Cause}});
  std::abort();
}

} // namespace

void logFatalEnds(const std::string &Vm) {
  static std::array<char, HandlerStackBytes> HandlerStack;
  VmName = FixedText();
  VmName << Vm;
  stack_t Stack{};
  Stack.ss_sp = HandlerStack.data();
  Stack.ss_size = HandlerStack.size();
  (void)::sigaltstack(&Stack, nullptr);
  struct sigaction Action {};
  Action.sa_handler = onFatalSignal;
  Action.sa_flags = int(SA_RESETHAND | SA_ONSTACK | SA_NODEFER);
  for (int Number : FatalSignals)
    (void)::sigaction(Number, &Action, nullptr);
  std::set_terminate(onTerminate);
}

} // namespace mustardspoke
