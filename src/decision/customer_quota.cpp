/// A customer's quota at this gateway: refilling and debiting of the buckets, and quota readings.
#include "decision/customer_quota.hpp"

#include <algorithm>

#include "decision/concurrency_cap.hpp"
#include "decision/decay.hpp"

namespace wingslip::decision {
namespace {

// Without readings the admit fraction recovers from 0 to 1 within this time, or within this many mean
// intervals between readings if that is longer.
constexpr Time kFractionRecoveryMs = 5000;
constexpr double kFractionRecoveryIntervals = 3;
// Time after the last reading for which the admit fraction is valid, in reading periods.
constexpr double kFractionValidPeriods = 2;
constexpr double kMaxAdmitCreditRequests = 1.5;  // upper bound of the admit credit, in requests of mean size
// A changed value counts as a new reading only after this many reading periods since the last one.
constexpr double kChangedReadingPeriods = 0.3;
constexpr double kReadingIntervalTimeConstant = 3;  // of meanReadingIntervalMs, in readings

}  // namespace

void CustomerQuota::advance(Customer& customer, Time now) const {
  const PlanSettings& plan = planOf(customer);
  const Time elapsedMs = std::max(0.0, now - customer.updatedAt);
  const double seconds = elapsedMs / 1000;
  customer.localTokens = std::min(plan.burst, customer.localTokens + plan.rate * seconds);
  customer.ceilingTokens =
      std::min(plan.ceilingBurst / customer.customerGatewayCount,
               customer.ceilingTokens + plan.ceilingRate * seconds / customer.customerGatewayCount);
  const double othersUnits = fleet_.refill(customer, elapsedMs);
  recoverAdmitFraction(customer, now, elapsedMs);
  concurrency_cap::advance(customer, elapsedMs);
  customer.admitCredit = std::min(kMaxAdmitCreditRequests * customer.meanRequestUnits,
                                  customer.admitCredit + plan.rate * FleetQuota::share(customer) * seconds);
  fleet_.advanceHistory(customer, now, othersUnits);
  customer.updatedAt = std::max(customer.updatedAt, now);
}

// Without readings the admit fraction is outdated, so it returns to 1. The fleet's mean of attempts in flight
// decays, because a gateway that admits nothing at the concurrency cap gets no readings and would otherwise
// reject the customer forever.
void CustomerQuota::recoverAdmitFraction(Customer& customer, Time now, Time elapsedMs) const {
  if (now - customer.readingAt <= kFractionValidPeriods * settings_.quotaReadingPeriodMs) return;
  const Time recoveryMs =
      std::max(kFractionRecoveryMs, kFractionRecoveryIntervals * customer.meanReadingIntervalMs);
  customer.assumedAdmitFraction = std::min(1.0, customer.assumedAdmitFraction + elapsedMs / recoveryMs);
  concurrency_cap::decayFleetMean(customer, elapsedMs);
}

// Readings against the old rate do not apply to the new one, so they are discarded.
void CustomerQuota::changePlan(Customer& customer, unsigned planIndex) const {
  const PlanSettings& plan = settings_.plans[planIndex];
  customer.planIndex = planIndex;
  customer.localTokens = std::min(customer.localTokens, plan.burst);
  customer.fleetTokens = std::min(customer.fleetTokens, plan.burst);
  customer.ceilingTokens =
      std::min(customer.ceilingTokens, plan.ceilingBurst / customer.customerGatewayCount);
  customer.readingPercent = -1;
  customer.assumedAdmitFraction = 1;
}

void CustomerQuota::debit(Customer& customer, double units) {
  customer.localTokens -= units;
  customer.ceilingTokens -= units;
  customer.fleetTokens -= units;
  customer.history.ownUnits[customer.history.newest()] += units;
}

void CustomerQuota::correctUnits(Customer& customer, Time now, double units) const {
  advance(customer, now);
  const PlanSettings& plan = planOf(customer);
  customer.localTokens = std::min(plan.burst, customer.localTokens + units);
  customer.fleetTokens = std::min(plan.burst, customer.fleetTokens + units);
}

void CustomerQuota::recordAttemptStarted(Customer& customer, Time now) const {
  advance(customer, now);
  ++customer.attemptsInFlight;
}

void CustomerQuota::recordAttemptEnded(Customer& customer, Time now) const {
  if (customer.attemptsInFlight == 0) return;
  advance(customer, now);
  --customer.attemptsInFlight;
}

bool CustomerQuota::isNewReading(const Customer& customer, Time sinceLastMs, int percent) const {
  if (customer.readingPercent < 0) return true;
  if (sinceLastMs >= settings_.quotaReadingPeriodMs) return true;
  return percent != customer.readingPercent &&
         sinceLastMs >= kChangedReadingPeriods * settings_.quotaReadingPeriodMs;
}

void CustomerQuota::recordReading(Customer& customer, Time now, int percent) const {
  const Time sinceLastMs = now - customer.readingAt;
  if (!isNewReading(customer, sinceLastMs, percent)) return;
  customer.meanReadingIntervalMs =
      customer.readingPercent < 0
          ? sinceLastMs
          : decayedAverage(customer.meanReadingIntervalMs, sinceLastMs, 1, kReadingIntervalTimeConstant);
  customer.readingPercent = percent;
  customer.readingAt = now;
  advance(customer, now);
  const PlanSettings& plan = planOf(customer);
  if (plan.rate <= 0)
    concurrency_cap::recordReading(customer, plan, percent);
  else
    fleet_.applyReading(customer, percent);
}

}  // namespace wingslip::decision
