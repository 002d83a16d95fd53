/// Slow start: limits the attempts at a worker that has recently started, or been included again after an
/// exclusion, until it has its full capacity.
#pragma once

#include <algorithm>
#include <vector>

#include "decision/upstream_worker.hpp"

namespace wingslip::decision {

/// Limits this gateway's rate of attempts at a warming worker to the worker's capacity share of the rate of
/// successful answers that this gateway gets from a warm worker, less a safety margin. A gateway sends
/// nothing to a warming worker outside its subset. Since every gateway does so, all of them together stay
/// below the warming worker's share of a warm worker's throughput, even while clients retry many times. The
/// rate of a warm worker is taken to be at least this gateway's part of Settings::overloadMultiple requests
/// per overload window; this rate does not overload even a worker that processes only one request per window.
class SlowStart {
 public:
  /// Refers to the settings, which must outlive it.
  explicit SlowStart(const Settings& settings) : settings_(settings) {}

  /// The worker's assumed share of its full capacity. It grows linearly from Settings::slowStartInitialShare
  /// at its start, or at the end of its exclusion, to 1 after Settings::slowStartMs; 1 if neither time is
  /// known.
  double capacityShare(const UpstreamWorker& worker, Time now) const {
    const Time startedAt = std::max(worker.endpoint.startedAt, worker.reincludedAt);
    if (startedAt <= 0 || settings_.slowStartMs <= 0) return 1;
    const double progress = std::clamp((now - startedAt) / settings_.slowStartMs, 0.0, 1.0);
    return settings_.slowStartInitialShare + (1 - settings_.slowStartInitialShare) * progress;
  }
  /// Whether the worker has its full capacity.
  bool isWarm(const UpstreamWorker& worker, Time now) const { return capacityShare(worker, now) >= 1; }

  /// Whether a warming worker may be sent an attempt now. Refills its tokens up to `now`; false for a worker
  /// outside this gateway's subset.
  /// @param capacityShare the worker's capacity share, below 1.
  /// @param subsetCount number of subsets into which the workers are divided.
  bool hasBudget(UpstreamWorker& worker, Time now, double capacityShare, unsigned subsetCount) const;
  /// Takes the token of one attempt.
  static void consumeToken(UpstreamWorker& worker) { worker.warmUpTokens -= 1; }

  /// Records a successful answer of `worker`, which is an element of `workers`. An answer of a warming worker
  /// has no effect.
  void recordSuccess(const UpstreamWorker& worker, Time now, const std::vector<UpstreamWorker>& workers);

  /// Successful answers per ms that this gateway gets from one warm worker. While no worker is warm, as in a
  /// release that replaces all of them, it decays from the last known rate.
  double warmWorkerRate(Time now) const;
  /// Sets the rate to that of the previous process in a handover; a negative or non-finite rate is
  /// ignored.
  void seedWarmWorkerRate(Time now, double ratePerMs);

 private:
  const Settings& settings_;
  double warmRatePerMs_ = 0;      // successful answers per ms of all warm workers
  unsigned warmWorkers_ = 0;      // warm workers in this gateway's subset, ready and not ejected
  double ratePerWarmWorker_ = 0;  // successful answers per ms of one warm worker
  Time updatedAt_ = 0;
};

}  // namespace wingslip::decision
