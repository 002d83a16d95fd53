/// Validation of the decision module's settings; the other files of this directory rely on it.
#include "decision/settings_check.hpp"

#include <stdexcept>
#include <string>

namespace wingslip::decision {
namespace {

void require(bool condition, const char* message) {
  if (!condition) throw std::invalid_argument(std::string("settings: ") + message);
}

template <class... Values>
bool allFiniteNonNegative(Values... values) {
  return (isFiniteNonNegative(values) && ...);
}

void checkClass(const ClassSettings& requestClass) {
  require(
      allFiniteNonNegative(requestClass.latencyObjectiveMs, requestClass.deadlineMs,
                           requestClass.idempotencyWindowMs, requestClass.priorityWeight,
                           requestClass.lateAnswerValue),
      "latency objective, deadline, idempotency window, priority weight or late answer value of a request "
      "class is negative or not finite");
}

void checkPlan(const PlanSettings& plan) {
  require(
      allFiniteNonNegative(plan.rate, plan.burst, plan.ceilingRate, plan.ceilingBurst, plan.ceilingSlack,
                           plan.price, plan.overQuotaValue, plan.overQuotaCost),
      "rate, burst, ceiling rate, ceiling burst, ceiling slack, price, over-quota value or over-quota cost "
      "of a plan is negative or not finite");
}

}  // namespace

void checkSettings(const Settings& settings) {
  require(settings.gatewayCount >= 1 && settings.gatewayIndex < settings.gatewayCount,
          "gateway count is 0, or gateway index is not below the gateway count");
  require(!settings.classes.empty(), "there are no request classes");
  require(!settings.plans.empty(), "there are no plans");
  require(allFiniteNonNegative(settings.quotaReadingPeriodMs, settings.slowStartMs, settings.drainGraceMs,
                               settings.maxRetryAfterMs, settings.slowStartInitialShare,
                               settings.overloadMultiple, settings.overloadWindowMs, settings.maxUnits,
                               settings.crossZonePrice, settings.pollTimeoutMs),
          "a numeric setting outside request classes and plans is negative or not finite");
  for (const ClassSettings& requestClass : settings.classes) checkClass(requestClass);
  for (const PlanSettings& plan : settings.plans) checkPlan(plan);
}

}  // namespace wingslip::decision
