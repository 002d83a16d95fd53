/// The decision module's log: few lines, each bounded.
#pragma once

#include "wingslip/decision/gateway.hpp"

namespace wingslip::decision {

/// Workers that are ready, and what keeps some of them from being used.
struct ReadyWorkerCounts {
  unsigned ready = 0;
  unsigned ejected = 0;
  unsigned warmingUp = 0;
  unsigned overloaded = 0;
};

/// What the rejections of a summary were decided by.
struct DecisionFigures {
  double unknownCustomerReach = 0;
  double concurrencyLimit = 0;
  unsigned attemptsInFlight = 0;
  double workerShortage = 0;
  ReadyWorkerCounts workers;
};

/// What it is made with outlives it.
class DecisionLog {
 public:
  DecisionLog(Actions& actions, Time now) : actions_(actions), summaryAt_(now) {}

  /// A line on one event; dropped where the last one was a moment ago.
  void note(Time now, const char* line);
  bool isSummaryDue(Time now) const { return now - summaryAt_ >= kSummaryIntervalMs; }
  /// What was rejected since the last summary and why, so that a log tells the causes apart.
  void summarize(Time now, const RejectionCounts& counts, const DecisionFigures& figures);

 private:
  static constexpr Time kMinIntervalMs = 2000;  ///< between lines on events
  static constexpr Time kSummaryIntervalMs = 5000;

  Actions& actions_;
  Time notedAt_ = -kMinIntervalMs;
  Time summaryAt_;
  RejectionCounts atLastSummary_;
};

}  // namespace wingslip::decision
