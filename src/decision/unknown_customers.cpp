/// Admission of customers with unknown usage of the fleet-wide quota, adjusted by quota readings.
#include "decision/unknown_customers.hpp"

#include <algorithm>
#include <cmath>

#include "decision/decay.hpp"

namespace wingslip::decision {
namespace {

constexpr double kRequestSizeTimeConstant = 50;   // in new customers
constexpr double kRequestValueTimeConstant = 50;  // in requests
constexpr Time kReadingValidMs = 3000;            // a customer with a more recent reading is not unknown
// Target cost of work beyond quotas, as a share of the value admitted within quotas.
constexpr double kTargetOverQuotaCost = 0.09;
// A customer of at most this many gateways counts as unable to overrun its quota with one request at each.
constexpr double kMinOverrunGateways = 4;
// Lower bound of the burst that a request is compared with, in first requests of mean size.
constexpr double kMinQuotaRequests = 12;
constexpr double kMinAssumedBurstShare = 0.08;
constexpr double kMaxAssumedBurstShare = 1.5;
constexpr double kAssumedBurstShareStep = 0.4;  // change of the share's natural logarithm per unit of error
// The admit probability falls linearly between the relative sizes 1 - kAdmitRampHalfWidth and
// 1 + kAdmitRampHalfWidth, so that there is no fixed size above which every request is rejected.
constexpr double kAdmitRampHalfWidth = 1.0 / 3;
constexpr double kMinAdmitProbability = 0.05;

}  // namespace

void MeanRequestSize::record(double units) {
  units_ = units_ > 0 ? decayedAverage(units_, units, 1, kRequestSizeTimeConstant) : units;
}

bool UnknownCustomers::canOverrunQuota(const Customer& customer) const {
  const PlanSettings& plan = settings_.plans[customer.planIndex];
  return plan.rate > 0 && plan.overQuotaCost > plan.overQuotaValue && settings_.quotaReadingPeriodMs > 0 &&
         customer.customerGatewayCount *
                 std::min(meanRequestSize_.units(), plan.burst / kMinOverrunGateways) >
             plan.burst;
}

bool UnknownCustomers::isUsageUnknown(const Customer& customer) const {
  return canOverrunQuota(customer) &&
         (customer.readingPercent < 0 || customer.updatedAt - customer.readingAt > kReadingValidMs);
}

// The more work beyond the quota costs, the lower the probability for a request of a given size.
double UnknownCustomers::admitProbability(const Request& request) const {
  const PlanSettings& plan = settings_.plans[request.planIndex];
  const double burst = std::max({plan.burst, kMinQuotaRequests * meanRequestSize_.units(), 1e-9});
  const double relativeSize = std::max(0.0, request.units) * (plan.overQuotaCost - plan.overQuotaValue) /
                              (assumedBurstShare_ * burst);
  return std::clamp((1 + kAdmitRampHalfWidth - relativeSize) / (2 * kAdmitRampHalfWidth),
                    kMinAdmitProbability, 1.0);
}

// If a customer's metered usage exceeds its rate, the excess is work beyond its quota.
void UnknownCustomers::recordReading(const Request& request, const PlanSettings& plan, double priorityWeight,
                                     int percent) {
  // A reading period has so few requests that chance alone can put a customer's metered usage below its rate.
  // The reading is therefore averaged with one request of mean size at exactly the rate.
  const double priorWeight = meanRequestSize_.units() / (plan.rate * settings_.quotaReadingPeriodMs / 1000);
  const double utilization = (percent / 100.0 + priorWeight) / (1 + priorWeight);
  const double units = std::max(0.0, request.units);
  const double value = units * plan.price * priorityWeight;
  meanRequestValue_ =
      meanRequestValue_ > 0 ? decayedAverage(meanRequestValue_, value, 1, kRequestValueTimeConstant) : value;
  if (meanRequestValue_ <= 0 || meanRequestSize_.units() <= 0) return;
  const double overQuotaShare = utilization > 1 ? 1 - 1 / utilization : 0;
  const double overQuotaLoss = (plan.overQuotaCost - plan.overQuotaValue) * overQuotaShare;
  const double error =
      value / meanRequestValue_ * (overQuotaLoss - kTargetOverQuotaCost * (1 - overQuotaShare));
  assumedBurstShare_ =
      std::clamp(assumedBurstShare_ * std::exp(-kAssumedBurstShareStep * std::clamp(error, -1.0, 1.0)),
                 kMinAssumedBurstShare, kMaxAssumedBurstShare);
}

}  // namespace wingslip::decision
