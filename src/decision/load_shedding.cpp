/// Load shedding: which new requests are too many, and in which order those in flight give way.
#include "decision/load_shedding.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace wingslip::decision {
namespace {

constexpr double kThresholdStep = 0.1;       // e-folds of the threshold for each new request
constexpr double kValueRandomSpread = 0.02;  // so that requests of equal value are not all or none shed
// Below this requests weigh alike: they cost descriptors and time, not bytes.
constexpr double kMinWeighedBytes = 16384;

}  // namespace

bool LoadShedding::mustReject(const Request& request, const ClassSettings& requestClass,
                              const PlanSettings& plan) {
  if (signal_.memoryShort && request.memoryBytes > kMinWeighedBytes) return true;
  if (!(signal_.shedFraction > 0)) return false;
  return isAmongShedShare(valuePerByte(request, requestClass, plan) *
                          (1 + kValueRandomSpread * random_.next()));
}

double LoadShedding::valuePerByte(const Request& request, const ClassSettings& requestClass,
                                  const PlanSettings& plan) {
  return requestClass.priorityWeight * plan.price * request.units /
         std::max(request.memoryBytes, kMinWeighedBytes);
}

// The threshold moves until the share of requests that is to be shed is under it.
bool LoadShedding::isAmongShedShare(double value) {
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
