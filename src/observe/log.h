/// \file
/// Structured log lines for changes of state.
#pragma once

#include <initializer_list>
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

/// \brief Sends log lines to standard output as one JSON object each.
/// \details Never waits for the reader: lines over a rate or a backlog are left
/// out, and their count is written with the next line.
/// \param Vm Named in every line.
/// \param Least "info", "warning" or "error".
void startLog(const std::string &Vm, const std::string &Least);

/// \brief Writes one line.
/// \code
/// logEvent(LogLevel::Info, "bundle-adopted", {{"version", "4"}});
/// \endcode
void logEvent(LogLevel Level, std::string_view Event,
              std::initializer_list<LogField> Fields = {});

} // namespace mustardspoke
