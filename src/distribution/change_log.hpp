/// The replicated log of changes: consecutive records after a base version. Records up to and including the
/// base have been compacted away, so a copy older than the base cannot catch up from the log: it needs a
/// transfer of the ranges that differ.
#pragma once

#include <deque>
#include <unordered_map>

#include "distribution/entry.hpp"

namespace wingslip::distribution {

/// Log of one control replica, in memory; owned by ReplicaState.
class ChangeLog {
 public:
  /// Discards all records; the next record appended must have version `base` + 1.
  void reset(Version base, Term baseTerm);

  /// Version that precedes the first record.
  Version base() const { return base_; }
  Term baseTerm() const { return baseTerm_; }
  Version lastVersion() const { return base_ + records_.size(); }
  Term lastTerm() const { return records_.empty() ? baseTerm_ : records_.back()->term; }

  /// Term of the record at `version`; empty if the version is before the base or after the last record.
  std::optional<Term> termAt(Version version) const;
  /// Record at `version`. Precondition: base() < `version` <= lastVersion().
  const RecordPointer& at(Version version) const { return records_[version - base_ - 1]; }
  /// Records after `version` up to and including `last`. Returns the first one regardless of its size, then
  /// as many as fit into `maxBytes` (approximate encoded bytes).
  std::vector<RecordPointer> after(Version version, Version last, std::size_t maxBytes) const;
  /// Version of the record written for this request; empty if the log has no such record or it was compacted.
  std::optional<Version> findRequest(const std::string& requestId) const;

  /// Appends the record if its version is the next one and its term is not older than that of the last
  /// record. Returns false and changes nothing otherwise.
  bool append(RecordPointer record);
  /// Removes all records after `version`.
  void truncateAfter(Version version);
  /// Removes the oldest records until `maxRecords` remain, but none after `upTo`.
  void compact(Version upTo, std::size_t maxRecords);

 private:
  void eraseRequest(const ChangeRecord& record);

  Version base_ = 0;
  Term baseTerm_ = 0;
  std::deque<RecordPointer> records_;
  std::unordered_map<std::string, Version> requests_;
};

}  // namespace wingslip::distribution
