/// Settings of the decision module, in its own terms. `src/settings/` maps the settings' own words to them.
#pragma once

#include <string>
#include <vector>

#include "wingslip/decision/types.hpp"

namespace wingslip::decision {

/// A class of requests.
struct ClassSettings {
  std::string name;             ///< tells a class apart over changed settings
  Time latencyObjectiveMs = 0;  ///< an answer within this earns its full value
  Time deadlineMs = 0;          ///< what a client waits in all
  Idempotency idempotency = Idempotency::notIdempotent;
  DeduplicationScope deduplicationScope = DeduplicationScope::all;  ///< with a key: who recognises it
  Time idempotencyWindowMs = 0;                                     ///< with a key: for how long
  double priorityWeight = 1;                                        ///< value of one unit of work
  double lateAnswerValue = 0;  ///< share of the value that an answer past the objective earns
};

/// What a customer has paid for.
struct PlanSettings {
  std::string name;
  double rate = 0;             ///< units per second over all gateways; 0: no quota on the rate
  double burst = 0;            ///< units that may be saved up
  unsigned maxConcurrent = 0;  ///< attempts in flight over all gateways; 0: no such cap
  double ceilingRate = 0;      ///< units per second that are never exceeded; 0: no hard ceiling
  double ceilingBurst = 0;     ///< units
  double ceilingSlack = 0;     ///< share; checked, not used
  double price = 1;            ///< factor on the value of its requests
  double overQuotaValue = 0;   ///< share of its value that work beyond the quota earns
  double overQuotaCost = 0;    ///< share of its value that it costs
};

/// All settings of one gateway.
struct Settings {
  unsigned gatewayIndex = 0;
  unsigned gatewayCount = 1;
  unsigned zone = 0;
  std::vector<ClassSettings> classes;
  std::vector<PlanSettings> plans;
  std::vector<std::string> loadReportFields;  ///< names of the figures of a load report, in order
  bool pollsEndpoints = false;                ///< the list of workers comes only when it is asked for
  Time pollTimeoutMs = 0;                     ///< checked, not used
  unsigned maxAttempts = 1;                   ///< of one request
  Time maxRetryAfterMs = 0;                   ///< 0: no limit
  Time quotaReadingPeriodMs = 0;              ///< 0: answers carry no readings of a customer's quota
  bool correctsUnits = false;                 ///< units of a request are an estimate that its answer corrects
  double maxUnits = 1;                        ///< of one request
  /// How late the list may say that a worker drains. The decisions stop sending at once; the endpoint watch
  /// and the invariants go by it.
  Time drainGraceMs = 0;
  double slowStartShare = 1;    ///< of its capacity, what a worker has when it starts
  Time slowStartMs = 0;         ///< until it has all of it
  double overloadMultiple = 1;  ///< of its capacity, what a warming worker bears within the window
  Time overloadWindowMs = 0;
  double crossZonePrice = 0;  ///< share of its value that an attempt in another zone costs
};

}  // namespace wingslip::decision
