/// Validation of the decision module's settings.
#pragma once

#include <cmath>

#include "wingslip/decision/settings.hpp"

namespace wingslip::decision {

inline bool isFiniteNonNegative(double value) { return std::isfinite(value) && value >= 0; }

/// Checks that the gateway index is in range, that there are request classes and plans, and that all numeric
/// values are finite and not negative.
/// @throws std::invalid_argument if a setting is invalid.
void checkSettings(const Settings& settings);

}  // namespace wingslip::decision
