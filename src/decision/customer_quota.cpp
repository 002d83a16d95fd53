/// A customer's quota at this gateway: refilling, spending, readings.
#include "decision/customer_quota.hpp"

#include <algorithm>

#include "decision/concurrency_cap.hpp"
#include "decision/decay.hpp"

namespace wingslip::decision {
namespace {

// Time in which the admit fraction recovers from 0 to 1 without readings, and at least this many usual gaps
// between readings, where they come rarely.
constexpr Time kFractionRecoveryMs = 5000;
constexpr double kFractionRecoveryGaps = 3;
constexpr double kFractionValidPeriods = 2;  // reading periods after the last reading
constexpr double kMaxCreditRequests = 1.5;   // usual requests that the admit credit saves up
constexpr double kNewReadingPeriods = 0.3;   // reading periods after which another value is a new reading
constexpr double kReadingGapMemory = 3;      // readings

}  // namespace

void CustomerQuota::advance(Customer& customer, Time now) const {
  const PlanSettings& plan = planOf(customer);
  const Time elapsedMs = std::max(0.0, now - customer.advancedAt);
  const double seconds = elapsedMs / 1000;
  customer.localTokens = std::min(plan.burst, customer.localTokens + plan.rate * seconds);
  customer.ceilingTokens =
      std::min(plan.ceilingBurst / customer.customerGateways,
               customer.ceilingTokens + plan.ceilingRate * seconds / customer.customerGateways);
  const double othersUnits = fleet_.refill(customer, elapsedMs);
  recoverAdmitFraction(customer, now, elapsedMs);
  concurrency_cap::advance(customer, elapsedMs);
  customer.admitCredit = std::min(kMaxCreditRequests * customer.requestUnits,
                                  customer.admitCredit + plan.rate * FleetQuota::share(customer) * seconds);
  fleet_.advanceHistory(customer, now, othersUnits);
  customer.advancedAt = std::max(customer.advancedAt, now);
}

// A gateway that admits nothing gets no readings: without recovery it would reject for ever.
void CustomerQuota::recoverAdmitFraction(Customer& customer, Time now, Time elapsedMs) const {
  if (now - customer.readingAt <= kFractionValidPeriods * settings_.quotaReadingPeriodMs) return;
  const Time recoveryMs = std::max(kFractionRecoveryMs, kFractionRecoveryGaps * customer.readingGapMs);
  customer.admitFraction = std::min(1.0, customer.admitFraction + elapsedMs / recoveryMs);
  concurrency_cap::fadeFleetMean(customer, elapsedMs);
}

// What was metered against the old rate says nothing of the new one.
void CustomerQuota::changePlan(Customer& customer, unsigned planIndex) const {
  const PlanSettings& plan = settings_.plans[planIndex];
  customer.planIndex = planIndex;
  customer.localTokens = std::min(customer.localTokens, plan.burst);
  customer.fleetTokens = std::min(customer.fleetTokens, plan.burst);
  customer.ceilingTokens = std::min(customer.ceilingTokens, plan.ceilingBurst / customer.customerGateways);
  customer.readingPercent = -1;
  customer.admitFraction = 1;
}

void CustomerQuota::debit(Customer& customer, double units) {
  customer.localTokens -= units;
  customer.ceilingTokens -= units;
  customer.fleetTokens -= units;
  customer.history.ownUnits[customer.history.newest()] += units;
}

void CustomerQuota::creditBack(Customer& customer, Time now, double units) const {
  advance(customer, now);
  const PlanSettings& plan = planOf(customer);
  customer.localTokens = std::min(plan.burst, customer.localTokens + units);
  customer.fleetTokens = std::min(plan.burst, customer.fleetTokens + units);
}

void CustomerQuota::noteAttemptStarted(Customer& customer, Time now) const {
  advance(customer, now);
  ++customer.attemptsInFlight;
}

void CustomerQuota::noteAttemptEnded(Customer& customer, Time now) const {
  if (customer.attemptsInFlight == 0) return;
  advance(customer, now);
  --customer.attemptsInFlight;
}

bool CustomerQuota::isNewReading(const Customer& customer, Time sinceLastMs, int percent) const {
  if (customer.readingPercent < 0) return true;
  if (sinceLastMs >= settings_.quotaReadingPeriodMs) return true;
  return percent != customer.readingPercent &&
         sinceLastMs >= kNewReadingPeriods * settings_.quotaReadingPeriodMs;
}

void CustomerQuota::noteReading(Customer& customer, Time now, int percent) const {
  const Time sinceLastMs = now - customer.readingAt;
  if (!isNewReading(customer, sinceLastMs, percent)) return;
  customer.readingGapMs = customer.readingPercent < 0
                              ? sinceLastMs
                              : approach(customer.readingGapMs, sinceLastMs, 1, kReadingGapMemory);
  customer.readingPercent = percent;
  customer.readingAt = now;
  advance(customer, now);
  const PlanSettings& plan = planOf(customer);
  if (plan.rate <= 0)
    concurrency_cap::noteReading(customer, plan, percent);
  else
    fleet_.correct(customer, percent);
}

}  // namespace wingslip::decision
