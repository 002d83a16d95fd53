/// Rate-limited log. Suppressed lines are counted; the next line written states their number.
#pragma once

#include <functional>
#include <string>

#include "distribution/token_bucket.hpp"

namespace wingslip::distribution {

/// Owned by a replica or subscriber; `write` receives each line that is not suppressed.
class LimitedLog {
 public:
  explicit LimitedLog(std::function<void(const std::string&)> write) : write_(std::move(write)) {}

  /// Writes `text`, or counts it as suppressed if the rate limit is reached.
  void line(Milliseconds now, const std::string& text) {
    if (!bucket_.available(now)) {
      ++suppressed_;
      return;
    }
    bucket_.take(now, 1);
    write_(suppressed_ == 0 ? text : text + " suppressed=" + std::to_string(suppressed_));
    suppressed_ = 0;
  }

 private:
  static constexpr double kLinesPerSecond = 1;
  static constexpr double kBurstLines = 10;

  std::function<void(const std::string&)> write_;
  TokenBucket bucket_{kLinesPerSecond, kBurstLines};
  std::uint64_t suppressed_ = 0;
};

}  // namespace wingslip::distribution
