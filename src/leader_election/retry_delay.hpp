/// Random delays and backoffs between calls to the store. One generator serves the whole election, so that a
/// seed gives one schedule.
#pragma once

#include <algorithm>
#include <cstdint>
#include <random>

#include "leader_election/election_types.hpp"

namespace wingslip::leader_election {

constexpr Time kFirstBackoffMs = 100;

class RandomDelay {
 public:
  explicit RandomDelay(std::uint64_t seed) : random_(seed) {}
  Time upTo(Time maxMs) { return std::uniform_real_distribution<Time>(0, maxMs)(random_); }

 private:
  std::mt19937_64 random_;
};

/// Doubles with every failure.
class Backoff {
 public:
  Time next(Time firstMs, Time maxMs) {
    delayMs_ = std::min(maxMs, std::max(firstMs, 2 * delayMs_));
    return delayMs_;
  }
  void reset() { delayMs_ = 0; }
  [[nodiscard]] Time delayMs() const { return delayMs_; }

 private:
  Time delayMs_ = 0;
};

}  // namespace wingslip::leader_election
