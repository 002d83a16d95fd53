/// A customer's quota at this gateway: local bucket, hard ceiling, estimate of the fleet-wide quota and cap
/// on attempts in flight, all brought up to the same time.
#pragma once

#include "decision/customer.hpp"
#include "decision/fleet_quota.hpp"
#include "wingslip/decision/settings.hpp"

namespace wingslip::decision {

/// The rules; the state is the customer's own. Reads the settings it was made with, which outlive it.
class CustomerQuota {
 public:
  explicit CustomerQuota(const Settings& settings) : settings_(settings), fleet_(settings) {}

  const FleetQuota& fleet() const { return fleet_; }

  /// Refills all buckets and lets all averages fade up to `now`.
  void advance(Customer& customer, Time now) const;
  /// A customer that comes under another plan has that one's quota from now on. Nothing is refilled by it.
  void changePlan(Customer& customer, unsigned planIndex) const;
  /// An admitted request.
  static void debit(Customer& customer, double units);
  /// Gives back what a request was estimated too high; negative where it was estimated too low.
  void creditBack(Customer& customer, Time now, double units) const;

  void noteAttemptStarted(Customer& customer, Time now) const;
  void noteAttemptEnded(Customer& customer, Time now) const;
  /// A quota reading from an answer. One rides on every answer of a period; only a new one counts.
  void noteReading(Customer& customer, Time now, int percent) const;

 private:
  const PlanSettings& planOf(const Customer& customer) const { return settings_.plans[customer.planIndex]; }
  bool isNewReading(const Customer& customer, Time sinceLastMs, int percent) const;
  void recoverAdmitFraction(Customer& customer, Time now, Time elapsedMs) const;

  const Settings& settings_;
  FleetQuota fleet_;
};

}  // namespace wingslip::decision
