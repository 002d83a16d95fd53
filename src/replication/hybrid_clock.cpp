#include "replication/hybrid_clock.hpp"

#include <tuple>

namespace wingslip::replication {

Timestamp HybridClock::next(std::int64_t unixMs, const std::string& origin) {
  if (unixMs > physicalMs_) {
    physicalMs_ = unixMs;
    counter_ = 0;
  } else {
    ++counter_;
  }
  return {physicalMs_, counter_, origin};
}

void HybridClock::observe(const Timestamp& timestamp) {
  if (std::tie(timestamp.physicalMs, timestamp.counter) <= std::tie(physicalMs_, counter_)) return;
  physicalMs_ = timestamp.physicalMs;
  counter_ = timestamp.counter;
}

}  // namespace wingslip::replication
