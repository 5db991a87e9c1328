/// \file
/// Public header of the observability package: metrics and logs.
#pragma once

#include "observe/last_line.h" // IWYU pragma: export
#include "observe/log.h"       // IWYU pragma: export
#include "observe/metrics.h"   // IWYU pragma: export
