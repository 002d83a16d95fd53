#include "distribution/subscriber_sessions.hpp"

#include <algorithm>

namespace wingslip::distribution {
namespace {

constexpr double kHeartbeatBytes = 64;

}  // namespace

SubscriberSessions::SubscriberSessions(const SessionLimits& limits, const ReplicaState& state, Send send,
                                       RefusalHeard heard)
    : limits_(limits), state_(state), send_(std::move(send)), refusalHeard_(std::move(heard)) {}

void SubscriberSessions::receive(Milliseconds now, const std::string& from, const Subscribe& subscribe) {
  if (const auto refusal = findRefusal(subscribe.version, subscribe.term)) return refuse(from, *refusal);
  Session* session = openSession(now, from, limits_.bytesPerSecond);
  if (session == nullptr) return refuse(from, RefusalCode::busy);
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
  session.heardAt = now;
  if (session.streaming && acknowledge.version > session.acknowledged &&
      acknowledge.version <= state_.committed()) {
    session.acknowledged = acknowledge.version;
    session.sent = std::max(session.sent, acknowledge.version);
    session.progressAt = now;
    session.resendTimeout = limits_.resendTimeout;
  }
  if (acknowledge.refusals != session.refusals) {
    for (const Refusal& refusal : acknowledge.refusals) {
      if (std::count(session.refusals.begin(), session.refusals.end(), refusal) > 0) continue;
      ++counts_.refusalsHeard;
      refusalHeard_(from, refusal);
    }
    session.refusals = acknowledge.refusals;
  }
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
  if (!serving_) return refuse(from, RefusalCode::not_serving);
  if (request.version > state_.committed()) return refuse(from, RefusalCode::subscriber_ahead);
  const std::optional<Term> term = state_.log().termAt(request.version);
  if (term && *term != request.term) return refuse(from, RefusalCode::different_history);
  const double rate = fromReplica ? limits_.peerBytesPerSecond : limits_.bytesPerSecond;
  Session* session = openSession(now, from, rate);
  if (session == nullptr) return refuse(from, RefusalCode::busy);
  session->heardAt = now;
  if (session->transfer && session->transfer->id() == request.transfer) return;  // doubled
  endTransfer(*session);
  if (transfers_ >= limits_.maxTransfers) return refuse(from, RefusalCode::busy);
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
  if (const auto refusal = findRefusal(fetch.version, fetch.term)) return refuse(from, *refusal);
  Changes changes = position();
  changes.previousVersion = fetch.version;
  changes.previousTerm = fetch.term;
  changes.records = state_.log().after(fetch.version, state_.committed(), limits_.maxChangesBytes);
  send_(from, std::move(changes));
}

void SubscriberSessions::tick(Milliseconds now) {
  const bool flush = now >= nextFlush_;
  if (flush) nextFlush_ = now + limits_.gatherTime;
  for (auto place = sessions_.begin(); place != sessions_.end();) {
    const std::string& name = place->first;
    Session& session = place->second;
    if (now - session.heardAt > limits_.sessionTimeout) {
      endTransfer(session);
      ++counts_.sessionsExpired;
      place = sessions_.erase(place);
      continue;
    }
    if (!serving_) {
      ++place;
      continue;
    }
    resendIfStuck(now, session);
    if (session.transfer) sendParts(now, name, session);
    if (session.streaming && flush) sendChanges(now, name, session);
    if (session.streaming && now - session.sentAt >= limits_.heartbeatInterval)
      sendHeartbeat(now, name, session);
    ++place;
  }
}

std::optional<RefusalCode> SubscriberSessions::findRefusal(Version version, Term term) const {
  if (!serving_) return RefusalCode::not_serving;
  if (version > state_.committed()) return RefusalCode::subscriber_ahead;
  const std::optional<Term> held = state_.log().termAt(version);
  if (!held) return RefusalCode::behind_horizon;
  if (*held != term) return RefusalCode::different_history;
  return std::nullopt;
}

void SubscriberSessions::refuse(const std::string& to, RefusalCode code) {
  switch (code) {
    case RefusalCode::behind_horizon:
      ++counts_.refusedBehindHorizon;
      break;
    case RefusalCode::subscriber_ahead:
      ++counts_.refusedAhead;
      break;
    case RefusalCode::different_history:
      ++counts_.refusedHistory;
      break;
    case RefusalCode::busy:
      ++counts_.refusedBusy;
      break;
    case RefusalCode::not_serving:
      ++counts_.refusedNotServing;
      break;
  }
  send_(to, Refused{code, code == RefusalCode::busy ? limits_.transferRetryTime : 0});
}

SubscriberSessions::Session* SubscriberSessions::openSession(Milliseconds now, const std::string& name,
                                                             double bytesPerSecond) {
  auto found = sessions_.find(name);
  if (found == sessions_.end()) {
    if (sessions_.size() >= limits_.maxSessions) return nullptr;
    found = sessions_.emplace(name, Session(TokenBucket(bytesPerSecond, limits_.burstBytes))).first;
  }
  found->second.heardAt = now;
  return &found->second;
}

void SubscriberSessions::endTransfer(Session& session) {
  if (!session.transfer) return;
  session.transfer.reset();
  --transfers_;
}

void SubscriberSessions::resendIfStuck(Milliseconds now, Session& session) {
  const bool changesStuck = session.streaming && session.sent > session.acknowledged;
  const bool partsStuck = session.transfer && session.sentParts > session.acknowledgedParts;
  if (!changesStuck && !partsStuck) {
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
    return refuse(name, RefusalCode::behind_horizon);
  }
  const Version last = std::min(state_.committed(), session.acknowledged + limits_.maxRecordsInFlight);
  while (session.sent < last && session.bucket.available(now)) {
    Changes changes = position();
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
  Changes changes = position();
  changes.previousVersion = session.sent;
  changes.previousTerm = state_.log().termAt(session.sent).value_or(0);
  send_(name, std::move(changes));
}

Changes SubscriberSessions::position() const {
  Changes changes;
  changes.committed = state_.committed();
  changes.rootHash = state_.table().rootHash();
  changes.writerTime = state_.writerTime();
  return changes;
}

}  // namespace wingslip::distribution
