/// What a soak run plays: a fleet and troubles that overlap in time, drawn from a seed.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "scenario.hpp"

namespace wingslip::lab {

/// The size of one run.
struct SoakSize {
  int gatekeepers = 20;
  int workers = 30;
  double seconds = 20;
  double rate = 200;      ///< requests a second over the fleet
  int roughClients = 60;  ///< beside them
};

/// One trouble with its end.
struct Trouble {
  std::string name;  ///< its kind and its target
  std::vector<Step> steps;
};

/// A run of one seed.
struct SoakPlan {
  Scenario base;  ///< without its steps
  std::vector<Trouble> troubles;

  /// The scenario of this plan without the troubles of these numbers.
  Scenario scenario(const std::set<std::size_t>& without) const;
};

/// The same for the same seed and size: two or three episodes, more in a run past half a minute, in each of
/// which two or three troubles begin within a second of each other. On some seeds all is quiet for the first
/// half.
SoakPlan soakPlan(const SoakSize& size, std::uint64_t seed);

}  // namespace wingslip::lab
