/// What the outcome of an attempt tells: limits, latency, failures.
#include "decision/worker_feedback.hpp"

namespace wingslip::decision {
namespace {

// Whether the worker's process had a part in this end: a client that leaves says nothing of it.
bool isFromWorker(AttemptResult result) {
  return result == AttemptResult::ok || result == AttemptResult::error ||
         result == AttemptResult::overloaded || result == AttemptResult::reset;
}

}  // namespace

bool WorkerFeedback::note(UpstreamWorker& worker, Time now, RequestClass& requestClass,
                          const AttemptOutcome& outcome) {
  const AttemptResult result = outcome.result;
  if (worker.inFlight > 0) --worker.inFlight;
  concurrencyLimit_.noteAttemptEnded();
  if (isFromWorker(result)) worker.lastHeardAt = now;
  if (!outcome.loadReport.empty()) loadReports_.note(worker, now, outcome.loadReport, workers_.size());
  steerLimits(worker, now, timingOf(outcome, requestClass.settings.latencyObjectiveMs));
  if (result == AttemptResult::overloaded) pauseOverloaded(worker, now);
  const bool tellsOfHealth = result != AttemptResult::overloaded && result != AttemptResult::cancelled &&
                             result != AttemptResult::notSent;
  if (!tellsOfHealth) return false;
  if (result == AttemptResult::ok) classes_.noteLatency(requestClass, now, outcome.latencyMs);
  outliers_.noteLatency(worker, now, result, outcome.latencyMs, requestClass.usualLatencyMs());
  if (result != AttemptResult::ok) return OutlierDetection::noteFailure(worker, now);
  noteGoodAnswer(worker, now);
  return false;
}

// Late answers of a worker that is slow by itself or warming up say nothing of what all workers bear.
void WorkerFeedback::steerLimits(UpstreamWorker& worker, Time now, AnswerTiming timing) {
  steerWorkerLimit(worker, now, timing);
  const bool tellsOfWorkerOnly =
      timing.isLate && (outliers_.isSlowForItsType(worker) || !slowStart_.isWarm(worker, now));
  concurrencyLimit_.steer(now, timing, tellsOfWorkerOnly);
}

// Slow start first: an ejected worker does not count as warm for the answer that ends its ejection.
void WorkerFeedback::noteGoodAnswer(UpstreamWorker& worker, Time now) {
  slowStart_.noteGoodAnswer(worker, now, workers_.all());
  OutlierDetection::noteSuccess(worker);
  resetOverloadPause(worker);
}

}  // namespace wingslip::decision
