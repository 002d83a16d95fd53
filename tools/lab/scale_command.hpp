/// The subcommands `scale` and `capacity` of wingslip-lab.
#pragma once

#include <CLI/CLI.hpp>
#include <string>

namespace wingslip::lab {

/// Registers both subcommands. They run while the command line is parsed and end parsing with
/// CLI::RuntimeError, whose code is the exit code: 0 success, 2 invalid input files, 3 any other failure.
/// `gatekeeperProgram` is the default path of the program under test.
void addScaleCommands(CLI::App& app, const std::string& gatekeeperProgram);

}  // namespace wingslip::lab
