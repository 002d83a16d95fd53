// A plot of measured series as SVG: one panel a figure, both axes logarithmic, with the fit through it.
#pragma once

#include <string>
#include <vector>

#include "measurement.hpp"

namespace wingslip::lab {

std::string scaleSvg(const std::vector<Series>& series);

}  // namespace wingslip::lab
