/// Exponentially weighted averages over time.
#pragma once

#include <algorithm>
#include <cmath>

#include "wingslip/decision/types.hpp"

namespace wingslip::decision {

/// Factor by which an exponentially decaying sum shrinks within `elapsed`; both arguments are in the same
/// unit. Zero elapsed time returns exactly 1 without computing the exponential; it is frequent, since several
/// events of a customer occur at the same time.
inline double decayFactor(Time elapsed, Time timeConstant) {
  return elapsed == 0 ? 1 : std::exp(-elapsed / timeConstant);
}

/// Exponentially weighted average after `sample` has applied for `elapsed` (a first-order low-pass filter);
/// both times are in the same unit.
inline double decayedAverage(double average, double sample, Time elapsed, Time timeConstant) {
  return average + (sample - average) * (1 - decayFactor(std::max(elapsed, 0.0), timeConstant));
}

}  // namespace wingslip::decision
