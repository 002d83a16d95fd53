/// Customers of whose use of the fleet-wide quota nothing is known.
///
/// Where gateways are so many that each sees most customers once, a reading tells of a customer only after
/// its request, and work beyond quotas is what all of them admit unknown. A quota used up by others does not
/// hold large requests, so an unknown customer's quota is taken to hold `reach` of its burst. The reach is
/// steered by the readings on the answers to what was admitted.
#pragma once

#include "decision/customer.hpp"
#include "wingslip/decision/gateway.hpp"

namespace wingslip::decision {

/// Average size of the first requests of customers, in units.
class UsualRequestSize {
 public:
  void note(double units);
  double units() const { return units_; }

 private:
  double units_ = 0;
};

/// Reads the settings and the usual size it was made with, which outlive it.
class UnknownCustomers {
 public:
  UnknownCustomers(const Settings& settings, const UsualRequestSize& usualSize)
      : settings_(settings), usualSize_(usualSize) {}

  /// Whether a request at each of its gateways, before any of them has a reading, is more than its quota.
  bool outrunsQuota(const Customer& customer) const;
  /// Whether it outruns its quota and has no recent reading.
  bool isUnknown(const Customer& customer) const;
  /// Probability with which a request of an unknown customer is admitted, above 0.
  double admitProbability(const Request& request) const;
  /// A reading on the answer to a request of a customer that outruns its quota.
  void noteReading(const Request& request, const PlanSettings& plan, double priorityWeight, int percent);

  /// Share of the burst that an unknown customer's quota is taken to hold.
  double reach() const { return reach_; }

 private:
  /// Low enough that a start does not admit more than the quotas of the fleet's customers hold.
  static constexpr double kInitialReach = 0.13;

  const Settings& settings_;
  const UsualRequestSize& usualSize_;
  double usualValue_ = 0;  // of such a request
  double reach_ = kInitialReach;
};

}  // namespace wingslip::decision
