/// Entries of changes rejected by a subscriber's build, with the entries that stay in effect in their place
/// and the reasons.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "distribution/snapshot.hpp"

namespace wingslip::distribution {

/// Owned by `Subscriber`. A rejection ends once each entry of its change has been written or removed by a
/// later change, accepted or not.
class RejectedEntries {
 public:
  /// The entry in effect instead of the table's entry with the same key.
  struct Override {
    EntryPointer lastKnownGood;  ///< null if no entry is in effect
    Version rejectedVersion = 0;
  };

  /// Makes `lastKnownGood` the entry in effect for `key`, instead of the one written by the change of
  /// `rejectedVersion`.
  void add(const EntryKey& key, const EntryPointer& lastKnownGood, Version rejectedVersion);
  /// Removes the override of `key`: the table's entry is in effect again.
  void remove(const EntryKey& key);
  /// Stores the reason, truncated to kMaxReasonBytes. Only the reasons of the newest kMaxRejectedChanges
  /// versions are stored.
  void addReason(Version rejectedVersion, const std::string& reason);

  /// Override of `key`; null if the table's entry is in effect.
  [[nodiscard]] const Override* find(const EntryKey& key) const;
  /// Whether any entry of the change of this version is still rejected.
  [[nodiscard]] bool containsVersion(Version version) const { return entriesByVersion_.contains(version); }
  /// Reasons by rejected version.
  [[nodiscard]] const std::map<Version, std::string>& reasons() const { return reasons_; }
  /// Entries for a snapshot.
  [[nodiscard]] std::vector<RejectedEntry> entries() const;
  /// Reasons for a snapshot and for acknowledgements.
  [[nodiscard]] std::vector<RejectedChange> changes() const;

 private:
  std::map<EntryKey, Override> overrides_;
  std::map<Version, std::size_t> entriesByVersion_;  // number of overrides by rejected version
  std::map<Version, std::string> reasons_;
};

}  // namespace wingslip::distribution
