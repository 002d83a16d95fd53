// The figures that gatekeepers tell their operators during a run, as an expectation asks for them. Pure:
// times are milliseconds from the start of the load, given by the caller.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace wingslip::lab {

/// Figures by name, without the prefix "svc.". Lines of `telemetry` that are no figure are passed over.
std::map<std::string, long> readFigures(const std::string& telemetry);

/// What gatekeepers told of some figures, and when.
class Figures {
 public:
  /// Only the figures of these names are kept.
  explicit Figures(std::vector<std::string> names) : names_(std::move(names)) {}

  bool wanted() const { return !names_.empty(); }

  /// An answer of `gatekeeper` to a call for its telemetry.
  void told(int gatekeeper, double atMs, const std::string& telemetry);

  /// The largest value that `gatekeeper` told within [afterMs, beforeMs); none where it told none.
  std::optional<long> most(const std::string& name, int gatekeeper, double afterMs, double beforeMs) const;

 private:
  struct Value {
    int gatekeeper;
    double atMs;
    std::string name;
    long value;
  };
  std::vector<std::string> names_;
  std::vector<Value> values_;  // one a name, gatekeeper and call
};

}  // namespace wingslip::lab
