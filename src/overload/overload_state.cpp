#include "overload/overload_state.hpp"

#include <algorithm>
#include <cmath>

namespace wingslip {
namespace {

using Time = OverloadState::Time;

constexpr double kTargetShareOfInterval = 0.05;  // CoDel's usual proportion
constexpr Time kMinIntervalMs = 100;             // and its usual interval
constexpr Time kMaxIntervalMs = 1000;
constexpr double kEndShareOfTarget = 0.5;  // a delay below this share of the target ends the overload
constexpr double kRejectShareStep = 0.1;   // an interval
constexpr double kMaxRejectShare = 0.9;    // some are admitted, or the end would not be noticed
constexpr double kNewDurationWeight = 0.3;

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

// One sample below the target shows that the queue was empty in between. Once there is an overload, only a
// sample well below the target ends it.
void OverloadState::onLoopDelay(Time now, Time delayMs) {
  Signal& loop = signal(OverloadSource::eventLoop);
  const bool overloaded = loop.level != OverloadLevel::none;
  const Time limitMs = overloaded ? kEndShareOfTarget * limits_.targetDelayMs : limits_.targetDelayMs;
  const bool late = delayMs >= limitMs;
  if (late && !loop.aboveHigh) loop.aboveHighSince = now;
  loop.aboveHigh = late;
  loop.active = late;
  const Time lateForMs = late ? std::max(now - loop.aboveHighSince, delayMs) : 0;
  if (lateForMs >= 2 * limits_.intervalMs)
    loop.level = OverloadLevel::shedding;
  else if (lateForMs >= limits_.intervalMs)
    loop.level = OverloadLevel::throttling;
  else
    loop.level = OverloadLevel::none;
  updateOverall(now);
}

// The event loop's level changes with samples only: time without one says nothing about it.
void OverloadState::onTime(Time now) {
  updateUsageLevel(now, signal(OverloadSource::memory));
  updateUsageLevel(now, signal(OverloadSource::descriptors));
  updateOverall(now);
}

void OverloadState::updateUsageLevel(Time now, Signal& usage) const {
  const bool standing = usage.aboveHigh && now - usage.aboveHighSince >= limits_.intervalMs;
  if (!usage.active)
    usage.level = OverloadLevel::none;
  else if (standing)
    usage.level = OverloadLevel::shedding;
  else if (usage.level != OverloadLevel::shedding)  // shedding goes on down to the low mark
    usage.level = OverloadLevel::throttling;
}

void OverloadState::updateOverall(Time now) {
  updateLevel(now);
  updateRejectShare(now);
}

void OverloadState::updateLevel(Time now) {
  OverloadLevel highest = OverloadLevel::none;
  for (const Signal& one : signals_) highest = std::max(highest, one.level);
  if (highest == level_) return;
  if (level_ == OverloadLevel::none) overloadedSince_ = now;
  if (highest == OverloadLevel::none) {
    const Time durationMs = now - overloadedSince_;
    usualDurationMs_ = usualDurationMs_ > 0
                           ? usualDurationMs_ + kNewDurationWeight * (durationMs - usualDurationMs_)
                           : durationMs;
  }
  level_ = highest;
  ++enteredCounts_[static_cast<std::size_t>(highest)];
}

// The first step up is taken at once, the first step down an interval later.
void OverloadState::updateRejectShare(Time now) {
  const bool rises = signal(OverloadSource::eventLoop).level == OverloadLevel::shedding;
  if (rises != shareRises_) lastShareStepAt_ = now - (rises ? limits_.intervalMs : 0);
  shareRises_ = rises;
  const double steps = std::floor((now - lastShareStepAt_) / limits_.intervalMs);
  if (steps < 1 || (!rises && rejectShare_ <= 0)) return;
  lastShareStepAt_ += steps * limits_.intervalMs;
  const double change = (rises ? 1 : -1) * kRejectShareStep * steps;
  rejectShare_ = std::clamp(rejectShare_ + change, 0.0, kMaxRejectShare);
  if (rejectShare_ < kRejectShareStep / 2) rejectShare_ = 0;  // rounding
}

double OverloadState::takeExcessBytes(Time now) {
  if (signal(OverloadSource::memory).level != OverloadLevel::shedding) return 0;
  if (now - excessTakenAt_ < limits_.intervalMs) return 0;
  excessTakenAt_ = now;
  return std::max(0.0, usedBytes_ - limits_.memory.low * totalBytes_);
}

Time OverloadState::expectedDurationMs(Time now) const {
  if (level_ == OverloadLevel::none) return 0;
  const Time lastedMs = now - overloadedSince_;
  return std::max({limits_.intervalMs, usualDurationMs_ - lastedMs, lastedMs});
}

}  // namespace wingslip
