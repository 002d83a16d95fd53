/// wingslip-lab: runs gatekeeper processes on loopback against stand-in workers, discovery and a coordination
/// store, with fault injection between them.
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <filesystem>
#include <iostream>

#include "distribution_run.hpp"
#include "fleet.hpp"
#include "growth_command.hpp"
#include "run_report.hpp"
#include "scale_command.hpp"
#include "soak/command.hpp"

int main(int argc, char** argv) {
  CLI::App app{
      "wingslip-lab: runs a fault-injection scenario against several gatekeeper processes on 127.0.0.1"};
  app.require_subcommand(1);
  std::string scenarioPath, out = "lab-out";
  int gatekeepers = 0, workers = 0;
  wingslip::lab::RunOptions options;
  std::error_code ignored;
  options.gatekeeperProgram =
      (std::filesystem::read_symlink("/proc/self/exe", ignored).parent_path() / "wingslip-gatekeeper")
          .string();
  CLI::App* run = app.add_subcommand("run", "run SCENARIO (TOML) and verify the outcome of every request");
  run->add_option("scenario", scenarioPath, "the scenario file")->required()->check(CLI::ExistingFile);
  run->add_option("--gatekeepers", gatekeepers, "number of gatekeepers; overrides the file's")
      ->check(CLI::Range(1, 300));
  run->add_option("--workers", workers, "number of stand-in workers; overrides the file's")
      ->check(CLI::Range(1, 1000));
  run->add_option("--seed", options.seed, "seed of the load and the workers' service times");
  run->add_option("--out", out, "directory for configurations, logs and the report");
  run->add_option("--gatekeeper", options.gatekeeperProgram,
                  "the program under test (default: wingslip-gatekeeper in this program's directory)");
  bool check = false;
  run->add_flag("--check", check, "validate the scenario without running it");
  std::string reportDir;
  CLI::App* report = app.add_subcommand("report", "print the summary of a completed run");
  report->add_option("dir", reportDir, "the run's --out directory")->required();
  wingslip::lab::addDistributionCommand(app);
  wingslip::lab::addScaleCommands(app, options.gatekeeperProgram);
  wingslip::lab::addSoakCommand(app, options.gatekeeperProgram);
  wingslip::lab::addGrowthCommand(app, options.gatekeeperProgram);
  CLI11_PARSE(app, argc, argv);
  spdlog::set_default_logger(spdlog::stderr_logger_mt("lab"));
  spdlog::set_pattern("%Y-%m-%dT%H:%M:%S.%e level=%l %v");
  try {
    if (*report) return wingslip::lab::printReport(reportDir);
    const auto scenario = wingslip::lab::readScenario(scenarioPath, gatekeepers, workers, options.seed);
    if (check)
      return std::cout << "scenario " << scenario.name << ": valid, " << scenario.steps.size() << " steps\n",
             0;
    options.out = out;
    return wingslip::lab::play(scenario, options);
  } catch (const wingslip::lab::InvalidScenario& error) {
    std::cerr << "wingslip-lab: " << error.what() << "\n";
    return 2;
  } catch (const std::exception& error) {
    std::cerr << "wingslip-lab: " << error.what() << "\n";
    return 3;
  }
}
