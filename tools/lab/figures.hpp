// Samples of the figures that gatekeepers report in their telemetry during a run, for expectations. Reads no
// clock: times are milliseconds from the start of the load, given by the caller.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace wingslip::lab {

/// Parses the lines "svc.NAME:VALUE|..." into values by name, without the prefix "svc.". Other lines of
/// `telemetry` are ignored.
std::map<std::string, long> readFigures(const std::string& telemetry);

/// The samples of selected figures, with gatekeeper and time.
class Figures {
 public:
  /// `names`: the figures to record; others are ignored.
  explicit Figures(std::vector<std::string> names) : names_(std::move(names)) {}

  bool hasSelection() const { return !names_.empty(); }

  /// Records the figures of a telemetry answer of `gatekeeper`.
  void addSamples(int gatekeeper, double atMs, const std::string& telemetry);

  /// The maximum that `gatekeeper` reported within [afterMs, beforeMs); none without a sample.
  std::optional<long> maximum(const std::string& name, int gatekeeper, double afterMs, double beforeMs) const;

 private:
  struct Sample {
    int gatekeeper;
    double atMs;
    std::string name;
    long value;
  };
  std::vector<std::string> names_;
  std::vector<Sample> samples_;  // one for each name, gatekeeper and telemetry call
};

}  // namespace wingslip::lab
