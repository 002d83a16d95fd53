/// A token bucket in virtual time. A taker may go into debt by one message, so that a message larger than the
/// burst is not stuck; the mean never exceeds the rate.
#pragma once

#include <algorithm>

#include "distribution/entry.hpp"

namespace wingslip::distribution {

class TokenBucket {
 public:
  /// `rate`: tokens a second; `burst`: the most that gathers while nothing is taken.
  TokenBucket(double rate, double burst) : rate_(rate), burst_(burst), tokens_(burst) {}

  /// Whether something may be taken now.
  bool available(Milliseconds now) {
    refill(now);
    return tokens_ > 0;
  }
  void take(Milliseconds now, double amount) {
    refill(now);
    tokens_ -= amount;
  }

 private:
  void refill(Milliseconds now) {
    if (now <= filledAt_) return;
    tokens_ = std::min(burst_, tokens_ + rate_ * static_cast<double>(now - filledAt_) / 1000.0);
    filledAt_ = now;
  }

  double rate_;
  double burst_;
  double tokens_;
  Milliseconds filledAt_ = 0;
};

}  // namespace wingslip::distribution
