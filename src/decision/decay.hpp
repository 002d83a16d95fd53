/// Exponentially weighted averages over time.
#pragma once

#include <algorithm>
#include <cmath>

#include "wingslip/decision/types.hpp"

namespace wingslip::decision {

/// Factor by which an exponentially decaying sum shrinks within `elapsed`. Both arguments are durations, or
/// both are counts, for example of requests or readings. Zero elapsed time returns exactly 1 without
/// computing the exponential; it is frequent, since several events of a customer occur at the same time.
inline double decayFactor(Time elapsed, Time timeConstant) {
  return elapsed == 0 ? 1 : std::exp(-elapsed / timeConstant);
}

/// Moves `average` towards `sample` by a share that grows with `elapsed` (a first-order low-pass filter);
/// `elapsed` and `timeConstant` are as in decayFactor.
inline double decayedAverage(double average, double sample, Time elapsed, Time timeConstant) {
  return average + (sample - average) * (1 - decayFactor(std::max(elapsed, 0.0), timeConstant));
}

}  // namespace wingslip::decision
