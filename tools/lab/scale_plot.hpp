/// SVG plot of measured series: one panel per figure with logarithmic axes, the samples and their fit.
#pragma once

#include <string>
#include <vector>

#include "measurement.hpp"

namespace wingslip::lab {

/// Returns the SVG document, with the panels in the order of `series`.
std::string scaleSvg(const std::vector<Series>& series);

}  // namespace wingslip::lab
