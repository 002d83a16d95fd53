/// A copy of the rows of all replicated tables: last-writer-wins merging, the limit on rows and the rows to
/// gossip.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "replication/hybrid_clock.hpp"
#include "replication/records.hpp"

namespace wingslip::replication {

/// Merging is commutative, associative and idempotent, even at the limit, where only the newest `kMaxRows`
/// rows remain. Not thread-safe; owned by `Replica`.
class ReplicatedTable {
 public:
  static constexpr std::size_t kMaxRows = 4096;  ///< limit over all tables, including tombstones
  /// Rows whose timestamp is further ahead of the physical clock are rejected, because they would win over
  /// every later write of the key.
  static constexpr std::int64_t kMaxClockSkewMs = 24 * 3600 * 1000;

  /// Only `changed` means that the merge added the row to this copy. `evicted`: the row was older than the
  /// `kMaxRows` newest rows.
  enum class MergeResult { changed, notNewer, timestampTooFarAhead, evicted };

  /// A row with its gossip state.
  struct Entry {
    Row row;
    unsigned transmissionsLeft = 0;  ///< remaining gossip transmissions
  };
  using Key = std::pair<std::string, std::string>;  ///< table name, row key

  /// Returns a timestamp for a row that this gatekeeper writes.
  [[nodiscard]] Timestamp nextTimestamp(std::int64_t unixMs, const std::string& origin) {
    return clock_.next(unixMs, origin);
  }
  /// Adds the rows of a snapshot and evicts the oldest rows beyond the limit.
  void restore(const std::vector<Row>& rows);
  /// Merges a row that was written here or received from another member.
  /// @param unixMs reading of the physical clock, against which the row's timestamp is checked.
  [[nodiscard]] MergeResult merge(const Row& row, std::int64_t unixMs);

  /// Schedules the row for `transmissions` gossip transmissions, if this copy has it.
  void scheduleGossip(const Row& row, unsigned transmissions);
  /// Returns the rows for a message, starting with those that have the most transmissions left, and counts
  /// each as transmitted once.
  [[nodiscard]] std::vector<Row> takeUpdates();
  /// Whether any row remains to be gossiped.
  [[nodiscard]] bool hasUpdates() const;

  /// Returns the row, which may be a tombstone, or null if there is none.
  [[nodiscard]] const Row* find(const std::string& table, const std::string& key) const;
  /// All rows, including tombstones, by key.
  [[nodiscard]] const std::map<Key, Entry>& entries() const { return entries_; }
  /// Returns a copy of all rows, including tombstones, ordered by key.
  [[nodiscard]] std::vector<Row> rows() const;

 private:
  void evictOldestRow();
  void evictRowsBeyondLimit();

  HybridClock clock_;
  std::map<Key, Entry> entries_;
};

}  // namespace wingslip::replication
