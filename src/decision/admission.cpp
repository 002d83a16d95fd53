/// Admission by quota: exact checks of local state first, then checks against fleet-wide estimates.
#include "decision/admission.hpp"

#include <algorithm>

#include "decision/concurrency_cap.hpp"
#include "decision/decay.hpp"

namespace wingslip::decision {
namespace {

constexpr double kRequestUnitsTimeConstant = 8;  // of meanRequestUnits, in requests of the customer
constexpr Time kWorkerShortageTimeConstantMs = 4000;
// At 1, the estimates of the fleet-wide quota and of the concurrency cap would reject every request.
constexpr double kMaxWorkerShortage = 0.8;

}  // namespace

void countRejection(RejectionCounts& counts, RejectionReason reason) {
  switch (reason) {
    case RejectionReason::localQuota:
      ++counts.localQuota;
      break;
    case RejectionReason::fleetQuota:
      ++counts.fleetQuota;
      break;
    case RejectionReason::unknownCustomer:
      ++counts.unknownCustomer;
      break;
    case RejectionReason::overload:
      ++counts.overload;
      break;
    case RejectionReason::noWorker:
      ++counts.noWorker;
      break;
    case RejectionReason::hardCeiling:
    case RejectionReason::concurrencyCap:
      break;
  }
}

std::optional<Rejection> Admission::decide(Customer& customer, const Request& request, Time usualLatencyMs,
                                           bool isHostOverloaded) {
  const PlanSettings& plan = settings_.plans[customer.planIndex];
  // 0: the customer's usage is known.
  const double unknownAdmitProbability =
      unknownCustomers_.isUsageUnknown(customer) ? unknownCustomers_.admitProbability(request) : 0;
  const double units = std::max(0.0, request.units);
  if (plan.ceilingRate > 0 && customer.ceilingTokens < units)
    return Rejection{RejectionReason::hardCeiling, 1000 * (units - customer.ceilingTokens) *
                                                       customer.customerGatewayCount / plan.ceilingRate};
  // A request larger than the burst is admitted when the bucket is full and makes its balance negative.
  const double tokensNeeded = std::min(units, plan.burst);
  customer.meanRequestUnits = decayedAverage(customer.meanRequestUnits, units, 1, kRequestUnitsTimeConstant);
  if (plan.rate > 0 && customer.localTokens < tokensNeeded)
    return Rejection{RejectionReason::localQuota, 1000 * (tokensNeeded - customer.localTokens) / plan.rate};
  if (concurrency_cap::isReached(customer, plan) || isCapLikelyReached(customer, plan))
    return Rejection{RejectionReason::concurrencyCap, usualLatencyMs};
  return decideByFleetQuota(customer, request, tokensNeeded, unknownAdmitProbability, isHostOverloaded);
}

std::optional<Rejection> Admission::decideByFleetQuota(Customer& customer, const Request& request,
                                                       double tokensNeeded, double unknownAdmitProbability,
                                                       bool isHostOverloaded) {
  const PlanSettings& plan = settings_.plans[customer.planIndex];
  const double units = std::max(0.0, request.units);
  FleetQuota::addDemand(customer, units, 0);
  const bool isUsedUp = plan.rate > 0 && isFleetQuotaUsedUp(customer, tokensNeeded);
  FleetQuota::recordAdmitFraction(customer, isUsedUp ? customer.assumedAdmitFraction : 1);
  // While the quota is used up, requests are admitted from a credit that accrues at this gateway's share of
  // the rate, not by the demand estimate, so that errors in the demand estimates of several gateways do not
  // add up to more than the quota.
  if (isUsedUp && (isHostOverloaded || customer.admitCredit < units))
    return Rejection{RejectionReason::fleetQuota, 1000 * std::max(units - customer.admitCredit, 0.0) /
                                                      (plan.rate * FleetQuota::share(customer))};
  if (!isUsedUp && unknownAdmitProbability > 0 && unknownAdmitProbability < 1 &&
      random_.next() >= unknownAdmitProbability)
    return Rejection{RejectionReason::unknownCustomer, 1000 * units / plan.rate};
  // Each gateway receives only one or two requests of a customer that can overrun its quota. Most of its
  // units are admitted before the quota is known to be used up, so its credit is debited for every admission.
  if (isUsedUp || unknownCustomers_.canOverrunQuota(customer))
    customer.admitCredit = std::max(customer.admitCredit - units, -customer.meanRequestUnits);
  return std::nullopt;
}

// Compares the expected value of one more attempt with the worker shortage. An attempt within the cap has the
// value 1; an attempt beyond it costs overQuotaCost.
bool Admission::isCapLikelyReached(const Customer& customer, const PlanSettings& plan) const {
  if (plan.maxConcurrent == 0) return false;
  const double capacityProbability =
      concurrency_cap::probabilityWithinCap(customer, plan, FleetQuota::share(customer));
  return capacityProbability * (1 + plan.overQuotaCost) < plan.overQuotaCost + workerShortage_;
}

// Compares the estimate of the fleet-wide quota with the request's units and a safety margin. The margin
// depends on the uncertainty of the estimate and on the plan's cost of a wrong admission.
bool Admission::isFleetQuotaUsedUp(const Customer& customer, double tokensNeeded) const {
  const PlanSettings& plan = settings_.plans[customer.planIndex];
  double errorCostRatio =
      (plan.overQuotaCost - plan.overQuotaValue + workerShortage_) / (1 - workerShortage_);
  if (errorCostRatio <= 0) return false;
  if (unknownCustomers_.canOverrunQuota(customer) && !unknownCustomers_.isUsageUnknown(customer))
    errorCostRatio /= std::min(unknownCustomers_.assumedBurstShare(), 1.0);
  return customer.fleetTokens < tokensNeeded + fleetQuota_.safetyMargin(customer, errorCostRatio);
}

void Admission::recordWorkerChoice(Time now, bool foundWorker) {
  workerShortage_ =
      std::min(kMaxWorkerShortage, decayedAverage(workerShortage_, foundWorker ? 0 : 1,
                                                  now - lastWorkerChoiceAt_, kWorkerShortageTimeConstantMs));
  lastWorkerChoiceAt_ = now;
}

}  // namespace wingslip::decision
