/// Scale cases of the replicated state: simulated members in virtual time.
#include <algorithm>
#include <stdexcept>

#include "probe.hpp"
#include "scale_cases.hpp"
#include "simulated_replica.hpp"

namespace wingslip::lab {
namespace {

using wingslip::replication::Membership;
using wingslip::replication::ReplicatedTable;

constexpr std::uint64_t kSeed = 1;
constexpr double kSettleMs = 8000;         // until the updates at the start are no longer gossiped
constexpr double kIdleMs = 20000;          // idle measurement; two anti-entropy periods
constexpr double kMaxSpreadMs = 30000;     // limit until all members have a new row
constexpr double kGossipSettleMs = 10000;  // until a change is no longer gossiped
constexpr double kGrowth = 2;              // exponent of run time: each member iterates over all members
constexpr double kBudgetFactor = 2;        // time budget as a multiple of that of one mechanism
constexpr std::size_t kFewMembers = 8;     // members in the runs with many rows

// Mean cost per member over a period of virtual time; `processor` in seconds.
struct Cost {
  double messages = 0, bytes = 0, processor = 0;
};

template <class Action>
Cost costOf(const SimulatedReplicas& fleet, Action action) {
  const SimulatedReplicas::Traffic before = fleet.traffic();
  const double start = processorSeconds();
  action();
  const double members = static_cast<double>(fleet.size());
  Cost out;
  out.processor = (processorSeconds() - start) / members;
  out.messages = static_cast<double>(fleet.traffic().messages - before.messages) / members;
  out.bytes = static_cast<double>(fleet.traffic().bytes - before.bytes) / members;
  return out;
}

// Subtracts the idle cost of the same period from `cost`; no result is below 0.
Cost withoutIdle(const Cost& cost, const Cost& idleCostPerSecond, double milliseconds) {
  const double seconds = milliseconds / 1000;
  Cost out;
  out.messages = std::max(0.0, cost.messages - idleCostPerSecond.messages * seconds);
  out.bytes = std::max(0.0, cost.bytes - idleCostPerSecond.bytes * seconds);
  out.processor = std::max(0.0, cost.processor - idleCostPerSecond.processor * seconds);
  return out;
}

Cost idleCostPerSecond(SimulatedReplicas& fleet) {
  Cost out = costOf(fleet, [&] { fleet.run(kIdleMs); });
  out.messages /= kIdleMs / 1000;
  out.bytes /= kIdleMs / 1000;
  out.processor /= kIdleMs / 1000;
  return out;
}

std::vector<Figure> measureMembership(std::size_t members, const CaseLimits&) {
  const double heapBefore = heapBytes();
  SimulatedReplicas fleet(members, 0, kSeed);
  const double held = std::max(0.0, heapBytes() - heapBefore) / static_cast<double>(members);
  fleet.run(kSettleMs);
  const Cost idle = idleCostPerSecond(fleet);
  double spreadMs = 0;
  const Cost rowCost = costOf(fleet, [&] {
    fleet.writeRow();
    spreadMs = fleet.runUntilReplicated(kMaxSpreadMs);
    fleet.run(kGossipSettleMs);
  });
  const Cost rowNetCost = withoutIdle(rowCost, idle, spreadMs + kGossipSettleMs);
  const Cost restartCost = costOf(fleet, [&] {
    fleet.restartLastMember();
    fleet.run(kGossipSettleMs);
  });
  const Cost restartNetCost = withoutIdle(restartCost, idle, kGossipSettleMs);
  return {{"alive", "members", static_cast<double>(fleet.minAliveCount() + 1)},
          {"held", "B", held},
          {"messages", "messages/s", idle.messages},
          {"bytes", "B/s", idle.bytes},
          {"processor", "s/s", idle.processor},
          {"row_spread", "s", spreadMs / 1000},
          {"row_messages", "messages", rowNetCost.messages},
          {"row_bytes", "B", rowNetCost.bytes},
          {"row_processor", "s", rowNetCost.processor},
          {"restart_messages", "messages", restartNetCost.messages},
          {"restart_bytes", "B", restartNetCost.bytes},
          {"restart_processor", "s", restartNetCost.processor}};
}

// Starts more members than a member table can hold. The figure is the smallest number of members, including
// itself, that a member considers alive.
std::vector<Figure> measureMemberCap(std::size_t members, const CaseLimits&) {
  const SimulatedReplicas fleet(members, 0, kSeed);
  return {{"alive", "members", static_cast<double>(fleet.minAliveCount() + 1)}};
}

std::vector<Figure> measureRows(std::size_t rows, const CaseLimits&) {
  const double heapBefore = heapBytes();
  SimulatedReplicas fleet(kFewMembers, rows, kSeed);
  const double held = std::max(0.0, heapBytes() - heapBefore) / kFewMembers;
  fleet.run(kSettleMs);
  const Cost idle = idleCostPerSecond(fleet);
  return {{"rows", "rows", static_cast<double>(fleet.rowCount())},
          {"held", "B", held},
          {"bytes", "B/s", idle.bytes},
          {"processor", "s/s", idle.processor}};
}

// Starts a member with more rows than its table can hold; the figure is the number of rows stored.
std::vector<Figure> measureRowCap(std::size_t rows, const CaseLimits&) {
  const SimulatedReplicas fleet(1, rows, kSeed);
  return {{"rows", "rows", static_cast<double>(fleet.rowCount())}};
}

}  // namespace

std::vector<ScaleCase> replicaCases() {
  return {
      {"membership",
       "members",
       RunKind::simulated,
       {16, 32, 64, 128},
       {32, 64, 128, 256},
       {64, 128, 256, 512, 1000},
       measureMembership,
       kGrowth,
       kBudgetFactor},
      {"member_cap",
       "members",
       RunKind::simulated,
       {Membership::kMaxMembers + 8},
       {Membership::kMaxMembers + 100},
       {Membership::kMaxMembers + 100},
       measureMemberCap},
      {"rows",
       "rows",
       RunKind::simulated,
       {32, 64, 128, 256},
       {256, 512, 1024, 2048},
       {256, 512, 1024, 2048, 4096},
       measureRows},
      {"row_cap",
       "rows",
       RunKind::simulated,
       {ReplicatedTable::kMaxRows + 10},
       {ReplicatedTable::kMaxRows + 100},
       {ReplicatedTable::kMaxRows + 100},
       measureRowCap},
  };
}

}  // namespace wingslip::lab
