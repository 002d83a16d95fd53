// Implementation of overload detection.
#include "overload/overload_state.hpp"

#include <algorithm>
#include <cmath>

namespace wingslip {
namespace {

using Time = OverloadState::Time;

constexpr double kTargetShareOfInterval = 0.05;  // CoDel's usual ratio of target to interval
constexpr Time kMinIntervalMs = 100;             // CoDel's usual interval
constexpr Time kMaxIntervalMs = 1000;
constexpr double kRecoveryShareOfTarget = 0.5;  // a delay below this share of the target ends an overload
constexpr double kRejectShareStep = 0.1;        // per interval
// Below 1, so that some requests are admitted and show the end of the overload.
constexpr double kMaxRejectShare = 0.9;
constexpr double kNewestDurationWeight = 0.3;  // of the last overload in the moving average of durations

}  // namespace

OverloadState::Limits OverloadState::limitsFor(Time minLatencyObjectiveMs) {
  Limits limits;
  limits.intervalMs = std::clamp(minLatencyObjectiveMs, kMinIntervalMs, kMaxIntervalMs);
  limits.targetDelayMs = kTargetShareOfInterval * limits.intervalMs;
  return limits;
}

void OverloadState::onUsage(Time now, OverloadSource source, double used, double total) {
  const bool isMemory = source == OverloadSource::memory;
  if (isMemory) {
    usedBytes_ = used;
    totalBytes_ = total;
  }
  const Watermarks& marks = isMemory ? limits_.memory : limits_.descriptors;
  const double share = total > 0 ? used / total : 0;
  Signal& usage = signal(source);
  if (share >= marks.high && !usage.aboveHigh) usage.aboveHighSince = now;
  usage.aboveHigh = share >= marks.high;
  usage.active = share > marks.low && (usage.aboveHigh || usage.active);
  onTime(now);
}

// A single sample below the target proves that the event loop's queue has been empty. During an overload only
// a sample well below the target ends it.
void OverloadState::onLoopDelay(Time now, Time delayMs) {
  Signal& loop = signal(OverloadSource::eventLoop);
  const bool overloaded = loop.level != OverloadLevel::none;
  const Time limitMs = overloaded ? kRecoveryShareOfTarget * limits_.targetDelayMs : limits_.targetDelayMs;
  const bool isLate = delayMs >= limitMs;
  if (isLate && !loop.aboveHigh) loop.aboveHighSince = now;
  loop.aboveHigh = isLate;
  loop.active = isLate;
  const Time lateDurationMs = isLate ? std::max(now - loop.aboveHighSince, delayMs) : 0;
  if (lateDurationMs >= 2 * limits_.intervalMs)
    loop.level = OverloadLevel::shedding;
  else if (lateDurationMs >= limits_.intervalMs)
    loop.level = OverloadLevel::throttling;
  else
    loop.level = OverloadLevel::none;
  updateLevelAndRejectShare(now);
}

// The event loop's level changes only with samples: elapsed time alone gives no information about it.
void OverloadState::onTime(Time now) {
  updateUsageLevel(now, signal(OverloadSource::memory));
  updateUsageLevel(now, signal(OverloadSource::descriptors));
  updateLevelAndRejectShare(now);
}

void OverloadState::updateUsageLevel(Time now, Signal& usage) const {
  const bool isSustained = usage.aboveHigh && now - usage.aboveHighSince >= limits_.intervalMs;
  if (!usage.active)
    usage.level = OverloadLevel::none;
  else if (isSustained)
    usage.level = OverloadLevel::shedding;
  else if (usage.level != OverloadLevel::shedding)  // shedding continues until usage reaches the low mark
    usage.level = OverloadLevel::throttling;
}

void OverloadState::updateLevelAndRejectShare(Time now) {
  updateLevel(now);
  updateRejectShare(now);
}

void OverloadState::updateLevel(Time now) {
  OverloadLevel highest = OverloadLevel::none;
  for (const Signal& sourceSignal : signals_) highest = std::max(highest, sourceSignal.level);
  if (highest == level_) return;
  if (level_ == OverloadLevel::none) overloadedSince_ = now;
  if (highest == OverloadLevel::none) {
    const Time durationMs = now - overloadedSince_;
    meanDurationMs_ = meanDurationMs_ > 0
                          ? meanDurationMs_ + kNewestDurationWeight * (durationMs - meanDurationMs_)
                          : durationMs;
  }
  level_ = highest;
  ++enteredCounts_[static_cast<std::size_t>(highest)];
}

// The first increase takes effect immediately, the first decrease one interval later.
void OverloadState::updateRejectShare(Time now) {
  const bool isRising = signal(OverloadSource::eventLoop).level == OverloadLevel::shedding;
  if (isRising != rejectShareRising_) lastShareStepAt_ = now - (isRising ? limits_.intervalMs : 0);
  rejectShareRising_ = isRising;
  const double steps = std::floor((now - lastShareStepAt_) / limits_.intervalMs);
  if (steps < 1 || (!isRising && rejectShare_ <= 0)) return;
  lastShareStepAt_ += steps * limits_.intervalMs;
  const double change = (isRising ? 1 : -1) * kRejectShareStep * steps;
  rejectShare_ = std::clamp(rejectShare_ + change, 0.0, kMaxRejectShare);
  if (rejectShare_ < kRejectShareStep / 2) rejectShare_ = 0;  // removes the residue of rounding
}

double OverloadState::takeExcessBytes(Time now) {
  if (signal(OverloadSource::memory).level != OverloadLevel::shedding) return 0;
  if (now - lastExcessAt_ < limits_.intervalMs) return 0;
  lastExcessAt_ = now;
  return std::max(0.0, usedBytes_ - limits_.memory.low * totalBytes_);
}

Time OverloadState::expectedDurationMs(Time now) const {
  if (level_ == OverloadLevel::none) return 0;
  const Time elapsedMs = now - overloadedSince_;
  return std::max({limits_.intervalMs, meanDurationMs_ - elapsedMs, elapsedMs});
}

}  // namespace wingslip
