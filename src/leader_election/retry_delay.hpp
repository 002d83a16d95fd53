/// Random delays and exponential backoff between calls to the store. All candidacies of an election share one
/// generator, so that a seed determines all delays.
#pragma once

#include <algorithm>
#include <cstdint>
#include <random>

#include "leader_election/election_types.hpp"

namespace wingslip::leader_election {

/// Delay after the first failed call to the store.
constexpr Time kFirstBackoffMs = 100;

/// Generator of uniformly distributed delays.
class RandomDelay {
 public:
  explicit RandomDelay(std::uint64_t seed) : random_(seed) {}
  /// Returns a delay of at least 0 and less than `maxMs` milliseconds.
  Time upTo(Time maxMs) { return std::uniform_real_distribution<Time>(0, maxMs)(random_); }

 private:
  std::mt19937_64 random_;
};

/// Exponential backoff: the delay doubles with every failure, up to a maximum.
class Backoff {
 public:
  /// Returns the delay after another failure, in milliseconds.
  Time next(Time firstMs, Time maxMs) {
    delayMs_ = std::min(maxMs, std::max(firstMs, 2 * delayMs_));
    return delayMs_;
  }
  /// Called after a success.
  void reset() { delayMs_ = 0; }
  /// Delay as last returned by `next`; 0 after `reset`.
  [[nodiscard]] Time delayMs() const { return delayMs_; }

 private:
  Time delayMs_ = 0;
};

}  // namespace wingslip::leader_election
