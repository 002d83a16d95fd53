/// State of a control replica: the log, the table at the committed version, and the highest promised term.
/// The caller must persist it before sending any message that depends on it.
#pragma once

#include "distribution/change_log.hpp"
#include "distribution/snapshot.hpp"

namespace wingslip::distribution {

/// Owned by ControlReplica; shared with its Writer and its SubscriberSessions. Not thread-safe.
class ReplicaState {
 public:
  const ChangeLog& log() const { return log_; }
  const EntryTable& table() const { return table_; }
  /// Last committed version, which is the version of the table.
  Version committed() const { return committed_; }
  Term committedTerm() const { return log_.termAt(committed_).value_or(0); }

  Term promisedTerm() const { return promisedTerm_; }
  /// Raises the promised term to `term`; an older term changes nothing.
  void promise(Term term) { promisedTerm_ = std::max(promisedTerm_, term); }

  /// Unix time of the newest append round that a majority is known to have responded to.
  Milliseconds writerTime() const { return writerTime_; }
  void advanceWriterTime(Milliseconds time) { writerTime_ = std::max(writerTime_, time); }

  /// Builds the record of these edits at the next version of the log, without appending it.
  RecordPointer makeRecord(Term term, const std::string& requestId, const std::vector<Edit>& edits) const;

  /// Appends the record. If the log has an uncommitted record of another term at its version, that record and
  /// all later ones are removed first. A record that the log already has is accepted without change. Returns
  /// false if the record does not follow the log, has an older term than the previous record, or conflicts
  /// with a committed record.
  bool append(const RecordPointer& record);
  /// Removes the uncommitted records after `version`.
  void truncateUncommittedAfter(Version version);

  /// Commits and applies the records up to `version` or the end of the log. Returns false if a record would
  /// not give the table the root hash stored in the record: this copy differs from the writer's, and the
  /// committed version stays at the preceding record.
  bool commitTo(Version version);

  /// Replaces the table by that of a completed transfer, unless it is older than the committed version. The
  /// log is reset to `version` unless it has a record of `term` at this version.
  void adopt(const EntryTable& table, Version version, Term term);

  /// Compacts committed records until the log has at most `maxRecords`.
  void compact(std::size_t maxRecords) { log_.compact(committed_, maxRecords); }

  /// Whether the table has the root hash that the log records for the committed version; true if the log no
  /// longer has that record.
  bool tableMatchesLog() const;

  Snapshot snapshot() const;
  /// Replaces the state by that of the snapshot.
  void restore(const Snapshot& snapshot);

 private:
  // Entry after all records of the log, including uncommitted ones; null if there is none.
  EntryPointer findLatest(const EntryKey& key) const;
  // Root hash after all records of the log, including uncommitted ones.
  Hash latestRootHash() const;

  ChangeLog log_;
  EntryTable table_;
  Version committed_ = 0;
  Term promisedTerm_ = 0;
  Milliseconds writerTime_ = 0;
};

}  // namespace wingslip::distribution
