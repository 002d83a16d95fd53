#include "endpoint_watch/endpoint_watch.hpp"

namespace wingslip {
namespace {

using Time = EndpointWatch::Time;

// Heartbeats come every 2 s: one may be 0.4 s late. What an agent has counts as known from the moment it
// answers again, so a longer silence would use up the drain grace.
constexpr Time kSilenceTimeoutMs = 2400;

// Parts of the drain grace: half for an answer that does not come, 1.5 times an eighth for the longest delay,
// the rest for the request itself.
constexpr double kAnswerTimeoutShare = 0.5;
constexpr double kMaxBackoffShare = 0.125;
constexpr Time kDefaultDrainGraceMs = 2000;  // also the most that is used
constexpr Time kMinDrainGraceMs = 400;
constexpr Time kFirstBackoffMs = 50;

// A discovery service that rejects requests serves some 20 a second, and drops a request after 2 s.
constexpr Time kRejectedAnswerTimeoutMs = 2500;
constexpr Time kMinRejectedMaxBackoffMs = 1000;
constexpr Time kRejectedFirstBackoffPerGatekeeperMs = 20;
constexpr Time kRejectedMaxBackoffPerGatekeeperMs = 160;

// A change counts as known 6 s after discovery can be reached, and the drain grace follows; a quarter of that
// is left for the request itself.
constexpr Time kKnownAfterReachableMs = 6000;
constexpr double kGraceBeforeRequest = 0.75;
// Share of the interval over which connects are spread, so that gatekeepers do not connect together.
constexpr double kRejectedSpread = 1.0 / 6;

}  // namespace

EndpointWatch::Limits EndpointWatch::limitsFor(Time drainGraceMs, unsigned gatekeepers) {
  const Time graceMs = drainGraceMs > 0 ? std::clamp(drainGraceMs, kMinDrainGraceMs, kDefaultDrainGraceMs)
                                        : kDefaultDrainGraceMs;
  Limits limits;
  limits.silenceTimeoutMs = kSilenceTimeoutMs;
  limits.normal.answerTimeoutMs = kAnswerTimeoutShare * graceMs;
  limits.normal.maxBackoffMs = kMaxBackoffShare * graceMs;
  limits.normal.firstBackoffMs = std::min(kFirstBackoffMs, limits.normal.maxBackoffMs);
  limits.rejected.answerTimeoutMs = std::max(kRejectedAnswerTimeoutMs, limits.normal.answerTimeoutMs);
  limits.rejected.firstBackoffMs =
      std::max(kFirstBackoffMs, kRejectedFirstBackoffPerGatekeeperMs * gatekeepers);
  limits.rejected.maxBackoffMs =
      std::max(kMinRejectedMaxBackoffMs, kRejectedMaxBackoffPerGatekeeperMs * gatekeepers);
  limits.maxRejectedIntervalMs = kKnownAfterReachableMs + kGraceBeforeRequest * graceMs;
  return limits;
}

EndpointWatch::Action EndpointWatch::start(Time now) {
  rejected_ = false;
  meanBackoffMs_ = 0;
  state_ = State::backingOff;
  nextCheckAt_ = now;
  return checkTime(now);
}

EndpointWatch::Action EndpointWatch::onConnected(Time) {
  if (state_ != State::connecting) return Action::none;
  state_ = State::awaitingAnswer;
  return Action::sendRequest;
}

void EndpointWatch::onMessage(Time now) {
  if (state_ != State::awaitingAnswer && state_ != State::watching) return;
  if (state_ == State::awaitingAnswer) watchingSince_ = now;
  state_ = State::watching;
  rejected_ = false;
  nextCheckAt_ = now + limits_.silenceTimeoutMs;
}

EndpointWatch::Action EndpointWatch::onConnectionLost(Time now) { return backOff(now); }

EndpointWatch::Action EndpointWatch::onRejected(Time now) {
  if (!rejected_) meanBackoffMs_ = 0;
  rejected_ = true;
  return backOff(now);
}

EndpointWatch::Action EndpointWatch::checkTime(Time now) {
  if (state_ == State::stopped || now < nextCheckAt_) return Action::none;
  if (state_ != State::backingOff) return backOff(now);
  state_ = State::connecting;
  connectStartedAt_ = now;
  nextCheckAt_ = now + retryPolicy().answerTimeoutMs;
  ++connectCount_;
  return Action::connect;
}

// The delay is random, so that gatekeepers that lost discovery together do not connect together.
EndpointWatch::Action EndpointWatch::backOff(Time now) {
  if (state_ == State::stopped || state_ == State::backingOff) return Action::none;
  const RetryPolicy& policy = retryPolicy();
  // A watch that lasted starts over with the shortest delay; one that is lost at once each time does not.
  const bool lasted = state_ == State::watching && now - watchingSince_ > policy.maxBackoffMs;
  if (lasted) meanBackoffMs_ = 0;
  meanBackoffMs_ =
      meanBackoffMs_ > 0 ? std::min(2 * meanBackoffMs_, policy.maxBackoffMs) : policy.firstBackoffMs;
  state_ = State::backingOff;
  nextCheckAt_ = now + meanBackoffMs_ * std::uniform_real_distribution<>(0.5, 1.5)(random_);
  if (rejected_) limitRejectedDelay(now);
  return Action::close;
}

// Guards against a change that is known too late because the fleet's size has made the delay long.
void EndpointWatch::limitRejectedDelay(Time now) {
  const Time intervalMs = limits_.maxRejectedIntervalMs;
  const Time latest = connectStartedAt_ + intervalMs;
  if (nextCheckAt_ > latest)
    nextCheckAt_ = latest - intervalMs * kRejectedSpread * std::uniform_real_distribution<>(0, 1)(random_);
  nextCheckAt_ = std::max(nextCheckAt_, now);
}

}  // namespace wingslip
