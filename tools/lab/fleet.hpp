/// Entry point of a lab run: starts the fleet, runs the scenario's load and faults, and verifies the result.
#pragma once

#include <cstdint>
#include <string>

#include "scenario.hpp"

namespace wingslip::lab {

/// The options of one run.
struct RunOptions {
  std::string gatekeeperProgram;  ///< path of the program under test
  std::string out;                ///< directory for configurations, logs and the report
  std::uint64_t seed = 1;         ///< seed of the load, the stand-in workers and the gatekeepers
};

/// Runs a scenario once, writes events.jsonl and summary.json to `options.out` and prints the summary.
/// @return 0 if no rule was broken and every expectation was met, 1 otherwise.
/// @throws std::runtime_error if the fleet cannot be started, for example because the program is missing or
/// no ports are free.
int play(const Scenario& scenario, const RunOptions& options);

}  // namespace wingslip::lab
