#include "distribution/control_replica.hpp"

#include <algorithm>

#include "distribution/inbound.hpp"

namespace wingslip::distribution {

ControlReplica::ControlReplica(const ReplicaLimits& limits, const std::string& name,
                               const std::vector<std::string>& peers, std::uint64_t seed,
                               Environment& environment)
    : limits_(limits),
      name_(name),
      peers_(peers),
      environment_(environment),
      random_(seed),
      log_([&environment](const std::string& line) { environment.log(line); }),
      sessions_(
          limits.sessions, state_,
          [&environment](const std::string& to, Message message) {
            environment.send(to, std::move(message));
          },
          [&environment](const std::string& subscriber, const RejectedChange& change) {
            environment.onChangeRejected(subscriber, change);
          }) {}

void ControlReplica::restore(const Snapshot& snapshot) {
  state_.restore(snapshot);
  if (state_.tableMatchesLog()) return;
  ++counts_.tableMismatches;
  sessions_.setServing(false);
}

bool ControlReplica::becomeWriter(Milliseconds now, Term term) {
  if (term <= state_.promisedTerm()) return false;
  state_.promise(term);
  stepDown(now, "becoming the writer of a new term");
  writer_ = std::make_unique<Writer>(
      now, term, peers_, limits_.maxUncommitted, state_,
      [this](const std::string& to, Message message) { environment_.send(to, std::move(message)); });
  writer_->tick(now, environment_.unixTime());
  return true;
}

PublishResult ControlReplica::publish(Milliseconds now, const std::string& requestId,
                                      const std::vector<Edit>& edits) {
  if (!writer_) return {PublishStatus::notWriter, 0, "this replica is not the writer"};
  const PublishResult result = writer_->publish(now, environment_.unixTime(), requestId, edits);
  if (result.status == PublishStatus::pending) uncommittedRequests_[requestId] = result.version;
  compact();
  return result;
}

void ControlReplica::receiveBytes(Milliseconds now, const std::string& from, const std::uint8_t* bytes,
                                  std::size_t size) {
  if (const auto message = decodeOrLog(now, from, bytes, size, log_))
    receive(now, from, *message);
  else
    ++counts_.malformed;
}

void ControlReplica::receive(Milliseconds now, const std::string& from, const Message& message) {
  std::visit([&](const auto& typed) { handle(now, from, typed); }, message);
}

void ControlReplica::tick(Milliseconds now) {
  if (writer_) writer_->tick(now, environment_.unixTime());
  if (repair_ && now - lastRepairProgressAt_ > limits_.repairTimeout) repair_.reset();
  if (!repair_ && now >= nextFetchAt_ && !sessions_.serving() && !peers_.empty())
    requestRepair(now, peers_[random_() % peers_.size()]);
  if (!repair_ && now >= nextFetchAt_ && !isWriterAlive(now)) fetchFromPeer(now);
  sessions_.tick(now);
}

void ControlReplica::handle(Milliseconds now, const std::string& from, const Subscribe& message) {
  sessions_.receive(now, from, message);
}

void ControlReplica::handle(Milliseconds now, const std::string& from, const Acknowledge& message) {
  sessions_.receive(now, from, message);
}

void ControlReplica::handle(Milliseconds now, const std::string& from, const RangeRequest& message) {
  sessions_.receive(now, from, message, isPeer(from));
}

void ControlReplica::handle(Milliseconds, const std::string& from, const Fetch& message) {
  if (isPeer(from)) sessions_.receive(from, message);
}

// Changes are received only in response to a Fetch.
void ControlReplica::handle(Milliseconds now, const std::string& from, const Changes& message) {
  if (!isPeer(from) || from != pendingFetchPeer_) return reportUnexpected(now, from, "changes");
  pendingFetchPeer_.clear();
  state_.advanceWriterTime(message.writerTime);
  if (repair_) return;
  for (const RecordPointer& record : message.records) {
    if (record->version <= state_.committed()) continue;
    if (record->version != state_.committed() + 1) return;
    if (writer_ && record->term > writer_->term()) stepDown(now, "a record of a later term was committed");
    state_.promise(record->term);
    if (!state_.append(record)) {
      ++counts_.conflictingHistories;
      return log_.line(now, "event=history_conflict from=" + from);
    }
    commitTo(now, record->version);
    if (state_.committed() < record->version) return;
  }
  if (state_.committed() < message.committed) nextFetchAt_ = now;
}

void ControlReplica::handle(Milliseconds now, const std::string& from, const RangeContents& message) {
  if (!repair_ || from != repairPeer_) return reportUnexpected(now, from, "ranges");
  const TransferStep step = repair_->receivePart(message);
  if (step == TransferStep::ignored) {
    if (message.transfer != repair_->id()) return reportUnexpected(now, from, "ranges");
  } else {
    lastRepairProgressAt_ = now;
  }
  if (step == TransferStep::damaged) {
    ++counts_.repairsDamaged;
    repair_.reset();
    return log_.line(now, "event=repair_damaged from=" + from);
  }
  environment_.send(from, Acknowledge{state_.committed(), repair_->id(), repair_->nextPart(), {}});
  if (step != TransferStep::complete) return;
  if (repair_->version() >= state_.committed()) {
    state_.promise(repair_->term());
    state_.adopt(repair_->table(), repair_->version(), repair_->term());
    sessions_.setServing(true);
    ++counts_.repairsDone;
  }
  repair_.reset();
}

void ControlReplica::handle(Milliseconds now, const std::string& from, const Rejection& message) {
  if (!isPeer(from) || (from != pendingFetchPeer_ && from != repairPeer_))
    return reportUnexpected(now, from, "rejection");
  pendingFetchPeer_.clear();
  if (message.code == RejectionCode::differentHistory) {
    ++counts_.conflictingHistories;
    return log_.line(now, "event=history_conflict from=" + from);
  }
  if (message.code == RejectionCode::behindHorizon) return requestRepair(now, from);
  if (repair_ && from == repairPeer_) repair_.reset();
}

void ControlReplica::handle(Milliseconds now, const std::string& from, const Prepare& message) {
  if (!isPeer(from)) return reportUnexpected(now, from, "prepare");
  Promise promise;
  promise.accepted = acceptTerm(message.term);
  promise.term = state_.promisedTerm();
  if (promise.accepted) {
    if (writer_ && writer_->term() < message.term) stepDown(now, "received a prepare of a later term");
    const ChangeLog& log = state_.log();
    promise.lastVersion = log.lastVersion();
    promise.lastTerm = log.lastTerm();
    promise.committed = state_.committed();
    if (message.committed >= log.base())
      promise.records = log.after(message.committed, log.lastVersion(), Writer::kMaxAppendBytes);
  }
  environment_.send(from, std::move(promise));
}

void ControlReplica::handle(Milliseconds now, const std::string& from, const Promise& message) {
  if (!isPeer(from)) return reportUnexpected(now, from, "promise");
  if (!writer_) return;
  if (message.term > writer_->term()) {
    state_.promise(message.term);
    return stepDown(now, "a peer has promised a later term");
  }
  writer_->receivePromise(now, environment_.unixTime(), from, message);
  processWriterProgress(now);
}

void ControlReplica::handle(Milliseconds now, const std::string& from, const Append& message) {
  if (!isPeer(from)) return reportUnexpected(now, from, "records");
  AppendResponse response;
  response.sentAt = message.sentAt;
  if (!acceptTerm(message.term)) {
    response.term = state_.promisedTerm();
    environment_.send(from, response);
    return log_.line(now, "event=old_term_refused from=" + from);
  }
  if (writer_) stepDown(now, "received an append of a later term");
  lastWriterMessageAt_ = now;
  state_.advanceWriterTime(message.writerTime);
  response.term = message.term;
  response.accepted = appendRecords(message);
  response.version = response.accepted ? message.previousVersion + message.records.size()
                                       : std::min(state_.log().lastVersion(), message.previousVersion - 1);
  if (response.accepted && !repair_) commitTo(now, std::min(message.committed, response.version));
  environment_.send(from, response);
  // The missing records may have been compacted from the writer's log; a peer that lacks them too rejects the
  // fetch as behind the horizon, and the table is then repaired by ranges.
  if (!response.accepted && message.previousVersion > state_.log().lastVersion() && !repair_ &&
      now >= nextFetchAt_)
    fetchFromPeer(now);
}

void ControlReplica::handle(Milliseconds now, const std::string& from, const AppendResponse& message) {
  if (!isPeer(from)) return reportUnexpected(now, from, "answer");
  if (!writer_) return;
  if (message.term > writer_->term()) {
    state_.promise(message.term);
    return stepDown(now, "a peer has promised a later term");
  }
  writer_->receiveAppendResponse(now, environment_.unixTime(), from, message);
  processWriterProgress(now);
}

bool ControlReplica::isPeer(const std::string& name) const {
  return std::find(peers_.begin(), peers_.end(), name) != peers_.end();
}

bool ControlReplica::acceptTerm(Term term) {
  if (term < state_.promisedTerm()) {
    ++counts_.oldTerms;
    return false;
  }
  state_.promise(term);
  return true;
}

bool ControlReplica::appendRecords(const Append& append) {
  const ChangeLog& log = state_.log();
  if (append.previousVersion > log.lastVersion()) return false;
  if (append.previousVersion > state_.committed() &&
      log.termAt(append.previousVersion) != append.previousTerm) {
    state_.truncateUncommittedAfter(append.previousVersion - 1);
    return false;
  }
  for (const RecordPointer& record : append.records) {
    if (state_.append(record)) continue;
    ++counts_.conflictingHistories;
    return false;
  }
  return true;
}

void ControlReplica::commitTo(Milliseconds now, Version version) {
  if (!state_.commitTo(version)) return repairTable(now);
  compact();
}

void ControlReplica::processWriterProgress(Milliseconds now) {
  reportCommitted();
  compact();
  if (!writer_->tableDiffers()) return;
  stepDown(now, "the table does not match the log");
  repairTable(now);
}

void ControlReplica::repairTable(Milliseconds now) {
  ++counts_.tableMismatches;
  sessions_.setServing(false);
  log_.line(now, "event=table_differs version=" + std::to_string(state_.committed()));
  if (!repair_ && !peers_.empty()) requestRepair(now, peers_[random_() % peers_.size()]);
}

void ControlReplica::reportCommitted() {
  for (auto request = uncommittedRequests_.begin(); request != uncommittedRequests_.end();) {
    if (request->second > state_.committed()) {
      ++request;
      continue;
    }
    environment_.onChangeCommitted(request->first, request->second);
    request = uncommittedRequests_.erase(request);
  }
}

// Uncommitted requests are dropped without a response: their publishers retry at the next writer with the
// same request id.
void ControlReplica::stepDown(Milliseconds now, const char* reason) {
  uncommittedRequests_.clear();
  if (!writer_) return;
  log_.line(now, std::string("event=writer_stepped_down reason=\"") + reason + "\"");
  writer_.reset();
}

bool ControlReplica::isWriterAlive(Milliseconds now) const {
  const Milliseconds lastReceivedAt =
      writer_ && writer_->ready() ? writer_->majorityRespondedAt() : lastWriterMessageAt_;
  return lastReceivedAt > 0 && now - lastReceivedAt <= limits_.writerTimeout;
}

void ControlReplica::fetchFromPeer(Milliseconds now) {
  nextFetchAt_ = now + limits_.fetchInterval;
  if (peers_.empty()) return;
  pendingFetchPeer_ = peers_[random_() % peers_.size()];
  ++counts_.fetches;
  environment_.send(pendingFetchPeer_, Fetch{state_.committed(), state_.committedTerm()});
}

void ControlReplica::requestRepair(Milliseconds now, const std::string& peer) {
  RangeRequest request;
  request.version = state_.committed();
  request.term = state_.committedTerm();
  request.transfer = random_() | 1;
  if (state_.table().size() > 0) request.hashes = state_.table().rangeHashes();
  repair_ = std::make_unique<TransferReceiver>(request.transfer, state_.table());
  repairPeer_ = peer;
  lastRepairProgressAt_ = now;
  nextFetchAt_ = now + limits_.fetchInterval;
  ++counts_.repairs;
  environment_.send(peer, std::move(request));
}

void ControlReplica::reportUnexpected(Milliseconds now, const std::string& from, const char* messageKind) {
  ++counts_.unexpected;
  log_.line(now, "event=message_unexpected from=" + from + " what=" + messageKind);
}

}  // namespace wingslip::distribution
