#include "endpoint_watch/endpoint_watch.hpp"

#include <algorithm>

namespace wingslip {
namespace {

// An empty line comes every 2 s: one is 0.4 s late. What an agent has when it begins to talk again
// after a while counts as told in that moment, also where the watch that it had broken has not been missed
// yet: longer, and a worker that leaves is sent to after an outage of up to this less `stopWithin`. Shorter:
// lines that are a little late reopen the watch.
constexpr Watch::Time kSilence = 2400;
// An agent of one's own answers at once. When it begins to talk again, what it has counts as told in that
// moment, and there is `stopWithin` to have it: half of that for an answer that does not come, three eighths
// for one and a half times the longest wait, the rest for the call itself. Longer: a worker that leaves is
// sent to. Shorter: calls that a slow machine would have answered are made twice.
constexpr double kAnswerShare = 0.5, kMostShare = 0.125;
constexpr Watch::Time kUsualStop = 2000, kLeastStop = 400;
constexpr Watch::Time kFirst = 50;
// Where discovery turns calls away it serves many, some twenty calls a second, and gives one up after 2 s
// itself. Calls that come faster than that for long each wait past its time, so that none is served any
// more. Shorter: that; longer: late news after a loss.
constexpr Watch::Time kSharedAnswer = 2500, kSharedMost = 1000;
constexpr Watch::Time kFirstEach = 20, kMostEach = 160;
// However many they are: 6 s after discovery can be reached what it has counts as told, and there are
// `stopWithin` more; a quarter of these is left for the call itself. A call begins within this of the one
// before.
constexpr Watch::Time kToldAnyway = 6000;
constexpr double kSharedSpread = 1.0 / 6;  // of the longest time between two calls; 0: all call together

}  // namespace

Watch::Limits Watch::limitsFor(Time stopWithin, unsigned gatekeepers) {
  const Time stop = stopWithin > 0 ? std::clamp(stopWithin, kLeastStop, kUsualStop) : kUsualStop;
  Limits out;
  out.answerTimeout = kAnswerShare * stop;
  out.silenceTimeout = kSilence;
  out.maxBackoff = kMostShare * stop;
  out.firstBackoff = std::min(kFirst, out.maxBackoff);
  out.sharedAnswerTimeout = std::max(kSharedAnswer, out.answerTimeout);
  out.sharedFirstBackoff = std::max(kFirst, kFirstEach * gatekeepers);
  out.sharedMaxBackoff = std::max(kSharedMost, kMostEach * gatekeepers);
  out.sharedCallInterval = kToldAnyway + 0.75 * stop;
  return out;
}

Watch::Act Watch::open(Time now) {
  shared_ = false;
  backoff_ = 0;
  state_ = State::waiting;
  due_ = now;
  return look(now);
}

Watch::Act Watch::up(Time) {
  if (state_ != State::connecting) return Act::none;
  state_ = State::asked;
  return Act::ask;
}

void Watch::line(Time now) {
  if (state_ != State::asked && state_ != State::watching) return;
  if (state_ == State::asked) since_ = now;
  state_ = State::watching;
  shared_ = false;
  due_ = now + limits_.silenceTimeout;
}

Watch::Act Watch::lost(Time now) { return backOff(now); }

Watch::Act Watch::turnedAway(Time now) {
  if (!shared_) backoff_ = 0;
  shared_ = true;
  return backOff(now);
}

Watch::Act Watch::look(Time now) {
  if (state_ == State::stopped || now < due_) return Act::none;
  if (state_ != State::waiting) return backOff(now);
  state_ = State::connecting;
  calledAt_ = now;
  due_ = now + (shared_ ? limits_.sharedAnswerTimeout : limits_.answerTimeout);
  ++calls_;
  return Act::connect;
}

// By chance: gatekeepers that lost discovery together do not come back together. A watch that stood for a
// while before it was lost is no reason for a longer wait; one that is lost at once each time is.
Watch::Act Watch::backOff(Time now) {
  if (state_ == State::stopped || state_ == State::waiting) return Act::none;
  const Time first = shared_ ? limits_.sharedFirstBackoff : limits_.firstBackoff;
  const Time most = shared_ ? limits_.sharedMaxBackoff : limits_.maxBackoff;
  if (state_ == State::watching && now - since_ > most) backoff_ = 0;
  backoff_ = backoff_ > 0 ? std::min(2 * backoff_, most) : first;
  state_ = State::waiting;
  due_ = now + backoff_ * std::uniform_real_distribution<>(0.5, 1.5)(random_);
  if (shared_) {
    const Time latest = calledAt_ + limits_.sharedCallInterval;
    if (due_ > latest)
      due_ = latest -
             limits_.sharedCallInterval * kSharedSpread * std::uniform_real_distribution<>(0, 1)(random_);
    due_ = std::max(due_, now);
  }
  return Act::close;
}

}  // namespace wingslip
