/// Retry policy: attempts, time, idempotency and budget.
#include "decision/retry_policy.hpp"

#include <algorithm>

namespace wingslip::decision {
namespace {

constexpr unsigned kMaxAttempts = 4;             // of one request; more only adds load
constexpr double kTimeoutLatencies = 5;          // usual latencies before an attempt is given up for another
constexpr double kMinTimeoutObjectiveShare = 1;  // and at least this share of the latency objective
constexpr double kBudgetPerSuccess = 0.05;       // early time-outs; so that they cannot feed an overload

unsigned attemptsAllowed(const PendingRequest& pending) {
  return std::min(pending.maxAttempts, kMaxAttempts);
}

// A request that may have run is sent again only as its class allows.
bool isIdempotencyKept(const PendingRequest& pending, Time now) {
  const ClassSettings& settings = pending.classSettings();
  if (!pending.mayHaveRun || settings.idempotency == Idempotency::idempotent) return true;
  if (settings.idempotency == Idempotency::notIdempotent) return false;
  return now <= pending.firstRunAt + settings.idempotencyWindowMs;
}

// A client that has no use for a late answer is not served one.
bool isStillOfValue(const PendingRequest& pending, Time now) {
  const ClassSettings& settings = pending.classSettings();
  return settings.lateAnswerValue > 0 || now <= pending.arrivedAt + settings.latencyObjectiveMs;
}

}  // namespace

bool isSafeToReject(const PendingRequest& pending) {
  const ClassSettings& settings = pending.classSettings();
  if (!pending.mayHaveRun || settings.idempotency == Idempotency::idempotent) return true;
  return settings.idempotency == Idempotency::withKey &&
         settings.deduplicationScope == DeduplicationScope::all;
}

void RetryPolicy::noteResult(AttemptResult result) {
  if (result == AttemptResult::ok) budget_ = std::min(kMaxBudget, budget_ + kBudgetPerSuccess);
  if (result == AttemptResult::timeout) budget_ = std::max(0.0, budget_ - 1);
}

Time RetryPolicy::attemptTimeoutMs(const PendingRequest& pending, Time now) const {
  const ClassSettings& settings = pending.classSettings();
  const bool isLast = pending.attempts + 1 >= attemptsAllowed(pending);
  if (settings.idempotency == Idempotency::notIdempotent || isLast || !hasBudget()) return 0;
  const Time timeoutMs = std::max(kTimeoutLatencies * pending.requestClass->usualLatencyMs(),
                                  kMinTimeoutObjectiveShare * settings.latencyObjectiveMs);
  return timeoutMs >= pending.request.expiresAt - now ? 0 : timeoutMs;
}

bool RetryPolicy::mayRetry(const PendingRequest& pending, Time now) const {
  if (pending.attempts >= attemptsAllowed(pending)) return false;
  if (now >= pending.request.expiresAt) return false;
  if (!isIdempotencyKept(pending, now)) return false;
  if (pending.mayHaveRun && !hasBudget()) return false;
  return isStillOfValue(pending, now);
}

}  // namespace wingslip::decision
