/// The gatekeeper's one clock for deadlines, windows and ages.
#pragma once

#include <chrono>

#include "irisring/decide.hpp"

namespace burlwind {

/// Milliseconds of the machine's monotonic clock from an origin far in its past, so that "long ago" is a time
/// like any other. The same in every process of the machine, and untouched by steps of the wall clock.
class ModuleClock {
 public:
  using Steady = std::chrono::steady_clock;

  irisring::Time now() const { return at(Steady::now()); }

  static irisring::Time at(Steady::time_point moment) {
    return kOrigin + std::chrono::duration<double, std::milli>(moment.time_since_epoch()).count();
  }
  static Steady::time_point steady(irisring::Time time) {
    return Steady::time_point(std::chrono::duration_cast<Steady::duration>(
        std::chrono::duration<double, std::milli>(time - kOrigin)));
  }

  /// This clock less the wall clock, as the wall clock is now: a hint, since that may be wrong.
  irisring::Time wallOffset() const {
    const std::chrono::duration<double, std::milli> wall =
        std::chrono::system_clock::now().time_since_epoch();
    return now() - wall.count();
  }

 private:
  static constexpr irisring::Time kOrigin = 1e12;
};

}  // namespace burlwind
