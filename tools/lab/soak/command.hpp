/// The command `wingslip-lab soak`: runs many seeds of overlapping faults, several fleets in parallel, and
/// checks the rules and the gatekeepers' own invariants.
#pragma once

#include <CLI/CLI.hpp>
#include <string>

namespace wingslip::lab {

/// Adds the command to `app`. `gatekeeperProgram`: the default program under test.
void addSoakCommand(CLI::App& app, const std::string& gatekeeperProgram);

}  // namespace wingslip::lab
