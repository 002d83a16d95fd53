#include "leader_election/candidacy.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace wingslip::leader_election {
namespace {

constexpr Time kNever = std::numeric_limits<Time>::infinity();
// Lower bound of the maximum backoff between attempts to acquire the lock.
constexpr Time kMinAcquireBackoffCapMs = 1000;
// Session TTLs for which a leader that stepped down does not compete.
constexpr int kCoolDownTtls = 2;
// Session TTLs without a confirmed write after which a leader steps down.
constexpr int kMaxUnconfirmedTtls = 2;

}  // namespace

Candidacy::Candidacy(ElectionContext& context, std::size_t taskIndex, std::string taskName, LeaderTask& task)
    : context_(context), taskIndex_(taskIndex), taskName_(std::move(taskName)), task_(task) {}

void Candidacy::start(Time now, Time watchAt) {
  stateSince_ = now;
  lockWatch_.dueAt = watchAt;
}

void Candidacy::setState(Time now, State state) {
  state_ = state;
  stateSince_ = now;
  if (state != State::leading) context_.calls.cancel(std::exchange(registrationWatch_.callId, 0));
}

TaskStatus Candidacy::status() const {
  return {taskName_,  lockHolder_, lastError_, state_, state_ == State::leading ? token_ : highestSeenToken_,
          stateSince_};
}

// --- Store calls -----------------------------------------------------------------------------------------

void Candidacy::sendStep(Time now, Step step, StoreCall call) {
  step_ = step;
  stepCallId_ = context_.calls.send(now, std::move(call), CallPurpose::step, taskIndex_);
}

StoreCall Candidacy::taskReadCall() const {
  StoreCall read;
  read.key = taskKey(context_.self, taskName_, "");
  read.recurse = true;
  return read;
}

void Candidacy::onReply(Time now, std::uint64_t callId, const PendingCall& call, const StoreReply& reply) {
  switch (call.purpose) {
    case CallPurpose::lockWatch:
      if (lockWatch_.callId != callId) return;
      lockWatch_.callId = 0;
      return onLockWatchReply(now, reply, call.sentAt);
    case CallPurpose::registrations:
      if (registrationWatch_.callId != callId) return;
      registrationWatch_.callId = 0;
      return onRegistrationsReply(now, reply);
    case CallPurpose::step:
      if (stepCallId_ != callId) return;  // the step was abandoned
      stepCallId_ = 0;
      return onStepReply(now, reply);
    case CallPurpose::session:
    case CallPurpose::registration:
    case CallPurpose::endSession:
      return;
  }
}

void Candidacy::onStepReply(Time now, const StoreReply& reply) {
  const Step finished = std::exchange(step_, Step::none);
  if (reply.answered) {
    stepBackoff_.reset();
  } else {
    stepBackoff_.next(kFirstBackoffMs, context_.timing.ttlMs / 3);
    lastError_ = "no usable response from the coordination store";
  }
  const Time maxDelayMs = std::max(2 * kFirstBackoffMs, stepBackoff_.delayMs());
  const Time retryAt = now + std::max(kFirstBackoffMs / 2, context_.random.upTo(maxDelayMs));
  switch (finished) {
    case Step::none:
      return;
    case Step::acquireLock:
      return onAcquireReply(now, reply);
    case Step::readRegistrations:
      return onRegistrationsBeforeClaim(now, reply, retryAt);
    case Step::readRecord:
      return onRecordBeforeClaim(now, reply, retryAt);
    case Step::claimToken:
      return onClaimReply(now, reply, retryAt);
    case Step::readBeforeWrite:
      return onRecordBeforeWrite(now, reply, retryAt);
    case Step::write:
      return onWriteReply(now, reply, retryAt);
    case Step::releaseLock:
      if (state_ == State::releasing) coolDown(now);
      return;
  }
}

// --- Watching the lock -----------------------------------------------------------------------------------

void Candidacy::watchLockIfDue(Time now) {
  if (lockWatch_.callId != 0 || now < lockWatch_.dueAt) return;
  if (context_.draining && state_ == State::coolingDown) return;
  StoreCall read = taskReadCall();
  read.index = lockWatch_.index;
  lockWatch_.callId = context_.calls.send(now, std::move(read), CallPurpose::lockWatch, taskIndex_);
}

