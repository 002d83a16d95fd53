/// The customers that this gateway tracks: new ones, eviction, changed plans.
#include "decision/customer_registry.hpp"

#include <algorithm>
#include <string_view>
#include <unordered_map>

namespace wingslip::decision {

CustomerRegistry::CustomerRegistry(const Settings& settings, const CustomerQuota& quota, Random& random,
                                   Time now)
    : settings_(settings), quota_(quota), random_(random), bucketsSince_(now), ceilingsSince_(now) {}

unsigned CustomerRegistry::gatewaysOf(const Request& request) const {
  return std::max(1u, std::min(request.customerGateways, settings_.gatewayCount));
}

Customer& CustomerRegistry::obtain(Time now, const Request& request) {
  Customer* customer = table_.findAndTouch(request.customer);
  if (!customer) {
    if (table_.isFull()) evictOne(now);
    return add(now, request);
  }
  // The gateways may have changed; what is over the new part of the ceiling is gone at once.
  customer->customerGateways = gatewaysOf(request);
  quota_.advance(*customer, now);
  if (customer->planIndex != request.planIndex) quota_.changePlan(*customer, request.planIndex);
  return *customer;
}

Customer& CustomerRegistry::add(Time now, const Request& request) {
  const PlanSettings& plan = settings_.plans[request.planIndex];
  Customer& customer = table_.add(request.customer);
  customer.planIndex = request.planIndex;
  customer.customerGateways = gatewaysOf(request);
  customer.advancedAt = now;
  customer.readingAt = now;
  customer.requestUnits = std::max(0.0, request.units);
  usualRequestSize_.note(customer.requestUnits);
  customer.localTokens = initialTokens(plan, customer.customerGateways, now);
  customer.admitCredit = random_.next() * customer.requestUnits;
  quota_.fleet().start(customer, now, now - bucketsSince_);
  // The ceiling holds over restarts and evictions, so nothing is taken to be left in it but what has come in
  // since this gateway could last have sent for the customer.
  customer.ceilingTokens = std::min(plan.ceilingBurst, plan.ceilingRate * (now - ceilingsSince_) / 1000) /
                           customer.customerGateways;
  return customer;
}

// What a bucket of a customer that is not tracked holds by now. Tokens are spent in whole requests: where the
// gateways are so many that burst over them holds none, one usual request is the least that a bucket starts
// with, or all of them would reject the first requests of a customer whose quota is full.
double CustomerRegistry::initialTokens(const PlanSettings& plan, unsigned customerGateways, Time now) const {
  const double atStart = std::max(plan.burst / customerGateways, usualRequestSize_.units());
  return std::min(plan.burst, atStart + plan.rate * (now - bucketsSince_) / 1000);
}

double CustomerRegistry::fullCeiling(const Customer& customer) const {
  return planOf(customer).ceilingBurst / customer.customerGateways;
}

void CustomerRegistry::evictOne(Time now) {
  const auto tokensIfNew = [&](const Customer& customer) {
    return initialTokens(planOf(customer), customer.customerGateways, now);
  };
  const auto losesNothing = [&](Customer& customer) {
    quota_.advance(customer, now);
    return customer.attemptsInFlight == 0 && customer.admitFraction >= 1 &&
           customer.localTokens >= tokensIfNew(customer) && customer.ceilingTokens >= fullCeiling(customer);
  };
  table_.evictOne(losesNothing, [&](const Customer& victim) {
    if (victim.localTokens < tokensIfNew(victim)) bucketsSince_ = now;
    if (victim.ceilingTokens < fullCeiling(victim)) ceilingsSince_ = now;
  });
}

void CustomerRegistry::applySettings(Time now, const Settings& next) {
  std::unordered_map<std::string_view, unsigned> planIndexes;  // of equal names the first
  for (unsigned i = 0; i < next.plans.size(); ++i) planIndexes.try_emplace(next.plans[i].name, i);
  const bool keepsPeriod = next.quotaReadingPeriodMs == settings_.quotaReadingPeriodMs;
  table_.eraseIf([&](Customer& customer) {
    quota_.advance(customer, now);
    const auto found = planIndexes.find(planOf(customer).name);
    if (found != planIndexes.end() && keepsPeriod) {
      customer.planIndex = found->second;
      return false;
    }
    bucketsSince_ = now;
    ceilingsSince_ = now;
    return true;
  });
}

}  // namespace wingslip::decision
