#include "distribution/subscriber_sessions.hpp"

#include <algorithm>

namespace wingslip::distribution {
namespace {

// Approximate size of a Changes message without records, as taken from the token bucket.
constexpr double kHeartbeatBytes = 64;

}  // namespace

SubscriberSessions::SubscriberSessions(const SessionLimits& limits, const ReplicaState& state, Send send,
                                       RejectionCallback onChangeRejected)
    : limits_(limits),
      state_(state),
      send_(std::move(send)),
      onChangeRejected_(std::move(onChangeRejected)) {}

void SubscriberSessions::receive(Milliseconds now, const std::string& from, const Subscribe& subscribe) {
  if (const auto rejection = findRejection(subscribe.version, subscribe.term))
    return reject(from, *rejection);
  Session* session = openSession(now, from, limits_.bytesPerSecond);
  if (session == nullptr) return reject(from, RejectionCode::busy);
  endTransfer(*session);
  session->streaming = true;
  session->sent = subscribe.version;
  session->acknowledged = subscribe.version;
  session->progressAt = now;
  session->resendTimeout = limits_.resendTimeout;
  sendHeartbeat(now, from, *session);
}

void SubscriberSessions::receive(Milliseconds now, const std::string& from, const Acknowledge& acknowledge) {
  const auto found = sessions_.find(from);
  if (found == sessions_.end()) return;
  Session& session = found->second;
  session.lastReceivedAt = now;
  applyAcknowledgedVersion(now, session, acknowledge.version);
  reportRejectedChanges(from, session, acknowledge.rejectedChanges);
  applyAcknowledgedParts(now, session, acknowledge);
}

void SubscriberSessions::applyAcknowledgedVersion(Milliseconds now, Session& session, Version version) {
  if (!session.streaming || version <= session.acknowledged || version > state_.committed()) return;
  session.acknowledged = version;
  session.sent = std::max(session.sent, version);
  session.progressAt = now;
  session.resendTimeout = limits_.resendTimeout;
}

void SubscriberSessions::reportRejectedChanges(const std::string& subscriber, Session& session,
                                               const std::vector<RejectedChange>& changes) {
  if (changes == session.rejectedChanges) return;
  for (const RejectedChange& change : changes) {
    if (std::count(session.rejectedChanges.begin(), session.rejectedChanges.end(), change) > 0) continue;
    ++counts_.rejectedChanges;
    onChangeRejected_(subscriber, change);
  }
  session.rejectedChanges = changes;
}

void SubscriberSessions::applyAcknowledgedParts(Milliseconds now, Session& session,
                                                const Acknowledge& acknowledge) {
  if (!session.transfer || acknowledge.transfer != session.transfer->id()) return;
  if (acknowledge.nextPart <= session.acknowledgedParts) return;
  if (acknowledge.nextPart > session.transfer->partCount()) return;
  session.acknowledgedParts = acknowledge.nextPart;
  session.sentParts = std::max(session.sentParts, acknowledge.nextPart);
  session.progressAt = now;
  session.resendTimeout = limits_.resendTimeout;
  if (session.acknowledgedParts < session.transfer->partCount()) return;
  ++counts_.transfersDone;
  endTransfer(session);
}

void SubscriberSessions::receive(Milliseconds now, const std::string& from, const RangeRequest& request,
                                 bool fromReplica) {
  if (!serving_) return reject(from, RejectionCode::notServing);
  if (request.version > state_.committed()) return reject(from, RejectionCode::subscriberAhead);
  const std::optional<Term> term = state_.log().termAt(request.version);
  if (term && *term != request.term) return reject(from, RejectionCode::differentHistory);
  const double rate = fromReplica ? limits_.peerBytesPerSecond : limits_.bytesPerSecond;
  Session* session = openSession(now, from, rate);
  if (session == nullptr) return reject(from, RejectionCode::busy);
  session->lastReceivedAt = now;
  if (session->transfer && session->transfer->id() == request.transfer) return;  // duplicate request
  endTransfer(*session);
  if (transfers_ >= limits_.maxTransfers) return reject(from, RejectionCode::busy);
  session->transfer =
      std::make_unique<TransferSender>(request, state_.table(), state_.committed(), state_.committedTerm());
  session->streaming = false;
  session->sentParts = 0;
  session->acknowledgedParts = 0;
  session->progressAt = now;
  session->resendTimeout = limits_.resendTimeout;
  ++transfers_;
  ++counts_.transfersStarted;
}

void SubscriberSessions::receive(const std::string& from, const Fetch& fetch) {
  if (const auto rejection = findRejection(fetch.version, fetch.term)) return reject(from, *rejection);
  Changes changes = changesWithoutRecords();
  changes.previousVersion = fetch.version;
  changes.previousTerm = fetch.term;
  changes.records = state_.log().after(fetch.version, state_.committed(), limits_.maxChangesBytes);
  send_(from, std::move(changes));
}

void SubscriberSessions::tick(Milliseconds now) {
  const bool flush = now >= nextFlushAt_;
  if (flush) nextFlushAt_ = now + limits_.batchInterval;
  for (auto current = sessions_.begin(); current != sessions_.end();) {
    const std::string& name = current->first;
    Session& session = current->second;
    if (now - session.lastReceivedAt > limits_.sessionTimeout) {
      endTransfer(session);
      ++counts_.sessionsExpired;
      current = sessions_.erase(current);
      continue;
    }
    if (!serving_) {
      ++current;
      continue;
    }
    resendIfStalled(now, session);
    if (session.transfer) sendParts(now, name, session);
    if (session.streaming && flush) sendChanges(now, name, session);
    if (session.streaming && now - session.sentAt >= limits_.heartbeatInterval)
      sendHeartbeat(now, name, session);
    ++current;
  }
}

std::optional<RejectionCode> SubscriberSessions::findRejection(Version version, Term term) const {
  if (!serving_) return RejectionCode::notServing;
  if (version > state_.committed()) return RejectionCode::subscriberAhead;
  const std::optional<Term> localTerm = state_.log().termAt(version);
  if (!localTerm) return RejectionCode::behindHorizon;
  if (*localTerm != term) return RejectionCode::differentHistory;
  return std::nullopt;
}

void SubscriberSessions::reject(const std::string& to, RejectionCode code) {
  switch (code) {
    case RejectionCode::behindHorizon:
      ++counts_.rejectedBehindHorizon;
      break;
    case RejectionCode::subscriberAhead:
      ++counts_.rejectedSubscriberAhead;
      break;
    case RejectionCode::differentHistory:
      ++counts_.rejectedDifferentHistory;
      break;
    case RejectionCode::busy:
      ++counts_.rejectedBusy;
      break;
    case RejectionCode::notServing:
      ++counts_.rejectedNotServing;
      break;
  }
  send_(to, Rejection{code, code == RejectionCode::busy ? limits_.busyRetryDelay : 0});
}

SubscriberSessions::Session* SubscriberSessions::openSession(Milliseconds now, const std::string& name,
                                                             double bytesPerSecond) {
  auto found = sessions_.find(name);
  if (found == sessions_.end()) {
    if (sessions_.size() >= limits_.maxSessions) return nullptr;
    found = sessions_.emplace(name, Session(TokenBucket(bytesPerSecond, limits_.burstBytes))).first;
  }
  found->second.lastReceivedAt = now;
  return &found->second;
}

void SubscriberSessions::endTransfer(Session& session) {
  if (!session.transfer) return;
  session.transfer.reset();
  --transfers_;
}

void SubscriberSessions::resendIfStalled(Milliseconds now, Session& session) {
  const bool changesStalled = session.streaming && session.sent > session.acknowledged;
  const bool partsStalled = session.transfer && session.sentParts > session.acknowledgedParts;
  if (!changesStalled && !partsStalled) {
    session.progressAt = now;
    return;
  }
  if (now - session.progressAt < session.resendTimeout) return;
  ++counts_.resends;
  session.progressAt = now;
  session.resendTimeout = std::min(2 * session.resendTimeout, limits_.maxResendTimeout);
  session.sent = session.acknowledged;
  session.sentParts = session.acknowledgedParts;
}

void SubscriberSessions::sendParts(Milliseconds now, const std::string& name, Session& session) {
  while (session.sentParts < session.transfer->partCount() &&
         session.sentParts < session.acknowledgedParts + limits_.maxPartsInFlight &&
         session.bucket.available(now)) {
    RangeContents contents = session.transfer->part(session.sentParts);
    session.bucket.take(now, static_cast<double>(approximateBytes(contents)));
    ++session.sentParts;
    ++counts_.partsSent;
    session.sentAt = now;
    send_(name, std::move(contents));
  }
}

void SubscriberSessions::sendChanges(Milliseconds now, const std::string& name, Session& session) {
  if (session.sent < state_.log().base()) {
    session.streaming = false;
    return reject(name, RejectionCode::behindHorizon);
  }
  const Version last = std::min(state_.committed(), session.acknowledged + limits_.maxRecordsInFlight);
  while (session.sent < last && session.bucket.available(now)) {
    Changes changes = changesWithoutRecords();
    changes.previousVersion = session.sent;
    changes.previousTerm = state_.log().termAt(session.sent).value_or(0);
    changes.records = state_.log().after(session.sent, last, limits_.maxChangesBytes);
    double bytes = kHeartbeatBytes;
    for (const RecordPointer& record : changes.records)
      bytes += static_cast<double>(approximateBytes(*record));
    session.bucket.take(now, bytes);
    session.sent += changes.records.size();
    session.sentAt = now;
    ++counts_.changesSent;
    send_(name, std::move(changes));
  }
}

void SubscriberSessions::sendHeartbeat(Milliseconds now, const std::string& name, Session& session) {
  if (session.sent < state_.log().base() || !session.bucket.available(now)) return;
  session.bucket.take(now, kHeartbeatBytes);
  session.sentAt = now;
  ++counts_.heartbeatsSent;
  Changes changes = changesWithoutRecords();
  changes.previousVersion = session.sent;
  changes.previousTerm = state_.log().termAt(session.sent).value_or(0);
  send_(name, std::move(changes));
}

Changes SubscriberSessions::changesWithoutRecords() const {
  Changes changes;
  changes.committed = state_.committed();
  changes.rootHash = state_.table().rootHash();
  changes.writerTime = state_.writerTime();
  return changes;
}

}  // namespace wingslip::distribution
