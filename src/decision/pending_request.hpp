/// An admitted request without its final answer.
#pragma once

#include <vector>

#include "decision/request_class.hpp"
#include "wingslip/decision/gateway.hpp"

namespace wingslip::decision {

struct PendingRequest {
  Request request;
  RequestClassPtr requestClass;
  PlanSettings plan;  ///< as it was at admission: changed settings may number plans anew
  unsigned maxAttempts = 0;
  Time arrivedAt = 0;
  unsigned attempts = 0;  ///< begun so far
  bool hasAttemptInFlight = false;
  Time lastAttemptAt = 0;
  std::vector<WorkerId> triedWorkers;  ///< in the order of the attempts
  bool responseStarted = false;        ///< its client has begun to get the answer
  bool mayHaveRun = false;             ///< some attempt may have
  Time firstRunAt = 0;                 ///< start of the first attempt that may have run
  unsigned firstRunZone = 0;           ///< and its worker's: where its idempotency key is remembered
  unsigned firstRunCell = 0;

  const ClassSettings& classSettings() const { return requestClass->settings; }
};

}  // namespace wingslip::decision
