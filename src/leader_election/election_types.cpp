#include "leader_election/election_types.hpp"

namespace wingslip::leader_election {
namespace {

// Bounds of the durations that are derived from the session TTL.
constexpr Time kMaxCallTimeoutMs = 1000;
constexpr Time kMinBlockingReadMs = 2000;
constexpr Time kMaxBlockingReadMs = 30000;

}  // namespace

Timing timingFor(Time ttlMs, Time lockDelayMs, unsigned candidates) {
  Timing out;
  out.ttlMs = ttlMs;
  out.lockDelayMs = lockDelayMs;
  out.candidates = candidates;
  out.callTimeoutMs = std::min(kMaxCallTimeoutMs, ttlMs / 5);
  out.blockingReadMs = std::clamp(2 * ttlMs, kMinBlockingReadMs, kMaxBlockingReadMs);
  return out;
}

const char* stateName(State state) {
  static constexpr const char* kNames[] = {"standby", "waiting",   "acquiring", "proving",
                                           "holding", "uncertain", "releasing", "resting"};
  return kNames[static_cast<std::size_t>(state)];
}

}  // namespace wingslip::leader_election
