/// `wingslip-lab soak`: many seeds of overlapping troubles, several fleets at once, judged by the rules and
/// the gatekeepers' own invariants.
#pragma once

#include <CLI/CLI.hpp>
#include <string>

namespace wingslip::lab {

/// Adds the command. `gatekeeperProgram`: the program under test unless the command names another.
void addSoakCommand(CLI::App& app, const std::string& gatekeeperProgram);

}  // namespace wingslip::lab