void Candidacy::onLockWatchReply(Time now, const StoreReply& reply, Time sentAt) {
  const Timing& timing = context_.timing;
  if (!reply.answered || reply.index == 0) {
    const Time maxBackoffMs = std::max(timing.ttlMs, 2 * timing.maxJitterMs());
    const Time backoffMs = lockWatch_.backoff.next(kFirstBackoffMs, maxBackoffMs);
    lockWatch_.dueAt = now + std::max(kFirstBackoffMs, context_.random.upTo(backoffMs));
    lockWatch_.index = 0;
    lastError_ = "no usable response from the coordination store to the read of the lock";
    return;
  }
  lockWatch_.backoff.reset();
  lockWatch_.dueAt = now;
  if (reply.index < lockWatch_.index)
    context_.onStoreRollback(now, taskName_ + ": the index of its keys decreased");
  lockWatch_.index = reply.index;
  const StoreEntry* lock = findLock(reply);
  lockWatch_.lockSession = lock ? lock->session : "";
  lockHolder_ = lock && !lock->session.empty() ? lock->value : "";
  acceptRecord(now, parseRecord(reply));
  onLockRead(now, sentAt);
}

void Candidacy::onLockRead(Time now, Time readSentAt) {
  const bool ownsLock = context_.session.isLive() && lockWatch_.lockSession == context_.session.id();
  const bool isFree = lockWatch_.lockSession.empty();
  switch (state_) {
    case State::standby:
    case State::coolingDown:
    case State::leaseUncertain:
      return enterStateForLock(now);
    case State::waiting:
      if (ownsLock || !isFree) enterStateForLock(now);
      return;
    case State::claimingToken:
    case State::leading:
      if (ownsLock) return;
      // A read sent before the lock was acquired may report it as free: read again without blocking.
      if (isFree && readSentAt < lockAcquiredAt_)
        lockWatch_.index = 0;
      else
        loseLock(now, "lock lost: it is free or owned by another session");
      return;
    case State::acquiring:  // the reply to the acquire call decides
    case State::releasing:
      return;
  }
}

// Enters the state that follows from the lock as last read. Called in standby, waiting, leaseUncertain and
// coolingDown.
void Candidacy::enterStateForLock(Time now) {
  if (state_ == State::coolingDown && now < dueAt_) return;
  if (context_.draining || !context_.session.isLive() || lockWatch_.index == 0) {
    if (!context_.draining && state_ != State::standby) setState(now, State::standby);
    return;
  }
  if (lockWatch_.lockSession == context_.session.id()) {
    setState(now, State::claimingToken);
    lockAcquiredAt_ = now;
    dueAt_ = now;
  } else if (lockWatch_.lockSession.empty()) {
    acquireBackoff_.reset();
    waitBeforeAcquiring(now, context_.timing.maxJitterMs());
  } else if (state_ != State::standby) {
    setState(now, State::standby);
  }
}

void Candidacy::rereadLock(Time now) {
  context_.calls.cancel(std::exchange(lockWatch_.callId, 0));
  lockWatch_.index = 0;
  lockWatch_.dueAt = now;
}

// --- Acquiring and releasing -----------------------------------------------------------------------------

void Candidacy::waitBeforeAcquiring(Time now, Time maxMs) {
  if (state_ != State::waiting) setState(now, State::waiting);
  dueAt_ = now + context_.random.upTo(maxMs);
}

void Candidacy::acquireLock(Time now) {
  if (!context_.session.isLeaseValid(now)) {
    dueAt_ = now + kFirstBackoffMs + context_.random.upTo(context_.timing.maxJitterMs());
    return;
  }
  setState(now, State::acquiring);
  StoreCall call;
  call.operation = StoreOperation::acquire;
  call.key = taskKey(context_.self, taskName_, "lock");
  call.session = context_.session.id();
  call.value = context_.self.name;
  sendStep(now, Step::acquireLock, std::move(call));
}

void Candidacy::onAcquireReply(Time now, const StoreReply& reply) {
  if (state_ == State::releasing) return releaseLock(now);  // the acquire may have succeeded
  if (state_ != State::acquiring) return;
  if (!reply.answered || !reply.succeeded) {
    if (!reply.answered) rereadLock(now);  // the acquire may have succeeded
    const Timing& timing = context_.timing;
    const Time maxBackoffMs = std::max({timing.maxJitterMs(), timing.lockDelayMs, kMinAcquireBackoffCapMs});
    return waitBeforeAcquiring(now, acquireBackoff_.next(timing.maxJitterMs(), maxBackoffMs));
  }
  setState(now, State::claimingToken);
  lockAcquiredAt_ = now;
  dueAt_ = now;
}

