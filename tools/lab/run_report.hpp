// The report of a run: the files events.jsonl, plot.svg and summary.json, and the printed summary.
#pragma once

#include <cstdint>
#include <filesystem>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "idle_clients.hpp"
#include "plot.hpp"
#include "process.hpp"
#include "run_verifier.hpp"
#include "scenario.hpp"

namespace wingslip::lab {

/// A step that was executed.
struct ExecutedStep {
  double atS = 0;    ///< seconds from the start of the load
  std::string what;  ///< the step as named in scenario files
  int line = 0;      ///< in the scenario's file
};

/// A gatekeeper's claim of the leader task: its first record under a new token.
struct Claim {
  double atMs = 0;  ///< milliseconds from the start of the load
  int gatekeeper = 0;
  std::uint64_t token = 0;
};

/// The load on the coordination store during the run.
struct StoreLoad {
  long calls = 0;
  std::vector<long> callsBySecond;
  std::vector<Claim> claims;
};

/// The maximum of a figure for one expectation; none if it was not reported.
struct FigureMaximum {
  int line = 0;  ///< of the expectation in the scenario's file
  std::string name;
  std::optional<long> most;
};

/// The data of a run's report other than the verifier's results.
struct RunRecord {
  std::uint64_t seed = 1;
  long notSent = 0;             ///< requests not sent: no gatekeeper in rotation, or too many in flight
  long maxPeakKb = 0;           ///< largest peak memory of a gatekeeper, kB
  ProcessUse totalUse;          ///< sum over all gatekeepers that were running at the end
  int measuredGatekeepers = 0;  ///< number of gatekeepers in `totalUse`
  long workerConnections = 0;   ///< made to workers by all gatekeepers
  long listBytes = 0;           ///< sent by all discovery agents
  long maxDescriptors = 0;      ///< largest number of open descriptors of a gatekeeper at the end
  /// Calls failed by the fault library in all gatekeepers, by kind.
  std::map<std::string, std::uint64_t> failedCalls;
  std::vector<ExecutedStep> steps;
  std::vector<PlotMark> marks;
  std::optional<StoreLoad> store;
  std::map<int, IdleClientCounts> idleClients;  ///< by gatekeeper
  std::vector<FigureMaximum> figures;
  /// Violations that the verifier does not observe: unexpected or late exits, rejected operators' calls.
  std::vector<std::string> crashes;
  std::vector<std::string> invariants;  ///< invariant violations from the logs of gatekeepers
  std::vector<std::string> unmet;       ///< expectations that were not met
};

/// Writes the report files into the directory `out`.
void writeReport(const std::filesystem::path& out, const Scenario& scenario, const RunVerifier& verifier,
                 const RunRecord& record);

/// Prints the summary of a run from `out`/summary.json. Returns 0 if there is no violation and every
/// expectation is met, 1 otherwise. Throws std::runtime_error if there is no summary.
int printReport(const std::filesystem::path& out);

}  // namespace wingslip::lab
