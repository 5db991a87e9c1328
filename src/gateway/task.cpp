/// \file
/// Failures of coroutines and handlers.
#include "gateway/task.h"

#include "observe/log.h"

namespace mustardspoke::steer {
namespace {

/// Keeps a service that fails at once from using up the processor.
constexpr Duration RestartDelay = 1s;

awaitable<void> restartLater(asio::io_context &Io, std::string_view Name,
                             std::function<awaitable<void>()> Run) {
  co_await sleepFor(Io, RestartDelay);
  startService(Io, Name, std::move(Run));
}

} // namespace

void logFailure(std::string_view Part, const std::exception_ptr &Thrown) {
  std::string Cause = "unknown";
  try {
    std::rethrow_exception(Thrown);
  } catch (const std::exception &Error) {
    Cause = Error.what();
  } catch (...) {
    // Not derived from std::exception, so it has no description.
  }
  logEvent(LogLevel::Error, "task-failed",
           {{"task", std::string(Part)}, {"cause", Cause}});
}

void startService(asio::io_context &Io, std::string_view Name,
                  std::function<awaitable<void>()> Run) {
  startTask(Io, Name, Run, [&Io, Name, Run] {
    startTask(Io, Name,
              [&Io, Name, Run]() { return restartLater(Io, Name, Run); });
  });
}

void runEvents(asio::io_context &Io) {
  while (!Io.stopped()) {
    try {
      Io.run();
    } catch (...) {
      logFailure("handler", std::current_exception());
    }
  }
}

} // namespace mustardspoke::steer
