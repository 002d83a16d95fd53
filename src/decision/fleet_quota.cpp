/// Estimate of a customer's quota over all gateways: demand, share, readings.
#include "decision/fleet_quota.hpp"

#include <cmath>

#include "decision/decay.hpp"

namespace wingslip::decision {
namespace {

constexpr Time kRecentDemandMemoryMs = 3000;
constexpr Time kUsualDemandMemoryMs = 60000;  // short memories make gateways swing against each other
constexpr Time kShareMemoryMs = 10000;
constexpr double kDemandDoubtRequests = 0.5;  // requests that an assumed demand counts for
constexpr double kUnknownDemand = 1;          // of the rate: demand of a customer without any history
constexpr Time kReadingDelayMs = 800;         // from a metered period's end to its reading
constexpr double kTargetUse = 0.6;            // of the rate, what the admit fraction aims at
constexpr double kMinAdmitFraction = 0.05;    // at 0 no reading would come that lifts it
// Periods of the rate that the estimate may owe: without debt, noise in the readings only ever adds quota.
constexpr double kMaxDebtPeriods = 2;
constexpr double kLogisticScale = 1.7;  // of a normal spread, in the logistic one that stands for it
constexpr double kSafetySpreads = 1;    // spreads of doubt that are kept from the estimate

}  // namespace

double FleetQuota::maxDebt(const PlanSettings& plan) const {
  return kMaxDebtPeriods * plan.rate * settings_.quotaReadingPeriodMs / 1000;
}

// What is seen lately against what is usual, and that against what is assumed, each by its weight.
double FleetQuota::demand(const Customer& customer) const {
  const double doubt = kDemandDoubtRequests * customer.requestUnits;
  const double assumed = std::max(1e-6, kUnknownDemand * planOf(customer).rate);
  const double usual =
      (customer.usualDemand.units + doubt) / (customer.usualDemand.seconds + doubt / assumed);
  return (customer.recentDemand.units + doubt) / (customer.recentDemand.seconds + doubt / usual);
}

// Units per second that the other gateways take from the fleet's quota.
double FleetQuota::othersRate(const Customer& customer, double ownShare) const {
  return demand(customer) * (1 - ownShare) * customer.history.admitFraction[customer.history.newest()];
}

void FleetQuota::noteDemand(Customer& customer, double units, double seconds) {
  customer.recentDemand.units += units;
  customer.usualDemand.units += units;
  customer.recentDemand.seconds += seconds;
  customer.usualDemand.seconds += seconds;
}

void FleetQuota::noteAdmitFraction(Customer& customer, double fraction) {
  customer.history.admitFraction[customer.history.newest()] = fraction;
}

void FleetQuota::start(Customer& customer, Time now, Time unseenMs) const {
  customer.fleetTokens = planOf(customer).burst;
  customer.history.admitFraction.fill(1);
  customer.history.slot = slotAt(now);
  customer.usualDemand.seconds = share(customer) * unseenMs / 1000;
  customer.recentDemand.seconds = share(customer) * std::min(kRecentDemandMemoryMs, unseenMs) / 1000;
}

double FleetQuota::refill(Customer& customer, Time elapsedMs) const {
  const PlanSettings& plan = planOf(customer);
  const double seconds = elapsedMs / 1000;
  const double lowest = -maxDebt(plan);
  const double filled = customer.fleetTokens + plan.rate * seconds;
  const double ownShare = share(customer);
  const double othersUnits =
      std::clamp(othersRate(customer, ownShare) * seconds, 0.0, std::max(0.0, filled - lowest));
  customer.fleetTokens = std::min(plan.burst, filled - othersUnits);

  const double keepRecent = decayFactor(elapsedMs, kRecentDemandMemoryMs);
  const double keepUsual = decayFactor(elapsedMs, kUsualDemandMemoryMs);
  customer.recentDemand.units *= keepRecent;
  customer.recentDemand.seconds = customer.recentDemand.seconds * keepRecent + ownShare * seconds;
  customer.usualDemand.units *= keepUsual;
  customer.usualDemand.seconds = customer.usualDemand.seconds * keepUsual + ownShare * seconds;
  const double keepShare = decayFactor(elapsedMs, kShareMemoryMs);
  customer.ownUse *= keepShare;
  customer.allUse *= keepShare;
  return othersUnits;
}

void FleetQuota::advanceHistory(Customer& customer, Time now, double othersUnits) const {
  UsageHistory& history = customer.history;
  const long target = slotAt(now);
  const long passed = std::max(0L, target - history.slot);
  const double each = othersUnits / static_cast<double>(passed + 1);
  const std::size_t from = history.newest();
  history.othersUnits[from] += each;
  for (history.slot = std::max(history.slot, target - kHistorySlots); history.slot < target;) {
    const std::size_t next = UsageHistory::indexOf(++history.slot);
    history.ownUnits[next] = 0;
    history.othersUnits[next] = each;
    history.admitFraction[next] = history.admitFraction[from];
  }
}

void FleetQuota::correct(Customer& customer, int percent) const {
  const PlanSettings& plan = planOf(customer);
  const UsageHistory& history = customer.history;
  const int delay = static_cast<int>(std::lround(kReadingDelayMs / slotLengthMs()));
  double ownUnits = 0;
  double fraction = 0;
  double assumedOthers = 0;
  for (int i = delay; i < delay + kSlotsPerPeriod && i < kHistorySlots; ++i) {
    const std::size_t at = UsageHistory::indexOf(history.slot - i + kHistorySlots);
    ownUnits += history.ownUnits[at];
    fraction += history.admitFraction[at] / kSlotsPerPeriod;
    assumedOthers += history.othersUnits[at];
  }
  const double periodS = settings_.quotaReadingPeriodMs / 1000;
  const double meteredOthers = std::max(0.0, percent / 100.0 * plan.rate * periodS - ownUnits);
  const double rateBefore = othersRate(customer, share(customer));
  customer.ownUse += ownUnits;
  customer.allUse += ownUnits + meteredOthers;
  const double ownShare = share(customer);
  // The reading tells what the fraction of its own period admitted, whatever the fraction is by now.
  noteDemand(customer, meteredOthers, periodS * (1 - ownShare) * fraction);
  customer.admitFraction = std::clamp(kTargetUse * plan.rate / demand(customer), kMinAdmitFraction, 1.0);
  // What was assumed for the metered period gives way to what was metered, and the time since then to the
  // others' rate as it is now known.
  customer.fleetTokens +=
      assumedOthers - meteredOthers + (rateBefore - othersRate(customer, ownShare)) * kReadingDelayMs / 1000;
  customer.fleetTokens = std::clamp(customer.fleetTokens, -maxDebt(plan), plan.burst);
}

double FleetQuota::margin(const Customer& customer, double errorPrice) const {
  const PlanSettings& plan = planOf(customer);
  // Own requests are known; what the others have sent since the last reading's period is not.
  const double unknownS =
      std::min((customer.advancedAt - customer.readingAt + settings_.quotaReadingPeriodMs) / 1000,
               plan.burst / plan.rate);
  const double spread = std::sqrt(std::min(demand(customer), plan.rate) * (1 - share(customer)) *
                                  customer.requestUnits * unknownS);
  return (std::log(errorPrice) / kLogisticScale + kSafetySpreads) * spread;
}

}  // namespace wingslip::decision
