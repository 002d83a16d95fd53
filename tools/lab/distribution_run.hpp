/// `wingslip-lab distribution`: simulates the distribution of configuration at the size of the target, or
/// measures the processor time of one change at a gatekeeper.
#pragma once

#include <CLI/CLI.hpp>

namespace wingslip::lab {

/// Registers the subcommand. It runs while the command line is parsed and ends parsing with
/// CLI::RuntimeError, whose code is the exit code: 0 if all bounds are met, else 1.
void addDistributionCommand(CLI::App& app);

}  // namespace wingslip::lab
