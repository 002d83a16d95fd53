#include "distribution/rejected_entries.hpp"

namespace wingslip::distribution {

void RejectedEntries::add(const EntryKey& key, const EntryPointer& lastKnownGood, Version rejectedVersion) {
  // Incremented first: if the key already has an override of the same version, removing it must not end this
  // rejection.
  ++entriesByVersion_[rejectedVersion];
  remove(key);
  overrides_[key] = {lastKnownGood, rejectedVersion};
}

void RejectedEntries::remove(const EntryKey& key) {
  const auto found = overrides_.find(key);
  if (found == overrides_.end()) return;
  const Version version = found->second.rejectedVersion;
  overrides_.erase(found);
  if (--entriesByVersion_[version] > 0) return;
  entriesByVersion_.erase(version);
  reasons_.erase(version);
}

void RejectedEntries::addReason(Version rejectedVersion, const std::string& reason) {
  reasons_[rejectedVersion] = reason.substr(0, kMaxReasonBytes);
  if (reasons_.size() > kMaxRejectedChanges) reasons_.erase(reasons_.begin());
}

const RejectedEntries::Override* RejectedEntries::find(const EntryKey& key) const {
  const auto found = overrides_.find(key);
  return found == overrides_.end() ? nullptr : &found->second;
}

std::vector<RejectedEntry> RejectedEntries::entries() const {
  std::vector<RejectedEntry> out;
  for (const auto& [key, override] : overrides_)
    out.push_back({key, override.lastKnownGood, override.rejectedVersion});
  return out;
}

std::vector<RejectedChange> RejectedEntries::changes() const {
  std::vector<RejectedChange> out;
  for (const auto& [version, reason] : reasons_) out.push_back({version, reason});
  return out;
}

}  // namespace wingslip::distribution
