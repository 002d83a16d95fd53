#include "leader_election/candidacy.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace wingslip::leader_election {
namespace {

constexpr Time kNever = std::numeric_limits<Time>::infinity();
constexpr Time kMinAcquireBackoffCapMs = 1000;
constexpr int kCoolDownTtls = 2;
constexpr int kMaxTtlsWithoutEffect = 2;

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

// --- Calls to the store ----------------------------------------------------------------------------------

void Candidacy::sendStep(Time now, Step step, StoreCall call) {
  step_ = step;
  stepCallId_ = context_.calls.send(now, std::move(call), CallPurpose::step, taskIndex_);
}

StoreCall Candidacy::readOfTask() const {
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
      if (stepCallId_ != callId) return;  // of a step that was given up
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
    lastError_ = "the store does not answer";
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

// --- The lock as last read -------------------------------------------------------------------------------

void Candidacy::watchLockIfDue(Time now) {
  if (lockWatch_.callId != 0 || now < lockWatch_.dueAt) return;
  if (context_.draining && state_ == State::coolingDown) return;
  StoreCall read = readOfTask();
  read.index = lockWatch_.index;
  lockWatch_.callId = context_.calls.send(now, std::move(read), CallPurpose::lockWatch, taskIndex_);
}

void Candidacy::onLockWatchReply(Time now, const StoreReply& reply, Time sentAt) {
  const Timing& timing = context_.timing;
  if (!reply.answered || reply.index == 0) {
    const Time maxBackoffMs = std::max(timing.ttlMs, 2 * timing.spreadMs());
    const Time backoffMs = lockWatch_.backoff.next(kFirstBackoffMs, maxBackoffMs);
    lockWatch_.dueAt = now + std::max(kFirstBackoffMs, context_.random.upTo(backoffMs));
    lockWatch_.index = 0;
    lastError_ = "the store does not answer";
    return;
  }
  lockWatch_.backoff.reset();
  lockWatch_.dueAt = now;
  if (reply.index < lockWatch_.index) context_.onStoreRollback(now, taskName_ + ": its index fell");
  lockWatch_.index = reply.index;
  const StoreEntry* lock = lockIn(reply);
  lockWatch_.lockSession = lock ? lock->session : "";
  lockHolder_ = lock && !lock->session.empty() ? lock->value : "";
  acceptRecord(now, recordIn(reply));
  followLock(now, sentAt);
}

void Candidacy::followLock(Time now, Time readSentAt) {
  const bool isOurs = context_.session.isLive() && lockWatch_.lockSession == context_.session.id();
  const bool isFree = lockWatch_.lockSession.empty();
  switch (state_) {
    case State::standby:
    case State::coolingDown:
    case State::leaseUncertain:
      return considerLock(now);
    case State::waiting:
      if (isOurs || !isFree) considerLock(now);
      return;
    case State::provingToken:
    case State::leading:
      if (isOurs) return;
      // A read from before the lock was ours says nothing about now.
      if (isFree && readSentAt < lockOursSince_)
        lockWatch_.index = 0;
      else
        loseLock(now, "the lock is another's");
      return;
    case State::acquiring:  // the reply to the attempt says more
    case State::releasing:
      return;
  }
}

// From standby, waiting, leaseUncertain or coolingDown.
void Candidacy::considerLock(Time now) {
  if (state_ == State::coolingDown && now < dueAt_) return;
  if (context_.draining || !context_.session.isLive() || lockWatch_.index == 0) {
    if (!context_.draining && state_ != State::standby) setState(now, State::standby);
    return;
  }
  if (lockWatch_.lockSession == context_.session.id()) {
    setState(now, State::provingToken);
    lockOursSince_ = now;
    dueAt_ = now;
  } else if (lockWatch_.lockSession.empty()) {
    acquireBackoff_.reset();
    waitBeforeAcquiring(now, context_.timing.spreadMs());
  } else if (state_ != State::standby) {
    setState(now, State::standby);
  }
}

void Candidacy::readLockAnew(Time now) {
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
    dueAt_ = now + kFirstBackoffMs + context_.random.upTo(context_.timing.spreadMs());
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
  if (state_ == State::releasing) return releaseLock(now);  // it may be ours
  if (state_ != State::acquiring) return;
  if (!reply.answered || !reply.succeeded) {
    if (!reply.answered) readLockAnew(now);  // it may be ours
    const Timing& timing = context_.timing;
    const Time maxBackoffMs = std::max({timing.spreadMs(), timing.lockDelayMs, kMinAcquireBackoffCapMs});
    return waitBeforeAcquiring(now, acquireBackoff_.next(timing.spreadMs(), maxBackoffMs));
  }
  setState(now, State::provingToken);
  lockOursSince_ = now;
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
  readLockAnew(now);
  dueAt_ = competesAgain_ ? now + kCoolDownTtls * context_.timing.ttlMs : kNever;
}

void Candidacy::stepDown(Time now, const std::string& reason) {
  if (state_ != State::leading) return;
  ++context_.counts.steppedDown;
  lastError_ = reason;
  competesAgain_ = true;
  stopActs(now, State::releasing);
  if (step_ != Step::write) releaseLock(now);
}

void Candidacy::drain(Time now) {
  competesAgain_ = false;
  if (state_ == State::releasing) return;
  const bool mayHoldLock = state_ == State::acquiring || state_ == State::provingToken ||
                           state_ == State::leading || state_ == State::leaseUncertain;
  if (!mayHoldLock) {
    setState(now, State::coolingDown);
    dueAt_ = kNever;
    return;
  }
  // The lock goes back once a call that may still take or use it has ended. A claim under way needs no wait:
  // it is a compare-and-set, which fails once another leader has claimed.
  const Step stepUnderWay = step_;
  const std::uint64_t stepCallId = stepCallId_;
  stopActs(now, State::releasing);
  if (stepUnderWay == Step::acquireLock || stepUnderWay == Step::write) {
    step_ = stepUnderWay;
    stepCallId_ = stepCallId;
  } else {
    releaseLock(now);
  }
}

// --- The session -----------------------------------------------------------------------------------------

void Candidacy::onSessionCreatedOrRenewed(Time now) {
  if (state_ == State::standby || state_ == State::leaseUncertain) considerLock(now);
}

void Candidacy::onSessionLost(Time now) {
  if (state_ == State::releasing)
    coolDown(now);
  else if (state_ != State::standby && state_ != State::coolingDown)
    loseLock(now, "the session ended");
}

// --- Time ------------------------------------------------------------------------------------------------

void Candidacy::runDue(Time now) {
  watchLockIfDue(now);
  if ((state_ == State::leading || state_ == State::provingToken) && !context_.session.isLeaseValid(now))
    expireLease(now);
  if (state_ == State::leading && write_.isPending &&
      now >= write_.withoutEffectSince + kMaxTtlsWithoutEffect * context_.timing.ttlMs)
    stepDown(now, "nothing that it writes takes effect");
  if (state_ == State::coolingDown && now >= dueAt_) considerLock(now);
  watchRegistrationsIfDue(now);
  startStepIfDue(now);
}

void Candidacy::startStepIfDue(Time now) {
  if (stepCallId_ != 0 || now < dueAt_) return;
  if (state_ == State::waiting)
    acquireLock(now);
  else if (state_ == State::provingToken)
    sendStep(now, Step::readRegistrations, readOfRegistrations());
  else if (state_ == State::leading && write_.isPending)
    sendStep(now, Step::readBeforeWrite, readOfTask());
}

Time Candidacy::nextDueAt() const {
  Time at = kNever;
  const auto orAt = [&](Time other) { at = std::min(at, other); };
  const bool isLeading = state_ == State::leading;
  if (lockWatch_.callId == 0 && !(context_.draining && state_ == State::coolingDown)) orAt(lockWatch_.dueAt);
  if (isLeading || state_ == State::provingToken) orAt(context_.session.leaseEndsAt());
  if (state_ == State::coolingDown) orAt(dueAt_);
  if (isLeading && registrationWatch_.callId == 0) orAt(registrationWatch_.dueAt);
  const bool hasNextStep =
      state_ == State::waiting || state_ == State::provingToken || (isLeading && write_.isPending);
  if (stepCallId_ == 0 && hasNextStep) orAt(dueAt_);
  return at;
}

}  // namespace wingslip::leader_election
