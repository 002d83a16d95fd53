/// Admission by quota: each check in turn, from the one that is certain to the ones that are estimates.
#include "decision/admission.hpp"

#include <algorithm>

#include "decision/concurrency_cap.hpp"
#include "decision/decay.hpp"

namespace wingslip::decision {
namespace {

constexpr double kRequestUnitsMemory = 8;  // requests
constexpr Time kWorkerShortageMemoryMs = 4000;
constexpr double kMaxWorkerShortage = 0.8;  // at 1 nothing would be admitted on an estimate

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

std::optional<Rejection> Admission::check(Customer& customer, const Request& request, Time usualLatencyMs,
                                          bool isHostOverloaded) {
  const PlanSettings& plan = settings_.plans[customer.planIndex];
  const double unknownProbability =
      unknownCustomers_.isUnknown(customer) ? unknownCustomers_.admitProbability(request) : 0;
  const double units = std::max(0.0, request.units);
  if (plan.ceilingRate > 0 && customer.ceilingTokens < units)
    return Rejection{RejectionReason::hardCeiling,
                     1000 * (units - customer.ceilingTokens) * customer.customerGateways / plan.ceilingRate};
  // A request of more than the burst is admitted by a full bucket and leaves it in debt.
  const double tokensNeeded = std::min(units, plan.burst);
  customer.requestUnits = approach(customer.requestUnits, units, 1, kRequestUnitsMemory);
  if (plan.rate > 0 && customer.localTokens < tokensNeeded)
    return Rejection{RejectionReason::localQuota, 1000 * (tokensNeeded - customer.localTokens) / plan.rate};
  if (concurrency_cap::isReached(customer, plan) || isCapLikelyReached(customer, plan))
    return Rejection{RejectionReason::concurrencyCap, usualLatencyMs};
  return checkFleetQuota(customer, request, tokensNeeded, unknownProbability, isHostOverloaded);
}

std::optional<Rejection> Admission::checkFleetQuota(Customer& customer, const Request& request,
                                                    double tokensNeeded, double unknownProbability,
                                                    bool isHostOverloaded) {
  const PlanSettings& plan = settings_.plans[customer.planIndex];
  const double units = std::max(0.0, request.units);
  FleetQuota::noteDemand(customer, units, 0);
  const bool isUsedUp = plan.rate > 0 && isFleetQuotaUsedUp(customer, tokensNeeded);
  FleetQuota::noteAdmitFraction(customer, isUsedUp ? customer.admitFraction : 1);
  // The fraction times the demand is the rate: what it admits here is this gateway's share of the rate,
  // measured out over time, so that a demand misjudged by some gateways does not add up past the quota.
  if (isUsedUp && (isHostOverloaded || customer.admitCredit < units))
    return Rejection{RejectionReason::fleetQuota, 1000 * std::max(units - customer.admitCredit, 0.0) /
                                                      (plan.rate * FleetQuota::share(customer))};
  if (!isUsedUp && unknownProbability > 0 && unknownProbability < 1 && random_.next() >= unknownProbability)
    return Rejection{RejectionReason::unknownCustomer, 1000 * units / plan.rate};
  // Where each gateway sees a customer once or twice, most of what it sends was admitted before its quota was
  // known to be used up.
  if (isUsedUp || unknownCustomers_.outrunsQuota(customer))
    customer.admitCredit = std::max(customer.admitCredit - units, -customer.requestUnits);
  return std::nullopt;
}

bool Admission::isCapLikelyReached(const Customer& customer, const PlanSettings& plan) const {
  if (plan.maxConcurrent == 0) return false;
  const double probability =
      concurrency_cap::probabilityOfCapacity(customer, plan, FleetQuota::share(customer));
  return probability * (1 + plan.overQuotaCost) < plan.overQuotaCost + workerShortage_;
}

// Whether a request would more likely than pays find the fleet-wide quota without its units: the estimate
// against what is not known of it, at the plan's own price of being wrong.
bool Admission::isFleetQuotaUsedUp(const Customer& customer, double tokensNeeded) const {
  const PlanSettings& plan = settings_.plans[customer.planIndex];
  double errorPrice = (plan.overQuotaCost - plan.overQuotaValue + workerShortage_) / (1 - workerShortage_);
  if (errorPrice <= 0) return false;
  if (unknownCustomers_.outrunsQuota(customer) && !unknownCustomers_.isUnknown(customer))
    errorPrice /= std::min(unknownCustomers_.reach(), 1.0);
  return customer.fleetTokens < tokensNeeded + fleetQuota_.margin(customer, errorPrice);
}

void Admission::noteWorkerChoice(Time now, bool wasFound) {
  workerShortage_ = std::min(kMaxWorkerShortage, approach(workerShortage_, wasFound ? 0 : 1,
                                                          now - workerChoiceAt_, kWorkerShortageMemoryMs));
  workerChoiceAt_ = now;
}

}  // namespace wingslip::decision
