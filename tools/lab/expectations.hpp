// Checks the counts of a run against the expectations of its scenario. Reads no clock and no socket: times
// are milliseconds from the start of the load, given by the caller.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "figures.hpp"
#include "idle_clients.hpp"
#include "run_verifier.hpp"
#include "scenario.hpp"

namespace wingslip::lab {

/// An event at a gatekeeper that expectations count.
struct ObservedEvent {
  std::string what;  ///< "claims", "upgrades" or "roster_agreed"
  int gatekeeper = 0;
  double atMs = 0;
};

/// A recorded roster: the number of names in each state.
struct RecordedRoster {
  double atMs = 0;
  std::map<std::string, long> namesByState;
};

/// The observations that expectations count, other than the outcomes of requests.
struct Observations {
  std::vector<ObservedEvent> events;
  std::vector<RecordedRoster> rosters;  ///< in order of time
  /// Number of gatekeepers by the digest of their copy of the shared state at the end.
  std::map<std::string, long> copies;
  std::map<int, IdleClientCounts> idleClients;  ///< by gatekeeper
  Figures figures;
};

/// Evaluates the expectations of a scenario for one run.
class Expectations {
 public:
  /// All arguments must outlive it.
  Expectations(const Scenario& scenario, const RunVerifier& verifier, const Observations& observations)
      : scenario_(scenario), verifier_(verifier), observations_(observations) {}

  /// The maximum of a figure over the gatekeepers of the expectation; none if one of them did not report it.
  std::optional<long> figure(const Expectation& expect) const;

  /// One line of text for each expectation that is not met.
  std::vector<std::string> unmet() const;

 private:
  std::optional<long> count(const Expectation& expect) const;
  IdleClientCounts idleClients(std::optional<int> gatekeeper) const;
  long attempts(const Expectation& expect) const;
  long mostEqualCopies() const;
  long namesInRoster(const std::string& state, double beforeMs) const;
  long eventCount(const Expectation& expect) const;

  const Scenario& scenario_;
  const RunVerifier& verifier_;
  const Observations& observations_;
};

/// The names of the figures in the scenario's expectations, without duplicates.
std::vector<std::string> expectedFigures(const Scenario& scenario);

}  // namespace wingslip::lab
