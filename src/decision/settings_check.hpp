/// Validation of the decision module's settings.
#pragma once

#include <cmath>

#include "wingslip/decision/settings.hpp"

namespace wingslip::decision {

inline bool isFiniteNonNegative(double value) { return std::isfinite(value) && value >= 0; }

/// @throws std::invalid_argument on settings that make no sense.
void checkSettings(const Settings& settings);

}  // namespace wingslip::decision
