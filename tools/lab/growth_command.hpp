/// `wingslip-lab growth`: measures the resources of a gatekeeper as the fleet's list of workers grows and
/// compares them with the bounds.
#pragma once

#include <CLI/CLI.hpp>
#include <string>

namespace wingslip::lab {

/// Registers the subcommand. `gatekeeperProgram` is the default path of the program under test.
void addGrowthCommand(CLI::App& app, const std::string& gatekeeperProgram);

}  // namespace wingslip::lab
