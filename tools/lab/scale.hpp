/// The runner of `wingslip-lab scale`: measures each mechanism at ascending sizes. Each size runs in a
/// separate child process, so that its memory and processor time are measured separately and it can be
/// stopped at its limits.
#pragma once

#include <cstdint>
#include <filesystem>
#include <functional>
#include <string>
#include <vector>

#include "measurement.hpp"

namespace wingslip::lab {

/// One measured value, such as "processor" in "s".
struct Figure {
  std::string name, unit;
  double value = 0;
};

/// The limits and paths for a case at one size.
struct CaseLimits {
  std::string gatekeeperProgram;  // path of the gatekeeper program
  unsigned processes = 1;         // largest number of processes it may start
  std::filesystem::path dir;      // folder used by this case and size only
};

/// The measurement of one mechanism. `measure` runs in a child process; an exception from it ends the series
/// with a note.
struct ScaleCase {
  std::string mechanism, varies;
  RunKind kind = RunKind::core;
  std::vector<std::size_t> checkSizes, quickSizes, fullSizes;  // ascending
  std::function<std::vector<Figure>(std::size_t size, const CaseLimits& limits)> measure;
  double growth = 2;        // run time is assumed to grow as size^growth; 0: the case mostly waits
  double budgetFactor = 1;  // time budget as a multiple of ScaleOptions::caseSeconds
};

/// The extent of a run: `check` for the project's tests, `quick` and `full` for measurements.
enum class ScaleForm { check, quick, full };
/// Returns the name of a form: "check", "quick" or "full".
const char* nameOf(ScaleForm form);

/// The options of one run.
struct ScaleOptions {
  ScaleForm form = ScaleForm::quick;
  double totalSeconds = 0;        // budget of the whole run, wall time
  double caseSeconds = 0;         // budget of one mechanism for all its sizes, wall time; see budgetFactor
  std::uint64_t memoryBytes = 0;  // limit of one child process and the processes it starts
  unsigned processes = 0;         // limit of processes that one case starts
  std::string gatekeeperProgram;  // empty: cases with real gatekeepers are skipped with a note
  std::filesystem::path out;      // folder for logs of the cases
  std::vector<std::string> only;  // mechanisms; empty: all
};

/// The largest memory limit that the options accept, in bytes: half of the machine's memory.
std::uint64_t maxMemoryBytes();
/// The largest process limit that the options accept: 200 processes.
constexpr unsigned kMaxProcesses = 200;

/// Runs the cases one after the other. A series ends with a note if the next size is projected to exceed its
/// time budget, if a size exceeds its time budget or the memory limit, or if the case throws. Throws
/// std::runtime_error if a child process cannot be started.
MeasurementSet runScale(const std::vector<ScaleCase>& cases, const ScaleOptions& options);

/// Returns the cases that need no gatekeeper process.
std::vector<ScaleCase> inProcessScaleCases();

}  // namespace wingslip::lab
