/// Outlier detection: processes the latencies and failures of attempts.
#include "decision/outlier_detection.hpp"

#include <algorithm>

#include "decision/decay.hpp"

namespace wingslip::decision {
namespace {

constexpr Time kLatencyTimeConstantMs = 30000;
constexpr double kLatencyRetention = 0.8;   // factor on the weight of earlier samples at each new one
constexpr double kMaxLatencyRatio = 20;     // upper bound on one sample, in usual latencies
constexpr double kTypeSampleWeight = 0.02;  // weight of one sample in the slowness of its machine type
// A worker is slow above this multiple of its machine type's slowness.
constexpr double kSlowOutlierFactor = 2;
// At 1, one lost packet per worker would eject all workers.
constexpr unsigned kConsecutiveFailuresToEject = 2;
constexpr Time kMinEjectionMs = 1000;  // doubles with each further failure
constexpr Time kMaxEjectionMs = 8000;

}  // namespace

bool OutlierDetection::isSlowForItsType(const UpstreamWorker& worker) const {
  const auto found = typeSlowness_.find(worker.endpoint.machineType);
  return found != typeSlowness_.end() && slowness(worker) > kSlowOutlierFactor * found->second;
}

void OutlierDetection::recordLatency(UpstreamWorker& worker, Time now, AttemptResult result, Time latencyMs,
                                     Time usualLatencyMs) {
  const double ratio = std::min(kMaxLatencyRatio, latencyMs / usualLatencyMs);
  // An error may be answered quickly, so its latency is not used. A timeout is only a lower bound on the
  // latency, so it is used only where it exceeds the present estimate.
  const bool hasLatencySample =
      result == AttemptResult::ok || (result == AttemptResult::timeout && ratio > slowness(worker));
  if (!hasLatencySample) return;
  const double retention =
      kLatencyRetention * decayFactor(now - worker.latencyRatioAt, kLatencyTimeConstantMs);
  worker.latencyRatioSum = retention * worker.latencyRatioSum + ratio;
  worker.latencyRatioCount = retention * worker.latencyRatioCount + 1;
  worker.latencyRatioAt = now;
  double& slownessOfType = typeSlowness_.try_emplace(worker.endpoint.machineType, 1).first->second;
  slownessOfType += kTypeSampleWeight * (ratio - slownessOfType);
}

void OutlierDetection::recordSuccess(UpstreamWorker& worker) {
  worker.consecutiveFailures = 0;
  worker.ejectionMs = 0;
  worker.ejectedUntil = 0;
}

bool OutlierDetection::recordFailure(UpstreamWorker& worker, Time now) {
  if (++worker.consecutiveFailures < kConsecutiveFailuresToEject) return false;
  worker.ejectionMs = std::clamp(2 * worker.ejectionMs, kMinEjectionMs, kMaxEjectionMs);
  worker.ejectedUntil = now + worker.ejectionMs;
  return true;
}

}  // namespace wingslip::decision
