/// Outlier detection: workers that are slow beside their machine type, fail in a row, or have gone silent.
#pragma once

#include <map>

#include "decision/request_class.hpp"
#include "decision/upstream_worker.hpp"

namespace wingslip::decision {

/// What it is made with outlives it.
class OutlierDetection {
 public:
  explicit OutlierDetection(RequestClasses& classes) : classes_(classes) {}

  /// Latency over the class's usual, as far as the worker's few answers tell against those of its type.
  double slowness(const UpstreamWorker& worker) const {
    const auto found = typeSlowness_.find(worker.endpoint.machineType);
    const double usual = found == typeSlowness_.end() ? 1 : found->second;
    return (kTypeWeight * usual + worker.latencyRatioSum) / (kTypeWeight + worker.latencyRatioCount);
  }
  /// Slow beside its type: its late answers tell of itself, not of what the workers bear together.
  bool isSlowForItsType(const UpstreamWorker& worker) const;
  /// Used only where there is no other.
  bool shouldAvoid(const UpstreamWorker& worker, Time now) {
    return worker.isEjected(now) || (worker.ejectionMs > 0 && worker.inFlight > 0) || isSilent(worker, now);
  }

  /// An answer or a time-out after `latencyMs`, where the class usually takes `usualLatencyMs`.
  void noteLatency(UpstreamWorker& worker, Time now, AttemptResult result, Time latencyMs,
                   Time usualLatencyMs);
  static void noteSuccess(UpstreamWorker& worker);
  /// @return whether the worker is ejected by it.
  [[nodiscard]] static bool noteFailure(UpstreamWorker& worker, Time now);

 private:
  static constexpr double kTypeWeight = 1;  ///< answers that the type's slowness counts for
  /// Usual latencies without an answer, after which a worker with several attempts in flight is silent.
  static constexpr double kSilenceLatencies = 3;

  // Cut off, paused or dead, whatever the list says, and seen long before the time-outs. A single attempt may
  // be very long, so it takes two.
  bool isSilent(const UpstreamWorker& worker, Time now) {
    if (worker.inFlight < 2) return false;
    return now - worker.lastHeardAt > kSilenceLatencies * classes_.longestLatencyMs();
  }

  RequestClasses& classes_;
  std::map<unsigned, double> typeSlowness_;  // by machine type
};

}  // namespace wingslip::decision
