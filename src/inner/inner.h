/// \file
/// Public header of the inner protocol between entry VMs.
#pragma once

#include "inner/heartbeat_codec.h" // IWYU pragma: export
#include "inner/peer_codec.h"      // IWYU pragma: export
