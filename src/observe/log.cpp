/// \file
/// Log lines through Boost.Log.
#include "observe/log.h"

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

/// Lines that wait for a slow reader of the log; later ones are counted.
constexpr std::size_t MostPending = 256 << 10; // bytes
/// A pipe that polls as writable takes this much at once (POSIX's PIPE_BUF).
constexpr std::size_t WritePiece = 4096; // bytes
/// Lines a second on average, and at once after quiet; a VM of a fifth of a
/// core spends under a hundredth of its time on so many.
constexpr double LinesPerSecond = 150;
constexpr double LinesAtOnce = 600;

/// \brief Writes lines to standard output without ever waiting for it.
class BoundedOutput
    : public boost::log::sinks::basic_formatted_sink_backend<char> {
public:
  void consume(const boost::log::record_view & /*Record*/,
               const std::string &Line) {
    using Clock = std::chrono::steady_clock;
    Clock::time_point Now = Clock::now();
    std::chrono::duration<double> Passed = Now - m_FilledAt;
    m_FilledAt = Now;
    m_Allowance =
        std::min(LinesAtOnce, m_Allowance + Passed.count() * LinesPerSecond);
    if (m_Allowance < 1 || m_Pending.size() + Line.size() > MostPending) {
      ++m_LeftOut;
      flushPending();
      return;
    }
    m_Allowance -= 1;
    if (m_LeftOut > 0) {
      m_Pending += R"({"event":"log-lines-left-out","count":")" +
                   std::to_string(std::exchange(m_LeftOut, 0)) + "\"}\n";
    }
    m_Pending += Line;
    m_Pending += '\n';
    flushPending();
  }

private:
  void flushPending() {
    while (!m_Pending.empty()) {
      pollfd Out{STDOUT_FILENO, POLLOUT, 0};
      if (::poll(&Out, 1, 0) <= 0 || !(Out.revents & POLLOUT))
        return;
      ssize_t Done = ::write(STDOUT_FILENO, m_Pending.data(),
                             std::min(m_Pending.size(), WritePiece));
      if (Done <= 0)
        return;
      m_Pending.erase(0, std::size_t(Done));
    }
  }

  std::string m_Pending;
  std::uint64_t m_LeftOut = 0; ///< Since the last line that said so.
  double m_Allowance = LinesAtOnce;
  std::chrono::steady_clock::time_point m_FilledAt =
      std::chrono::steady_clock::now();
};

using Logger = boost::log::sources::severity_logger_mt<LogLevel>;

std::string VmOfLog;

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

void startLog(const std::string &Vm, const std::string &Least) {
  namespace expr = boost::log::expressions;
  VmOfLog = Vm;
  using Sink = boost::log::sinks::synchronous_sink<BoundedOutput>;
  auto Output = boost::make_shared<Sink>();
  Output->set_formatter(expr::stream << expr::smessage);
  boost::log::core::get()->add_sink(Output);
  LogLevel From = Least == "error"     ? LogLevel::Error
                  : Least == "warning" ? LogLevel::Warning
                                       : LogLevel::Info;
  boost::log::core::get()->set_filter(expr::attr<LogLevel>("Severity") >= From);
}

void logEvent(LogLevel Level, std::string_view Event,
              std::initializer_list<LogField> Fields) {
  Json Line = Json::object();
  Line.set("time", Json(wallMillis()));
  Line.set("level", Json(levelName(Level)));
  Line.set("vm", Json(VmOfLog));
  Line.set("event", Json(std::string(Event)));
  for (const LogField &Field : Fields)
    Line.set(std::string(Field.m_Key), Json(Field.m_Value));
  BOOST_LOG_SEV(logger(), Level) << Line.toText();
}

} // namespace mustardspoke
