/// The capacity model: the sizes of the target fleet, the days (load situations) that it must sustain, and
/// the resources that each mechanism needs in each role on each day, extrapolated from the measurements of
/// `wingslip-lab scale`. Pure functions.
#pragma once

#include <functional>
#include <limits>
#include <optional>
#include <string>
#include <vector>

#include "measurement.hpp"

namespace wingslip::lab {

/// The target that the operators state, followed by assumptions for values that they do not state.
namespace target {
constexpr double kGatekeepers = 8400, kWorkers = 86000, kServices = 2500, kRoutes = 64000, kTenants = 690000;
// Customer requests in the whole fleet; latency that a gatekeeper may add to a request.
constexpr double kRequestsPerS = 1.4e6, kAddedSeconds = 6.9e-3;
constexpr double kRegions = 6, kZones = 18, kControlMachines = 18;
// Configuration changes; time until a change must be in force at every gatekeeper.
constexpr double kChangesPerDay = 29000, kInForceSeconds = 18;
// Budget of one gatekeeper for control tasks; kCoreShare in processor seconds per second.
constexpr double kCoreShare = 0.028, kMemoryBytes = 256e6, kBytesPerS = 17e3;
constexpr double kMachinesPerDay = 17000 + 360;                // 17,000 restarted or replaced and 360 failed
constexpr double kReleaseMachinesPerHour = 17000;              // machines restarted during a release
constexpr double kZoneGatekeepers = 467, kZoneWorkers = 4778;  // in one zone
constexpr double kPartitionSeconds = 300;  // duration of a network partition between regions
constexpr double kSecondsPerDay = 86400, kSecondsPerHour = 3600;
// Assumptions.
constexpr double kPeakOverMean = 10;          // peak rate of configuration changes over the mean rate
constexpr double kListChangesPerMachine = 3;  // list changes per machine change: draining, removed, ready
constexpr double kMachinesPerRack = 40;
constexpr double kSpread = 32;  // gatekeepers that receive a tenant's requests
// Capacity of one control machine; kControlCores in processor seconds per second.
constexpr double kControlBytesPerS = 1.25e9, kControlMemoryBytes = 64e9, kControlCores = 16;
constexpr double kStoreCallsPerS = 10000;  // capacity of a coordination store or a shared discovery
}  // namespace target

/// The load of one gatekeeper on a day, and the state of the fleet. Rates are per second; on bad days they
/// are averages over the worst `kInForceSeconds`.
struct Day {
  std::string name;
  double gatekeepers = target::kGatekeepers;                       // in the fleet
  double requests = target::kRequestsPerS / target::kGatekeepers;  // customer requests
  double configurationChanges = 0;
  double listChanges = 0;    // entries of the list of workers, each sent in its own message
  double zoneLists = 0;      // losses of all workers of a zone and their return, two messages in total
  double wholeLists = 0;     // whole lists received
  double memberChanges = 0;  // gatekeepers that join or leave
  double controlMachines = target::kControlMachines;  // number in service
  bool discoveryRejects = false;                      // discovery rejects all calls
  bool leaderFails = false;                           // the leader of a leader-election task fails
};
/// All days, the ordinary one first.
std::vector<Day> allDays();

/// The number of distinct tenants whose requests reach one gatekeeper, if each tenant's requests are spread
/// over `spread` of `gatekeepers` gatekeepers.
double tenantsPerGatekeeper(double spread, double gatekeepers);

/// The resources that a mechanism needs in one role on one day.
struct Need {
  double stateBytes = 0;  // state that the mechanism stores
  double messagesPerS = 0, bytesPerS = 0;
  double coreShare = 0;    // processor seconds per second
  double memoryBytes = 0;  // peak resident memory, including the state
  double items = 0;        // items that the mechanism has to store
};

/// The value of a budget dimension without a limit.
constexpr double kNoLimit = std::numeric_limits<double>::infinity();
/// The limits of a need, in the units of `Need`.
struct Budget {
  double messagesPerS = kNoLimit, bytesPerS = kNoLimit, coreShare = kNoLimit, memoryBytes = kNoLimit;
  double items = kNoLimit;  // the largest number that the mechanism can store
};

/// The ratio of need to budget in one dimension.
struct OverBudget {
  double times = 0;       // ratio of need to budget
  std::string dimension;  // such as "bytes/s"; empty: no budget is stated
};
/// Returns the dimension with the largest ratio of need to budget.
OverBudget overBudget(const Need& need, const Budget& budget);

/// One mechanism in one role, with its budget and need.
struct Row {
  std::string role, mechanism;
  std::string implementedBy;          // the component that implements it; empty: not implemented
  std::string substitute;             // existing substitute for a missing mechanism; empty: none
  std::vector<std::string> measured;  // mechanisms whose slopes `need` uses; empty: computed without slopes
  Budget budget;
  std::function<Need(const Day&)> need;
};

/// All rows of the model. Throws InvalidMeasurements if a figure that a row needs was not measured.
std::vector<Row> allRows(const MeasurementSet& set);

/// A row whose mechanism is not implemented, with its need over budget on the ordinary day and on the day on
/// which the ratio is largest.
struct Gap {
  Row row;
  OverBudget ordinary, worst;
  std::string worstDay;
};
/// Returns the rows whose mechanism is not implemented and has no substitute, in descending order of need
/// over budget on the worst day.
std::vector<Gap> rankedGaps(const std::vector<Row>& rows);

/// Returns the number of items in the target fleet. `varies` names the items (`Measurement::varies`):
/// workers, classes, rows or customers; any other name gives the number of gatekeepers.
double targetSizeOf(const std::string& varies);

}  // namespace wingslip::lab
