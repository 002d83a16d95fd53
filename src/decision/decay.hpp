/// Exponentially weighted averages over time.
#pragma once

#include <algorithm>
#include <cmath>

#include "wingslip/decision/types.hpp"

namespace wingslip::decision {

/// Factor by which a fading sum shrinks within `elapsed`, both times in one unit. Exactly 1 for no time at
/// all, which is frequent: several events of a customer come at one time.
inline double decayFactor(Time elapsed, Time timeConstant) {
  return elapsed == 0 ? 1 : std::exp(-elapsed / timeConstant);
}

/// Moves `average` towards `sample` as a low-pass filter does within `elapsed`; both times in one unit.
inline double approach(double average, double sample, Time elapsed, Time timeConstant) {
  return average + (sample - average) * (1 - decayFactor(std::max(elapsed, 0.0), timeConstant));
}

}  // namespace wingslip::decision
