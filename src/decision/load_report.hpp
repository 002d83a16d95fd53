/// Load reports: what the other gateways have in flight at each worker, by what the workers answer.
#pragma once

#include <cstddef>
#include <vector>

#include "decision/decay.hpp"
#include "decision/upstream_worker.hpp"

namespace wingslip::decision {

/// Reads the settings it is made with, which outlive it.
class LoadReports {
 public:
  explicit LoadReports(const Settings& settings) : settings_(settings) {}

  /// A report on an answer, its figures in the order of the settings' field names.
  void note(UpstreamWorker& worker, Time now, const std::vector<double>& report, std::size_t workerCount);

  /// Attempts in flight at the worker, of all gateways; without reports it comes to count as the mean.
  double load(const UpstreamWorker& worker, Time now) const {
    return worker.inFlight + approach(worker.othersInFlight, meanOthers_, now - worker.othersAt, kValidMs);
  }

 private:
  static constexpr Time kValidMs = 2400;  ///< in which a worker's last report gives way to the mean

  const Settings& settings_;
  double meanOthers_ = 0;  // attempts of the other gateways at a worker
};

}  // namespace wingslip::decision
