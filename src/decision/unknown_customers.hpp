/// Admission of unknown customers: customers whose usage of their fleet-wide quota is unknown.
///
/// If there are many gateways, each receives only one request of most customers, and the first reading of a
/// customer arrives only after that request. Together the gateways can then admit more than the quota. A
/// quota that is partly used up at other gateways may not cover a large request, so the quota of an unknown
/// customer is assumed to have the share `assumedBurstShare` of its burst remaining. The share is adjusted by
/// the readings on the answers to admitted requests.
#pragma once

#include "decision/customer.hpp"
#include "wingslip/decision/gateway.hpp"

namespace wingslip::decision {

/// Moving average of the size of customers' first requests, in units; 0: none yet.
class MeanRequestSize {
 public:
  void record(double units);
  double units() const { return units_; }

 private:
  double units_ = 0;
};

/// Decides on requests of unknown customers. The constructor's arguments must outlive the object.
class UnknownCustomers {
 public:
  UnknownCustomers(const Settings& settings, const MeanRequestSize& meanRequestSize)
      : settings_(settings), meanRequestSize_(meanRequestSize) {}

  /// Whether one request at each of the customer's gateways, before any of them has a reading, can exceed its
  /// quota. Always false without quota readings, or if work beyond the quota costs no more than its value.
  bool canOverrunQuota(const Customer& customer) const;
  /// Whether the customer can overrun its quota and has no recent reading.
  bool isUsageUnknown(const Customer& customer) const;
  /// Probability of admitting a request of an unknown customer, in (0, 1].
  double admitProbability(const Request& request) const;
  /// Adjusts the assumed share by a reading, in percent of the rate, on the answer to a request of a customer
  /// that can overrun its quota.
  void recordReading(const Request& request, const PlanSettings& plan, double priorityWeight, int percent);

  /// Share of the burst that is assumed to remain in an unknown customer's quota; can exceed 1.
  double assumedBurstShare() const { return assumedBurstShare_; }

 private:
  /// Low enough that after a start of the fleet no more is admitted than the customers' quotas allow.
  static constexpr double kInitialAssumedBurstShare = 0.13;

  const Settings& settings_;
  const MeanRequestSize& meanRequestSize_;
  // Moving average over requests of customers that can overrun their quota; 0: none yet.
  double meanRequestValue_ = 0;
  double assumedBurstShare_ = kInitialAssumedBurstShare;
};

}  // namespace wingslip::decision
