/// Slow start: budget of a warming worker, and what it is measured by.
#include "decision/slow_start.hpp"

#include "decision/decay.hpp"
#include "decision/settings_check.hpp"

namespace wingslip::decision {
namespace {

constexpr double kSafetyShare = 0.8;  // of a warming worker's capacity; 1 would use up overloadMultiple
constexpr Time kRateMemoryMs = 4000;
constexpr Time kRateSmoothingMs = 2000;          // over which the rate of one warm worker is learned
constexpr Time kWarmWorkerRateMemoryMs = 60000;  // while no worker is warm, as in a release of all

}  // namespace

bool SlowStart::hasBudget(UpstreamWorker& worker, Time now, double capacityShare, unsigned subsets) const {
  // The budget is divided among the gateways in whose subset the worker is.
  if (!worker.isInSubset) return false;
  const double gatewaysPerWorker = std::max(1.0, static_cast<double>(settings_.gatewayCount) / subsets);
  const double leastRate =
      settings_.overloadMultiple / std::max(settings_.overloadWindowMs, 1.0) / gatewaysPerWorker;
  const double recentRate =
      approach(warmRatePerMs_, 0, now - updatedAt_, kRateMemoryMs) / std::max(1u, warmWorkers_);
  const double knownRate = std::max(recentRate, warmWorkerRate(now));
  worker.warmUpTokens =
      std::min(1.0, worker.warmUpTokens + kSafetyShare * capacityShare * std::max(knownRate, leastRate) *
                                              (now - worker.warmUpTokensAt));
  worker.warmUpTokensAt = now;
  return worker.warmUpTokens >= 1;
}

void SlowStart::noteGoodAnswer(const UpstreamWorker& worker, Time now,
                               const std::vector<UpstreamWorker>& workers) {
  if (!isWarm(worker, now)) return;
  const Time elapsedMs = now - updatedAt_;
  warmRatePerMs_ = approach(warmRatePerMs_, 0, elapsedMs, kRateMemoryMs) + 1 / kRateMemoryMs;
  updatedAt_ = now;
  warmWorkers_ = 0;
  for (const UpstreamWorker& other : workers)
    if (other.isInSubset && other.isReady() && isWarm(other, now) && !other.isEjected(now)) ++warmWorkers_;
  ratePerWarmWorker_ =
      approach(ratePerWarmWorker_, warmRatePerMs_ / std::max(1u, warmWorkers_), elapsedMs, kRateSmoothingMs);
}

double SlowStart::warmWorkerRate(Time now) const {
  return approach(ratePerWarmWorker_, 0, now - updatedAt_, kWarmWorkerRateMemoryMs);
}

void SlowStart::seedWarmWorkerRate(Time now, double ratePerMs) {
  if (!isFiniteNonNegative(ratePerMs)) return;
  ratePerWarmWorker_ = ratePerMs;
  updatedAt_ = now;
}

}  // namespace wingslip::decision
