/// Load balancing: deterministic subsetting, then the worker of lowest cost.
#pragma once

#include "decision/load_report.hpp"
#include "decision/outlier_detection.hpp"
#include "decision/pending_request.hpp"
#include "decision/random.hpp"
#include "decision/slow_start.hpp"
#include "decision/worker_table.hpp"

namespace wingslip::decision {

/// Picks the worker of each attempt. The constructor's arguments must outlive it.
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

  /// Marks the workers of this gateway's subset. To be called after each change of the endpoint list, the
  /// number of gateways or this gateway's index.
  void assignSubset();
  /// Returns the eligible worker of lowest cost, or null if there is none. A worker to avoid, see
  /// OutlierDetection::shouldAvoid, is practically picked only if no other is eligible.
  [[nodiscard]] UpstreamWorker* pick(Time now, const PendingRequest& pending);

 private:
  // Inline for speed, since they run for each worker of each request; defined in the source file, their only
  // user.
  inline bool isEligible(UpstreamWorker& worker, Time now, const PendingRequest& pending,
                         double capacityShare);
  inline double cost(const UpstreamWorker& worker, Time now, const PendingRequest& pending,
                     double capacityShare);
  unsigned chooseSubsetCount(unsigned workerCount) const;

  const Settings& settings_;
  Random& random_;
  WorkerTable& workers_;
  OutlierDetection& outliers_;
  const SlowStart& slowStart_;
  const LoadReports& loadReports_;
  unsigned subsetCount_ = 1;  // number of subsets into which the workers are divided
};

}  // namespace wingslip::decision
