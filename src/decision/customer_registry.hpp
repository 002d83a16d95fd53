/// The customers that this gateway tracks: addition, eviction and the initial tokens of a customer.
#pragma once

#include <cstddef>

#include "decision/customer_quota.hpp"
#include "decision/customer_table.hpp"
#include "decision/random.hpp"
#include "decision/unknown_customers.hpp"
#include "wingslip/decision/gateway.hpp"

namespace wingslip::decision {

/// Owns all customers. The constructor's arguments must outlive the object.
class CustomerRegistry {
 public:
  CustomerRegistry(const Settings& settings, const CustomerQuota& quota, Random& random, Time now);

  /// Returns null if the customer is not tracked.
  Customer* find(CustomerId id) { return table_.find(id); }
  /// Returns the customer of a request, advanced to `now`; adds it if it is not tracked.
  Customer& findOrAdd(Time now, const Request& request);
  /// Must be called before the settings change to `next`. Assigns customers to the plan of the same name and
  /// erases those whose plan was removed. Erases all customers if the reading period changes, since usage is
  /// recorded per quarter of it.
  void applySettings(Time now, const Settings& next);

  std::size_t size() const { return table_.size(); }
  const MeanRequestSize& meanRequestSize() const { return meanRequestSize_; }

 private:
  unsigned boundedGatewayCount(const Request& request) const;
  Customer& add(Time now, const Request& request);
  void evictOne(Time now);
  double initialTokens(const PlanSettings& plan, unsigned customerGatewayCount, Time now) const;
  double ceilingCapacity(const Customer& customer) const;
  const PlanSettings& planOf(const Customer& customer) const { return settings_.plans[customer.planIndex]; }

  const Settings& settings_;
  const CustomerQuota& quota_;
  Random& random_;
  CustomerTable table_;
  MeanRequestSize meanRequestSize_;
  // Times since which no untracked customer can have spent units at this gateway: the start of the gateway
  // or, if later, the last erasure of a customer whose bucket or ceiling may have been partly spent.
  Time untrackedBucketsUnspentSince_;
  Time untrackedCeilingsUnspentSince_;
};

}  // namespace wingslip::decision
