/// Estimate of a customer's quota over all gateways.
///
/// A gateway knows its own requests and receives, with a delay, metered readings of the usage over all
/// gateways. From both it estimates the fleet-wide demand, its own share of it and the remaining quota.
#pragma once

#include <algorithm>

#include "decision/customer.hpp"
#include "wingslip/decision/settings.hpp"

namespace wingslip::decision {

/// Rules of the estimate without state of their own: the state is in Customer. The settings must outlive the
/// object.
class FleetQuota {
 public:
  explicit FleetQuota(const Settings& settings) : settings_(settings) {}

  /// This gateway's share of the customer's usage, in (0, 1].
  static double share(const Customer& customer) {
    const double priorUnits = kSharePriorRequests * customer.meanRequestUnits + 1e-9;
    return std::min(1.0, (customer.ownUsage + priorUnits / customer.customerGatewayCount) /
                             (customer.fleetUsage + priorUnits));
  }

  /// Estimated demand over all gateways, in units per second.
  double demand(const Customer& customer) const;
  /// Adds `units` and `seconds` of an observed part of the demand to the demand sums, see DemandSums.
  static void addDemand(Customer& customer, double units, double seconds);
  /// Records the admit fraction in force in the newest history slot.
  static void recordAdmitFraction(Customer& customer, double fraction);

  /// Initializes estimate, history and demand of a new customer whose planIndex, meanRequestUnits and
  /// customerGatewayCount are set.
  /// @param idleMs time for which the customer is known to have sent nothing through this gateway.
  void initialize(Customer& customer, Time now, Time idleMs) const;
  /// Refills the estimated remaining quota for `elapsedMs`, debits the other gateways' estimated usage, and
  /// advances demand and usage.
  /// @return units that the other gateways are estimated to have used in that time, for `advanceHistory`.
  double refill(Customer& customer, Time elapsedMs) const;
  /// Advances the history to the slot of `now` and spreads `othersUnits` evenly over the slots since the last
  /// call.
  void advanceHistory(Customer& customer, Time now, double othersUnits) const;
  /// Corrects the estimate by a reading: the metered usage of the last complete period, in percent of the
  /// rate.
  void applyReading(Customer& customer, int percent) const;

  /// Safety margin in units: the quota counts as used up if admitting a request would leave less than this.
  /// It reflects the uncertainty of the other gateways' usage since the last metered period.
  /// @param errorCostRatio cost of a wrong admission over that of a wrong rejection, above 0. The margin is
  ///   negative if the ratio is low.
  double safetyMargin(const Customer& customer, double errorCostRatio) const;

 private:
  /// Weight of the prior share 1/customerGatewayCount, in requests of mean size.
  static constexpr double kSharePriorRequests = 4;

  Time slotLengthMs() const { return std::max(settings_.quotaReadingPeriodMs, 1000.0) / kSlotsPerPeriod; }
  long slotAt(Time now) const { return static_cast<long>(now / slotLengthMs()); }
  double maxDebt(const PlanSettings& plan) const;
  double othersRate(const Customer& customer, double ownShare) const;
  const PlanSettings& planOf(const Customer& customer) const { return settings_.plans[customer.planIndex]; }

  const Settings& settings_;
};

}  // namespace wingslip::decision
