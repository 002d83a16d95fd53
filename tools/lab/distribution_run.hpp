/// `wingslip-lab distribution`: simulates the distribution of configuration to a fleet, by default
/// of the target size, or measures the processor time and the memory of one gatekeeper's copy.
#pragma once

#include <CLI/CLI.hpp>

namespace wingslip::lab {

/// Registers the subcommand. It runs while the command line is parsed and ends parsing with
/// CLI::RuntimeError, whose code is the exit code: 0 if all bounds are met, otherwise 1.
void addDistributionCommand(CLI::App& app);

}  // namespace wingslip::lab
