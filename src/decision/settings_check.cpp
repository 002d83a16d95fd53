/// Validation of the decision module's settings: what every other module of this folder relies on.
#include "decision/settings_check.hpp"

#include <stdexcept>
#include <string>

namespace wingslip::decision {
namespace {

void require(bool holds, const char* what) {
  if (!holds) throw std::invalid_argument(std::string("settings: ") + what);
}

template <class... Figures>
bool allFiniteNonNegative(Figures... figures) {
  return (isFiniteNonNegative(figures) && ...);
}

void checkClass(const ClassSettings& item) {
  require(allFiniteNonNegative(item.latencyObjectiveMs, item.deadlineMs, item.idempotencyWindowMs,
                               item.priorityWeight, item.lateAnswerValue),
          "a class's figure is negative or not finite");
}

void checkPlan(const PlanSettings& item) {
  require(allFiniteNonNegative(item.rate, item.burst, item.ceilingRate, item.ceilingBurst, item.ceilingSlack,
                               item.price, item.overQuotaValue, item.overQuotaCost),
          "a plan's figure is negative or not finite");
}

}  // namespace

void checkSettings(const Settings& settings) {
  require(settings.gatewayCount >= 1 && settings.gatewayIndex < settings.gatewayCount,
          "gateway number out of range");
  require(!settings.classes.empty(), "no classes");
  require(!settings.plans.empty(), "no plans");
  require(allFiniteNonNegative(settings.quotaReadingPeriodMs, settings.slowStartMs, settings.drainGraceMs,
                               settings.maxRetryAfterMs, settings.slowStartShare, settings.overloadMultiple,
                               settings.overloadWindowMs, settings.maxUnits, settings.crossZonePrice,
                               settings.pollTimeoutMs),
          "a figure is negative or not finite");
  for (const ClassSettings& item : settings.classes) checkClass(item);
  for (const PlanSettings& item : settings.plans) checkPlan(item);
}

}  // namespace wingslip::decision
