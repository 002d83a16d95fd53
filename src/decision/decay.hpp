/// Exponentially weighted averages over time.
#pragma once

#include <algorithm>
#include <cmath>

#include "wingslip/decision/types.hpp"

namespace wingslip::decision {

/// Moves `average` towards `sample` as a low-pass filter does within `elapsed`; both times in one unit.
inline double approach(double average, double sample, Time elapsed, Time timeConstant) {
  return average + (sample - average) * (1 - std::exp(-std::max(elapsed, 0.0) / timeConstant));
}

}  // namespace wingslip::decision
