/// The 64-bit hash (XXH64) used in digests and checksums that gatekeepers exchange or store.
#pragma once

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cstdint>
#include <string_view>

namespace wingslip {

/// Returns the XXH64 hash of `bytes`. The algorithm is part of the wire and file formats; changing it
/// requires a new format version.
[[nodiscard]] inline std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0) {
  return XXH64(bytes.data(), bytes.size(), seed);
}

}  // namespace wingslip
