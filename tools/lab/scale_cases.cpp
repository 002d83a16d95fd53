#include "scale_cases.hpp"

#include <iterator>

namespace wingslip::lab {

std::vector<ScaleCase> inProcessScaleCases() {
  std::vector<ScaleCase> out;
  for (auto cases : {decisionCases, readingCases, replicaCases, electionCases, watchCases}) {
    std::vector<ScaleCase> group = cases();
    std::move(group.begin(), group.end(), std::back_inserter(out));
  }
  return out;
}

}  // namespace wingslip::lab
