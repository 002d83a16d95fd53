// Scale cases of the shared state, on hollow members in virtual time.
#include <algorithm>
#include <stdexcept>

#include "hollow_replica.hpp"
#include "probe.hpp"
#include "scale_cases.hpp"

namespace wingslip::lab {
namespace {

using wingslip::replication::Membership;
using wingslip::replication::ReplicatedTable;

constexpr std::uint64_t kSeed = 1;
constexpr double kSettleMs = 8000;  // until what the start made new has been told
constexpr double kIdleMs = 20000;   // of the idle measurement: two repairs of each member
constexpr double kEverywhereMs = 30000;
constexpr double kAftermathMs = 10000;  // until a change is no news any more
constexpr double kGrowth = 2;           // of the time: members that each look through all members
constexpr double kBudgetShare = 2;      // of the time of one mechanism
constexpr std::size_t kFewMembers = 8;  // that hold many rows

// What a stretch of virtual time costs each member.
struct Cost {
  double messages = 0, bytes = 0, processor = 0;
};

template <class Stretch>
Cost costOf(const SimulatedReplicas& fleet, Stretch stretch) {
  const SimulatedReplicas::Traffic before = fleet.traffic();
  const double start = processorSeconds();
  stretch();
  const double members = static_cast<double>(fleet.size());
  Cost out;
  out.processor = (processorSeconds() - start) / members;
  out.messages = static_cast<double>(fleet.traffic().messages - before.messages) / members;
  out.bytes = static_cast<double>(fleet.traffic().bytes - before.bytes) / members;
  return out;
}

// What is left of `cost` without what the same time costs an idle member.
Cost beyondIdle(const Cost& cost, const Cost& idleASecond, double milliseconds) {
  const double seconds = milliseconds / 1000;
  Cost out;
  out.messages = std::max(0.0, cost.messages - idleASecond.messages * seconds);
  out.bytes = std::max(0.0, cost.bytes - idleASecond.bytes * seconds);
  out.processor = std::max(0.0, cost.processor - idleASecond.processor * seconds);
  return out;
}

Cost idleASecond(SimulatedReplicas& fleet) {
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
  const Cost idle = idleASecond(fleet);
  double spreadMs = 0;
  const Cost row = costOf(fleet, [&] {
    fleet.writeRow();
    spreadMs = fleet.runUntilReplicated(kEverywhereMs);
    fleet.run(kAftermathMs);
  });
  const Cost rowAlone = beyondIdle(row, idle, spreadMs + kAftermathMs);
  const Cost restart = costOf(fleet, [&] {
    fleet.restartLastMember();
    fleet.run(kAftermathMs);
  });
  const Cost restartAlone = beyondIdle(restart, idle, kAftermathMs);
  return {{"alive", "members", static_cast<double>(fleet.minAliveCount() + 1)},
          {"held", "B", held},
          {"messages", "messages/s", idle.messages},
          {"bytes", "B/s", idle.bytes},
          {"processor", "s/s", idle.processor},
          {"row_spread", "s", spreadMs / 1000},
          {"row_messages", "messages", rowAlone.messages},
          {"row_bytes", "B", rowAlone.bytes},
          {"row_processor", "s", rowAlone.processor},
          {"restart_messages", "messages", restartAlone.messages},
          {"restart_bytes", "B", restartAlone.bytes},
          {"restart_processor", "s", restartAlone.processor}};
}

// More members than a table takes: how many the least knowing one has.
std::vector<Figure> measureMemberCap(std::size_t members, const CaseLimits&) {
  const SimulatedReplicas fleet(members, 0, kSeed);
  return {{"alive", "members", static_cast<double>(fleet.minAliveCount() + 1)}};
}

std::vector<Figure> measureRows(std::size_t rows, const CaseLimits&) {
  const double heapBefore = heapBytes();
  SimulatedReplicas fleet(kFewMembers, rows, kSeed);
  const double held = std::max(0.0, heapBytes() - heapBefore) / kFewMembers;
  fleet.run(kSettleMs);
  const Cost idle = idleASecond(fleet);
  return {{"rows", "rows", static_cast<double>(fleet.rowCount())},
          {"held", "B", held},
          {"bytes", "B/s", idle.bytes},
          {"processor", "s/s", idle.processor}};
}

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
       kBudgetShare},
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
