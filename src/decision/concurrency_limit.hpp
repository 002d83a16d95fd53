/// Limits on attempts in flight, of the gateway and of each worker.
///
/// Both are raised and cut by comparing the latency of answers with the latency objective of their class.
/// They bound the queues at the workers, so that attempts are answered while the answer still has value. A
/// worker's limit is never below 1, so it is effective where a gateway has several attempts in flight at a
/// worker. Where the gateways outnumber the attempts that the workers can process, the gateway's limit falls
/// below one attempt per worker.
#pragma once

#include <cstddef>

#include "decision/random.hpp"
#include "decision/upstream_worker.hpp"

namespace wingslip::decision {

/// The latency of an attempt, compared with the latency objective of its class.
struct OutcomeTiming {
  /// The latency exceeds a share of the objective, with any result, or the worker rejected the attempt as
  /// overloaded.
  bool isLate = false;
  bool isEarly = false;  ///< a successful answer with a latency below a smaller share of the objective
};
/// Classifies an outcome as late, early or neither.
OutcomeTiming timingOf(const AttemptOutcome& outcome, Time latencyObjectiveMs);

/// Limit of a worker without any outcome yet, in attempts of this gateway.
double initialWorkerLimit(unsigned gatewayCount);
/// Raises a worker's limit after an early answer and cuts it after a late outcome.
void updateWorkerLimit(UpstreamWorker& worker, Time now, OutcomeTiming timing);
/// Whether the worker's limit permits one more attempt of this gateway.
inline bool hasCapacity(const UpstreamWorker& worker) { return worker.inFlight + 1 <= worker.limit; }

/// Pauses a worker that rejected an attempt as overloaded: it is sent no attempts until the pause ends.
void pauseOverloaded(UpstreamWorker& worker, Time now);
/// Resets the pause after a successful answer, so that the next one starts from the shortest duration.
inline void resetOverloadPause(UpstreamWorker& worker) { worker.overloadPauseMs = 0; }
/// Whether the worker is paused after a rejection as overloaded.
inline bool isPaused(const UpstreamWorker& worker, Time now) { return worker.pausedUntil > now; }

/// The limit on all attempts that this gateway has in flight. Its rate of change depends on the elapsed time,
/// not on the number of answers, so that a high answer rate does not move it faster than a low one.
class GatewayConcurrencyLimit {
 public:
  /// Sets the limit from the first endpoint list that is not empty; later calls have no effect.
  void initialize(std::size_t workers, unsigned gatewayCount);
  /// Whether the limit permits one more attempt. The fractional part of the limit is applied as a
  /// probability.
  bool hasCapacity(Random& random) const { return inFlight_ + random.next() < limit_; }
  void recordAttemptStarted(Time now);
  void recordAttemptEnded();
  /// Raises the limit after an early answer and cuts it after a late outcome.
  /// @param isWorkerSpecific the outcome is late and its worker is slow for its machine type or warming up;
  ///   such an outcome does not change the limit.
  void update(Time now, OutcomeTiming timing, bool isWorkerSpecific);

  double limit() const { return limit_; }
  unsigned inFlight() const { return inFlight_; }

 private:
  void updatePeak(Time now);

  unsigned inFlight_ = 0;
  double limit_ = 0;  // attempts; 0: no worker has been listed yet
  Time updatedAt_ = 0;
  double peak_ = 0;  // decaying peak of attempts in flight
  Time peakAt_ = 0;
};

}  // namespace wingslip::decision
