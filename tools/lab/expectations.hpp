// Whether a run reached the counts that its scenario expects. Reads no clock and no socket: times are
// milliseconds from the start of the load, given by the caller.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "figures.hpp"
#include "idle_clients.hpp"
#include "judge.hpp"
#include "scenario.hpp"

namespace wingslip::lab {

/// Something that expectations count, at a gatekeeper.
struct Noted {
  std::string what;  ///< "claims", "upgrades" or "roster_agreed"
  int gatekeeper = 0;
  double atMs = 0;
};

/// A roster as it was recorded: names by state.
struct RecordedRoster {
  double atMs = 0;
  std::map<std::string, long> namesByState;
};

/// What expectations count beside the fates of requests.
struct Observations {
  std::vector<Noted> noted;
  std::vector<RecordedRoster> rosters;          ///< in order of time
  std::map<std::string, long> copies;           ///< of the shared state at the end: gatekeepers that hold it
  std::map<int, IdleClientCounts> idleClients;  ///< by gatekeeper
  Figures figures;
};

/// The scenario's expectations of one run.
class Expectations {
 public:
  /// All three must outlive it.
  Expectations(const Scenario& scenario, const Judge& judge, const Observations& observations)
      : scenario_(scenario), judge_(judge), observations_(observations) {}

  /// The largest value of a figure; none where a gatekeeper that it is expected of did not tell it.
  std::optional<long> figure(const Expect& expect) const;

  /// One line for each expectation that does not hold.
  std::vector<std::string> unmet() const;

 private:
  std::optional<long> count(const Expect& expect) const;
  IdleClientCounts idleClients(std::optional<int> gatekeeper) const;
  long attempts(const Expect& expect) const;
  long mostEqualCopies() const;
  long namesInRoster(const std::string& state, double beforeMs) const;
  long noted(const Expect& expect) const;

  const Scenario& scenario_;
  const Judge& judge_;
  const Observations& observations_;
};

/// The names of the figures that the scenario's expectations ask for, each once.
std::vector<std::string> expectedFigures(const Scenario& scenario);

}  // namespace wingslip::lab
