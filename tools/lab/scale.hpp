// The runner of `wingslip-lab scale`: measures each mechanism at rising sizes, each size in a child process
// of its own, so that its memory and processor time stand alone and its bounds hold.
#pragma once

#include <cstdint>
#include <filesystem>
#include <functional>
#include <string>
#include <vector>

#include "measurement.hpp"

namespace wingslip::lab {

struct Figure {
  std::string name, unit;
  double value = 0;
};

// What a case may use at one size.
struct CaseLimits {
  std::string gatekeeperProgram;  // path of the gatekeeper program
  unsigned processes = 1;         // that it may start
  std::filesystem::path dir;      // a folder of its own
};

// One mechanism. `measure` runs in a child process; what it throws ends the series with a note.
struct ScaleCase {
  std::string mechanism, varies;
  RunKind kind = RunKind::core;
  std::vector<std::size_t> checkSizes, quickSizes, fullSizes;  // rising
  std::function<std::vector<Figure>(std::size_t size, const CaseLimits& limits)> measure;
  double growth = 2;       // its time is taken to grow by this power of the size; 0: it is mostly waiting
  double budgetShare = 1;  // of the time of one mechanism
};

enum class ScaleForm { check, quick, full };
const char* nameOf(ScaleForm form);

struct ScaleOptions {
  ScaleForm form = ScaleForm::quick;
  double totalSeconds = 0;        // of the run, wall time
  double caseSeconds = 0;         // of one mechanism at all its sizes, wall time
  std::uint64_t memoryBytes = 0;  // of one child process and what it starts
  unsigned processes = 0;
  std::string gatekeeperProgram;  // empty: cases that need real gatekeepers are left out with a note
  std::filesystem::path out;
  std::vector<std::string> only;  // mechanisms; empty: all
};

// The bounds no option goes past: half of the machine's memory, and 200 processes.
std::uint64_t maxMemoryBytes();
constexpr unsigned kMaxProcesses = 200;

// Runs the cases one after the other. A series ends with a note where the next size would not fit its time,
// where a size is past the memory bound, and where the case throws.
MeasurementSet runScale(const std::vector<ScaleCase>& cases, const ScaleOptions& options);

// Every mechanism that needs no gatekeeper process.
std::vector<ScaleCase> allScaleCases();

}  // namespace wingslip::lab
