/// `wingslip-lab growth`: measures the resources that a gatekeeper uses with few and with many workers and
/// compares them with bounds.
#pragma once

#include <CLI/CLI.hpp>
#include <string>

namespace wingslip::lab {

/// Registers the subcommand. `gatekeeperProgram` is the default path of the program under test.
void addGrowthCommand(CLI::App& app, const std::string& gatekeeperProgram);

}  // namespace wingslip::lab
