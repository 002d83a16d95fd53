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
constexpr double kCheckCaseSeconds = 60, kCheckTotalSeconds = 280;  // also under a sanitizer
constexpr int kBadInput = 2, kCannotRun = 3;

struct ScaleArguments {
  std::string gatekeeperProgram, out = "scale-out";
  bool quick = false, check = false;
  double caseSeconds = 0;  // 0: the form's own
  double memoryMb = 0;
  unsigned processes = 16;
  std::vector<std::string> only;
};

struct FormTime {
  double caseSeconds, totalSeconds;
};

FormTime timeOf(ScaleForm form) {
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

ScaleOptions optionsOf(const ScaleArguments& given) {
  ScaleOptions out;
  out.form = given.check ? ScaleForm::check : given.quick ? ScaleForm::quick : ScaleForm::full;
  const FormTime time = timeOf(out.form);
  out.caseSeconds = time.caseSeconds;
  out.totalSeconds = time.totalSeconds;
  if (given.caseSeconds > 0) out.caseSeconds = given.caseSeconds;
  out.memoryBytes = static_cast<std::uint64_t>(given.memoryMb * kMegabyte);
  out.processes = given.processes;
  if (std::filesystem::exists(given.gatekeeperProgram)) out.gatekeeperProgram = given.gatekeeperProgram;
  out.out = given.out;
  out.only = given.only;
  return out;
}

void printFits(const std::vector<Series>& series) {
  std::cout << std::left << std::setw(16) << "mechanism" << std::setw(20) << "figure" << std::setw(8)
            << "kind" << std::setw(9) << "shape" << std::right << std::setw(12) << "slope" << std::setw(10)
            << "residual" << std::setw(10) << "largest" << std::setw(13) << "value there"
            << "  unit\n";
  for (const Series& one : series) {
    std::cout << std::left << std::setw(16) << one.first.mechanism << std::setw(20) << one.first.figure
              << std::setw(8) << nameOf(one.first.kind) << std::setw(9) << nameOf(one.fit.shape) << std::right
              << std::setprecision(4) << std::setw(12) << one.fit.slope << std::setw(10) << one.fit.residual
              << std::setw(10) << one.samples.back().size << std::setw(13) << one.samples.back().value << "  "
              << one.first.unit;
    if (one.samples.size() < kMinSamples) std::cout << "  (" << one.samples.size() << " sizes only)";
    std::cout << "\n";
  }
}

void runScaleCommand(const ScaleArguments& given) {
  const ScaleOptions options = optionsOf(given);
  std::vector<ScaleCase> cases = allScaleCases();
  for (ScaleCase& one : processCases()) cases.push_back(std::move(one));
  for (const std::string& name : options.only) {
    const bool known =
        std::any_of(cases.begin(), cases.end(), [&](const ScaleCase& one) { return one.mechanism == name; });
    if (!known) throw InvalidMeasurements("no mechanism is called " + name);
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

void runGuarded(const std::function<void()>& run) {
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
  auto given = std::make_shared<ScaleArguments>();
  given->gatekeeperProgram = gatekeeperProgram;
  given->memoryMb = static_cast<double>(maxMemoryBytes()) / kMegabyte;
  CLI::App* scale = app.add_subcommand("scale", "measure how each mechanism grows (full: under 6 minutes)");
  scale->add_flag("--quick", given->quick, "fewer and smaller sizes (under 2 minutes)");
  scale->add_flag("--check", given->check, "the smallest sizes, for the project's own tests");
  scale->add_option("--out", given->out, "folder for the measurements and the plot");
  scale->add_option("--gatekeeper", given->gatekeeperProgram,
                    "the program under test (default: beside this one)");
  scale->add_option("--case-seconds", given->caseSeconds, "time of one mechanism at all its sizes")
      ->check(CLI::Range(1.0, 600.0));
  scale->add_option("--memory-mb", given->memoryMb, "most memory of one run, at most half of the machine's")
      ->check(CLI::Range(64.0, given->memoryMb));
  scale->add_option("--processes", given->processes, "most processes at once")
      ->check(CLI::Range(1U, kMaxProcesses));
  scale->add_option("--only", given->only, "only these mechanisms");
  scale->callback([given] { runGuarded([&] { runScaleCommand(*given); }); });
}

struct CapacityArguments {
  std::string in = "scale-out", out = "docs/CAPACITY.md";
};

void addCapacity(CLI::App& app) {
  auto given = std::make_shared<CapacityArguments>();
  CLI::App* capacity =
      app.add_subcommand("capacity", "write the tables of the capacity page from a scale run");
  capacity->add_option("--in", given->in, "the `--out` folder of a scale run");
  capacity->add_option("--out", given->out, "the page, with its two markers");
  capacity->callback([given] { runGuarded([&] { writeCapacity(given->in, given->out); }); });
}

}  // namespace

void addScaleCommands(CLI::App& app, const std::string& gatekeeperProgram) {
  addScale(app, gatekeeperProgram);
  addCapacity(app);
}

}  // namespace wingslip::lab
