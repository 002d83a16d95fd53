/// Choice of a worker: deterministic subsetting, then the least cost.
#pragma once

#include "decision/load_report.hpp"
#include "decision/outlier_detection.hpp"
#include "decision/pending_request.hpp"
#include "decision/random.hpp"
#include "decision/slow_start.hpp"
#include "decision/worker_table.hpp"

namespace wingslip::decision {

/// What it is made with outlives it.
class LoadBalancer {
 public:
  LoadBalancer(const Settings& settings, Random& random, WorkerTable& workers, OutlierDetection& outliers,
               const SlowStart& slowStart, const LoadReports& loadReports)
      : settings_(settings),
        random_(random),
        workers_(workers),
        outliers_(outliers),
        slowStart_(slowStart),
        loadReports_(loadReports) {}

  /// Marks the workers of this gateway's subset; after each change of the list or of the gateways.
  void assignSubset();
  /// The worker that costs least among those that may be sent to; null where there is none. Ejected and
  /// silent ones serve where no other is.
  [[nodiscard]] UpstreamWorker* pick(Time now, const PendingRequest& pending);

 private:
  // Inline in the source file, which alone uses them: they run for each worker of each request.
  inline bool mayBeSentTo(UpstreamWorker& worker, Time now, const PendingRequest& pending,
                          double capacityShare);
  inline double cost(const UpstreamWorker& worker, Time now, const PendingRequest& pending,
                     double capacityShare);
  unsigned subsetsFor(unsigned workerCount) const;

  const Settings& settings_;
  Random& random_;
  WorkerTable& workers_;
  OutlierDetection& outliers_;
  const SlowStart& slowStart_;
  const LoadReports& loadReports_;
  unsigned subsets_ = 1;  // into which the workers are divided among the gateways
};

}  // namespace wingslip::decision
