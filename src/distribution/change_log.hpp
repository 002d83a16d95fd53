/// The log: consecutive records after a base version. Records at or before the base were compacted away; a
/// copy older than the base cannot be brought up to date by records.
#pragma once

#include <deque>
#include <unordered_map>

#include "distribution/entry.hpp"

namespace wingslip::distribution {

class ChangeLog {
 public:
  /// Forgets all records; the next one has version `base` + 1.
  void reset(Version base, Term baseTerm);

  Version base() const { return base_; }
  Term baseTerm() const { return baseTerm_; }
  Version lastVersion() const { return base_ + records_.size(); }
  Term lastTerm() const { return records_.empty() ? baseTerm_ : records_.back()->term; }

  /// Nothing for versions before the base and after the last.
  std::optional<Term> termAt(Version version) const;
  /// The version must be after the base and not after the last.
  const RecordPointer& at(Version version) const { return records_[version - base_ - 1]; }
  /// Records after `version` up to and including `last`: at least one, then while they fit into `maxBytes`.
  std::vector<RecordPointer> after(Version version, Version last, std::size_t maxBytes) const;
  /// The version that was written for this request, while the log still holds it.
  std::optional<Version> findRequest(const std::string& requestId) const;

  /// Takes the record only if it is of the next version and of no older term than the last one.
  bool append(RecordPointer record);
  void truncateAfter(Version version);
  /// Drops the oldest records until `maxRecords` are left, none of them after `upTo`.
  void compact(Version upTo, std::size_t maxRecords);

 private:
  void forgetRequest(const ChangeRecord& record);

  Version base_ = 0;
  Term baseTerm_ = 0;
  std::deque<RecordPointer> records_;
  std::unordered_map<std::string, Version> requests_;
};

}  // namespace wingslip::distribution
