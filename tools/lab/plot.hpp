/// The plot of a run: requests per second by outcome, in total and for each of the first gatekeepers, with
/// marks for the faults. Pure functions that return SVG text.
#pragma once

#include <string>
#include <vector>

#include "run_verifier.hpp"

namespace wingslip::lab {

/// A fault that is marked in the plot.
struct PlotMark {
  double atS = 0;     // seconds from the start of the load
  std::string label;  // the fault and its target
};

/// The parts of a plot other than the requests.
struct Plot {
  std::string title;
  double lengthS = 1;   // duration of the load
  int gatekeepers = 1;  // one panel for all of them, then one for each of the first `kMaxGatekeeperPanels`
  std::vector<PlotMark> marks;  // faults, in order of time
};
/// The largest number of gatekeepers with a panel of their own.
constexpr int kMaxGatekeeperPanels = 6;

/// Returns an SVG document with the number of requests sent in each second.
std::string plotSvg(const Plot& plot, const std::vector<Request>& requests);

}  // namespace wingslip::lab
