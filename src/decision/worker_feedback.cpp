/// Worker feedback: updates limits, latencies and failures from the outcome of an attempt.
#include "decision/worker_feedback.hpp"

namespace wingslip::decision {
namespace {

// Whether the worker's process contributed to the outcome; a client that disconnects, for example, gives no
// information on the worker.
bool isFromWorker(AttemptResult result) {
  return result == AttemptResult::ok || result == AttemptResult::error ||
         result == AttemptResult::overloaded || result == AttemptResult::reset;
}

}  // namespace

bool WorkerFeedback::processOutcome(UpstreamWorker& worker, Time now, RequestClass& requestClass,
                                    const AttemptOutcome& outcome) {
  const AttemptResult result = outcome.result;
  if (worker.inFlight > 0) --worker.inFlight;
  concurrencyLimit_.recordAttemptEnded();
  if (isFromWorker(result)) worker.lastResponseAt = now;
  if (!outcome.loadReport.empty()) loadReports_.record(worker, now, outcome.loadReport, workers_.size());
  updateLimits(worker, now, timingOf(outcome, requestClass.settings.latencyObjectiveMs));
  if (result == AttemptResult::overloaded) pauseOverloaded(worker, now);
  const bool indicatesHealth = result != AttemptResult::overloaded && result != AttemptResult::cancelled &&
                               result != AttemptResult::notSent;
  if (!indicatesHealth) return false;
  if (result == AttemptResult::ok) classes_.recordLatency(requestClass, now, outcome.latencyMs);
  outliers_.recordLatency(worker, now, result, outcome.latencyMs, requestClass.usualLatencyMs());
  if (result != AttemptResult::ok) return OutlierDetection::recordFailure(worker, now);
  recordSuccess(worker, now);
  return false;
}

// Late answers of a worker that is slow for its machine type or warming up do not indicate overload of all
// workers together.
void WorkerFeedback::updateLimits(UpstreamWorker& worker, Time now, OutcomeTiming timing) {
  updateWorkerLimit(worker, now, timing);
  const bool isWorkerSpecific =
      timing.isLate && (outliers_.isSlowForItsType(worker) || !slowStart_.isWarm(worker, now));
  concurrencyLimit_.update(now, timing, isWorkerSpecific);
}

// Slow start is updated first, so that the answer that ends an ejection does not yet count its worker among
// the warm ones.
void WorkerFeedback::recordSuccess(UpstreamWorker& worker, Time now) {
  slowStart_.recordSuccess(worker, now, workers_.all());
  OutlierDetection::recordSuccess(worker);
  resetOverloadPause(worker);
}

}  // namespace wingslip::decision
