// `wingslip-lab distribution`: the simulation at the target's size, and what one change costs a gatekeeper.
#pragma once

#include <CLI/CLI.hpp>

namespace wingslip::lab {

// Adds the subcommand. It runs while the command line is parsed and ends the parsing with the exit code.
void addDistributionCommand(CLI::App& app);

}  // namespace wingslip::lab
