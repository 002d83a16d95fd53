// The capacity model: the target's sizes, the days that have to be borne, and what each mechanism needs of
// each role on each of them, from the slopes that `wingslip-lab scale` has measured. Pure.
#pragma once

#include <functional>
#include <limits>
#include <optional>
#include <string>
#include <vector>

#include "measurement.hpp"

namespace wingslip::lab {

// The operators' target, and what is assumed where they state nothing (marked so).
namespace target {
constexpr double kGatekeepers = 8400, kWorkers = 86000, kServices = 2500, kRoutes = 64000, kTenants = 690000;
constexpr double kRequestsPerS = 1.4e6, kAddedSeconds = 6.9e-3;
constexpr double kRegions = 6, kZones = 18, kControlMachines = 18;
constexpr double kChangesADay = 29000, kInForceSeconds = 18;
constexpr double kCoreShare = 0.028, kMemoryBytes = 256e6, kBytesPerS = 17e3;  // control, of a gatekeeper
constexpr double kMachinesADay = 17000 + 360;  // restarted or replaced, and failed
constexpr double kReleaseMachinesAnHour = 17000;
constexpr double kZoneGatekeepers = 467, kZoneWorkers = 4778;
constexpr double kPartedSeconds = 300;
constexpr double kSecondsADay = 86400, kSecondsAnHour = 3600;
// Assumed.
constexpr double kPeakOverMean = 10;    // of configuration changes
constexpr double kEntriesAMachine = 3;  // changes of the list for a machine: leaves, gone, ready
constexpr double kMachinesARack = 40;
constexpr double kSpread = 32;  // gatekeepers that a tenant's requests come through
constexpr double kControlBytesPerS = 1.25e9, kControlMemoryBytes = 64e9,
                 kControlCores = 16;       // of one machine
constexpr double kStoreCallsPerS = 10000;  // that a store or a shared discovery answers
}  // namespace target

// What one gatekeeper meets of a day. Rates are a second, over the worst `kInForceSeconds` of a bad day.
struct Day {
  std::string name;
  double gatekeepers = target::kGatekeepers;
  double requests = target::kRequestsPerS / target::kGatekeepers;
  double configurationChanges = 0;
  double listChanges = 0;    // entries of the list of workers, one told at a time
  double zoneLists = 0;      // a zone's workers told in one message, lost and back
  double wholeLists = 0;     // taken
  double memberChanges = 0;  // of gatekeepers
  double controlMachines = target::kControlMachines;
  bool discoveryTurnsAway = false;
  bool holderLost = false;  // of a duty
};
std::vector<Day> allDays();  // the ordinary one first

// Different tenants that a gatekeeper meets where each tenant's requests come through `spread` gatekeepers.
double tenantsMet(double spread, double gatekeepers);

// Of one role, on one day.
struct Need {
  double stateBytes = 0;  // held for the mechanism
  double messagesPerS = 0, bytesPerS = 0;
  double coreShare = 0;    // processor seconds a second
  double memoryBytes = 0;  // resident at most, the state included
  double items = 0;        // that the mechanism has to hold
};

constexpr double kNoLimit = std::numeric_limits<double>::infinity();
struct Budget {
  double messagesPerS = kNoLimit, bytesPerS = kNoLimit, coreShare = kNoLimit, memoryBytes = kNoLimit;
  double items = kNoLimit;  // that the mechanism holds at most
};

// The dimension in which a need is furthest over its budget.
struct OverBudget {
  double times = 0;       // need over budget
  std::string dimension;  // "bytes", ...; empty: no budget is stated
};
OverBudget overBudget(const Need& need, const Budget& budget);

struct Row {
  std::string role, mechanism;
  std::string carriedBy;              // empty: no mechanism in the tree
  std::string standIn;                // what else can serve where there is none; empty: nothing
  std::vector<std::string> measured;  // mechanisms whose slopes it rests on; empty: worked out alone
  Budget budget;
  std::function<Need(const Day&)> need;
};

// Throws InvalidMeasurements where a figure that a row needs was not measured.
std::vector<Row> allRows(const MeasurementSet& set);

// A row without a mechanism, and the day on which it needs most.
struct Gap {
  Row row;
  OverBudget ordinary, worst;
  std::string worstDay;
};
// Rows with no mechanism in the tree that nothing else stands in for, the largest need over budget first.
std::vector<Gap> rankedGaps(const std::vector<Row>& rows);

// The size that a measured figure is wanted at, by what it varies with.
double targetSizeOf(const std::string& varies);

}  // namespace wingslip::lab
