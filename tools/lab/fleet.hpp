// The lab's driver: starts the fleet, plays the scenario's load and faults, and judges the run.
#pragma once

#include <cstdint>
#include <string>

#include "scenario.hpp"

namespace wingslip::lab {

struct RunOptions {
  std::string gatekeeperProgram;  // path of the program under test
  std::string out;                // folder for configurations, logs and the report
  std::uint64_t seed = 1;
};

// Plays one run; writes DIR/events.jsonl and DIR/summary.json and prints the summary.
// Returns 0 when no rule broke and every expectation held, 1 otherwise. Throws std::runtime_error where the
// fleet cannot be started (the program missing, no ports).
int play(const Scenario& scenario, const RunOptions& options);

}  // namespace wingslip::lab
