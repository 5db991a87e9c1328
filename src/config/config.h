/// \file
/// Public header of the configuration package: settings and bundles.
#pragma once

#include "config/base64.h"        // IWYU pragma: export
#include "config/bundle_format.h" // IWYU pragma: export
#include "config/settings.h"      // IWYU pragma: export
#include "config/signatures.h"    // IWYU pragma: export
#include "config/validation.h"    // IWYU pragma: export
