/// \file
/// Stable hashing of names.
#include "core/ids.h"

#include <xxhash.h>

namespace mustardspoke {

std::uint64_t stableHash(std::string_view Text, std::uint64_t Seed) noexcept {
  return XXH64(Text.data(), Text.size(), Seed);
}

} // namespace mustardspoke
