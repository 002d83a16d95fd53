// The plot of a run: requests a second by fate, in all and at each gatekeeper, with the faults drawn on it.
// Pure: events in, SVG text out.
#pragma once

#include <string>
#include <vector>

#include "judge.hpp"

namespace wingslip::lab {

struct PlotMark {
  double atS = 0;     // seconds from the start of the load
  std::string label;  // what was done, to whom
};

struct Plot {
  std::string title;
  double lengthS = 1;
  int gatekeepers = 1;          // panels: all of them, then one each for the first `kPanels`
  std::vector<PlotMark> marks;  // faults, in order of time
};
constexpr int kPanels = 6;

// An SVG document of the requests by the second in which they were sent (requests a second).
std::string plotSvg(const Plot& plot, const std::vector<Request>& requests);

}  // namespace wingslip::lab
