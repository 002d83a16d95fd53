/// Load shedding: selects the new requests to reject and orders those in flight for release.
#include "decision/load_shedding.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace wingslip::decision {
namespace {

// Maximum change of the threshold's natural logarithm by one new request.
constexpr double kThresholdStep = 0.1;
constexpr double kValueJitter = 0.02;  // without it, requests of equal value would be shed all or none
// Smaller requests are weighed as if they had this size, because their main cost is file descriptors and
// processing time, not memory. Larger ones are rejected while the host is short of memory.
constexpr double kMinWeighedBytes = 16384;

}  // namespace

bool LoadShedding::shouldReject(const Request& request, const ClassSettings& requestClass,
                                const PlanSettings& plan) {
  if (signal_.isMemoryOverloaded && request.memoryBytes > kMinWeighedBytes) return true;
  if (!(signal_.shedFraction > 0)) return false;
  return shouldShed(valuePerByte(request, requestClass, plan) * (1 + kValueJitter * random_.next()));
}

double LoadShedding::valuePerByte(const Request& request, const ClassSettings& requestClass,
                                  const PlanSettings& plan) {
  return requestClass.priorityWeight * plan.price * request.units /
         std::max(request.memoryBytes, kMinWeighedBytes);
}

// Adjusts the threshold so that the share of requests whose value is below it approaches the shed fraction.
bool LoadShedding::shouldShed(double value) {
  if (valueThreshold_ <= 0) valueThreshold_ = value;
  const bool isShed = value < valueThreshold_;
  valueThreshold_ *= std::exp(kThresholdStep * (signal_.shedFraction - isShed));
  return isShed;
}

void LoadShedding::sort(std::vector<ReleaseCandidate>& order) {
  const auto rank = [](const ReleaseCandidate& candidate) {
    return std::tie(candidate.responseStarted, candidate.isWithinQuota, candidate.valuePerByte, candidate.id);
  };
  std::sort(order.begin(), order.end(),
            [&](const ReleaseCandidate& a, const ReleaseCandidate& b) { return rank(a) < rank(b); });
}

}  // namespace wingslip::decision
