#include "growth_command.hpp"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>

#include "fleet.hpp"

namespace wingslip::lab {
namespace fs = std::filesystem;
using nlohmann::json;

namespace {

constexpr int kSetupFailed = 3;
constexpr int kPerThousand = 1000;

struct GrowthOptions {
  int gatekeepers = 40, workers = 26, times = 16;
  double seconds = 40;  ///< duration of the load in each run
  double rateEach = 6;  ///< requests per second at each gatekeeper
  std::string out = "lab-growth";
  std::string gatekeeperProgram;
};

/// The bound of one figure in the enlarged run: `factor` times the figure of the baseline run, plus `plus`,
/// plus `perThousand` for each thousand workers of the enlarged run. The operators state the bounds
/// (STANDING, "More than these days").
struct Bound {
  const char* name;
  const char* key;
  double factor, plus, perThousand;
};
constexpr Bound kBounds[] = {
    {"CPU seconds", "cpu_s", 1.4, 0.02, 0.03},
    {"peak memory, kB", "peak_kb", 1.5, 8 * 1024, 4 * 1024},
    {"descriptors", "descriptors", 2, 40, 0},
    {"connections made to workers", "worker_connections", 2.5, 40, 0},
    {"bytes of lists", "list_bytes", 2, 64 * 1024, 500 * 1024},
};
constexpr double kServedShare = 0.85;  // smallest share of served requests, as a fraction of the baseline's

/// Returns the scenario with `times` times the workers of the baseline run. The request rate at each
/// gatekeeper and the total capacity of the workers stay the same. One worker in eight drains and is revived,
/// so that the list of workers changes.
Scenario scenarioOf(const GrowthOptions& o, int times) {
  Scenario s;
  s.name = "growth";
  s.lengthS = o.seconds;
  s.gatekeepers = s.configuredGatekeepers = o.gatekeepers;
  s.workers = o.workers * times;
  s.rate = o.rateEach * o.gatekeepers;
  s.workerInFlight = std::max(1, s.workerInFlight / times);
  s.directWorkers = true;
  for (int w = 0; w < s.workers; w += 8) {
    Step drain, revive;
    drain.worker = revive.worker = w;
    drain.kind = "drain", revive.kind = "revive";
    drain.atS = o.seconds / 4, revive.atS = o.seconds / 2;
    s.steps.push_back(drain);
    s.steps.push_back(revive);
  }
  std::stable_sort(s.steps.begin(), s.steps.end(),
                   [](const Step& a, const Step& b) { return a.atS < b.atS; });
  return s;
}

json runScenario(const GrowthOptions& o, int times) {
  RunOptions run;
  run.gatekeeperProgram = o.gatekeeperProgram;
  run.out = (fs::path(o.out) / ("times-" + std::to_string(times))).string();
  play(scenarioOf(o, times), run);
  std::ifstream in(fs::path(run.out) / "summary.json");
  return json::parse(in);
}

double servedShare(const json& summary) {
  long all = 0;
  for (const auto& [outcome, n] : summary["fates"].items()) all += n.get<long>();
  return all > 0 ? summary["fates"]["served"].get<double>() / static_cast<double>(all) : 0;
}

int runGrowth(const GrowthOptions& o) {
  const json baseline = runScenario(o, 1), enlarged = runScenario(o, o.times);
  const double thousands = static_cast<double>(o.workers) * o.times / kPerThousand;
  bool allWithin = true;
  std::cout << "\n| of one gatekeeper in the mean | " << o.workers << " workers | " << o.workers * o.times
            << " workers | at most | |\n| --- | --- | --- | --- | --- |\n"
            << std::fixed;
  const auto row = [&](const std::string& name, double before, double after, double bound, bool within) {
    const int digits = std::abs(bound) < 10 ? 3 : 0;
    allWithin = allWithin && within;
    std::cout << std::setprecision(digits) << "| " << name << " | " << before << " | " << after << " | "
              << bound << " | " << (within ? "holds" : "PAST IT") << " |\n";
  };
  for (const Bound& b : kBounds) {
    const double before = baseline["each"][b.key].get<double>(),
                 after = enlarged["each"][b.key].get<double>();
    const double limit = b.factor * before + b.plus + b.perThousand * thousands;
    row(b.name, before, after, limit, after <= limit);
  }
  const double before = servedShare(baseline), after = servedShare(enlarged);
  row("share served (at least)", before, after, kServedShare * before, after >= kServedShare * before);
  return allWithin ? 0 : 1;
}

}  // namespace

void addGrowthCommand(CLI::App& app, const std::string& gatekeeperProgram) {
  const auto o = std::make_shared<GrowthOptions>();
  o->gatekeeperProgram = gatekeeperProgram;
  CLI::App* command = app.add_subcommand(
      "growth", "measure the resources of a gatekeeper as the number of workers grows, against bounds");
  command->add_option("--gatekeepers", o->gatekeepers, "gatekeepers in the fleet")->check(CLI::Range(2, 300));
  command->add_option("--workers", o->workers, "workers in the baseline run")->check(CLI::Range(4, 200));
  command->add_option("--times", o->times, "factor by which the second run has more workers")
      ->check(CLI::Range(2, 16));
  command->add_option("--seconds", o->seconds, "seconds of load in each run")->check(CLI::Range(8.0, 600.0));
  command->add_option("--rate", o->rateEach, "requests per second at each gatekeeper")
      ->check(CLI::Range(0.1, 1000.0));
  command->add_option("--out", o->out, "folder for logs and reports");
  command->add_option("--gatekeeper", o->gatekeeperProgram,
                      "the program under test (default: beside this one)");
  command->callback([o] {
    spdlog::set_default_logger(spdlog::stderr_logger_mt("lab"));
    int code = kSetupFailed;
    try {
      code = runGrowth(*o);
    } catch (const std::exception& error) {
      std::cerr << "wingslip-lab: " << error.what() << "\n";
    }
    throw CLI::RuntimeError(code);
  });
}

}  // namespace wingslip::lab
