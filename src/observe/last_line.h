/// \file
/// The log's last line of a process that doesn't end in an orderly way.
#pragma once

#include <string>

namespace mustardspoke {

/// \brief From now on, a signal that ends the process because of a fault of its
/// own (such as SIGSEGV or SIGABRT) leaves a line on standard output that names
/// it, and an exception that nothing catches one with its cause.
/// \details The line is written without blocking; a full pipe loses it. The
/// process then ends as it would have without.
void logFatalEnds(const std::string &Vm);

} // namespace mustardspoke
