/// Slow start: what a worker that has just started is given until it has its full capacity.
#pragma once

#include <algorithm>
#include <vector>

#include "decision/upstream_worker.hpp"

namespace wingslip::decision {

/// Keeps this gateway's attempts at a warming worker under the worker's share of the good answers that a warm
/// one gives this gateway. Every gateway does so, so all together stay under the warming worker's share of
/// what a warm one can do, also while clients send again many times over. A gateway that knows no such rate
/// keeps to its part of what even a worker of one request per overload window bears.
class SlowStart {
 public:
  /// Reads the settings it is made with, which outlive it.
  explicit SlowStart(const Settings& settings) : settings_(settings) {}

  /// 1 for a warm worker, else the lower bound of its capacity that the settings give.
  double capacityShare(const UpstreamWorker& worker, Time now) const {
    const Time startedAt = std::max(worker.endpoint.startedAt, worker.includedAt);
    if (startedAt <= 0 || settings_.slowStartMs <= 0) return 1;
    const double progress = std::clamp((now - startedAt) / settings_.slowStartMs, 0.0, 1.0);
    return settings_.slowStartShare + (1 - settings_.slowStartShare) * progress;
  }
  bool isWarm(const UpstreamWorker& worker, Time now) const { return capacityShare(worker, now) >= 1; }

  /// Whether a warming worker may be given an attempt now; earns its tokens up to `now`.
  /// @param capacityShare of this worker, below 1.
  /// @param subsets into which the workers are divided among the gateways.
  bool hasBudget(UpstreamWorker& worker, Time now, double capacityShare, unsigned subsets) const;
  static void spendBudget(UpstreamWorker& worker) { worker.warmUpTokens -= 1; }

  /// A good answer of `worker`, one of `workers`.
  void noteGoodAnswer(const UpstreamWorker& worker, Time now, const std::vector<UpstreamWorker>& workers);

  /// Good answers per ms of a warm worker to this gateway, as remembered while a release leaves none warm.
  double warmWorkerRate(Time now) const;
  /// The same from the process that this one takes over from; a figure that makes no sense is left out.
  void seedWarmWorkerRate(Time now, double ratePerMs);

 private:
  const Settings& settings_;
  double warmRatePerMs_ = 0;  // good answers of all warm workers
  unsigned warmWorkers_ = 0;
  double ratePerWarmWorker_ = 0;  // per ms
  Time updatedAt_ = 0;
};

}  // namespace wingslip::decision
