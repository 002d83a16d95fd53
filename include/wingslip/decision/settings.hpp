/// Settings of the decision module. `src/settings/` maps the keys of the configuration to them.
#pragma once

#include <string>
#include <vector>

#include "wingslip/decision/types.hpp"

namespace wingslip::decision {

/// Settings of a request class.
struct ClassSettings {
  std::string name;             ///< identifies the class when the settings change
  Time latencyObjectiveMs = 0;  ///< an answer within this time has its full value
  Time deadlineMs = 0;          ///< total time that a client waits for the answer
  Idempotency idempotency = Idempotency::notIdempotent;
  /// For Idempotency::withKey: workers that recognise a repeated key.
  DeduplicationScope deduplicationScope = DeduplicationScope::all;
  Time idempotencyWindowMs = 0;  ///< for Idempotency::withKey: time for which a key is recognised
  double priorityWeight = 1;     ///< value of one unit of work
  double lateAnswerValue = 0;  ///< value of an answer later than the objective, as a share of its full value
};

/// Settings of a plan: the quotas of its customers and the value of their work.
struct PlanSettings {
  std::string name;            ///< identifies the plan when the settings change
  double rate = 0;             ///< units per second over all gateways; 0: no rate quota
  double burst = 0;            ///< units; capacity of the token bucket
  unsigned maxConcurrent = 0;  ///< attempts in flight per customer over all gateways; 0: no cap
  double ceilingRate = 0;      ///< units per second over all gateways, never to be exceeded; 0: no ceiling
  double ceilingBurst = 0;     ///< units; capacity of the hard ceiling's token bucket
  double ceilingSlack = 0;     ///< tolerated excess over the hard ceiling, as a share; validated, not used
  double price = 1;            ///< factor of the value of the customers' requests
  double overQuotaValue = 0;   ///< value of work beyond the quota, as a share of its value within the quota
  double overQuotaCost = 0;    ///< cost of work beyond the quota, as a share of its value within the quota
};

/// Settings of one gateway.
struct Settings {
  unsigned gatewayIndex = 0;  ///< below gatewayCount
  unsigned gatewayCount = 1;
  unsigned zone = 0;  ///< zone of this gateway
  std::vector<ClassSettings> classes;
  std::vector<PlanSettings> plans;
  std::vector<std::string> loadReportFields;  ///< names of the values of a load report, in order
  /// Whether the endpoint list is requested once with Actions::pollEndpoints, after which its changes follow
  /// without a request. Otherwise the list, too, is pushed without a request.
  bool pollsEndpoints = false;
  Time pollTimeoutMs = 0;    ///< time within which a requested list must arrive; validated, not used
  unsigned maxAttempts = 1;  ///< per request, including the first one
  /// Upper bound of the retry delay that a rejection advises; 0: none. A bound below 1 ms counts as 1 ms. It
  /// does not apply to the rejection of a malformed request.
  Time maxRetryAfterMs = 0;
  Time quotaReadingPeriodMs = 0;  ///< metering period of quota readings; 0: answers have no readings
  bool correctsUnits = false;     ///< a request's units are an estimate that its answer corrects
  double maxUnits = 1;            ///< upper bound of the units of a request; enforced by the host
  /// Time for which a draining worker may still be sent attempts, since the endpoint list reports the
  /// draining with a delay. The decisions do not use it: they stop sending to a draining worker immediately.
  /// The endpoint watch and the invariants allow for this delay.
  Time drainGraceMs = 0;
  double slowStartInitialShare = 1;  ///< share of its full capacity that a worker has when it starts
  Time slowStartMs = 0;              ///< time from a worker's start to its full capacity
  double overloadMultiple = 1;       ///< multiple of its capacity above which a warming worker is overloaded
  Time overloadWindowMs = 0;         ///< window over which overloadMultiple applies
  double crossZonePrice = 0;  ///< cost of an attempt in another zone, as a share of the request's value
};

}  // namespace wingslip::decision
