/// `wingslip-lab growth`: what a gatekeeper needs where the fleet's list of workers grows, against the
/// bounds.
#pragma once

#include <CLI/CLI.hpp>
#include <string>

namespace wingslip::lab {

/// Adds the command. `gatekeeperProgram`: the program under test unless the command names another.
void addGrowthCommand(CLI::App& app, const std::string& gatekeeperProgram);

}  // namespace wingslip::lab
