/// Token bucket that takes the time as a parameter. The balance may become negative by one message, so that a
/// message larger than the burst can still be sent; the mean rate never exceeds the configured rate.
#pragma once

#include <algorithm>

#include "distribution/entry.hpp"

namespace wingslip::distribution {

/// Token bucket. Times are those of a monotonic clock in milliseconds.
class TokenBucket {
 public:
  /// `rate` is in tokens per second; `burst` is the capacity, and the bucket starts full.
  TokenBucket(double rate, double burst) : rate_(rate), burst_(burst), tokens_(burst) {}

  /// Whether the balance is positive, so that tokens may be taken.
  bool available(Milliseconds now) {
    refill(now);
    return tokens_ > 0;
  }
  /// Takes `amount` tokens, even if the balance becomes negative.
  void take(Milliseconds now, double amount) {
    refill(now);
    tokens_ -= amount;
  }

 private:
  void refill(Milliseconds now) {
    if (now <= refilledAt_) return;
    tokens_ = std::min(burst_, tokens_ + rate_ * static_cast<double>(now - refilledAt_) / 1000.0);
    refilledAt_ = now;
  }

  double rate_;
  double burst_;
  double tokens_;
  Milliseconds refilledAt_ = 0;
};

}  // namespace wingslip::distribution
