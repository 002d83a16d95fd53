/// What a candidacy does once it holds the lock: it claims a fencing token, writes the record under it, and
/// looks at the registrations for a higher one.
///
/// Fencing: every write is a read of the record, a check that its token is still ours, and a compare-and-set
/// at the index read. A new leader first writes its own token, which moves the index: whatever an older
/// leader has under way fails from then on.
#include <algorithm>
#include <limits>
#include <stdexcept>
#include <utility>

#include "leader_election/candidacy.hpp"

namespace wingslip::leader_election {

// --- Reading what the store has --------------------------------------------------------------------------

StoreCall Candidacy::readOfRegistrations() const {
  StoreCall read;
  read.key = registrationsKey(context_.self);
  read.recurse = true;
  return read;
}

namespace {

const StoreEntry* entryWithKey(const StoreReply& reply, const std::string& key) {
  const auto found = std::find_if(reply.entries.begin(), reply.entries.end(),
                                  [&](const StoreEntry& entry) { return entry.key == key; });
  return found == reply.entries.end() ? nullptr : &*found;
}

}  // namespace

const StoreEntry* Candidacy::lockIn(const StoreReply& reply) const {
  return entryWithKey(reply, taskKey(context_.self, taskName_, "lock"));
}

LeaderRecord Candidacy::recordIn(const StoreReply& reply) {
  const StoreEntry* entry = entryWithKey(reply, taskKey(context_.self, taskName_, "record"));
  if (!entry) return {};
  LeaderRecord out = parseLeaderRecord(*entry);
  if (!out.readable) ++context_.counts.malformed;
  return out;
}

std::vector<Registration> Candidacy::registrationsIn(const StoreReply& reply) {
  std::vector<Registration> out;
  for (const StoreEntry& entry : reply.entries) {
    if (entry.session.empty()) continue;  // left over from a process that is gone
    try {
      out.push_back(parseRegistration(entry.value));
    } catch (const std::runtime_error&) {
      ++context_.counts.malformed;
    }
  }
  return out;
}

// Guards against a store that was reset or restored: readers refuse a record under a token below the highest
// seen.
void Candidacy::acceptRecord(Time now, const LeaderRecord& record) {
  if (!record.exists && highestSeenToken_ > 0) {
    if (!std::exchange(recordLossReported_, true))
      context_.onStoreRollback(now, taskName_ + ": its record is gone");
    return;
  }
  if (!record.readable) return;
  if (record.token < highestSeenToken_) return refuseStaleRecord(now, record);
  if (record.token > highestSeenToken_) {
    highestSeenToken_ = record.token;
    context_.session.markRegistrationChanged();
  }
  refusedRecord_.clear();
  recordLossReported_ = false;
  recordData_ = record.data;
  task_.onRecord(now, record.token, record.leaderInstance, record.data);
}

void Candidacy::refuseStaleRecord(Time now, const LeaderRecord& record) {
  const std::string refused = record.leaderInstance + "/" + std::to_string(record.token);
  if (refused == refusedRecord_) return;
  refusedRecord_ = refused;
  ++context_.counts.staleRecords;
  context_.host.logEvent(taskName_ + ": a record under token " + std::to_string(record.token) + " of " +
                         record.leaderInstance + " is refused: " + std::to_string(highestSeenToken_) +
                         " was seen");
  context_.onStoreRollback(now, taskName_ + ": its record is older than one seen");
}

// --- Claiming a token ------------------------------------------------------------------------------------

void Candidacy::onRegistrationsBeforeClaim(Time now, const StoreReply& reply, Time retryAt) {
  if (state_ != State::provingToken) return;
  dueAt_ = retryAt;
  if (!reply.answered) return;
  highestRegisteredToken_ = 0;
  for (const Registration& registration : registrationsIn(reply)) {
    const auto seen = registration.highestSeenTokens.find(taskName_);
    if (seen != registration.highestSeenTokens.end())
      highestRegisteredToken_ = std::max(highestRegisteredToken_, seen->second);
  }
  sendStep(now, Step::readRecord, readOfTask());
}

void Candidacy::onRecordBeforeClaim(Time now, const StoreReply& reply, Time retryAt) {
  if (state_ != State::provingToken) return;
  dueAt_ = retryAt;
  if (!reply.answered) return;
  const StoreSession& session = context_.session;
  const StoreEntry* lock = lockIn(reply);
  if (!lock || lock->session != session.id()) return loseLock(now, "the lock is another's");
  const LeaderRecord record = recordIn(reply);
  acceptRecord(now, record);
  const bool isOurClaim = record.readable && record.token == claimedToken_ && claimedToken_ > 0 &&
                          record.leaderInstance == context_.self.instance;
  if (isOurClaim) {
    if (session.isLeaseValid(now)) becomeLeader(now);  // the answer to the claim was lost
    return;
  }
  // A store that may have forgotten tokens: those who know them get a TTL to register.
  const Time claimFrom = record.exists
                             ? context_.noClaimsUntil
                             : std::max(context_.noClaimsUntil, session.createdAt() + context_.timing.ttlMs);
  if (now < claimFrom) {
    dueAt_ = claimFrom;
    return;
  }
  claimToken(now, record);
}

void Candidacy::claimToken(Time now, const LeaderRecord& record) {
  recordData_ = record.data;
  claimedToken_ = std::max({highestSeenToken_, record.token, highestRegisteredToken_}) + 1;
  if (!context_.session.isLeaseValid(now)) return;
  StoreCall call;
  call.operation = StoreOperation::compareAndSet;
  call.key = taskKey(context_.self, taskName_, "record");
  call.index = record.modifyIndex;
  call.value = leaderRecordText(claimedToken_, context_.self.instance, recordData_);
  sendStep(now, Step::claimToken, std::move(call));
}

void Candidacy::onClaimReply(Time now, const StoreReply& reply, Time retryAt) {
  if (state_ != State::provingToken) return;
  dueAt_ = retryAt;
  if (reply.answered && reply.succeeded && context_.session.isLeaseValid(now)) becomeLeader(now);
}

// --- Becoming leader and ceasing to be -------------------------------------------------------------------

void Candidacy::becomeLeader(Time now) {
  token_ = claimedToken_;
  if (token_ > highestSeenToken_) {
    highestSeenToken_ = token_;
    context_.session.markRegistrationChanged();
  }
  ++context_.counts.acquired;
  setState(now, State::leading);
  write_.isPending = false;
  registrationWatch_.index = 0;
  registrationWatch_.dueAt = now;
  lockHolder_ = context_.self.name;
  context_.host.logEvent(taskName_ + ": held from now on, token " + std::to_string(token_));
  task_.onElected(now, token_, recordData_);
}

void Candidacy::stopActs(Time now, State next) {
  const bool wasLeading = state_ == State::leading;
  setState(now, next);
  write_.isPending = false;
  claimedToken_ = 0;  // the next leadership is under a new token
  if (step_ != Step::write) {
    stepCallId_ = 0;
    step_ = Step::none;
  }
  if (!wasLeading) return;
  context_.host.logEvent(taskName_ + ": not held any more, now " + std::string(operatorsNameOf(next)));
  task_.onDeposed(now);
}

void Candidacy::loseLock(Time now, const std::string& reason) {
  if (state_ == State::leading) ++context_.counts.lost;
  lastError_ = reason;
  stepCallId_ = 0;
  step_ = Step::none;
  stopActs(now, context_.draining ? State::coolingDown : State::standby);
  if (context_.draining) dueAt_ = std::numeric_limits<Time>::infinity();
  readLockAnew(now);
}

void Candidacy::expireLease(Time now) {
  if (state_ == State::leading) ++context_.counts.leasesExpired;
  lastError_ = "the lease ran out";
  stopActs(now, State::leaseUncertain);
  readLockAnew(now);
  if (context_.session.isLive()) context_.session.abandon(now);
}

// --- Writing the record ----------------------------------------------------------------------------------

bool Candidacy::mayAct(Time now) const {
  return state_ == State::leading && context_.session.isLeaseValid(now);
}

bool Candidacy::writeRecord(Time now, const std::string& data) {
  if (state_ != State::leading) return false;
  if (!write_.isPending && step_ != Step::write) write_.withoutEffectSince = now;
  write_.isPending = true;
  write_.data = data;
  return true;
}

void Candidacy::onRecordBeforeWrite(Time now, const StoreReply& reply, Time retryAt) {
  if (state_ != State::leading) return;
  dueAt_ = retryAt;
  if (!reply.answered) return;
  const StoreEntry* lock = lockIn(reply);
  const LeaderRecord record = recordIn(reply);
  // The fence: a write is made only on a record that was read under our own token.
  if (!lock || lock->session != context_.session.id() || record.token != token_ ||
      record.leaderInstance != context_.self.instance) {
    ++context_.counts.refusedByFence;
    acceptRecord(now, record);
    return loseLock(now, "refused by the fence: the record is under token " + std::to_string(record.token));
  }
  // Guards against a process that was paused past its lease: checked just before the write is sent.
  if (!mayAct(now)) return;
  StoreCall call;
  call.operation = StoreOperation::compareAndSet;
  call.key = taskKey(context_.self, taskName_, "record");
  call.index = record.modifyIndex;
  call.value = leaderRecordText(token_, context_.self.instance, write_.data);
  recordData_ = write_.data;
  write_.isPending = false;
  sendStep(now, Step::write, std::move(call));
}

void Candidacy::onWriteReply(Time now, const StoreReply& reply, Time retryAt) {
  if (state_ == State::releasing) return releaseLock(now);
  if (state_ != State::leading) return;
  dueAt_ = now;
  if (reply.answered && reply.succeeded) {
    ++context_.counts.recordsWritten;
    write_.withoutEffectSince = now;
    task_.onRecord(now, token_, context_.self.instance, recordData_);
  } else if (!write_.isPending) {
    // Read again: whether it took effect, and whose the record is.
    write_.isPending = true;
    write_.data = recordData_;
    dueAt_ = retryAt;
  }
}

// --- The registrations, while leading --------------------------------------------------------------------

void Candidacy::watchRegistrationsIfDue(Time now) {
  if (state_ != State::leading || registrationWatch_.callId != 0 || now < registrationWatch_.dueAt) return;
  StoreCall read = readOfRegistrations();
  read.index = registrationWatch_.index;
  registrationWatch_.callId =
      context_.calls.send(now, std::move(read), CallPurpose::registrations, taskIndex_);
}

void Candidacy::onRegistrationsReply(Time now, const StoreReply& reply) {
  if (state_ != State::leading) return;
  if (!reply.answered || reply.index == 0) {
    registrationWatch_.index = 0;
    registrationWatch_.dueAt =
        now + std::max(kFirstBackoffMs, context_.random.upTo(context_.timing.ttlMs / 3));
    return;
  }
  registrationWatch_.index = reply.index < registrationWatch_.index ? 0 : reply.index;
  registrationWatch_.dueAt = now;
  const std::vector<Registration> all = registrationsIn(reply);
  for (const Registration& registration : all) {
    const auto seen = registration.highestSeenTokens.find(taskName_);
    if (seen == registration.highestSeenTokens.end() || seen->second <= token_) continue;
    // Another process knows a higher token than ours: the store had forgotten it when we claimed ours.
    ++context_.counts.refusedByFence;
    highestSeenToken_ = seen->second;
    lastError_ = registration.name + " has seen a higher token";
    stopActs(now, State::provingToken);
    dueAt_ = now;
    return;
  }
  task_.onRegistrations(now, all);
}

}  // namespace wingslip::leader_election