void Candidacy::releaseLock(Time now) {
  if (!context_.session.isLive()) return coolDown(now);
  StoreCall call;
  call.operation = StoreOperation::release;
  call.key = taskKey(context_.self, taskName_, "lock");
  call.session = context_.session.id();
  sendStep(now, Step::releaseLock, std::move(call));
}

void Candidacy::coolDown(Time now) {
  setState(now, State::coolingDown);
  rereadLock(now);
  dueAt_ = rejoinsAfterCoolDown_ ? now + kCoolDownTtls * context_.timing.ttlMs : kNever;
}

void Candidacy::stepDown(Time now, const std::string& reason) {
  if (state_ != State::leading) return;
  ++context_.counts.steppedDown;
  lastError_ = reason;
  rejoinsAfterCoolDown_ = true;
  endLeadership(now, State::releasing);
  if (step_ != Step::write) releaseLock(now);
}

void Candidacy::drain(Time now) {
  rejoinsAfterCoolDown_ = false;
  if (state_ == State::releasing) return;
  const bool mayHoldLock = state_ == State::acquiring || state_ == State::claimingToken ||
                           state_ == State::leading || state_ == State::leaseUncertain;
  if (!mayHoldLock) {
    setState(now, State::coolingDown);
    dueAt_ = kNever;
    return;
  }
  // An acquire or a write in flight must finish before the lock is released, since it may still acquire or
  // rely on the lock. A claim in flight need not: it is a compare-and-set, which fails once another leader
  // has claimed a token.
  const Step inFlightStep = step_;
  const std::uint64_t inFlightCallId = stepCallId_;
  endLeadership(now, State::releasing);
  if (inFlightStep == Step::acquireLock || inFlightStep == Step::write) {
    step_ = inFlightStep;
    stepCallId_ = inFlightCallId;
  } else {
    releaseLock(now);
  }
}

// --- Session events --------------------------------------------------------------------------------------

void Candidacy::onSessionCreatedOrRenewed(Time now) {
  if (state_ == State::standby || state_ == State::leaseUncertain) enterStateForLock(now);
}

void Candidacy::onSessionLost(Time now) {
  if (state_ == State::releasing)
    coolDown(now);
  else if (state_ != State::standby && state_ != State::coolingDown)
    loseLock(now, "session ended at the coordination store");
}

// --- Timers ----------------------------------------------------------------------------------------------

void Candidacy::runDue(Time now) {
  watchLockIfDue(now);
  if ((state_ == State::leading || state_ == State::claimingToken) && !context_.session.isLeaseValid(now))
    expireLease(now);
  if (state_ == State::leading && write_.isPending &&
      now >= write_.unconfirmedSince + kMaxUnconfirmedTtls * context_.timing.ttlMs)
    stepDown(now, "no write of the record was confirmed for two session TTLs");
  if (state_ == State::coolingDown && now >= dueAt_) enterStateForLock(now);
  watchRegistrationsIfDue(now);
  startStepIfDue(now);
}

void Candidacy::startStepIfDue(Time now) {
  if (stepCallId_ != 0 || now < dueAt_) return;
  if (state_ == State::waiting)
    acquireLock(now);
  else if (state_ == State::claimingToken)
    sendStep(now, Step::readRegistrations, registrationsReadCall());
  else if (state_ == State::leading && write_.isPending)
    sendStep(now, Step::readBeforeWrite, taskReadCall());
}

Time Candidacy::nextDueAt() const {
  Time at = kNever;
  const auto orAt = [&](Time other) { at = std::min(at, other); };
  const bool isLeading = state_ == State::leading;
  if (lockWatch_.callId == 0 && !(context_.draining && state_ == State::coolingDown)) orAt(lockWatch_.dueAt);
  if (isLeading || state_ == State::claimingToken) orAt(context_.session.leaseEndsAt());
  if (state_ == State::coolingDown) orAt(dueAt_);
  if (isLeading && registrationWatch_.callId == 0) orAt(registrationWatch_.dueAt);
  const bool hasNextStep =
      state_ == State::waiting || state_ == State::claimingToken || (isLeading && write_.isPending);
  if (stepCallId_ == 0 && hasNextStep) orAt(dueAt_);
  return at;
}

}  // namespace wingslip::leader_election
