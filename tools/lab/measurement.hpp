/// The measurements of `wingslip-lab scale` and their files: `measurements.jsonl` (one line per figure and
/// size), `notes.jsonl` (one line per series that was not run or ended early, with the reason) and `run.json`
/// (the form of the run).
#pragma once

#include <filesystem>
#include <stdexcept>
#include <string>
#include <vector>

#include "fit.hpp"

namespace wingslip::lab {

/// How a figure was measured. `core`: one component without sockets, called directly or in virtual time.
/// `simulated` ("hollow" in files): many instances of a component that exchange messages in one process and
/// in virtual time, without client requests. `real`: gatekeeper processes on loopback.
enum class RunKind { core, simulated, real };
/// Returns the name of a kind as written to files: "core", "hollow" or "real".
const char* nameOf(RunKind kind);

/// One figure of a mechanism at one size. Units are based on seconds, bytes and messages; rates are per
/// second.
struct Measurement {
  std::string mechanism;  // such as "choice"
  std::string figure;     // such as "processor"
  std::string unit;       // such as "s"
  std::string varies;     // items counted by `size`, such as "workers listed"
  RunKind kind = RunKind::core;
  double size = 0, value = 0;
};

/// The reason why the series of a mechanism was not run or ended early.
struct Note {
  std::string mechanism, text;
};

/// The results of one scale run.
struct MeasurementSet {
  std::string form;  // "quick", "full" or "check"
  std::vector<Measurement> measurements;
  std::vector<Note> notes;
};

/// Thrown if a measurement file or the page cannot be read or is invalid, if a required measurement is
/// missing, and if a mechanism is unknown.
struct InvalidMeasurements : std::runtime_error {
  using std::runtime_error::runtime_error;
};

constexpr const char* kMeasurementsFile = "measurements.jsonl";
constexpr const char* kNotesFile = "notes.jsonl";
constexpr const char* kRunFile = "run.json";

/// Writes the three files into `folder`, creating it if needed. Throws std::runtime_error if a file cannot be
/// written.
void writeSet(const std::filesystem::path& folder, const MeasurementSet& set);
/// Reads the three files of `folder`. Throws InvalidMeasurements, with the file and line, on a missing file,
/// a line that is not JSON, a missing field, a wrong type, an unknown kind, a size below 1 or a negative
/// value.
MeasurementSet readSet(const std::filesystem::path& folder);

/// Returns the samples of one figure, sorted by ascending size. Throws InvalidMeasurements if there are none.
std::vector<Sample> samplesOf(const MeasurementSet& set, const std::string& mechanism,
                              const std::string& figure);

/// One figure at all its sizes, with its fit.
struct Series {
  // The first measurement in the set, for the names, unit and kind. A run measures sizes in ascending order,
  // so this is the smallest size.
  Measurement first;
  std::vector<Sample> samples;
  Fit fit;
};
/// The unit of boolean figures: 1 is yes, 0 is no.
constexpr const char* kBooleanUnit = "yes";
/// Returns all figures with their fits, except boolean ones, which have no shape of growth.
std::vector<Series> seriesOf(const MeasurementSet& set);

}  // namespace wingslip::lab
