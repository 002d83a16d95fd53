/// Customers of whose use of the fleet-wide quota nothing is known: whom to admit, and steering by readings.
#include "decision/unknown_customers.hpp"

#include <algorithm>
#include <cmath>

#include "decision/decay.hpp"

namespace wingslip::decision {
namespace {

constexpr double kUsualSizeMemory = 50;   // new customers
constexpr double kUsualValueMemory = 50;  // requests
constexpr Time kReadingValidMs = 3000;    // a customer with a reading younger than this is known
// Cost that work beyond quotas may have, of the value that is admitted inside them.
constexpr double kTargetOverQuotaCost = 0.09;
constexpr double kMinGateways = 4;        // up to so many never outrun a quota by one large first request
constexpr double kMinQuotaRequests = 12;  // usual requests that a burst is taken to hold at least
constexpr double kMinReach = 0.08;
constexpr double kMaxReach = 1.5;
constexpr double kReachStep = 0.4;        // of the reach, by a request of usual value
constexpr double kReachSpread = 1.0 / 3;  // of the reach, by chance, so that no size is never admitted
constexpr double kMinAdmitProbability = 0.05;

}  // namespace

void UsualRequestSize::note(double units) {
  units_ = units_ > 0 ? approach(units_, units, 1, kUsualSizeMemory) : units;
}

bool UnknownCustomers::outrunsQuota(const Customer& customer) const {
  const PlanSettings& plan = settings_.plans[customer.planIndex];
  return plan.rate > 0 && plan.overQuotaCost > plan.overQuotaValue && settings_.quotaReadingPeriodMs > 0 &&
         customer.customerGateways * std::min(usualSize_.units(), plan.burst / kMinGateways) > plan.burst;
}

bool UnknownCustomers::isUnknown(const Customer& customer) const {
  return outrunsQuota(customer) &&
         (customer.readingPercent < 0 || customer.advancedAt - customer.readingAt > kReadingValidMs);
}

// The dearer work beyond the quota is, the smaller a request has to be.
double UnknownCustomers::admitProbability(const Request& request) const {
  const PlanSettings& plan = settings_.plans[request.planIndex];
  const double burst = std::max({plan.burst, kMinQuotaRequests * usualSize_.units(), 1e-9});
  const double size =
      std::max(0.0, request.units) * (plan.overQuotaCost - plan.overQuotaValue) / (reach_ * burst);
  return std::clamp((1 + kReachSpread - size) / (2 * kReachSpread), kMinAdmitProbability, 1.0);
}

// Of a customer metered past its rate, what is over the rate was beyond its quota.
void UnknownCustomers::noteReading(const Request& request, const PlanSettings& plan, double priorityWeight,
                                   int percent) {
  // A period holds few requests: by one usual request at the rate itself, chance alone looks like less.
  const double chance = usualSize_.units() / (plan.rate * settings_.quotaReadingPeriodMs / 1000);
  const double use = (percent / 100.0 + chance) / (1 + chance);
  const double units = std::max(0.0, request.units);
  const double value = units * plan.price * priorityWeight;
  usualValue_ = usualValue_ > 0 ? approach(usualValue_, value, 1, kUsualValueMemory) : value;
  if (usualValue_ <= 0 || usualSize_.units() <= 0) return;
  const double beyond = use > 1 ? 1 - 1 / use : 0;
  const double overQuotaLoss = (plan.overQuotaCost - plan.overQuotaValue) * beyond;
  const double error = value / usualValue_ * (overQuotaLoss - kTargetOverQuotaCost * (1 - beyond));
  reach_ = std::clamp(reach_ * std::exp(-kReachStep * std::clamp(error, -1.0, 1.0)), kMinReach, kMaxReach);
}

}  // namespace wingslip::decision
