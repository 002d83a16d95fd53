/// Outlier detection: finds workers that are slow for their machine type, fail consecutively or stop
/// answering.
#pragma once

#include <map>

#include "decision/request_class.hpp"
#include "decision/upstream_worker.hpp"

namespace wingslip::decision {

/// Detects outliers among the workers. The request classes must outlive it.
class OutlierDetection {
 public:
  explicit OutlierDetection(RequestClasses& classes) : classes_(classes) {}

  /// Mean ratio of the worker's latency to the usual latency of the request class; 1: as usual. The mean
  /// includes the slowness of the worker's machine type as kTypeWeight samples, so a worker without samples
  /// has that slowness.
  double slowness(const UpstreamWorker& worker) const {
    const auto found = typeSlowness_.find(worker.endpoint.machineType);
    const double slownessOfType = found == typeSlowness_.end() ? 1 : found->second;
    return (kTypeWeight * slownessOfType + worker.latencyRatioSum) / (kTypeWeight + worker.latencyRatioCount);
  }
  /// Whether the worker is slow for its machine type. Its late answers then indicate its own state, not
  /// overload of all workers together.
  bool isSlowForItsType(const UpstreamWorker& worker) const;
  /// Whether the worker is to be used only where there is no other: it is ejected, it is unresponsive, or it
  /// has been ejected since its last successful answer and has an attempt in flight already.
  bool shouldAvoid(const UpstreamWorker& worker, Time now) {
    return worker.isEjected(now) || (worker.ejectionMs > 0 && worker.inFlight > 0) ||
           isUnresponsive(worker, now);
  }

  /// Processes the latency of an attempt. Only a successful answer, or a timeout whose latency ratio exceeds
  /// the worker's slowness, has an effect.
  /// @param latencyMs latency of the answer, or the duration after which the attempt timed out.
  /// @param usualLatencyMs usual latency of the request class.
  void recordLatency(UpstreamWorker& worker, Time now, AttemptResult result, Time latencyMs,
                     Time usualLatencyMs);
  /// Ends the ejection and resets the count of failures.
  static void recordSuccess(UpstreamWorker& worker);
  /// Counts a failed attempt.
  /// @return whether this failure ejects the worker.
  [[nodiscard]] static bool recordFailure(UpstreamWorker& worker, Time now);

 private:
  static constexpr double kTypeWeight = 1;  ///< weight of the machine type's slowness, in samples
  /// A worker with at least two attempts in flight is unresponsive after this multiple of the largest mean
  /// latency of a request class without an answer.
  static constexpr double kUnresponsiveLatencies = 3;

  // Detects a worker that is partitioned, suspended or dead, regardless of its listed phase and long before
  // its attempts time out. A single attempt may take very long, so at least two have to be in flight.
  bool isUnresponsive(const UpstreamWorker& worker, Time now) {
    if (worker.inFlight < 2) return false;
    return now - worker.lastResponseAt > kUnresponsiveLatencies * classes_.largestMeanLatencyMs();
  }

  RequestClasses& classes_;
  std::map<unsigned, double> typeSlowness_;  // by machine type
};

}  // namespace wingslip::decision
