// The subcommands `scale` and `capacity` of wingslip-lab.
#pragma once

#include <CLI/CLI.hpp>
#include <string>

namespace wingslip::lab {

// Registers both. They run while the command line is parsed and end it with CLI::RuntimeError, whose code is
// the program's: 0 well, 2 wrong input files, 3 what cannot be run.
void addScaleCommands(CLI::App& app, const std::string& gatekeeperProgram);

}  // namespace wingslip::lab
