#include "leader_election/store_session.hpp"

#include <algorithm>
#include <limits>
#include <utility>

#include "leader_election/registration.hpp"

namespace wingslip::leader_election {

StoreSession::StoreSession(const Timing& timing, const ProcessIdentity& self, StoreCalls& calls,
                           RandomDelay& random, ElectionCounts& counts)
    : timing_(timing), self_(self), calls_(calls), random_(random), counts_(counts) {}

Time StoreSession::start(Time now) {
  dueAt_ = now + random_.upTo(timing_.maxJitterMs());
  return dueAt_;
}

// --- Session ---------------------------------------------------------------------------------------------

void StoreSession::runDue(Time now, bool draining) {
  if (sessionCallId_ != 0 || now < dueAt_ || (draining && !live_)) return;
  StoreCall call;
  call.operation = live_ ? StoreOperation::renewSession : StoreOperation::createSession;
  call.session = id_;
  call.ttlMs = timing_.ttlMs;
  call.lockDelayMs = timing_.lockDelayMs;
  call.value = self_.name;
  sessionCallId_ = calls_.send(now, std::move(call), CallPurpose::session);
}

StoreSession::Change StoreSession::onSessionReply(Time now, const StoreReply& reply, Time sentAt) {
  sessionCallId_ = 0;
  const Time maxBackoffMs = live_ ? timing_.ttlMs / 6 : std::max(timing_.ttlMs, 2 * timing_.maxJitterMs());
  const Time retryMs = random_.upTo(backoff_.next(kFirstBackoffMs, maxBackoffMs));
  if (!live_) {
    dueAt_ = now + std::max(kFirstBackoffMs, retryMs);
    if (!reply.answered || reply.session.empty()) return Change::none;
    id_ = reply.session;
    live_ = true;
    createdAt_ = sentAt;
    scheduleRegistration(now);
  } else if (!reply.answered) {
    ++counts_.renewalsFailed;
    dueAt_ = now + std::max(kFirstBackoffMs / 2, retryMs);
    return Change::none;
  } else if (!reply.succeeded) {
    ++counts_.sessionsLost;
    clearSession(now);
    return Change::lost;
  }
  renewedAt_ = sentAt;
  backoff_.reset();
  // About three renewals per TTL, with jitter so that processes do not renew at the same time.
  dueAt_ = sentAt + timing_.ttlMs / 3 * (0.9 + random_.upTo(0.1));
  return Change::createdOrRenewed;
}

void StoreSession::clearSession(Time now) {
  live_ = false;
  id_.clear();
  dueAt_ = now + random_.upTo(timing_.maxJitterMs());
}

void StoreSession::abandon(Time now) {
  end(now);
  calls_.cancel(std::exchange(sessionCallId_, 0));
  calls_.cancel(std::exchange(registrationCallId_, 0));
  registrationChanged_ = true;
  clearSession(now);
}

void StoreSession::end(Time now) {
  StoreCall call;
  call.operation = StoreOperation::destroySession;
  call.session = id_;
  calls_.send(now, std::move(call), CallPurpose::endSession);
}

// --- Registration ----------------------------------------------------------------------------------------

void StoreSession::scheduleRegistration(Time now) {
  registrationChanged_ = true;
  registrationDueAt_ = now;
}

bool StoreSession::isRegistrationDue(Time now) const {
  return live_ && registrationChanged_ && registrationCallId_ == 0 && now >= registrationDueAt_;
}

void StoreSession::sendRegistration(Time now, const Registration& registration) {
  registrationChanged_ = false;
  StoreCall call;
  call.operation = StoreOperation::acquire;
  call.session = id_;
  call.value = registrationText(registration);
  call.key = registrationKey(self_);
  registrationCallId_ = calls_.send(now, std::move(call), CallPurpose::registration);
}

void StoreSession::onRegistrationReply(Time now, const StoreReply& reply) {
  registrationCallId_ = 0;
  if (reply.answered && reply.succeeded) return;
  registrationChanged_ = true;
  registrationDueAt_ = now + std::max(kFirstBackoffMs, random_.upTo(timing_.ttlMs / 6));
}

bool StoreSession::isRegistrationSettled() const {
  return registrationCallId_ == 0 && !(registrationChanged_ && live_);
}

Time StoreSession::nextDueAt(bool draining) const {
  Time at = std::numeric_limits<Time>::infinity();
  if (sessionCallId_ == 0 && !(draining && !live_)) at = std::min(at, dueAt_);
  if (live_ && registrationChanged_ && registrationCallId_ == 0) at = std::min(at, registrationDueAt_);
  return at;
}

}  // namespace wingslip::leader_election
