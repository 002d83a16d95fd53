// The report of a run: its files events.jsonl, plot.svg and summary.json, and the summary as it is printed.
#pragma once

#include <cstdint>
#include <filesystem>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "idle_clients.hpp"
#include "judge.hpp"
#include "plot.hpp"
#include "process.hpp"
#include "scenario.hpp"

namespace wingslip::lab {

/// A step as it was carried out.
struct StepDone {
  double atS = 0;
  std::string what;
  int line = 0;  ///< in the scenario's file
};

/// The first record of the duty under a new token.
struct Claim {
  double atMs = 0;
  int gatekeeper = 0;
  std::uint64_t token = 0;
};

/// What the coordination store had to do.
struct StoreUse {
  long calls = 0;
  std::vector<long> callsBySecond;
  std::vector<Claim> claims;
};

/// The largest value of a figure that an expectation asks for; none: not told.
struct FigureMost {
  int line = 0;  ///< of the expectation in the scenario's file
  std::string name;
  std::optional<long> most;
};

/// What a run has to report beside the judge's part.
struct RunRecord {
  std::uint64_t seed = 1;
  long notSent = 0;  ///< requests for which no gatekeeper was in the front, or too many were in flight
  long mostKb = 0;   ///< peak memory of a gatekeeper
  ProcessUse all;    ///< of all gatekeepers that ran at the end, added up
  int measured = 0;  ///< how many these are
  long workerConnections = 0;                        ///< made to workers by all gatekeepers
  long listBytes = 0;                                ///< said by all discovery agents
  long mostDescriptors = 0;                          ///< open descriptors of a gatekeeper at the end
  std::map<std::string, std::uint64_t> failedCalls;  ///< by the fault library in all gatekeepers, by kind
  std::vector<StepDone> steps;
  std::vector<PlotMark> marks;
  std::optional<StoreUse> store;
  std::map<int, IdleClientCounts> idleClients;  ///< by gatekeeper
  std::vector<FigureMost> figures;
  std::vector<std::string> crashes;     ///< broken rules that the judge does not see
  std::vector<std::string> invariants;  ///< what gatekeepers' logs say of invariants that were broken
  std::vector<std::string> unmet;       ///< expectations that do not hold
};

/// Writes the report's files into the folder `out`.
void writeReport(const std::filesystem::path& out, const Scenario& scenario, const Judge& judge,
                 const RunRecord& record);

/// Prints the summary of a run from `out`/summary.json. Returns 0 when no rule broke and every expectation
/// held, 1 otherwise. Throws std::runtime_error where there is no summary.
int printReport(const std::filesystem::path& out);

}  // namespace wingslip::lab
