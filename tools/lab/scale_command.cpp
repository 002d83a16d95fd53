#include "scale_command.hpp"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iomanip>
#include <iostream>
#include <memory>

#include "capacity.hpp"
#include "scale.hpp"
#include "scale_cases.hpp"
#include "scale_plot.hpp"

namespace wingslip::lab {
namespace {

constexpr double kMegabyte = 1e6;
constexpr double kQuickCaseSeconds = 6, kFullCaseSeconds = 30;
constexpr double kQuickTotalSeconds = 110, kFullTotalSeconds = 340;
constexpr double kCheckCaseSeconds = 60, kCheckTotalSeconds = 280;  // also sufficient with a sanitizer
constexpr int kBadInput = 2, kCannotRun = 3;                        // exit codes

struct ScaleArguments {
  std::string gatekeeperProgram, out = "scale-out";
  bool quick = false, check = false;
  double caseSeconds = 0;  // 0: default of the form
  double memoryMb = 0;     // limit of one case at one size
  unsigned processes = 16;
  std::vector<std::string> only;
};

struct TimeBudget {
  double caseSeconds, totalSeconds;
};

TimeBudget timeBudgetOf(ScaleForm form) {
  switch (form) {
    case ScaleForm::check:
      return {kCheckCaseSeconds, kCheckTotalSeconds};
    case ScaleForm::quick:
      return {kQuickCaseSeconds, kQuickTotalSeconds};
    case ScaleForm::full:
      break;
  }
  return {kFullCaseSeconds, kFullTotalSeconds};
}

ScaleOptions optionsOf(const ScaleArguments& arguments) {
  ScaleOptions out;
  out.form = arguments.check ? ScaleForm::check : arguments.quick ? ScaleForm::quick : ScaleForm::full;
  const TimeBudget time = timeBudgetOf(out.form);
  out.caseSeconds = time.caseSeconds;
  out.totalSeconds = time.totalSeconds;
  if (arguments.caseSeconds > 0) out.caseSeconds = arguments.caseSeconds;
  out.memoryBytes = static_cast<std::uint64_t>(arguments.memoryMb * kMegabyte);
  out.processes = arguments.processes;
  if (std::filesystem::exists(arguments.gatekeeperProgram))
    out.gatekeeperProgram = arguments.gatekeeperProgram;
  out.out = arguments.out;
  out.only = arguments.only;
  return out;
}

void printFits(const std::vector<Series>& series) {
  std::cout << std::left << std::setw(16) << "mechanism" << std::setw(20) << "figure" << std::setw(8)
            << "kind" << std::setw(9) << "shape" << std::right << std::setw(12) << "slope" << std::setw(10)
            << "residual" << std::setw(10) << "largest" << std::setw(13) << "value there"
            << "  unit\n";
  for (const Series& entry : series) {
    std::cout << std::left << std::setw(16) << entry.first.mechanism << std::setw(20) << entry.first.figure
              << std::setw(8) << nameOf(entry.first.kind) << std::setw(9) << nameOf(entry.fit.shape)
              << std::right << std::setprecision(4) << std::setw(12) << entry.fit.slope << std::setw(10)
              << entry.fit.residual << std::setw(10) << entry.samples.back().size << std::setw(13)
              << entry.samples.back().value << "  " << entry.first.unit;
    if (entry.samples.size() < kMinSamples) std::cout << "  (" << entry.samples.size() << " sizes only)";
    std::cout << "\n";
  }
}

void runScaleCommand(const ScaleArguments& arguments) {
  const ScaleOptions options = optionsOf(arguments);
  std::vector<ScaleCase> cases = inProcessScaleCases();
  for (ScaleCase& entry : gatekeeperProcessCases()) cases.push_back(std::move(entry));
  for (const std::string& name : options.only) {
    const bool isKnown = std::any_of(cases.begin(), cases.end(),
                                     [&](const ScaleCase& entry) { return entry.mechanism == name; });
    if (!isKnown) throw InvalidMeasurements("--only: unknown mechanism " + name);
  }
  const auto start = std::chrono::steady_clock::now();
  const MeasurementSet set = runScale(cases, options);
  writeSet(options.out, set);
  const std::vector<Series> series = seriesOf(set);
  std::ofstream(options.out / "plot.svg") << scaleSvg(series);
  printFits(series);
  for (const Note& note : set.notes) std::cout << "note: " << note.mechanism << ": " << note.text << "\n";
  const double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
  std::cout << set.form << " form: " << set.measurements.size() << " measurements in " << std::setprecision(3)
            << seconds << " s\n";
}

void runWithExitCode(const std::function<void()>& run) {
  spdlog::set_default_logger(spdlog::stderr_logger_mt("lab"));
  spdlog::set_pattern("%Y-%m-%dT%H:%M:%S.%e level=%l %v");
  int code = 0;
  try {
    run();
  } catch (const InvalidMeasurements& error) {
    std::cerr << "wingslip-lab: " << error.what() << "\n";
    code = kBadInput;
  } catch (const std::exception& error) {
    std::cerr << "wingslip-lab: " << error.what() << "\n";
    code = kCannotRun;
  }
  throw CLI::RuntimeError(code);
}

void addScale(CLI::App& app, const std::string& gatekeeperProgram) {
  auto arguments = std::make_shared<ScaleArguments>();
  arguments->gatekeeperProgram = gatekeeperProgram;
  arguments->memoryMb = static_cast<double>(maxMemoryBytes()) / kMegabyte;
  CLI::App* scale = app.add_subcommand(
      "scale", "measure how the cost of each mechanism grows (full form: under 6 minutes)");
  scale->add_flag("--quick", arguments->quick, "fewer and smaller sizes (under 2 minutes)");
  scale->add_flag("--check", arguments->check, "only the smallest sizes, for the project's tests");
  scale->add_option("--out", arguments->out, "folder for the measurements and the plot");
  scale->add_option("--gatekeeper", arguments->gatekeeperProgram,
                    "the program under test (default: beside this one)");
  scale
      ->add_option("--case-seconds", arguments->caseSeconds,
                   "time budget in seconds of one mechanism at all its sizes")
      ->check(CLI::Range(1.0, 600.0));
  scale
      ->add_option("--memory-mb", arguments->memoryMb,
                   "memory limit in MB of one case at one size, at most half of the machine's memory")
      ->check(CLI::Range(64.0, arguments->memoryMb));
  scale->add_option("--processes", arguments->processes, "limit of processes that one case runs at once")
      ->check(CLI::Range(1U, kMaxProcesses));
  scale->add_option("--only", arguments->only, "measure only these mechanisms");
  scale->callback([arguments] { runWithExitCode([&] { runScaleCommand(*arguments); }); });
}

struct CapacityArguments {
  std::string in = "scale-out", out = "docs/CAPACITY.md";
};

void addCapacity(CLI::App& app) {
  auto arguments = std::make_shared<CapacityArguments>();
  CLI::App* capacity =
      app.add_subcommand("capacity", "write the tables of the capacity page from a scale run");
  capacity->add_option("--in", arguments->in, "the `--out` folder of a scale run");
  capacity->add_option("--out", arguments->out, "the page, which must contain both markers");
  capacity->callback([arguments] { runWithExitCode([&] { writeCapacity(arguments->in, arguments->out); }); });
}

}  // namespace

void addScaleCommands(CLI::App& app, const std::string& gatekeeperProgram) {
  addScale(app, gatekeeperProgram);
  addCapacity(app);
}

}  // namespace wingslip::lab
