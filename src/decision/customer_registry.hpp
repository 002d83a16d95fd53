/// The customers that this gateway tracks: new ones, eviction, and what an evicted one may start with.
#pragma once

#include <cstddef>

#include "decision/customer_quota.hpp"
#include "decision/customer_table.hpp"
#include "decision/random.hpp"
#include "decision/unknown_customers.hpp"
#include "wingslip/decision/gateway.hpp"

namespace wingslip::decision {

/// Owns all customers. What it was made with outlives it.
class CustomerRegistry {
 public:
  CustomerRegistry(const Settings& settings, const CustomerQuota& quota, Random& random, Time now);

  /// Null where the customer is not tracked.
  Customer* find(CustomerId id) { return table_.find(id); }
  /// The customer of a request, brought up to `now`; made where it is not tracked.
  Customer& obtain(Time now, const Request& request);
  /// Before the settings become `next`: customers follow their plan's name. Those of a dropped plan are
  /// forgotten, as all are where the reading period changes, since their use is recorded by its quarters.
  void applySettings(Time now, const Settings& next);

  std::size_t size() const { return table_.size(); }
  const UsualRequestSize& usualRequestSize() const { return usualRequestSize_; }

 private:
  unsigned gatewaysOf(const Request& request) const;
  Customer& add(Time now, const Request& request);
  void evictOne(Time now);
  double initialTokens(const PlanSettings& plan, unsigned customerGateways, Time now) const;
  double fullCeiling(const Customer& customer) const;
  const PlanSettings& planOf(const Customer& customer) const { return settings_.plans[customer.planIndex]; }

  const Settings& settings_;
  const CustomerQuota& quota_;
  Random& random_;
  CustomerTable table_;
  UsualRequestSize usualRequestSize_;
  // Since when a customer that is not tracked cannot have spent anything here: this gateway's start, or when
  // one that lost by it was evicted.
  Time bucketsSince_;
  Time ceilingsSince_;
};

}  // namespace wingslip::decision
