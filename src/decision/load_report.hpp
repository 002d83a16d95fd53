/// Load reports: the other gateways' attempts in flight at each worker, estimated from figures in the
/// workers' answers.
#pragma once

#include <cstddef>
#include <vector>

#include "decision/decay.hpp"
#include "decision/upstream_worker.hpp"

namespace wingslip::decision {

/// Estimates the load of each worker. Refers to the settings, which must outlive it.
class LoadReports {
 public:
  explicit LoadReports(const Settings& settings) : settings_(settings) {}

  /// Processes the load report of an answer.
  /// @param report the figures, in the order of Settings::loadReportFields.
  /// @param workerCount number of workers, the window of the mean over all workers, in reports.
  void record(UpstreamWorker& worker, Time now, const std::vector<double>& report, std::size_t workerCount);

  /// Estimated attempts in flight at the worker, of all gateways. Without new reports, the other gateways'
  /// part approaches the mean over all workers.
  double load(const UpstreamWorker& worker, Time now) const {
    return worker.inFlight + decayedAverage(worker.othersInFlight, meanOthersInFlight_,
                                            now - worker.othersInFlightAt, kExpiryTimeConstantMs);
  }

 private:
  /// Time constant of the transition from a worker's last report to the mean.
  static constexpr Time kExpiryTimeConstantMs = 2400;

  const Settings& settings_;
  double meanOthersInFlight_ = 0;  // mean over all workers of the other gateways' attempts at one worker
};

}  // namespace wingslip::decision
