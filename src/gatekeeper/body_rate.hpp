/// Measures how fast a client sends the body of a request.
#pragma once

#include <chrono>
#include <cstddef>

namespace wingslip {

/// Only the time counts during which more of the body was awaited.
class BodyRate {
 public:
  using Clock = std::chrono::steady_clock;

  /// A new body.
  void reset() {
    bytes_ = 0;
    waited_ = {};
  }
  void startRead() { readStartedAt_ = Clock::now(); }
  void finishRead(std::size_t bytes) {
    bytes_ += static_cast<double>(bytes);
    waited_ += Clock::now() - readStartedAt_;
  }
  /// Whether so much has come as `minBytesPerMs` asks for, apart from the first `grace`.
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
