/// Worker feedback: processes the outcome of an attempt for its worker and for the gateway's concurrency
/// limit.
#pragma once

#include "decision/concurrency_limit.hpp"
#include "decision/load_report.hpp"
#include "decision/outlier_detection.hpp"
#include "decision/request_class.hpp"
#include "decision/slow_start.hpp"
#include "decision/worker_table.hpp"

namespace wingslip::decision {

/// Passes each outcome to the modules that use it, in a fixed order. The constructor's arguments must outlive
/// it.
class WorkerFeedback {
 public:
  WorkerFeedback(RequestClasses& classes, const WorkerTable& workers, OutlierDetection& outliers,
                 SlowStart& slowStart, LoadReports& loadReports, GatewayConcurrencyLimit& concurrencyLimit)
      : classes_(classes),
        workers_(workers),
        outliers_(outliers),
        slowStart_(slowStart),
        loadReports_(loadReports),
        concurrencyLimit_(concurrencyLimit) {}

  /// Processes the outcome of an attempt at `worker`.
  /// @param requestClass class of the request, which may have been removed from the settings since.
  /// @return whether the outcome ejects the worker.
  [[nodiscard]] bool processOutcome(UpstreamWorker& worker, Time now, RequestClass& requestClass,
                                    const AttemptOutcome& outcome);

 private:
  void updateLimits(UpstreamWorker& worker, Time now, OutcomeTiming timing);
  void recordSuccess(UpstreamWorker& worker, Time now);

  RequestClasses& classes_;
  const WorkerTable& workers_;
  OutlierDetection& outliers_;
  SlowStart& slowStart_;
  LoadReports& loadReports_;
  GatewayConcurrencyLimit& concurrencyLimit_;
};

}  // namespace wingslip::decision
