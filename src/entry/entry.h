/// \file
/// Public header of the entry package: the process of one entry VM.
#pragma once

#include "config/config.h"

namespace mustardspoke {

/// \brief Runs an entry VM until a signal stops it.
///
/// \details SIGTERM and SIGINT begin a graceful stop; a second one aborts the
/// calls in flight and logs their number. SIGHUP is ignored: settings are read
/// only at the start.
/// \param Rules Mechanisms of the decision core; tests disable some of them.
/// \returns The process's exit status: 0 after a graceful stop.
[[nodiscard]] int runEntry(const Settings &Config,
                           const Strategies &Rules = Strategies{});

} // namespace mustardspoke
