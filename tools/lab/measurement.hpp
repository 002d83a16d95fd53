// What `wingslip-lab scale` measures, and its files: `measurements.jsonl` (a line a figure and size) and
// `notes.jsonl` (a line for each series that ended early, and why).
#pragma once

#include <filesystem>
#include <stdexcept>
#include <string>
#include <vector>

#include "fit.hpp"

namespace wingslip::lab {

// How a figure was had: the core called directly or in virtual time; many real cores and codecs in one
// process without requests; real gatekeeper processes on loopback.
enum class RunKind { core, hollow, real };
const char* nameOf(RunKind kind);

// One figure of a mechanism at one size. Units are SI: seconds, bytes, messages, a second.
struct Measurement {
  std::string mechanism;  // such as "choice"
  std::string figure;     // such as "processor"
  std::string unit;       // such as "s"
  std::string varies;     // what the size counts, such as "workers listed"
  RunKind kind = RunKind::core;
  double size = 0, value = 0;
};

struct Note {
  std::string mechanism, text;
};

struct MeasurementSet {
  std::string form;  // "quick", "full" or "check"
  std::vector<Measurement> measurements;
  std::vector<Note> notes;
};

struct BadMeasurements : std::runtime_error {
  using std::runtime_error::runtime_error;
};

constexpr const char* kMeasurementsFile = "measurements.jsonl";
constexpr const char* kNotesFile = "notes.jsonl";
constexpr const char* kRunFile = "run.json";

// Writes the three files into `folder`, which is made. Throws std::runtime_error where it cannot.
void writeSet(const std::filesystem::path& folder, const MeasurementSet& set);
// Throws BadMeasurements with the file and the line on a missing file, a line that is no JSON, a missing
// field, a wrong type or a value that is negative.
MeasurementSet readSet(const std::filesystem::path& folder);

// The samples of one figure, by rising size. Throws BadMeasurements where there are none.
std::vector<Sample> samplesOf(const MeasurementSet& set, const std::string& mechanism,
                              const std::string& figure);

// One figure over all its sizes, with its fit.
struct Series {
  Measurement first;  // names, unit and kind; its size and value are those of the smallest size
  std::vector<Sample> samples;
  Fit fit;
};
// All figures but those of the unit `kYes` (1 yes, 0 no), which have no shape.
constexpr const char* kYes = "yes";
std::vector<Series> seriesOf(const MeasurementSet& set);

}  // namespace wingslip::lab
