/// The clock of the gatekeeper for deadlines, time windows and ages.
#pragma once

#include <chrono>

#include "wingslip/decision/gateway.hpp"

namespace wingslip {

/// The machine's monotonic clock in milliseconds, plus a large constant offset, so that times before the
/// start of the machine can be represented as positive values too. All processes on the machine read the
/// same time. Steps of the wall clock do not affect it.
class DecisionClock {
 public:
  using Steady = std::chrono::steady_clock;

  /// The current time, ms.
  decision::Time now() const { return fromSteady(Steady::now()); }

  /// Converts a time of the steady clock.
  static decision::Time fromSteady(Steady::time_point moment) {
    return kOrigin + std::chrono::duration<double, std::milli>(moment.time_since_epoch()).count();
  }
  /// Converts to a time of the steady clock.
  static Steady::time_point toSteady(decision::Time time) {
    return Steady::time_point(std::chrono::duration_cast<Steady::duration>(
        std::chrono::duration<double, std::milli>(time - kOrigin)));
  }

  /// This clock minus the wall clock, ms. Approximate: the wall clock may be wrong.
  decision::Time offsetFromWallClock() const {
    const std::chrono::duration<double, std::milli> wall =
        std::chrono::system_clock::now().time_since_epoch();
    return now() - wall.count();
  }

 private:
  static constexpr decision::Time kOrigin = 1e12;  // ms
};

}  // namespace wingslip
