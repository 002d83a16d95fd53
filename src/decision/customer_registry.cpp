/// The customers that this gateway tracks: addition, eviction and changes of plan.
#include "decision/customer_registry.hpp"

#include <algorithm>
#include <string_view>
#include <unordered_map>

namespace wingslip::decision {

CustomerRegistry::CustomerRegistry(const Settings& settings, const CustomerQuota& quota, Random& random,
                                   Time now)
    : settings_(settings),
      quota_(quota),
      random_(random),
      untrackedBucketsUnspentSince_(now),
      untrackedCeilingsUnspentSince_(now) {}

unsigned CustomerRegistry::boundedGatewayCount(const Request& request) const {
  return std::max(1u, std::min(request.customerGatewayCount, settings_.gatewayCount));
}

Customer& CustomerRegistry::findOrAdd(Time now, const Request& request) {
  Customer* customer = table_.findAndTouch(request.customer);
  if (!customer) {
    if (table_.isFull()) evictOne(now);
    return add(now, request);
  }
  // The number of gateways may have changed; units above the new share of the ceiling are dropped
  // immediately.
  customer->customerGatewayCount = boundedGatewayCount(request);
  quota_.advance(*customer, now);
  if (customer->planIndex != request.planIndex) quota_.changePlan(*customer, request.planIndex);
  return *customer;
}

Customer& CustomerRegistry::add(Time now, const Request& request) {
  const PlanSettings& plan = settings_.plans[request.planIndex];
  Customer& customer = table_.add(request.customer);
  customer.planIndex = request.planIndex;
  customer.customerGatewayCount = boundedGatewayCount(request);
  customer.updatedAt = now;
  customer.readingAt = now;
  customer.meanRequestUnits = std::max(0.0, request.units);
  meanRequestSize_.record(customer.meanRequestUnits);
  customer.localTokens = initialTokens(plan, customer.customerGatewayCount, now);
  customer.admitCredit = random_.next() * customer.meanRequestUnits;
  quota_.fleet().initialize(customer, now, now - untrackedBucketsUnspentSince_);
  // The ceiling must not be exceeded across restarts and evictions, so it starts only with the units that
  // have accrued since this gateway may last have sent requests of this customer.
  customer.ceilingTokens =
      std::min(plan.ceilingBurst, plan.ceilingRate * (now - untrackedCeilingsUnspentSince_) / 1000) /
      customer.customerGatewayCount;
  return customer;
}

// Tokens in the bucket of a customer that is added now. A request is debited in full. If the burst's share
// per gateway is less than a request, every gateway would reject the first requests of a customer whose quota
// is full, so a bucket starts with at least one request of mean size.
double CustomerRegistry::initialTokens(const PlanSettings& plan, unsigned customerGatewayCount,
                                       Time now) const {
  const double initial = std::max(plan.burst / customerGatewayCount, meanRequestSize_.units());
  return std::min(plan.burst, initial + plan.rate * (now - untrackedBucketsUnspentSince_) / 1000);
}

double CustomerRegistry::ceilingCapacity(const Customer& customer) const {
  return planOf(customer).ceilingBurst / customer.customerGatewayCount;
}

void CustomerRegistry::evictOne(Time now) {
  const auto tokensIfNew = [&](const Customer& customer) {
    return initialTokens(planOf(customer), customer.customerGatewayCount, now);
  };
  const auto canEvictWithoutLoss = [&](Customer& customer) {
    quota_.advance(customer, now);
    return customer.attemptsInFlight == 0 && customer.assumedAdmitFraction >= 1 &&
           customer.localTokens >= tokensIfNew(customer) &&
           customer.ceilingTokens >= ceilingCapacity(customer);
  };
  table_.evictOne(canEvictWithoutLoss, [&](const Customer& evicted) {
    if (evicted.localTokens < tokensIfNew(evicted)) untrackedBucketsUnspentSince_ = now;
    if (evicted.ceilingTokens < ceilingCapacity(evicted)) untrackedCeilingsUnspentSince_ = now;
  });
}

void CustomerRegistry::applySettings(Time now, const Settings& next) {
  std::unordered_map<std::string_view, unsigned> planIndexes;  // if names are equal, the first plan is used
  for (unsigned i = 0; i < next.plans.size(); ++i) planIndexes.try_emplace(next.plans[i].name, i);
  const bool isSamePeriod = next.quotaReadingPeriodMs == settings_.quotaReadingPeriodMs;
  table_.eraseIf([&](Customer& customer) {
    quota_.advance(customer, now);
    const auto found = planIndexes.find(planOf(customer).name);
    if (found != planIndexes.end() && isSamePeriod) {
      customer.planIndex = found->second;
      return false;
    }
    untrackedBucketsUnspentSince_ = now;
    untrackedCeilingsUnspentSince_ = now;
    return true;
  });
}

}  // namespace wingslip::decision
