/// \file
/// Public header of the platform package: table service, object store, VM list.
#pragma once

#include "tables/client.h"       // IWYU pragma: export
#include "tables/memory_table.h" // IWYU pragma: export
#include "tables/row_codec.h"    // IWYU pragma: export
