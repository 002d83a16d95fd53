/// A worker as this gateway sees it: its endpoint, and the state that each module derives from its answers.
#pragma once

#include "wingslip/decision/gateway.hpp"

namespace wingslip::decision {

/// Owned by WorkerTable. A member belongs to the module that its comment names, or else to that of
/// the member before it.
struct UpstreamWorker {
  Endpoint endpoint;
  unsigned inFlight = 0;   ///< attempts of this gateway in flight
  bool isInSubset = true;  ///< load balancer: in the subset that this gateway prefers
  /// Slow start: end of an operator's exclusion, at which slow start restarts; 0: none.
  Time reincludedAt = 0;
  Time lastResponseAt = 0;     ///< outlier detection: last answer, or if later the start of the wait for one
  double latencyRatioSum = 0;  ///< outlier detection: decaying sum of the ratios of latency to usual latency
  double latencyRatioCount = 0;  ///< outlier detection: decaying number of samples in the sum
  Time latencyRatioAt = 0;
  unsigned consecutiveFailures = 0;  ///< outlier detection: failed attempts since the last successful answer
  Time ejectedUntil = 0;
  Time ejectionMs = 0;  ///< duration of the last ejection; 0: none since the last successful answer
  double limit = 1;     ///< concurrency limit: attempts of this gateway that may be in flight
  Time limitCutAt = 0;
  Time overloadPauseMs = 0;  ///< concurrency limit: last pause; 0: none since the last successful answer
  Time pausedUntil = 0;
  double othersInFlight = 0;  ///< load reports: estimated attempts of the other gateways in flight
  Time othersInFlightAt = 0;
  double warmUpTokens = 0;  ///< slow start: token bucket of attempts, at most 1
  Time warmUpTokensUpdatedAt = 0;

  bool isReady() const { return endpoint.phase == WorkerPhase::ready; }
  bool isEjected(Time now) const { return ejectedUntil > now; }
};

}  // namespace wingslip::decision
