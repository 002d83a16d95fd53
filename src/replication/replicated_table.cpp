#include "replication/replicated_table.hpp"

#include <algorithm>

namespace wingslip::replication {

void ReplicatedTable::restore(const std::vector<Row>& rows) {
  for (const Row& row : rows) {
    clock_.observe(row.timestamp);
    entries_[{row.table, row.key}] = {row, 0};
  }
  evictRowsBeyondLimit();
}

ReplicatedTable::MergeResult ReplicatedTable::merge(const Row& row, std::int64_t unixMs) {
  if (row.timestamp.physicalMs > unixMs + kMaxClockSkewMs) return MergeResult::timestampTooFarAhead;
  const Key key{row.table, row.key};
  const auto found = entries_.find(key);
  if (found != entries_.end() && found->second.row.timestamp >= row.timestamp) return MergeResult::notNewer;
  clock_.observe(row.timestamp);
  entries_[key] = {row, 0};
  if (entries_.size() > kMaxRows) evictOldestRow();
  return entries_.contains(key) ? MergeResult::changed : MergeResult::evicted;
}

void ReplicatedTable::evictOldestRow() {
  entries_.erase(std::min_element(entries_.begin(), entries_.end(), [](const auto& left, const auto& right) {
    return left.second.row.timestamp < right.second.row.timestamp;
  }));
}

// Sorts the rows once instead of searching the table for the oldest row per evicted row, which would be
// quadratic.
void ReplicatedTable::evictRowsBeyondLimit() {
  if (entries_.size() <= kMaxRows) return;
  using Position = std::map<Key, Entry>::iterator;
  std::vector<Position> oldest;
  for (auto entry = entries_.begin(); entry != entries_.end(); ++entry) oldest.push_back(entry);
  std::stable_sort(oldest.begin(), oldest.end(), [](const Position& left, const Position& right) {
    return left->second.row.timestamp < right->second.row.timestamp;
  });
  oldest.resize(entries_.size() - kMaxRows);
  for (const Position& entry : oldest) entries_.erase(entry);
}

void ReplicatedTable::scheduleGossip(const Row& row, unsigned transmissions) {
  const auto found = entries_.find({row.table, row.key});
  if (found != entries_.end()) found->second.transmissionsLeft = transmissions;
}

std::vector<Row> ReplicatedTable::takeUpdates() {
  std::vector<Entry*> updates;
  for (auto& [key, entry] : entries_)
    if (entry.transmissionsLeft > 0) updates.push_back(&entry);
  std::sort(updates.begin(), updates.end(), [](const Entry* left, const Entry* right) {
    return left->transmissionsLeft > right->transmissionsLeft;
  });
  std::vector<Row> out;
  std::size_t bytes = 0;
  for (Entry* entry : updates) {
    bytes += estimateEncodedBytes(entry->row);
    if (bytes > kMaxRowBytesPerMessage) break;
    out.push_back(entry->row);
    --entry->transmissionsLeft;
  }
  return out;
}

bool ReplicatedTable::hasUpdates() const {
  return std::any_of(entries_.begin(), entries_.end(),
                     [](const auto& entry) { return entry.second.transmissionsLeft > 0; });
}

const Row* ReplicatedTable::find(const std::string& table, const std::string& key) const {
  const auto found = entries_.find({table, key});
  return found == entries_.end() ? nullptr : &found->second.row;
}

std::vector<Row> ReplicatedTable::rows() const {
  std::vector<Row> out;
  for (const auto& [key, entry] : entries_) out.push_back(entry.row);
  return out;
}

}  // namespace wingslip::replication
