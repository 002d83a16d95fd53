#include "distribution/replica_state.hpp"

#include <algorithm>

namespace wingslip::distribution {

RecordPointer ReplicaState::makeRecord(Term term, const std::string& requestId,
                                       const std::vector<Edit>& edits) const {
  auto record = std::make_shared<ChangeRecord>();
  record->version = log_.lastVersion() + 1;
  record->term = term;
  record->requestId = requestId;
  record->rootHash = latestRootHash();
  for (const Edit& edit : edits) {
    LoggedEdit logged{makeEntry(edit.key, edit.value.value_or(""), record->version, term), !edit.value};
    if (const EntryPointer existing = findLatest(edit.key)) record->rootHash -= existing->hash;
    if (!logged.removes) record->rootHash += logged.entry->hash;
    record->edits.push_back(std::move(logged));
  }
  return record;
}

bool ReplicaState::append(const RecordPointer& record) {
  if (record->version <= committed_)
    return log_.termAt(record->version).value_or(record->term) == record->term;
  const std::optional<Term> existingTerm = log_.termAt(record->version);
  if (existingTerm == record->term) return true;
  if (existingTerm) log_.truncateAfter(record->version - 1);
  return log_.append(record);
}

void ReplicaState::truncateUncommittedAfter(Version version) {
  log_.truncateAfter(std::max(version, committed_));
}

bool ReplicaState::commitTo(Version version) {
  const Version last = std::min(version, log_.lastVersion());
  while (committed_ < last) {
    const ChangeRecord& record = *log_.at(committed_ + 1);
    if (table_.rootHashAfter(record.edits) != record.rootHash) return false;
    table_.apply(record);
    ++committed_;
  }
  return true;
}

void ReplicaState::adopt(const EntryTable& table, Version version, Term term) {
  if (version < committed_) return;
  table_ = table;
  committed_ = version;
  if (log_.termAt(version) == term) return;
  log_.reset(version, term);
}

bool ReplicaState::tableMatchesLog() const {
  if (committed_ <= log_.base() || committed_ > log_.lastVersion()) return true;
  return log_.at(committed_)->rootHash == table_.rootHash();
}

Snapshot ReplicaState::snapshot() const {
  Snapshot out;
  out.version = committed_;
  out.term = committedTerm();
  out.table = table_;
  out.promisedTerm = promisedTerm_;
  out.logBase = log_.base();
  out.logBaseTerm = log_.baseTerm();
  out.records = log_.after(log_.base(), log_.lastVersion(), SIZE_MAX);
  return out;
}

void ReplicaState::restore(const Snapshot& snapshot) {
  table_ = snapshot.table;
  committed_ = snapshot.version;
  promisedTerm_ = snapshot.promisedTerm;
  log_.reset(snapshot.logBase, snapshot.logBaseTerm);
  for (const RecordPointer& record : snapshot.records) log_.append(record);
}

EntryPointer ReplicaState::findLatest(const EntryKey& key) const {
  for (Version version = log_.lastVersion(); version > committed_; --version) {
    for (const LoggedEdit& edit : log_.at(version)->edits) {
      if (edit.entry->key != key) continue;
      return edit.removes ? nullptr : edit.entry;
    }
  }
  return table_.find(key);
}

Hash ReplicaState::latestRootHash() const {
  return log_.lastVersion() > committed_ ? log_.at(log_.lastVersion())->rootHash : table_.rootHash();
}

}  // namespace wingslip::distribution
