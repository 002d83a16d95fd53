/// Log of the decision module: rate-limited event lines and a periodic summary of rejections.
#pragma once

#include "wingslip/decision/gateway.hpp"

namespace wingslip::decision {

/// Ready workers, and how many of them are restricted for each reason; the reasons can overlap.
struct ReadyWorkerCounts {
  unsigned ready = 0;
  unsigned ejected = 0;
  unsigned warmingUp = 0;
  unsigned overloaded = 0;
};

/// State of the gateway at a summary, which explains its rejections.
struct DecisionGauges {
  double assumedBurstShare = 0;  ///< see UnknownCustomers::assumedBurstShare
  double concurrencyLimit = 0;   ///< of the gateway, in attempts
  unsigned attemptsInFlight = 0;
  double workerShortage = 0;  ///< see Admission::workerShortage
  ReadyWorkerCounts workers;
};

/// Writes log lines through Actions::log. `actions` must outlive the object.
class DecisionLog {
 public:
  DecisionLog(Actions& actions, Time now) : actions_(actions), lastSummaryAt_(now) {}

  /// Logs an event. Drops the line if less than kMinEventIntervalMs has passed since the last one.
  void logEvent(Time now, const char* line);
  bool isSummaryDue(Time now) const { return now - lastSummaryAt_ >= kSummaryIntervalMs; }
  /// Logs the rejections since the last summary by reason, with the state that led to them.
  void summarize(Time now, const RejectionCounts& counts, const DecisionGauges& gauges);

 private:
  static constexpr Time kMinEventIntervalMs = 2000;  ///< between event lines
  static constexpr Time kSummaryIntervalMs = 5000;

  Actions& actions_;
  Time lastEventAt_ = -kMinEventIntervalMs;
  Time lastSummaryAt_;
  RejectionCounts countsAtLastSummary_;
};

}  // namespace wingslip::decision
