/// Limits on attempts in flight: how late and early answers move them.
#include "decision/concurrency_limit.hpp"

#include <algorithm>
#include <cmath>

#include "decision/decay.hpp"

namespace wingslip::decision {
namespace {

constexpr double kLateShare = 0.5;          // of the latency objective
constexpr double kEarlyShare = 0.25;        // of the latency objective
constexpr double kInitialLimit = 12;        // attempts at a worker, of all gateways together
constexpr double kMaxWorkerLimit = 200;     // attempts
constexpr double kMinGatewayLimit = 0.1;    // attempts; above 0, or recovered workers would not be found
constexpr double kWorkerLimitCut = 0.85;    // factor of a cut
constexpr Time kMinCutIntervalMs = 200;     // several late answers at a time are one cut
constexpr double kMinUsedShare = 0.7;       // of a limit that must be in use for it to grow
constexpr double kGatewayCutPerS = 2;       // e-folds per second while answers are late
constexpr double kGatewayGrowthPerS = 0.6;  // and while they are early
constexpr double kPeakHeadroom = 2;         // times the peak, what a first late answer leaves of the limit
constexpr Time kPeakMemoryMs = 4000;
constexpr Time kMinOverloadPauseMs = 150;  // doubles while the worker stays overloaded
constexpr Time kMaxOverloadPauseMs = 2000;

}  // namespace

AnswerTiming timingOf(const AttemptOutcome& outcome, Time latencyObjectiveMs) {
  AnswerTiming timing;
  timing.isLate =
      outcome.result == AttemptResult::overloaded || outcome.latencyMs > kLateShare * latencyObjectiveMs;
  timing.isEarly =
      outcome.result == AttemptResult::ok && outcome.latencyMs < kEarlyShare * latencyObjectiveMs;
  return timing;
}

double initialWorkerLimit(unsigned gatewayCount) { return std::max(1.0, kInitialLimit / gatewayCount); }

void steerWorkerLimit(UpstreamWorker& worker, Time now, AnswerTiming timing) {
  if (timing.isLate && now - worker.limitCutAt >= kMinCutIntervalMs) {
    worker.limit = std::max(1.0, kWorkerLimitCut * std::min(worker.limit, worker.inFlight + 1.0));
    worker.limitCutAt = now;
  } else if (timing.isEarly && worker.inFlight + 1 >= kMinUsedShare * worker.limit) {
    worker.limit = std::min(kMaxWorkerLimit, worker.limit + 1 / worker.limit);
  }
}

void pauseOverloaded(UpstreamWorker& worker, Time now) {
  worker.overloadPauseMs = std::clamp(2 * worker.overloadPauseMs, kMinOverloadPauseMs, kMaxOverloadPauseMs);
  worker.pausedUntil = now + worker.overloadPauseMs;
}

void GatewayConcurrencyLimit::start(std::size_t workers, unsigned gatewayCount) {
  if (limit_ <= 0) limit_ = kInitialLimit * static_cast<double>(workers) / gatewayCount;
}

void GatewayConcurrencyLimit::noteAttemptStarted(Time now) {
  ++inFlight_;
  notePeak(now);
}

void GatewayConcurrencyLimit::noteAttemptEnded() {
  if (inFlight_ > 0) --inFlight_;
}

void GatewayConcurrencyLimit::steer(Time now, AnswerTiming timing, bool tellsOfWorkerOnly) {
  const double seconds = std::min(now - steeredAt_, kMinCutIntervalMs) / 1000;
  steeredAt_ = now;
  notePeak(now);
  if (timing.isLate && tellsOfWorkerOnly) return;
  if (timing.isLate)
    limit_ = std::max(kMinGatewayLimit,
                      std::min(limit_, kPeakHeadroom * (peak_ + 1)) * std::exp(-kGatewayCutPerS * seconds));
  else if (timing.isEarly && inFlight_ + 1 >= kMinUsedShare * limit_)
    limit_ *= std::exp(kGatewayGrowthPerS * seconds);
}

// What is in flight at one moment says little where a request takes less time than lies between two: a limit
// drawn from it would reject the next burst while workers are idle.
void GatewayConcurrencyLimit::notePeak(Time now) {
  peak_ = std::max<double>(inFlight_, approach(peak_, 0, now - peakAt_, kPeakMemoryMs));
  peakAt_ = now;
}

}  // namespace wingslip::decision
