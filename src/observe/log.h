/// \file
/// Structured logging of state changes.
#pragma once

#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace mustardspoke {

enum class LogLevel { Info, Warning, Error };

/// \brief One field of a log line.
struct LogField {
  std::string_view m_Key;
  std::string m_Value;
};

/// \brief Starts logging to standard output, one JSON object per line.
/// \details Never blocks on a slow reader: lines that exceed the rate limit or
/// the output buffer are dropped, and their number is logged before the next
/// line.
/// \param Vm Name of this VM, included in every line.
/// \param MinLevel "info", "warning" or "error".
void startLog(const std::string &Vm, const std::string &MinLevel);

/// \brief \p Value as a line contains it: cut, with its length, if it is long.
[[nodiscard]] std::string boundedLogValue(const std::string &Value);

/// \brief Logs one line.
/// \code
/// logEvent(LogLevel::Info, "bundle-adopted", {{"version", "4"}});
/// \endcode
void logEvent(LogLevel Level, std::string_view Event,
              std::span<const LogField> Fields);
inline void logEvent(LogLevel Level, std::string_view Event,
                     std::initializer_list<LogField> Fields = {}) {
  logEvent(Level, Event, std::span(Fields.begin(), Fields.size()));
}

} // namespace mustardspoke
