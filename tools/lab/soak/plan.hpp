/// The plan of a soak run: a fleet, and faults that overlap in time, generated from a seed.
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
  double seconds = 20;          ///< duration of the load
  double rate = 200;            ///< requests per second of the open-loop load, over the fleet
  int misbehavingClients = 60;  ///< in addition to the open-loop load
};

/// A fault with the steps that start and end it.
struct InjectedFault {
  std::string name;  ///< its kind and its target
  std::vector<Step> steps;
};

/// The plan for one seed.
struct SoakPlan {
  Scenario base;  ///< the scenario without the steps of the faults
  std::vector<InjectedFault> faults;

  /// The scenario with all faults except those whose indices are in `without`; its steps are sorted by time.
  Scenario scenario(const std::set<std::size_t>& without) const;
};

/// Generates the plan, which is the same for the same seed and size. A plan has two or three episodes, and
/// one more for each half minute of the run. In each episode two or three faults start within a second of
/// each other. On some seeds the first half of the run has no faults.
SoakPlan soakPlan(const SoakSize& size, std::uint64_t seed);

}  // namespace wingslip::lab
