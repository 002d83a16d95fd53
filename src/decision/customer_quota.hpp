/// A customer's quota at this gateway: local token bucket, hard ceiling, estimate of the fleet-wide quota and
/// cap on attempts in flight. All of them are advanced to the same time.
#pragma once

#include "decision/customer.hpp"
#include "decision/fleet_quota.hpp"
#include "wingslip/decision/settings.hpp"

namespace wingslip::decision {

/// Quota rules without state of their own: the state is in Customer. The settings must outlive the object.
class CustomerQuota {
 public:
  explicit CustomerQuota(const Settings& settings) : settings_(settings), fleet_(settings) {}

  const FleetQuota& fleet() const { return fleet_; }

  /// Refills all buckets and advances all time-based estimates to `now`.
  void advance(Customer& customer, Time now) const;
  /// Applies another plan's quota from now on, without refilling any bucket.
  void changePlan(Customer& customer, unsigned planIndex) const;
  /// Debits the units of an admitted request from all buckets.
  static void debit(Customer& customer, double units);
  /// Adds `units` to the local and fleet buckets, but not to the hard ceiling: the estimated units of a
  /// request minus its actual units, negative if the estimate was too low.
  void correctUnits(Customer& customer, Time now, double units) const;

  void recordAttemptStarted(Customer& customer, Time now) const;
  void recordAttemptEnded(Customer& customer, Time now) const;
  /// Applies a quota reading, in percent, from an answer. All answers of a reading period carry the same
  /// reading; repetitions are ignored.
  void recordReading(Customer& customer, Time now, int percent) const;

 private:
  const PlanSettings& planOf(const Customer& customer) const { return settings_.plans[customer.planIndex]; }
  bool isNewReading(const Customer& customer, Time sinceLastMs, int percent) const;
  void recoverAdmitFraction(Customer& customer, Time now, Time elapsedMs) const;

  const Settings& settings_;
  FleetQuota fleet_;
};

}  // namespace wingslip::decision
