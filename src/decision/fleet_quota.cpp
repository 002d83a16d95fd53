/// Estimate of a customer's quota over all gateways, from demand, this gateway's share and quota readings.
#include "decision/fleet_quota.hpp"

#include <cmath>

#include "decision/decay.hpp"

namespace wingslip::decision {
namespace {

constexpr Time kShortTermDemandTimeConstantMs = 3000;
// With a shorter time constant the gateways' estimates oscillate against each other.
constexpr Time kLongTermDemandTimeConstantMs = 60000;
constexpr Time kShareTimeConstantMs = 10000;
constexpr double kDemandPriorRequests = 0.5;  // weight of a prior of the demand, in requests of mean size
// Assumed demand of a customer without history, as a share of the rate.
constexpr double kDemandPriorShare = 1;
constexpr Time kReadingDelayMs = 800;       // from the end of a metered period to its reading
constexpr double kTargetUtilization = 0.6;  // share of the rate that the admitted demand should use
constexpr double kMinAdmitFraction = 0.05;  // at 0 the other gateways would be assumed to use nothing
// Maximum debt of the estimate, in reading periods at the full rate. With a lower bound of 0, noise in the
// readings could only add quota.
constexpr double kMaxDebtPeriods = 2;
// A quantile of the normal distribution, in standard deviations, is approximated by the log-odds divided by
// this.
constexpr double kLogisticScale = 1.7;
constexpr double kSafetyDeviations = 1;  // standard deviations subtracted from the estimate

}  // namespace

double FleetQuota::maxDebt(const PlanSettings& plan) const {
  return kMaxDebtPeriods * plan.rate * settings_.quotaReadingPeriodMs / 1000;
}

// The short-term average demand with the long-term average as its prior; the prior of the long-term average
// is a share of the plan's rate. Each prior has the weight of `priorUnits`.
double FleetQuota::demand(const Customer& customer) const {
  const double priorUnits = kDemandPriorRequests * customer.meanRequestUnits;
  const double priorRate = std::max(1e-6, kDemandPriorShare * planOf(customer).rate);
  const double longTermRate = (customer.longTermDemand.units + priorUnits) /
                              (customer.longTermDemand.seconds + priorUnits / priorRate);
  return (customer.shortTermDemand.units + priorUnits) /
         (customer.shortTermDemand.seconds + priorUnits / longTermRate);
}

// Units per second that the other gateways use of the fleet-wide quota.
double FleetQuota::othersRate(const Customer& customer, double ownShare) const {
  return demand(customer) * (1 - ownShare) * customer.history.assumedAdmitFraction[customer.history.newest()];
}

void FleetQuota::addDemand(Customer& customer, double units, double seconds) {
  customer.shortTermDemand.units += units;
  customer.longTermDemand.units += units;
  customer.shortTermDemand.seconds += seconds;
  customer.longTermDemand.seconds += seconds;
}

void FleetQuota::recordAdmitFraction(Customer& customer, double fraction) {
  customer.history.assumedAdmitFraction[customer.history.newest()] = fraction;
}

void FleetQuota::initialize(Customer& customer, Time now, Time idleMs) const {
  customer.fleetTokens = planOf(customer).burst;
  customer.history.assumedAdmitFraction.fill(1);
  customer.history.slot = slotAt(now);
  customer.longTermDemand.seconds = share(customer) * idleMs / 1000;
  customer.shortTermDemand.seconds =
      share(customer) * std::min(kShortTermDemandTimeConstantMs, idleMs) / 1000;
}

double FleetQuota::refill(Customer& customer, Time elapsedMs) const {
  const PlanSettings& plan = planOf(customer);
  const double seconds = elapsedMs / 1000;
  const double minTokens = -maxDebt(plan);
  const double refilled = customer.fleetTokens + plan.rate * seconds;
  const double ownShare = share(customer);
  const double othersUnits =
      std::clamp(othersRate(customer, ownShare) * seconds, 0.0, std::max(0.0, refilled - minTokens));
  customer.fleetTokens = std::min(plan.burst, refilled - othersUnits);

  const double shortTermDecay = decayFactor(elapsedMs, kShortTermDemandTimeConstantMs);
  const double longTermDecay = decayFactor(elapsedMs, kLongTermDemandTimeConstantMs);
  customer.shortTermDemand.units *= shortTermDecay;
  customer.shortTermDemand.seconds = customer.shortTermDemand.seconds * shortTermDecay + ownShare * seconds;
  customer.longTermDemand.units *= longTermDecay;
  customer.longTermDemand.seconds = customer.longTermDemand.seconds * longTermDecay + ownShare * seconds;
  const double usageDecay = decayFactor(elapsedMs, kShareTimeConstantMs);
  customer.ownUsage *= usageDecay;
  customer.fleetUsage *= usageDecay;
  return othersUnits;
}

void FleetQuota::advanceHistory(Customer& customer, Time now, double othersUnits) const {
  UsageHistory& history = customer.history;
  const long currentSlot = slotAt(now);
  const long slotsPassed = std::max(0L, currentSlot - history.slot);
  const double unitsPerSlot = othersUnits / static_cast<double>(slotsPassed + 1);
  const std::size_t lastIndex = history.newest();
  history.othersUnits[lastIndex] += unitsPerSlot;
  for (history.slot = std::max(history.slot, currentSlot - kHistorySlots); history.slot < currentSlot;) {
    const std::size_t nextIndex = UsageHistory::indexOf(++history.slot);
    history.ownUnits[nextIndex] = 0;
    history.othersUnits[nextIndex] = unitsPerSlot;
    history.assumedAdmitFraction[nextIndex] = history.assumedAdmitFraction[lastIndex];
  }
}

void FleetQuota::applyReading(Customer& customer, int percent) const {
  const PlanSettings& plan = planOf(customer);
  const UsageHistory& history = customer.history;
  const int delaySlots = static_cast<int>(std::lround(kReadingDelayMs / slotLengthMs()));
  double ownUnits = 0;
  double meanAdmitFraction = 0;
  double estimatedOthersUnits = 0;
  for (int i = delaySlots; i < delaySlots + kSlotsPerPeriod && i < kHistorySlots; ++i) {
    const std::size_t index = UsageHistory::indexOf(history.slot - i + kHistorySlots);
    ownUnits += history.ownUnits[index];
    meanAdmitFraction += history.assumedAdmitFraction[index] / kSlotsPerPeriod;
    estimatedOthersUnits += history.othersUnits[index];
  }
  const double periodS = settings_.quotaReadingPeriodMs / 1000;
  const double meteredOthersUnits = std::max(0.0, percent / 100.0 * plan.rate * periodS - ownUnits);
  const double othersRateBefore = othersRate(customer, share(customer));
  customer.ownUsage += ownUnits;
  customer.fleetUsage += ownUnits + meteredOthersUnits;
  const double ownShare = share(customer);
  // The metered units were admitted under the admit fraction of the metered period, not under the current
  // one.
  addDemand(customer, meteredOthersUnits, periodS * (1 - ownShare) * meanAdmitFraction);
  customer.assumedAdmitFraction =
      std::clamp(kTargetUtilization * plan.rate / demand(customer), kMinAdmitFraction, 1.0);
  // Replaces the units estimated for the metered period by the metered ones, and re-estimates the units used
  // since then with the corrected rate of the other gateways.
  customer.fleetTokens += estimatedOthersUnits - meteredOthersUnits +
                          (othersRateBefore - othersRate(customer, ownShare)) * kReadingDelayMs / 1000;
  customer.fleetTokens = std::clamp(customer.fleetTokens, -maxDebt(plan), plan.burst);
}

double FleetQuota::safetyMargin(const Customer& customer, double errorCostRatio) const {
  const PlanSettings& plan = planOf(customer);
  // This gateway's own requests are known; those of the other gateways since the last metered period are not.
  const double unmeteredS =
      std::min((customer.updatedAt - customer.readingAt + settings_.quotaReadingPeriodMs) / 1000,
               plan.burst / plan.rate);
  const double deviation = std::sqrt(std::min(demand(customer), plan.rate) * (1 - share(customer)) *
                                     customer.meanRequestUnits * unmeteredS);
  return (std::log(errorCostRatio) / kLogisticScale + kSafetyDeviations) * deviation;
}

}  // namespace wingslip::decision
