/// What the outcome of an attempt tells of its worker, and of what all workers bear.
#pragma once

#include "decision/concurrency_limit.hpp"
#include "decision/load_report.hpp"
#include "decision/outlier_detection.hpp"
#include "decision/request_class.hpp"
#include "decision/slow_start.hpp"
#include "decision/worker_table.hpp"

namespace wingslip::decision {

/// Passes each outcome to the modules that learn from it, in a fixed order. What it is made with outlives it.
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

  /// @param requestClass of the request, which need not be in force any more.
  /// @return whether the worker is ejected by it.
  [[nodiscard]] bool note(UpstreamWorker& worker, Time now, RequestClass& requestClass,
                          const AttemptOutcome& outcome);

 private:
  void steerLimits(UpstreamWorker& worker, Time now, AnswerTiming timing);
  void noteGoodAnswer(UpstreamWorker& worker, Time now);

  RequestClasses& classes_;
  const WorkerTable& workers_;
  OutlierDetection& outliers_;
  SlowStart& slowStart_;
  LoadReports& loadReports_;
  GatewayConcurrencyLimit& concurrencyLimit_;
};

}  // namespace wingslip::decision
