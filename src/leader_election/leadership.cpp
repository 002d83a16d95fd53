/// The part of a candidacy that needs the lock: it claims a fencing token, writes the record under that
/// token, and checks the registrations for a higher one.
///
/// Fencing: every write consists of a read of the record, a check that the record has the leader's token, and
/// a compare-and-set at the index read. A new leader first writes its own token, which advances the index, so
/// that every write of an older leader that is still in flight fails.
#include <algorithm>
#include <limits>
#include <stdexcept>
#include <utility>

#include "leader_election/candidacy.hpp"

namespace wingslip::leader_election {

// --- Parsing replies -------------------------------------------------------------------------------------

StoreCall Candidacy::registrationsReadCall() const {
  StoreCall read;
  read.key = registrationsKey(context_.self);
  read.recurse = true;
  return read;
}

namespace {

const StoreEntry* findEntry(const StoreReply& reply, const std::string& key) {
  const auto found = std::find_if(reply.entries.begin(), reply.entries.end(),
                                  [&](const StoreEntry& entry) { return entry.key == key; });
  return found == reply.entries.end() ? nullptr : &*found;
}

}  // namespace

const StoreEntry* Candidacy::findLock(const StoreReply& reply) const {
  return findEntry(reply, taskKey(context_.self, taskName_, "lock"));
}

LeaderRecord Candidacy::parseRecord(const StoreReply& reply) {
  const StoreEntry* entry = findEntry(reply, taskKey(context_.self, taskName_, "record"));
  if (!entry) return {};
  LeaderRecord out = parseLeaderRecord(*entry);
  if (!out.readable) ++context_.counts.malformedEntries;
  return out;
}

std::vector<Registration> Candidacy::parseRegistrations(const StoreReply& reply) {
  std::vector<Registration> out;
  for (const StoreEntry& entry : reply.entries) {
    if (entry.session.empty()) continue;  // the session of its process has ended
    try {
      out.push_back(parseRegistration(entry.value));
    } catch (const std::runtime_error&) {
      ++context_.counts.malformedEntries;
    }
  }
  return out;
}

// Passes a record that was read to the task. Guards against a store that was reset or restored: a record
// whose token is below the highest seen is rejected.
void Candidacy::acceptRecord(Time now, const LeaderRecord& record) {
  if (!record.exists && highestSeenToken_ > 0) {
    if (!std::exchange(recordLossReported_, true))
      context_.onStoreRollback(now, taskName_ + ": its record does not exist any more");
    return;
  }
  if (!record.readable) return;
  if (record.token < highestSeenToken_) return rejectStaleRecord(now, record);
  if (record.token > highestSeenToken_) {
    highestSeenToken_ = record.token;
    context_.session.markRegistrationChanged();
  }
  lastRejectedRecord_.clear();
  recordLossReported_ = false;
  recordData_ = record.data;
  task_.onRecord(now, record.token, record.leaderInstance, record.data);
}

void Candidacy::rejectStaleRecord(Time now, const LeaderRecord& record) {
  const std::string rejected = record.leaderInstance + "/" + std::to_string(record.token);
  if (rejected == lastRejectedRecord_) return;
  lastRejectedRecord_ = rejected;
  ++context_.counts.staleRecords;
  context_.host.logEvent(taskName_ + ": stale record rejected: token " + std::to_string(record.token) +
                         " written by " + record.leaderInstance + " is below token " +
                         std::to_string(highestSeenToken_) + ", which was seen before");
  context_.onStoreRollback(now, taskName_ + ": the token of its record is below the highest seen");
}

// --- Claiming a token ------------------------------------------------------------------------------------

void Candidacy::onRegistrationsBeforeClaim(Time now, const StoreReply& reply, Time retryAt) {
  if (state_ != State::claimingToken) return;
  dueAt_ = retryAt;
  if (!reply.answered) return;
  highestRegisteredToken_ = 0;
  for (const Registration& registration : parseRegistrations(reply)) {
    const auto seen = registration.highestSeenTokens.find(taskName_);
    if (seen != registration.highestSeenTokens.end())
      highestRegisteredToken_ = std::max(highestRegisteredToken_, seen->second);
  }
  sendStep(now, Step::readRecord, taskReadCall());
}

void Candidacy::onRecordBeforeClaim(Time now, const StoreReply& reply, Time retryAt) {
  if (state_ != State::claimingToken) return;
  dueAt_ = retryAt;
  if (!reply.answered) return;
  const StoreSession& session = context_.session;
  const StoreEntry* lock = findLock(reply);
  if (!lock || lock->session != session.id())
    return loseLock(now, "lock lost: it is free or owned by another session");
  const LeaderRecord record = parseRecord(reply);
  acceptRecord(now, record);
  const bool isOwnClaim = record.readable && record.token == claimedToken_ && claimedToken_ > 0 &&
                          record.leaderInstance == context_.self.instance;
  if (isOwnClaim) {
    if (session.isLeaseValid(now)) becomeLeader(now);  // the reply to the claim was lost
    return;
  }
  // If the store may have lost tokens, wait for one TTL, in which the other processes register the highest
  // tokens that they have seen.
  const Time claimAllowedAt =
      record.exists ? context_.claimsBlockedUntil
                    : std::max(context_.claimsBlockedUntil, session.createdAt() + context_.timing.ttlMs);
  if (now < claimAllowedAt) {
    dueAt_ = claimAllowedAt;
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
  if (state_ != State::claimingToken) return;
  dueAt_ = retryAt;
  if (reply.answered && reply.succeeded && context_.session.isLeaseValid(now)) becomeLeader(now);
}

// --- Start and end of leadership -------------------------------------------------------------------------

void Candidacy::becomeLeader(Time now) {
  token_ = claimedToken_;
  if (token_ > highestSeenToken_) {
    highestSeenToken_ = token_;
    context_.session.markRegistrationChanged();
  }
  ++context_.counts.leadershipsAcquired;
  setState(now, State::leading);
  write_.isPending = false;
  registrationWatch_.index = 0;
  registrationWatch_.dueAt = now;
  lockHolder_ = context_.self.name;
  context_.host.logEvent(taskName_ + ": became leader with token " + std::to_string(token_));
  task_.onElected(now, token_, recordData_);
}

// Abandons the claim or the leadership, but not a write in flight, and enters `next`.
void Candidacy::endLeadership(Time now, State next) {
  const bool wasLeading = state_ == State::leading;
  setState(now, next);
  write_.isPending = false;
  claimedToken_ = 0;  // the next claim needs a new token
  if (step_ != Step::write) {
    stepCallId_ = 0;
    step_ = Step::none;
  }
  if (!wasLeading) return;
  context_.host.logEvent(taskName_ + ": leadership ended, new state " + std::string(stateName(next)));
  task_.onLeadershipLost(now);
}

void Candidacy::loseLock(Time now, const std::string& reason) {
  if (state_ == State::leading) ++context_.counts.locksLost;
  lastError_ = reason;
  stepCallId_ = 0;
  step_ = Step::none;
  endLeadership(now, context_.draining ? State::coolingDown : State::standby);
  if (context_.draining) dueAt_ = std::numeric_limits<Time>::infinity();
  rereadLock(now);
}

void Candidacy::expireLease(Time now) {
  if (state_ == State::leading) ++context_.counts.leasesExpired;
  lastError_ = "lease expired before the session was renewed";
  endLeadership(now, State::leaseUncertain);
  rereadLock(now);
  if (context_.session.isLive()) context_.session.abandon(now);
}

// --- Writing the record ----------------------------------------------------------------------------------

bool Candidacy::isLeaderWithValidLease(Time now) const {
  return state_ == State::leading && context_.session.isLeaseValid(now);
}

bool Candidacy::writeRecord(Time now, const std::string& data) {
  if (state_ != State::leading) return false;
  if (!write_.isPending && step_ != Step::write) write_.unconfirmedSince = now;
  write_.isPending = true;
  write_.data = data;
  return true;
}

void Candidacy::onRecordBeforeWrite(Time now, const StoreReply& reply, Time retryAt) {
  if (state_ != State::leading) return;
  dueAt_ = retryAt;
  if (!reply.answered) return;
  const StoreEntry* lock = findLock(reply);
  const LeaderRecord record = parseRecord(reply);
  // Fencing check: a write requires that this session owns the lock and the record has its token.
  if (!lock || lock->session != context_.session.id() || record.token != token_ ||
      record.leaderInstance != context_.self.instance) {
    ++context_.counts.fenceRejections;
    acceptRecord(now, record);
    return loseLock(now,
                    "fencing check failed before a write: lock not owned, or record of another leader; the "
                    "record has token " +
                        std::to_string(record.token));
  }
  // Checked immediately before the write is sent: the process may have been paused until its lease expired.
  if (!isLeaderWithValidLease(now)) return;
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
    write_.unconfirmedSince = now;
    task_.onRecord(now, token_, context_.self.instance, recordData_);
  } else if (!write_.isPending) {
    // The write may have taken effect, or another leader may have written the record: read it again and
    // retry.
    write_.isPending = true;
    write_.data = recordData_;
    dueAt_ = retryAt;
  }
}

// --- Watching the registrations --------------------------------------------------------------------------

void Candidacy::watchRegistrationsIfDue(Time now) {
  if (state_ != State::leading || registrationWatch_.callId != 0 || now < registrationWatch_.dueAt) return;
  StoreCall read = registrationsReadCall();
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
  const std::vector<Registration> all = parseRegistrations(reply);
  for (const Registration& registration : all) {
    const auto seen = registration.highestSeenTokens.find(taskName_);
    if (seen == registration.highestSeenTokens.end() || seen->second <= token_) continue;
    // The store had lost this higher token when the leader claimed its own: claim again, above it.
    ++context_.counts.fenceRejections;
    highestSeenToken_ = seen->second;
    lastError_ = registration.name + " reports a fencing token above this leader's";
    endLeadership(now, State::claimingToken);
    dueAt_ = now;
    return;
  }
  task_.onRegistrations(now, all);
}

}  // namespace wingslip::leader_election
