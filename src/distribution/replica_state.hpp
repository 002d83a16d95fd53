/// What a control replica holds: the log, the table at the committed version, and the highest term it
/// promised. The caller writes it to disk before it sends what rests on it.
#pragma once

#include "distribution/change_log.hpp"
#include "distribution/snapshot.hpp"

namespace wingslip::distribution {

class ReplicaState {
 public:
  const ChangeLog& log() const { return log_; }
  const EntryTable& table() const { return table_; }
  Version committed() const { return committed_; }
  Term committedTerm() const { return log_.termAt(committed_).value_or(0); }

  Term promisedTerm() const { return promisedTerm_; }
  void promise(Term term) { promisedTerm_ = std::max(promisedTerm_, term); }

  /// Unix time of the newest round that a majority answered to a writer, as far as known here.
  Milliseconds writerTime() const { return writerTime_; }
  void advanceWriterTime(Milliseconds time) { writerTime_ = std::max(writerTime_, time); }

  /// The record that these edits become as the next version of the log.
  RecordPointer makeRecord(Term term, const std::string& requestId, const std::vector<Edit>& edits) const;

  /// Takes a record after the committed version into the log, in place of uncommitted ones of another term
  /// that stand there. False: it does not follow the log, or has an older term than the record before it.
  bool append(const RecordPointer& record);
  void truncateUncommittedAfter(Version version);

  /// Applies records up to `version`, at most to the end of the log. False: the table would not get the hash
  /// that a record says, so this copy differs from the writer's; it stays at the version before.
  bool commitTo(Version version);

  /// Takes a whole table, of a transfer. The log starts anew unless it holds the record at this version.
  void adopt(const EntryTable& table, Version version, Term term);

  void compact(std::size_t maxRecords) { log_.compact(committed_, maxRecords); }

  /// Whether the table has the hash that the log says at the committed version, as far as the log has it.
  bool tableMatchesLog() const;

  Snapshot snapshot() const;
  void restore(const Snapshot& snapshot);

 private:
  // The entry at the end of the log, committed or not.
  EntryPointer findLatest(const EntryKey& key) const;
  Hash latestRootHash() const;

  ChangeLog log_;
  EntryTable table_;
  Version committed_ = 0;
  Term promisedTerm_ = 0;
  Milliseconds writerTime_ = 0;
};

}  // namespace wingslip::distribution
