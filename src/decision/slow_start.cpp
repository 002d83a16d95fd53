/// Slow start: the budget of a warming worker, derived from the rate of successful answers of warm workers.
#include "decision/slow_start.hpp"

#include "decision/decay.hpp"
#include "decision/settings_check.hpp"

namespace wingslip::decision {
namespace {

// Share of a warming worker's capacity that is used. At 1 there would be no safety margin: the minimum rate
// would use up Settings::overloadMultiple.
constexpr double kSafetyShare = 0.8;
constexpr Time kTotalRateTimeConstantMs = 4000;      // smoothing of the rate of all warm workers
constexpr Time kRatePerWorkerTimeConstantMs = 2000;  // smoothing of the rate per warm worker
// Decay of the rate per warm worker while no worker is warm, as in a release that replaces all workers.
constexpr Time kRatePerWorkerDecayTimeConstantMs = 60000;

}  // namespace

bool SlowStart::hasBudget(UpstreamWorker& worker, Time now, double capacityShare,
                          unsigned subsetCount) const {
  // The budget is divided among the gateways in whose subset the worker is.
  if (!worker.isInSubset) return false;
  const double gatewaysPerWorker = std::max(1.0, static_cast<double>(settings_.gatewayCount) / subsetCount);
  const double minRate =
      settings_.overloadMultiple / std::max(settings_.overloadWindowMs, 1.0) / gatewaysPerWorker;
  const double recentRate = decayedAverage(warmRatePerMs_, 0, now - updatedAt_, kTotalRateTimeConstantMs) /
                            std::max(1u, warmWorkers_);
  const double warmRate = std::max(recentRate, warmWorkerRate(now));
  worker.warmUpTokens =
      std::min(1.0, worker.warmUpTokens + kSafetyShare * capacityShare * std::max(warmRate, minRate) *
                                              (now - worker.warmUpTokensUpdatedAt));
  worker.warmUpTokensUpdatedAt = now;
  return worker.warmUpTokens >= 1;
}

void SlowStart::recordSuccess(const UpstreamWorker& worker, Time now,
                              const std::vector<UpstreamWorker>& workers) {
  if (!isWarm(worker, now)) return;
  const Time elapsedMs = now - updatedAt_;
  warmRatePerMs_ =
      decayedAverage(warmRatePerMs_, 0, elapsedMs, kTotalRateTimeConstantMs) + 1 / kTotalRateTimeConstantMs;
  updatedAt_ = now;
  warmWorkers_ = 0;
  for (const UpstreamWorker& other : workers)
    if (other.isInSubset && other.isReady() && isWarm(other, now) && !other.isEjected(now)) ++warmWorkers_;
  ratePerWarmWorker_ = decayedAverage(ratePerWarmWorker_, warmRatePerMs_ / std::max(1u, warmWorkers_),
                                      elapsedMs, kRatePerWorkerTimeConstantMs);
}

double SlowStart::warmWorkerRate(Time now) const {
  return decayedAverage(ratePerWarmWorker_, 0, now - updatedAt_, kRatePerWorkerDecayTimeConstantMs);
}

void SlowStart::seedWarmWorkerRate(Time now, double ratePerMs) {
  if (!isFiniteNonNegative(ratePerMs)) return;
  ratePerWarmWorker_ = ratePerMs;
  updatedAt_ = now;
}

}  // namespace wingslip::decision
