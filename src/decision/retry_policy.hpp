/// Retry policy: whether a request may be retried, at which workers, and which final answer it gets.
#pragma once

#include "decision/pending_request.hpp"

namespace wingslip::decision {

/// Whether a request that RetryPolicy::mayRetry permits can be sent to this worker without the risk that it
/// runs twice: it has not run, it is idempotent, or the worker recognises its idempotency key.
inline bool isInDeduplicationScope(const PendingRequest& pending, const Endpoint& endpoint) {
  const ClassSettings& settings = pending.classSettings();
  if (!pending.mayHaveRun || settings.idempotency == Idempotency::idempotent ||
      settings.deduplicationScope == DeduplicationScope::all)
    return true;
  return settings.deduplicationScope == DeduplicationScope::zone ? endpoint.zone == pending.firstRunZone
                                                                 : endpoint.cell == pending.firstRunCell;
}

/// Whether the final answer may advise the client to resend: the request has not run, it is idempotent, or
/// every worker recognises its idempotency key; the client is assumed to resend within the idempotency
/// window. Otherwise the final answer is a failure.
[[nodiscard]] bool isSafeToReject(const PendingRequest& pending);

/// Rules for attempts and retries, with one budget of timeouts for all requests of the gateway. Each attempt
/// that times out, even at the request's deadline, takes 1 from the budget; a successful attempt adds a
/// fraction. While the budget is below 1, new attempts have no timeout before the deadline, and a request
/// that may have run is not retried.
class RetryPolicy {
 public:
  /// Updates the budget at the outcome of an attempt.
  void recordResult(AttemptResult result);
  /// Timeout of the attempt about to start, which leaves time for a retry; 0: none before the request's
  /// deadline.
  Time attemptTimeoutMs(const PendingRequest& pending, Time now) const;
  /// Whether another attempt may start now.
  [[nodiscard]] bool mayRetry(const PendingRequest& pending, Time now) const;
  /// Whether the attempt that has been started may still be sent now.
  [[nodiscard]] static bool maySend(const PendingRequest& pending, Time now);

 private:
  static constexpr double kMaxBudget = 5;  ///< upper bound of the budget, as a number of timeouts
  bool hasBudget() const { return budget_ >= 1; }

  // Remaining timeouts.
  double budget_ = kMaxBudget;
};

}  // namespace wingslip::decision
