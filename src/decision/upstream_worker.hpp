/// A worker as this gateway sees it: its endpoint, and what each module has learned of it.
#pragma once

#include "wingslip/decision/gateway.hpp"

namespace wingslip::decision {

/// Owned by WorkerTable. Each group of members belongs to the module that its comment names.
struct UpstreamWorker {
  Endpoint endpoint;
  unsigned inFlight = 0;         ///< attempts of this gateway
  bool isInSubset = true;        ///< load balancer: one of those that this gateway uses as a rule
  Time includedAt = 0;           ///< slow start: put back by hand, starts anew whatever its endpoint says
  Time lastHeardAt = 0;          ///< outlier detection: its process last answered, or its first attempt began
  double latencyRatioSum = 0;    ///< outlier detection: latencies over their class's usual, fading
  double latencyRatioCount = 0;  ///< outlier detection: answers behind the sum, fading alike
  Time latencyRatioAt = 0;
  unsigned failuresInRow = 0;  ///< outlier detection
  Time ejectedUntil = 0;
  Time ejectionMs = 0;  ///< of the last ejection; 0: none since the last good answer
  double limit = 1;     ///< concurrency limit: attempts that may be in flight
  Time limitCutAt = 0;
  Time overloadPauseMs = 0;  ///< concurrency limit: the last pause; 0: none since the last good answer
  Time pausedUntil = 0;
  double othersInFlight = 0;  ///< load reports: attempts of the other gateways
  Time othersAt = 0;
  double warmUpTokens = 0;  ///< slow start: attempts that it may be given
  Time warmUpTokensAt = 0;

  bool isReady() const { return endpoint.phase == WorkerPhase::ready; }
  bool isEjected(Time now) const { return ejectedUntil > now; }
};

}  // namespace wingslip::decision
