/// Concurrency limits: growth after early answers and cuts after late ones.
#include "decision/concurrency_limit.hpp"

#include <algorithm>
#include <cmath>

#include "decision/decay.hpp"

namespace wingslip::decision {
namespace {

constexpr double kLateLatencyShare = 0.5;    // an attempt is late above this share of the latency objective
constexpr double kEarlyLatencyShare = 0.25;  // an answer is early below this share of the latency objective
constexpr double kInitialAttemptsPerWorker = 12;  // attempts in flight at a worker, of all gateways together
constexpr double kMaxWorkerLimit = 200;           // attempts in flight of this gateway at one worker
// Attempts; above 0, because without any attempt the gateway could not detect that the workers have
// recovered.
constexpr double kMinGatewayLimit = 0.1;
constexpr double kWorkerLimitCutFactor = 0.85;
// Late outcomes at a worker within this interval cause a single cut of its limit. Also the upper bound of the
// time for which one outcome changes the gateway's limit.
constexpr Time kMinCutIntervalMs = 200;
constexpr double kMinUtilization = 0.7;  // share of a limit that must be in use for it to grow
// Rates at which the natural logarithm of the gateway's limit changes, per second.
constexpr double kGatewayCutPerS = 2;       // while answers are late
constexpr double kGatewayGrowthPerS = 0.6;  // while answers are early
// A late outcome cuts the gateway's limit to at most this factor times the recent peak of attempts in flight
// plus 1: kPeakHeadroomFactor * (peak + 1).
constexpr double kPeakHeadroomFactor = 2;
constexpr Time kPeakTimeConstantMs = 4000;
constexpr Time kMinOverloadPauseMs = 150;  // doubles with each rejection until a successful answer
constexpr Time kMaxOverloadPauseMs = 2000;

}  // namespace

OutcomeTiming timingOf(const AttemptOutcome& outcome, Time latencyObjectiveMs) {
  OutcomeTiming timing;
  timing.isLate = outcome.result == AttemptResult::overloaded ||
                  outcome.latencyMs > kLateLatencyShare * latencyObjectiveMs;
  timing.isEarly =
      outcome.result == AttemptResult::ok && outcome.latencyMs < kEarlyLatencyShare * latencyObjectiveMs;
  return timing;
}

double initialWorkerLimit(unsigned gatewayCount) {
  return std::max(1.0, kInitialAttemptsPerWorker / gatewayCount);
}

void updateWorkerLimit(UpstreamWorker& worker, Time now, OutcomeTiming timing) {
  if (timing.isLate && now - worker.limitCutAt >= kMinCutIntervalMs) {
    worker.limit = std::max(1.0, kWorkerLimitCutFactor * std::min(worker.limit, worker.inFlight + 1.0));
    worker.limitCutAt = now;
  } else if (timing.isEarly && worker.inFlight + 1 >= kMinUtilization * worker.limit) {
    worker.limit = std::min(kMaxWorkerLimit, worker.limit + 1 / worker.limit);
  }
}

void pauseOverloaded(UpstreamWorker& worker, Time now) {
  worker.overloadPauseMs = std::clamp(2 * worker.overloadPauseMs, kMinOverloadPauseMs, kMaxOverloadPauseMs);
  worker.pausedUntil = now + worker.overloadPauseMs;
}

void GatewayConcurrencyLimit::initialize(std::size_t workers, unsigned gatewayCount) {
  if (limit_ <= 0) limit_ = kInitialAttemptsPerWorker * static_cast<double>(workers) / gatewayCount;
}

void GatewayConcurrencyLimit::recordAttemptStarted(Time now) {
  ++inFlight_;
  updatePeak(now);
}

void GatewayConcurrencyLimit::recordAttemptEnded() {
  if (inFlight_ > 0) --inFlight_;
}

void GatewayConcurrencyLimit::update(Time now, OutcomeTiming timing, bool isWorkerSpecific) {
  const double seconds = std::min(now - updatedAt_, kMinCutIntervalMs) / 1000;
  updatedAt_ = now;
  updatePeak(now);
  if (timing.isLate && isWorkerSpecific) return;
  if (timing.isLate)
    limit_ = std::max(kMinGatewayLimit, std::min(limit_, kPeakHeadroomFactor * (peak_ + 1)) *
                                            std::exp(-kGatewayCutPerS * seconds));
  else if (timing.isEarly && inFlight_ + 1 >= kMinUtilization * limit_)
    limit_ *= std::exp(kGatewayGrowthPerS * seconds);
}

// Tracks a decaying peak instead of the current count: where requests are shorter than the gaps between them,
// the count is close to 0 at most moments, and a limit derived from it would reject the next burst while
// workers are idle.
void GatewayConcurrencyLimit::updatePeak(Time now) {
  peak_ = std::max<double>(inFlight_, decayedAverage(peak_, 0, now - peakAt_, kPeakTimeConstantMs));
  peakAt_ = now;
}

}  // namespace wingslip::decision
