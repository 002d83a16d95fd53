// Implementation of the state machine of the watch.
#include "endpoint_watch/endpoint_watch.hpp"

namespace wingslip {
namespace {

using Time = EndpointWatch::Time;

// Heartbeats arrive every 2 s, so one may be 0.4 s late. After an outage, the drain grace starts as soon as
// the agent responds again; with a longer timeout it could end before the connection's silence is detected.
constexpr Time kSilenceTimeoutMs = 2400;

// Shares of the drain grace: one half for a connect that is not answered, 1.5 times one eighth for the
// longest backoff delay, and the remainder for the request that then succeeds.
constexpr double kAnswerTimeoutShare = 0.5;
constexpr double kMaxBackoffShare = 0.125;
constexpr Time kDefaultDrainGraceMs = 2000;  // used if the settings have none; also the maximum
constexpr Time kMinDrainGraceMs = 400;
constexpr Time kFirstBackoffMs = 50;

// A discovery service at its capacity serves about 20 requests per second, and drops a request after 2 s.
constexpr Time kRejectedAnswerTimeoutMs = 2500;
constexpr Time kMinRejectedMaxBackoffMs = 1000;
constexpr Time kRejectedFirstBackoffPerGatekeeperMs = 20;
constexpr Time kRejectedMaxBackoffPerGatekeeperMs = 160;

// The drain grace starts 6 s after discovery becomes reachable. Three quarters of it may pass before the next
// connect; the remaining quarter is for the request.
constexpr Time kGraceStartAfterReachableMs = 6000;
constexpr double kGraceShareBeforeConnect = 0.75;
// Share of the interval over which connects are spread, so that gatekeepers do not connect simultaneously.
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
  limits.maxRejectedIntervalMs = kGraceStartAfterReachableMs + kGraceShareBeforeConnect * graceMs;
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
  bytesSinceProgress_ = 0;
  nextCheckAt_ = now + limits_.silenceTimeoutMs;
}

void EndpointWatch::onBytes(Time now, std::size_t bytes) {
  if (state_ != State::awaitingAnswer && state_ != State::watching) return;
  bytesSinceProgress_ += bytes;
  if (bytesSinceProgress_ < kProgressBytes) return;
  bytesSinceProgress_ = 0;
  const Time timeoutMs = state_ == State::watching ? limits_.silenceTimeoutMs : retryPolicy().answerTimeoutMs;
  nextCheckAt_ = std::max(nextCheckAt_, now + timeoutMs);
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
  bytesSinceProgress_ = 0;
  connectStartedAt_ = now;
  nextCheckAt_ = now + retryPolicy().answerTimeoutMs;
  ++connectCount_;
  return Action::connect;
}

// The delay is random, so that gatekeepers that lost their connections at the same time do not reconnect
// simultaneously.
EndpointWatch::Action EndpointWatch::backOff(Time now) {
  if (state_ == State::stopped || state_ == State::backingOff) return Action::none;
  const RetryPolicy& policy = retryPolicy();
  // After a watch that lasted longer than the maximum mean delay, the backoff starts over with the shortest
  // delay; after a shorter one, the delay increases further.
  const bool lasted = state_ == State::watching && now - watchingSince_ > policy.maxBackoffMs;
  if (lasted) meanBackoffMs_ = 0;
  meanBackoffMs_ =
      meanBackoffMs_ > 0 ? std::min(2 * meanBackoffMs_, policy.maxBackoffMs) : policy.firstBackoffMs;
  state_ = State::backingOff;
  nextCheckAt_ = now + meanBackoffMs_ * std::uniform_real_distribution<>(0.5, 1.5)(random_);
  if (rejected_) limitRejectedDelay(now);
  return Action::close;
}

// Bounds the delay, which grows with the fleet's size, so that a change of the list is received
// within the drain grace.
void EndpointWatch::limitRejectedDelay(Time now) {
  const Time intervalMs = limits_.maxRejectedIntervalMs;
  const Time latest = connectStartedAt_ + intervalMs;
  if (nextCheckAt_ > latest)
    nextCheckAt_ = latest - intervalMs * kRejectedSpread * std::uniform_real_distribution<>(0, 1)(random_);
  nextCheckAt_ = std::max(nextCheckAt_, now);
}

}  // namespace wingslip
