/// Limits on attempts in flight, of the gateway and of each worker.
///
/// Both are raised and cut by how an answer's time stands to its class's latency objective. They keep the
/// queues at the workers short enough that what is sent is still worth answering. A worker's limit holds
/// where a gateway has several attempts at it; the gateway's goes as far below one for each worker as it must
/// where gateways outnumber what the workers bear.
#pragma once

#include <cstddef>

#include "decision/random.hpp"
#include "decision/upstream_worker.hpp"

namespace wingslip::decision {

/// How an answer's time stands to the latency objective.
struct AnswerTiming {
  bool isLate = false;   ///< or the worker rejected it as overloaded
  bool isEarly = false;  ///< a good answer
};
AnswerTiming timingOf(const AttemptOutcome& outcome, Time latencyObjectiveMs);

/// Limit of a worker that nothing is known of.
double initialWorkerLimit(unsigned gatewayCount);
void steerWorkerLimit(UpstreamWorker& worker, Time now, AnswerTiming timing);
inline bool hasCapacity(const UpstreamWorker& worker) { return worker.inFlight + 1 <= worker.limit; }

/// The worker rejected an attempt as overloaded: nothing is sent to it for a while.
void pauseOverloaded(UpstreamWorker& worker, Time now);
/// After a good answer the next pause is a short one again.
inline void resetOverloadPause(UpstreamWorker& worker) { worker.overloadPauseMs = 0; }
inline bool isPaused(const UpstreamWorker& worker, Time now) { return worker.pausedUntil > now; }

/// The limit on all that this gateway has in flight. It moves by time, not by answer, so that many answers a
/// second say no more than a few.
class GatewayConcurrencyLimit {
 public:
  /// Sets the limit by the first list of workers that is not empty.
  void start(std::size_t workers, unsigned gatewayCount);
  /// A fraction of an attempt in the limit is kept by chance.
  bool hasCapacity(Random& random) const { return inFlight_ + random.next() < limit_; }
  void noteAttemptStarted(Time now);
  void noteAttemptEnded();
  /// @param tellsOfWorkerOnly a late answer of a worker that is slow by itself or warming up changes nothing.
  void steer(Time now, AnswerTiming timing, bool tellsOfWorkerOnly);

  double limit() const { return limit_; }
  unsigned inFlight() const { return inFlight_; }

 private:
  void notePeak(Time now);

  unsigned inFlight_ = 0;
  double limit_ = 0;  // 0: no worker was ever listed
  Time steeredAt_ = 0;
  double peak_ = 0;  // the most lately in flight
  Time peakAt_ = 0;
};

}  // namespace wingslip::decision
