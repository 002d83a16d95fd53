#include "distribution/subscriber.hpp"

#include <algorithm>

#include "distribution/inbound.hpp"

namespace wingslip::distribution {
namespace {

constexpr unsigned kMaxBackoffDoublings = 10;

}  // namespace

Subscriber::Subscriber(const SubscriberLimits& limits, const std::vector<std::string>& replicas,
                       const std::string& build, Validator validator, std::uint64_t seed,
                       Environment& environment)
    : limits_(limits),
      replicas_(replicas),
      build_(build),
      validator_(std::move(validator)),
      environment_(environment),
      random_(seed),
      log_([&environment](const std::string& line) { environment.log(line); }) {}

void Subscriber::restore(const Snapshot& snapshot) {
  version_ = snapshot.version;
  term_ = snapshot.term;
  table_ = snapshot.table;
  std::vector<EntryPointer> entries;
  table_.forEach([&entries](const EntryPointer& entry) { entries.push_back(entry); });
  const auto reasons = findRejectedVersions(entries);
  const bool sameBuild = snapshot.build == build_;
  for (const RejectedEntry& rejected : snapshot.rejectedEntries)
    if (sameBuild || reasons.contains(rejected.rejectedVersion))
      rejected_.add(rejected.key, rejected.lastKnownGood, rejected.rejectedVersion);
  for (const EntryPointer& entry : entries)
    if (reasons.contains(entry->version) && !rejected_.find(entry->key))
      rejected_.add(entry->key, nullptr, entry->version);
  for (const RejectedChange& change : snapshot.rejectedChanges)
    if (rejected_.containsVersion(change.version)) rejected_.addReason(change.version, change.reason);
  for (const auto& [version, reason] : reasons) rejected_.addReason(version, reason);
}

Snapshot Subscriber::snapshot() const {
  Snapshot out;
  out.version = version_;
  out.term = term_;
  out.table = table_;
  out.rejectedEntries = rejected_.entries();
  out.rejectedChanges = rejected_.changes();
  out.build = build_;
  out.logBase = version_;
  out.logBaseTerm = term_;
  return out;
}

void Subscriber::start(Milliseconds now) {
  state_ = State::waiting;
  connectAt_ = now;
}

void Subscriber::tick(Milliseconds now) {
  if (state_ == State::waiting) {
    if (now >= connectAt_) subscribe(now);
    return;
  }
  if (state_ == State::connecting) {
    if (now - subscribedAt_ >= limits_.connectTimeout) failOver(now, "connect timeout");
    return;
  }
  if (now - lastReceivedAt_ >= limits_.silenceTimeout) return failOver(now, "silence");
  if (replicaIndex_ > 0 && now >= preferredRetryAt_ && !repair_) {
    replicaIndex_ = 0;
    return subscribe(now);
  }
  if (now - lastAcknowledgeAt_ >= limits_.acknowledgeInterval) acknowledge(now);
}

Milliseconds Subscriber::nextTickAt() const {
  if (state_ == State::waiting) return connectAt_;
  if (state_ == State::connecting) return subscribedAt_ + limits_.connectTimeout;
  Milliseconds at =
      std::min(lastReceivedAt_ + limits_.silenceTimeout, lastAcknowledgeAt_ + limits_.acknowledgeInterval);
  if (replicaIndex_ > 0 && !repair_) at = std::min(at, preferredRetryAt_);
  return at;
}

void Subscriber::receiveBytes(Milliseconds now, const std::string& from, const std::uint8_t* bytes,
                              std::size_t size) {
  if (const auto message = decodeOrLog(now, from, bytes, size, log_))
    receive(now, from, *message);
  else
    ++counts_.malformed;
}

void Subscriber::receive(Milliseconds now, const std::string& from, const Message& message) {
  if (state_ == State::waiting || from != replica()) return reportUnexpected(now);
  std::visit([&](const auto& typed) { handle(now, typed); }, message);
}

EntryPointer Subscriber::find(const EntryKey& key) const {
  const RejectedEntries::Override* rejected = rejected_.find(key);
  return rejected ? rejected->lastKnownGood : table_.find(key);
}

void Subscriber::handle(Milliseconds now, const Changes& message) {
  writerTime_ = std::max(writerTime_, message.writerTime);
  // During a repair only parts reset the silence timeout: the range request may have been lost.
  if (repair_) return;
  lastReceivedAt_ = now;
  if (state_ == State::connecting) {
    state_ = State::connected;
    failedAttempts_ = 0;
    preferredRetryAt_ =
        now + limits_.preferredRetryInterval +
        std::uniform_int_distribution<Milliseconds>(0, limits_.preferredRetryInterval)(random_);
  }
  if (message.previousVersion == version_ && message.previousTerm != term_) {
    ++counts_.conflictingHistories;
    return failOver(now, "conflicting history");
  }
  std::vector<EffectiveChange> changes;
  RecordOutcome outcome = RecordOutcome::applied;
  const Version before = version_;
  for (const RecordPointer& record : message.records) {
    outcome = applyRecord(*record, changes);
    if (outcome != RecordOutcome::applied && outcome != RecordOutcome::duplicate) break;
  }
  if (version_ != before) environment_.onChangesApplied(version_, changes);
  if (outcome == RecordOutcome::conflict) return failOver(now, "conflicting history");
  const bool sameVersion = version_ == message.committed;
  if (outcome == RecordOutcome::damaged || (sameVersion && table_.rootHash() != message.rootHash)) {
    ++counts_.hashMismatches;
    log_.line(now, "event=copy_differs version=" + std::to_string(version_));
    return requestRepair(now);
  }
  if (!message.records.empty()) acknowledge(now);
  if (outcome == RecordOutcome::gap) resubscribe(now);
}

Subscriber::RecordOutcome Subscriber::applyRecord(const ChangeRecord& record,
                                                  std::vector<EffectiveChange>& changes) {
  const RecordOutcome outcome = checkRecord(record);
  if (outcome != RecordOutcome::applied) return outcome;
  if (const auto error = validateRecord(record)) {
    ++counts_.rejectedChanges;
    for (const LoggedEdit& edit : record.edits)
      rejected_.add(edit.entry->key, find(edit.entry->key), record.version);
    rejected_.addReason(record.version, *error);
  } else {
    for (const LoggedEdit& edit : record.edits) {
      rejected_.remove(edit.entry->key);
      changes.push_back({edit.entry->key, edit.removes ? nullptr : edit.entry});
    }
  }
  table_.apply(record);
  version_ = record.version;
  term_ = record.term;
  ++counts_.applied;
  return RecordOutcome::applied;
}

Subscriber::RecordOutcome Subscriber::checkRecord(const ChangeRecord& record) {
  if (record.version == version_ && record.term != term_) {
    ++counts_.conflictingHistories;
    return RecordOutcome::conflict;
  }
  if (record.version <= version_) {
    ++counts_.duplicates;
    return RecordOutcome::duplicate;
  }
  if (record.version != version_ + 1) {
    ++counts_.gaps;
    return RecordOutcome::gap;
  }
  if (record.term < term_) {
    ++counts_.oldTerms;
    return RecordOutcome::conflict;
  }
  const bool hashMatches = table_.rootHashAfter(record.edits) == record.rootHash;
  return hashMatches ? RecordOutcome::applied : RecordOutcome::damaged;
}

std::optional<std::string> Subscriber::validateRecord(const ChangeRecord& record) const {
  for (const LoggedEdit& edit : record.edits) {
    if (edit.removes) continue;
    if (auto error = validator_(*edit.entry)) return error;
  }
  return std::nullopt;
}

void Subscriber::handle(Milliseconds now, const RangeContents& message) {
  lastReceivedAt_ = now;
  if (!repair_) return reportUnexpected(now);
  const TransferStep step = repair_->receivePart(message);
  if (step == TransferStep::damaged) {
    ++counts_.repairsDamaged;
    repair_.reset();
    staged_.reset();
    return failOver(now, "inconsistent transfer data");
  }
  acknowledge(now);
  if (step != TransferStep::complete) return;
  const std::unique_ptr<TransferReceiver> completed = std::move(repair_);
  staged_.reset();
  if (completed->version() < version_) return failOver(now, "transfer older than this copy");
  ++counts_.repairsDone;
  adoptTable(completed->table(), completed->version(), completed->term());
  subscribe(now);
}

void Subscriber::handle(Milliseconds now, const Rejection& message) {
  lastReceivedAt_ = now;
  if (message.code == RejectionCode::behindHorizon && !repair_) return requestRepair(now);
  if (message.code == RejectionCode::differentHistory) ++counts_.conflictingHistories;
  failOver(now, nameOf(message.code));
}

void Subscriber::subscribe(Milliseconds now) {
  state_ = State::connecting;
  subscribedAt_ = now;
  environment_.send(replica(), Subscribe{version_, term_, build_});
}

void Subscriber::resubscribe(Milliseconds now) {
  if (now - subscribedAt_ < limits_.resubscribeInterval) return;
  subscribedAt_ = now;
  environment_.send(replica(), Subscribe{version_, term_, build_});
}

void Subscriber::failOver(Milliseconds now, const char* reason) {
  log_.line(now, "event=replica_left replica=" + replica() + " reason=\"" + reason + "\"");
  abortRepair();
  ++counts_.failovers;
  replicaIndex_ = (replicaIndex_ + 1) % replicas_.size();
  const Milliseconds maxDelay =
      std::min(limits_.backoffCap, limits_.backoffBase << std::min(failedAttempts_, kMaxBackoffDoublings));
  ++failedAttempts_;
  state_ = State::waiting;
  connectAt_ = now + std::uniform_int_distribution<Milliseconds>(0, maxDelay)(random_);
}

void Subscriber::acknowledge(Milliseconds now) {
  lastAcknowledgeAt_ = now;
  Acknowledge message;
  message.version = version_;
  if (repair_) {
    message.transfer = repair_->id();
    message.nextPart = repair_->nextPart();
  }
  message.rejectedChanges = rejected_.changes();
  environment_.send(replica(), std::move(message));
}

void Subscriber::requestRepair(Milliseconds now) {
  if (!staged_) staged_ = table_;
  RangeRequest request;
  request.version = version_;
  request.term = term_;
  request.transfer = random_() | 1;
  if (staged_->size() > 0) request.hashes = staged_->rangeHashes();
  repair_ = std::make_unique<TransferReceiver>(request.transfer, *staged_);
  state_ = State::connected;
  lastReceivedAt_ = now;
  ++counts_.repairs;
  environment_.send(replica(), std::move(request));
}

void Subscriber::abortRepair() {
  if (!repair_) return;
  staged_ = repair_->table();
  repair_.reset();
}

void Subscriber::reportUnexpected(Milliseconds now) {
  ++counts_.unexpected;
  log_.line(now, "event=message_unexpected");
}

void Subscriber::adoptTable(const EntryTable& table, Version version, Term term) {
  std::vector<EffectiveChange> changes;
  std::vector<EntryPointer> entries;
  for (std::size_t i = 0; i < EntryTable::kRanges; ++i)
    if (table_.rangeHash(i) != table.rangeHash(i))
      compareRange(table_.range(i), table.range(i), entries, changes);
  const auto reasons = findRejectedVersions(entries);
  for (const EntryPointer& entry : entries) {
    if (reasons.contains(entry->version)) {
      rejected_.add(entry->key, find(entry->key), entry->version);
      rejected_.addReason(entry->version, reasons.at(entry->version));
      continue;
    }
    rejected_.remove(entry->key);
    changes.push_back({entry->key, entry});
  }
  table_ = table;
  version_ = version;
  term_ = term;
  environment_.onChangesApplied(version_, changes);
}

void Subscriber::compareRange(const RangePointer& before, const RangePointer& after,
                              std::vector<EntryPointer>& entries, std::vector<EffectiveChange>& changes) {
  std::map<EntryKey, Hash> previousHashes;
  if (before)
    for (const EntryPointer& entry : before->entries) previousHashes[entry->key] = entry->hash;
  if (after) {
    for (const EntryPointer& entry : after->entries) {
      const auto previous = previousHashes.find(entry->key);
      const bool unchanged = previous != previousHashes.end() && previous->second == entry->hash;
      if (previous != previousHashes.end()) previousHashes.erase(previous);
      if (!unchanged) entries.push_back(entry);
    }
  }
  for (const auto& [key, hash] : previousHashes) {
    rejected_.remove(key);
    changes.push_back({key, nullptr});
  }
}

std::map<Version, std::string> Subscriber::findRejectedVersions(
    const std::vector<EntryPointer>& entries) const {
  std::map<Version, std::string> reasons;
  for (const EntryPointer& entry : entries)
    if (auto error = validator_(*entry)) reasons.emplace(entry->version, std::move(*error));
  return reasons;
}

}  // namespace wingslip::distribution
