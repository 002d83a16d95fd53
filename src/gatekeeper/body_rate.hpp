/// Measures the rate at which a client sends a request body.
#pragma once

#include <chrono>
#include <cstddef>

namespace wingslip {

/// The average rate over the time during which a read of body bytes was pending; no other time is counted.
class BodyRate {
 public:
  using Clock = std::chrono::steady_clock;

  /// Starts the measurement of a new body.
  void reset() {
    bytes_ = 0;
    waited_ = {};
  }
  /// Marks the start of a wait for body bytes.
  void startRead() { readStartedAt_ = Clock::now(); }
  /// Adds the `bytes` read and the time since `startRead`.
  void finishRead(std::size_t bytes) {
    bytes_ += static_cast<double>(bytes);
    waited_ += Clock::now() - readStartedAt_;
  }
  /// Whether the average rate is at least `minBytesPerMs`. The first `grace` of the waiting time is exempt.
  bool isAtLeast(double minBytesPerMs, std::chrono::milliseconds grace) const {
    const std::chrono::duration<double, std::milli> counted = waited_ - grace;
    return bytes_ >= minBytesPerMs * counted.count();
  }

 private:
  double bytes_ = 0;
  Clock::duration waited_{};
  Clock::time_point readStartedAt_;
};

}  // namespace wingslip
