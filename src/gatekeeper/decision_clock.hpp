/// The gatekeeper's one clock for deadlines, windows and ages.
#pragma once

#include <chrono>

#include "wingslip/decision/gateway.hpp"

namespace wingslip {

/// Milliseconds of the machine's monotonic clock from an origin far in its past, so that "long ago" is a time
/// like any other. The same in every process of the machine, and untouched by steps of the wall clock.
class DecisionClock {
 public:
  using Steady = std::chrono::steady_clock;

  decision::Time now() const { return at(Steady::now()); }

  static decision::Time at(Steady::time_point moment) {
    return kOrigin + std::chrono::duration<double, std::milli>(moment.time_since_epoch()).count();
  }
  static Steady::time_point steady(decision::Time time) {
    return Steady::time_point(std::chrono::duration_cast<Steady::duration>(
        std::chrono::duration<double, std::milli>(time - kOrigin)));
  }

  /// This clock less the wall clock, as the wall clock is now: a hint, since that may be wrong.
  decision::Time wallOffset() const {
    const std::chrono::duration<double, std::milli> wall =
        std::chrono::system_clock::now().time_since_epoch();
    return now() - wall.count();
  }

 private:
  static constexpr decision::Time kOrigin = 1e12;
};

}  // namespace wingslip
