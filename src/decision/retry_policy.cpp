/// Retry policy: number of attempts, deadline, idempotency and retry budget.
#include "decision/retry_policy.hpp"

#include <algorithm>

namespace wingslip::decision {
namespace {

constexpr unsigned kMaxAttempts = 4;             // per request; more attempts only add load
constexpr double kTimeoutUsualLatencies = 5;     // attempt timeout, in usual latencies of the class
constexpr double kMinTimeoutObjectiveShare = 1;  // lower bound of the timeout, in latency objectives
// Timeouts added to the budget per success; bounds the load that retries add.
constexpr double kBudgetPerSuccess = 0.05;

unsigned attemptsAllowed(const PendingRequest& pending) {
  return std::min(pending.maxAttempts, kMaxAttempts);
}

// A request that may have run is retried only if its class allows it.
bool isRepeatAllowed(const PendingRequest& pending, Time now) {
  const ClassSettings& settings = pending.classSettings();
  if (!pending.mayHaveRun || settings.idempotency == Idempotency::idempotent) return true;
  if (settings.idempotency == Idempotency::notIdempotent) return false;
  return now <= pending.firstRunAt + settings.idempotencyWindowMs;
}

// A request is not retried if a late answer has no value and its latency objective has passed.
bool hasRemainingValue(const PendingRequest& pending, Time now) {
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

void RetryPolicy::recordResult(AttemptResult result) {
  if (result == AttemptResult::ok) budget_ = std::min(kMaxBudget, budget_ + kBudgetPerSuccess);
  if (result == AttemptResult::timeout) budget_ = std::max(0.0, budget_ - 1);
}

Time RetryPolicy::attemptTimeoutMs(const PendingRequest& pending, Time now) const {
  const ClassSettings& settings = pending.classSettings();
  const bool isLastAttempt = pending.attempts + 1 >= attemptsAllowed(pending);
  if (settings.idempotency == Idempotency::notIdempotent || isLastAttempt || !hasBudget()) return 0;
  const Time timeoutMs = std::max(kTimeoutUsualLatencies * pending.requestClass->usualLatencyMs(),
                                  kMinTimeoutObjectiveShare * settings.latencyObjectiveMs);
  return timeoutMs >= pending.request.expiresAt - now ? 0 : timeoutMs;
}

bool RetryPolicy::mayRetry(const PendingRequest& pending, Time now) const {
  if (pending.attempts >= attemptsAllowed(pending)) return false;
  if (now >= pending.request.expiresAt) return false;
  if (!isRepeatAllowed(pending, now)) return false;
  if (pending.mayHaveRun && !hasBudget()) return false;
  return hasRemainingValue(pending, now);
}

bool RetryPolicy::maySend(const PendingRequest& pending, Time now) {
  return pending.attempts <= attemptsAllowed(pending) && isRepeatAllowed(pending, now);
}

}  // namespace wingslip::decision
