/// Estimate of a customer's quota over all gateways.
///
/// A gateway sees its own requests and, with a delay, a metered reading of what all gateways have used. From
/// both it estimates the fleet's demand, its own share of it and what is left of the quota.
#pragma once

#include <algorithm>

#include "decision/customer.hpp"
#include "wingslip/decision/settings.hpp"

namespace wingslip::decision {

/// The estimate's rules; the state is the customer's own. The settings it was made with outlive it.
class FleetQuota {
 public:
  explicit FleetQuota(const Settings& settings) : settings_(settings) {}

  /// The part of the customer's use that this gateway sends, in (0, 1].
  static double share(const Customer& customer) {
    const double doubt = kShareDoubtRequests * customer.requestUnits + 1e-9;
    return std::min(1.0, (customer.ownUse + doubt / customer.customerGateways) / (customer.allUse + doubt));
  }

  /// All gateways' demand in units per second.
  double demand(const Customer& customer) const;
  static void noteDemand(Customer& customer, double units, double seconds);
  static void noteAdmitFraction(Customer& customer, double fraction);

  /// A new customer's history and demand; its plan, units and gateways are set.
  void start(Customer& customer, Time now, Time unseenMs) const;
  /// Refills the estimate for `elapsedMs` up to `now` and lets the demand fade.
  /// @return units that the other gateways are taken to have used meanwhile, for `advanceHistory`.
  double refill(Customer& customer, Time elapsedMs) const;
  /// Moves the history on to the slot of `now`; `othersUnits` is spread over the slots that have passed.
  void advanceHistory(Customer& customer, Time now, double othersUnits) const;
  /// Corrects the estimate by a reading: the metered use of the last whole period, in percent of the rate.
  void correct(Customer& customer, int percent) const;

  /// Units that have to be left beyond those of a request, or the quota counts as used up: what is not known
  /// of the others' use since the last reading's period, weighted by `errorPrice`, the cost of a wrong
  /// admission over that of a wrong rejection. Negative where wrong admissions cost little.
  double margin(const Customer& customer, double errorPrice) const;

 private:
  /// Requests that a share of 1/customerGateways counts for.
  static constexpr double kShareDoubtRequests = 4;

  Time slotLengthMs() const { return std::max(settings_.quotaReadingPeriodMs, 1000.0) / kSlotsPerPeriod; }
  long slotAt(Time now) const { return static_cast<long>(now / slotLengthMs()); }
  double maxDebt(const PlanSettings& plan) const;
  double othersRate(const Customer& customer, double ownShare) const;
  const PlanSettings& planOf(const Customer& customer) const { return settings_.plans[customer.planIndex]; }

  const Settings& settings_;
};

}  // namespace wingslip::decision
