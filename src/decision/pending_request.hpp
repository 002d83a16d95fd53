/// An admitted request without its final answer.
#pragma once

#include <vector>

#include "decision/request_class.hpp"
#include "wingslip/decision/gateway.hpp"

namespace wingslip::decision {

/// State of an admitted request that has no final answer yet.
struct PendingRequest {
  Request request;
  RequestClassPtr requestClass;
  PlanSettings plan;  ///< copied at admission, since changed settings may renumber the plans
  unsigned maxAttempts = 0;
  /// Time of arrival, replaced by the time of completion if the request was started on its header; the
  /// latency objective counts from it.
  Time arrivedAt = 0;
  unsigned attempts = 0;  ///< started so far
  bool hasAttemptInFlight = false;
  Time lastAttemptAt = 0;  ///< start of the last attempt, or the completion of the request if later
  std::vector<WorkerId> triedWorkers;  ///< in the order of the attempts
  bool responseStarted = false;        ///< the client is receiving the response
  bool mayHaveRun = false;             ///< a worker may have run one of its attempts
  /// Start of the first attempt that may have run, or the completion of the request if that came later during
  /// the attempt; the idempotency window counts from it.
  Time firstRunAt = 0;
  unsigned firstRunZone = 0;  ///< zone of that attempt's worker, for zone-wide deduplication
  unsigned firstRunCell = 0;  ///< cell of that attempt's worker, for cell-wide deduplication

  const ClassSettings& classSettings() const { return requestClass->settings; }
};

}  // namespace wingslip::decision
