/// The entries of changes that a subscriber's build rejects: what stays in effect in their place, and why.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "distribution/snapshot.hpp"

namespace wingslip::distribution {

/// Owned by `Subscriber`. A rejection stands until each entry of its change has a later, accepted change.
class RejectedEntries {
 public:
  struct Override {
    EntryPointer lastKnownGood;  ///< null: no entry is in effect
    Version rejectedVersion = 0;
  };

  /// Keeps `lastKnownGood` in effect for `key`, in place of what the change of `rejectedVersion` wrote.
  void add(const EntryKey& key, const EntryPointer& lastKnownGood, Version rejectedVersion);
  /// The table's own entry is in effect again.
  void remove(const EntryKey& key);
  /// Cut to kMaxReasonBytes; the newest kMaxRejectedChanges are kept.
  void addReason(Version rejectedVersion, const std::string& reason);

  /// Null: the table's entry is in effect.
  [[nodiscard]] const Override* find(const EntryKey& key) const;
  /// Whether entries of the change of this version are still rejected.
  [[nodiscard]] bool containsVersion(Version version) const { return entriesByVersion_.contains(version); }
  /// Reasons by version.
  [[nodiscard]] const std::map<Version, std::string>& reasons() const { return reasons_; }
  /// For a snapshot and for acknowledgements.
  [[nodiscard]] std::vector<RejectedEntry> entries() const;
  [[nodiscard]] std::vector<RejectedChange> changes() const;

 private:
  std::map<EntryKey, Override> overrides_;
  std::map<Version, std::size_t> entriesByVersion_;  // number of overrides of each rejected version
  std::map<Version, std::string> reasons_;
};

}  // namespace wingslip::distribution
