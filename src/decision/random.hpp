/// Pseudo-random numbers of the decision module: splitmix64, so that results do not depend on the standard
/// library.
#pragma once

#include <cstdint>

namespace wingslip::decision {

/// Mixes all bits of `value`: the output function of splitmix64.
inline std::uint64_t mixBits(std::uint64_t value) {
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

/// Generator that depends only on its seed. The number and order of draws are part of a gateway's
/// reproducible behaviour.
class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}
  /// Uniform in [0, 1).
  double next() { return static_cast<double>(mixBits(state_ += 0x9e3779b97f4a7c15ULL) >> 11) * 0x1.0p-53; }

 private:
  std::uint64_t state_;
};

}  // namespace wingslip::decision
