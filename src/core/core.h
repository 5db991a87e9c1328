/// \file
/// Umbrella header of the decision core.
#pragma once

#include "core/bundle.h"         // IWYU pragma: export
#include "core/bundle_tracker.h" // IWYU pragma: export
#include "core/calls.h"          // IWYU pragma: export
#include "core/errors.h"         // IWYU pragma: export
#include "core/fwd.h"            // IWYU pragma: export
#include "core/ids.h"            // IWYU pragma: export
#include "core/limits.h"         // IWYU pragma: export
#include "core/members.h"        // IWYU pragma: export
#include "core/node.h"           // IWYU pragma: export
#include "core/prefixes.h"       // IWYU pragma: export
#include "core/shares.h"         // IWYU pragma: export
#include "core/store.h"          // IWYU pragma: export
#include "core/strategies.h"     // IWYU pragma: export
#include "core/tickets.h"        // IWYU pragma: export
#include "core/time.h"           // IWYU pragma: export
#include "core/upstreams.h"      // IWYU pragma: export
