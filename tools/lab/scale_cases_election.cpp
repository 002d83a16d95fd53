/// Scale cases of the leader election: simulated candidates on the stand-in coordination store in virtual
/// time.
#include <stdexcept>

#include "scale_cases.hpp"
#include "simulated_candidates.hpp"

namespace wingslip::lab {
namespace {

constexpr std::uint64_t kSeed = 1;
constexpr double kSettleMsPerCandidate = 40;  // first calls are spread over half of it, 20 ms per candidate
constexpr double kSettleMs = 60000;           // additional time until the first leader is elected
constexpr double kIdleMs = 60000;             // three blocking reads of 20 s
constexpr double kMaxTakeOverMs = 60000;      // limit from the leader's crash to the next election
constexpr double kStepMs = 100;

std::vector<Figure> measureElection(std::size_t candidates, const CaseLimits&) {
  SimulatedCandidates fleet(candidates, kSeed);
  fleet.run(kSettleMs + kSettleMsPerCandidate * static_cast<double>(candidates));
  if (fleet.leaders() != 1) throw std::runtime_error("the candidates have no leader, or more than one");
  const SimulatedCandidates::Traffic before = fleet.traffic();
  fleet.run(kIdleMs);
  const SimulatedCandidates::Traffic idle = fleet.traffic();
  const double registered = static_cast<double>(fleet.registered());
  const double registeredBytes = static_cast<double>(fleet.registeredBytes());
  fleet.crashLeader();
  double takeOverMs = 0;
  while (fleet.leaders() == 0 && takeOverMs < kMaxTakeOverMs) {
    fleet.run(kStepMs);
    takeOverMs += kStepMs;
  }
  const SimulatedCandidates::Traffic after = fleet.traffic();
  const double seconds = kIdleMs / 1000;
  const double idleCalls = static_cast<double>(idle.calls - before.calls) / seconds;
  return {{"calls", "calls/s", idleCalls},
          {"bytes", "B/s", static_cast<double>(idle.bytes - before.bytes) / seconds},
          {"registered", "members", registered},
          {"registered_bytes", "B", registeredBytes},
          {"take_over", "s", takeOverMs / 1000},
          {"take_over_calls", "calls", static_cast<double>(after.calls - idle.calls)},
          {"take_over_bytes", "B", static_cast<double>(after.bytes - idle.bytes)}};
}

}  // namespace

std::vector<ScaleCase> electionCases() {
  return {{"duties",
           "candidates",
           RunKind::simulated,
           {4, 8, 16, 32},
           {16, 32, 64, 128},
           {16, 32, 64, 128, 256, 512},
           measureElection}};
}

}  // namespace wingslip::lab
