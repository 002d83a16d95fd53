/// Outlier detection: learning from latencies and failures.
#include "decision/outlier_detection.hpp"

#include <algorithm>

#include "decision/decay.hpp"

namespace wingslip::decision {
namespace {

constexpr Time kLatencyMemoryMs = 30000;
constexpr double kLatencyKeep = 0.8;        // of the older answers, at each new one
constexpr double kMaxLatencyRatio = 20;     // usual latencies that one answer counts for
constexpr double kTypeAnswerWeight = 0.02;  // of an answer in its type's slowness
constexpr double kSlowOutlierFactor = 2;    // times its type's slowness
constexpr unsigned kFailuresToEject = 2;    // in a row; at 1 a single lost packet empties the pool
constexpr Time kMinEjectionMs = 1000;       // doubles while the worker keeps failing
constexpr Time kMaxEjectionMs = 8000;

}  // namespace

bool OutlierDetection::isSlowForItsType(const UpstreamWorker& worker) const {
  const auto found = typeSlowness_.find(worker.endpoint.machineType);
  return found != typeSlowness_.end() && slowness(worker) > kSlowOutlierFactor * found->second;
}

void OutlierDetection::noteLatency(UpstreamWorker& worker, Time now, AttemptResult result, Time latencyMs,
                                   Time usualLatencyMs) {
  const double ratio = std::min(kMaxLatencyRatio, latencyMs / usualLatencyMs);
  // An error may come fast; a time-out says only that the answer takes longer than that.
  const bool tellsLatency =
      result == AttemptResult::ok || (result == AttemptResult::timeout && ratio > slowness(worker));
  if (!tellsLatency) return;
  const double keep = kLatencyKeep * decayFactor(now - worker.latencyRatioAt, kLatencyMemoryMs);
  worker.latencyRatioSum = keep * worker.latencyRatioSum + ratio;
  worker.latencyRatioCount = keep * worker.latencyRatioCount + 1;
  worker.latencyRatioAt = now;
  double& ofType = typeSlowness_.try_emplace(worker.endpoint.machineType, 1).first->second;
  ofType += kTypeAnswerWeight * (ratio - ofType);
}

void OutlierDetection::noteSuccess(UpstreamWorker& worker) {
  worker.failuresInRow = 0;
  worker.ejectionMs = 0;
  worker.ejectedUntil = 0;
}

bool OutlierDetection::noteFailure(UpstreamWorker& worker, Time now) {
  if (++worker.failuresInRow < kFailuresToEject) return false;
  worker.ejectionMs = std::clamp(2 * worker.ejectionMs, kMinEjectionMs, kMaxEjectionMs);
  worker.ejectedUntil = now + worker.ejectionMs;
  return true;
}

}  // namespace wingslip::decision
