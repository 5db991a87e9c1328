/// \file
/// Logging with Boost.Log.
#include "observe/log.h"

#include "observe/line_limit.h"

#include "json/json.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/smart_ptr/make_shared.hpp>

#include <chrono>
#include <poll.h>
#include <unistd.h>

namespace mustardspoke {
namespace {

/// Limit of the buffer for a slow reader; lines beyond it are dropped and
/// counted.
constexpr std::size_t MaxPendingBytes = 256 << 10;
/// A pipe that poll() reports as writable accepts this much without blocking
/// (PIPE_BUF of POSIX).
constexpr std::size_t MaxWriteBytes = 4096;

LineLimit &lineLimit() {
  static LineLimit Instance(std::chrono::steady_clock::now());
  return Instance;
}

/// \brief Writes lines to standard output without blocking.
class BoundedOutput
    : public boost::log::sinks::basic_formatted_sink_backend<char> {
public:
  void consume(const boost::log::record_view & /*Record*/,
               const std::string &Line) {
    if (m_Pending.size() + Line.size() > MaxPendingBytes) {
      lineLimit().countDropped();
      flushPending();
      return;
    }
    if (std::uint64_t Dropped = lineLimit().takeDropped())
      m_Pending += R"({"event":"log-lines-left-out","count":")" +
                   std::to_string(Dropped) + "\"}\n";
    m_Pending += Line;
    m_Pending += '\n';
    flushPending();
  }

private:
  void flushPending() {
    while (!m_Pending.empty()) {
      pollfd Poll{STDOUT_FILENO, POLLOUT, 0};
      if (::poll(&Poll, 1, 0) <= 0 || !(Poll.revents & POLLOUT))
        return;
      ssize_t Written = ::write(STDOUT_FILENO, m_Pending.data(),
                                std::min(m_Pending.size(), MaxWriteBytes));
      if (Written <= 0)
        return;
      m_Pending.erase(0, std::size_t(Written));
    }
  }

  std::string m_Pending;
};

/// Longer values of a line are cut.
constexpr std::size_t MaxValueBytes = 1024;

using Logger = boost::log::sources::severity_logger_mt<LogLevel>;

std::string LogVmName;

const char *levelName(LogLevel Level) {
  constexpr const char *Names[] = {"info", "warning", "error"};
  return Names[std::size_t(Level)];
}

Logger &logger() {
  static Logger Instance;
  return Instance;
}

std::int64_t wallMillis() {
  using namespace std::chrono;
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch())
      .count();
}

} // namespace

void startLog(const std::string &Vm, const std::string &MinLevel) {
  namespace expr = boost::log::expressions;
  LogVmName = Vm;
  using Sink = boost::log::sinks::synchronous_sink<BoundedOutput>;
  auto Output = boost::make_shared<Sink>();
  Output->set_formatter(expr::stream << expr::smessage);
  boost::log::core::get()->add_sink(Output);
  LogLevel MinSeverity = MinLevel == "error"     ? LogLevel::Error
                         : MinLevel == "warning" ? LogLevel::Warning
                                                 : LogLevel::Info;
  boost::log::core::get()->set_filter(expr::attr<LogLevel>("Severity") >=
                                      MinSeverity);
}

std::string boundedLogValue(const std::string &Value) {
  if (Value.size() <= MaxValueBytes)
    return Value;
  return Value.substr(0, MaxValueBytes) + "... (" +
         std::to_string(Value.size()) + " bytes)";
}

void logEvent(LogLevel Level, std::string_view Event,
              std::span<const LogField> Fields) {
  if (!lineLimit().admit(std::chrono::steady_clock::now()))
    return;
  Json Line = Json::object();
  Line.set("time", Json(wallMillis()));
  Line.set("level", Json(levelName(Level)));
  Line.set("vm", Json(LogVmName));
  Line.set("event", Json(std::string(Event)));
  for (const LogField &Field : Fields)
    Line.set(std::string(Field.m_Key), Json(boundedLogValue(Field.m_Value)));
  BOOST_LOG_SEV(logger(), Level) << Line.toText();
}

} // namespace mustardspoke
