#include "overload/overload_state.hpp"

#include <algorithm>
#include <cmath>

namespace wingslip {
namespace {

using Time = Pressure::Time;

constexpr double kTargetOfInterval = 0.05;  // CoDel's usual proportion
constexpr Time kLeastInterval = 100;        // and its usual interval
constexpr Time kMostInterval = 1000;        // what stands for a second stands, whatever the aims
constexpr double kLowOfTarget = 0.5;        // a delay under this ends the stage; between the two it stays
constexpr double kShareStep = 0.1;          // of new requests, an interval
constexpr double kShareMost = 0.9;          // some are let in, or nobody finds out that it is over
constexpr double kNewSpell = 0.3;           // weight of the last spell in the usual length

}  // namespace

Pressure::Limits Pressure::limitsFor(Time shortestAim) {
  Limits out;
  out.interval = std::clamp(shortestAim, kLeastInterval, kMostInterval);
  out.target = kTargetOfInterval * out.interval;
  return out;
}

void Pressure::level(Time now, Source source, double used, double total) {
  const Marks& marks = source == Source::memory ? limits_.memory : limits_.descriptors;
  Seen& seen = of(source);
  if (source == Source::memory) held_ = used, total_ = total;
  const double part = total > 0 ? used / total : 0;
  if (part >= marks.high && !seen.over) seen.above = now;
  seen.over = part >= marks.high;
  seen.passed = part > marks.low && (seen.over || seen.passed);
  look(now);
}

// One sample under the target, and the queue does not stand: it has been empty in between. Once it stands,
// only one well under the target ends that.
void Pressure::loopDelay(Time now, Time delay) {
  Seen& seen = of(Source::loop);
  const Time least = seen.stage == Stage::none ? limits_.target : kLowOfTarget * limits_.target;
  if (delay >= least && !seen.over) seen.above = now;
  seen.over = seen.passed = delay >= least;
  const Time stood = seen.over ? std::max(now - seen.above, delay) : 0;  // a late sample was due long ago
  seen.stage = stood >= 2 * limits_.interval ? Stage::shed
               : stood >= limits_.interval   ? Stage::slow
                                             : Stage::none;
  conclude(now);
}

// The loop's is judged by samples alone: time that passes without one says nothing of it.
void Pressure::look(Time now) {
  judge(now, of(Source::memory));
  judge(now, of(Source::descriptors));
  conclude(now);
}

void Pressure::judge(Time now, Seen& seen) const {
  if (!seen.passed)
    seen.stage = Stage::none;
  else if (seen.over && now - seen.above >= limits_.interval)
    seen.stage = Stage::shed;
  else if (seen.stage != Stage::shed)  // once shed, down to the low mark
    seen.stage = Stage::slow;
}

void Pressure::conclude(Time now) {
  Stage worst = Stage::none;
  for (const Seen& seen : seen_) worst = std::max(worst, seen.stage);
  if (worst != stage_) {
    if (stage_ == Stage::none) began_ = now;
    if (worst == Stage::none) {
      const Time spell = now - began_;
      usual_ = usual_ > 0 ? usual_ + kNewSpell * (spell - usual_) : spell;
    }
    stage_ = worst;
    ++entered_[static_cast<std::size_t>(worst)];
  }
  // The first step is taken at once, and the first one back an interval later.
  const bool rises = of(Source::loop).stage == Stage::shed;
  if (rises != rising_) stepAt_ = now - (rises ? limits_.interval : 0);
  rising_ = rises;
  const double steps = std::floor((now - stepAt_) / limits_.interval);
  if (steps < 1 || (!rises && share_ <= 0)) return;
  stepAt_ += steps * limits_.interval;
  share_ = std::clamp(share_ + (rises ? 1 : -1) * kShareStep * steps, 0.0, kShareMost);
  if (share_ < kShareStep / 2) share_ = 0;
}

double Pressure::takeExcess(Time now) {
  if (of(Source::memory).stage != Stage::shed || now - shedAt_ < limits_.interval) return 0;
  shedAt_ = now;
  return std::max(0.0, held_ - limits_.memory.low * total_);
}

Time Pressure::lasts(Time now) const {
  if (stage_ == Stage::none) return 0;
  const Time age = now - began_;
  return std::max({limits_.interval, usual_ - age, age});
}

}  // namespace wingslip
