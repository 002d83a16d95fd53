/// Retry policy: whether a request may be sent again, where to, and what its final answer says.
#pragma once

#include "decision/pending_request.hpp"

namespace wingslip::decision {

/// Whether the outcome shows that the worker did not run the request.
inline bool provesNotRun(AttemptResult result) {
  return result == AttemptResult::overloaded || result == AttemptResult::connectFailed ||
         result == AttemptResult::notSent;
}

/// Whether a repeat that may have run before would be recognised by this worker, or needs not be.
inline bool isInDeduplicationScope(const PendingRequest& pending, const Endpoint& endpoint) {
  const ClassSettings& settings = pending.classSettings();
  if (!pending.mayHaveRun || settings.idempotency == Idempotency::idempotent ||
      settings.deduplicationScope == DeduplicationScope::all)
    return true;
  return settings.deduplicationScope == DeduplicationScope::zone ? endpoint.zone == pending.firstRunZone
                                                                 : endpoint.cell == pending.firstRunCell;
}

/// Whether the client may be told to send again: it has not run, or a repeat is recognised at any worker.
/// Else the final answer is a failure.
[[nodiscard]] bool isSafeToReject(const PendingRequest& pending);

/// Rules of a gateway's attempts, with the budget of early time-outs that all its requests share.
class RetryPolicy {
 public:
  void noteResult(AttemptResult result);
  /// Time-out of the attempt about to begin, so that another can follow it; 0: as long as the client waits.
  Time attemptTimeoutMs(const PendingRequest& pending, Time now) const;
  /// Whether another attempt may begin now.
  [[nodiscard]] bool mayRetry(const PendingRequest& pending, Time now) const;

 private:
  static constexpr double kMaxBudget = 5;  ///< early time-outs in a row
  bool hasBudget() const { return budget_ >= 1; }

  double budget_ = kMaxBudget;  // early time-outs, and repeats after them, that are left
};

}  // namespace wingslip::decision
