/// The rows of all replicated tables in one copy: the merge rule, the bound on rows, what is left to gossip.
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

/// Merging is commutative, associative and idempotent, also at the bound: the newest `kMaxRows` rows stay.
class ReplicatedTable {
 public:
  static constexpr std::size_t kMaxRows = 4096;  ///< of all tables
  /// A timestamp further in the future is rejected: it would win over every later write.
  static constexpr std::int64_t kMaxClockSkewMs = 24 * 3600 * 1000;

  /// `changed` alone means that the row is in this copy now and was not before.
  enum class MergeResult { changed, notNewer, timestampTooFarAhead, evicted };

  struct Entry {
    Row row;
    unsigned transmissionsLeft = 0;  ///< by gossip
  };
  using Key = std::pair<std::string, std::string>;  ///< table, key

  /// A timestamp for a row written here.
  [[nodiscard]] Timestamp nextTimestamp(std::int64_t unixMs, const std::string& origin) {
    return clock_.next(unixMs, origin);
  }
  /// Rows of a snapshot.
  void restore(const std::vector<Row>& rows);
  /// @param unixMs the physical clock, against which the row's timestamp is checked.
  [[nodiscard]] MergeResult merge(const Row& row, std::int64_t unixMs);

  /// Gossips a row of this copy that many times.
  void scheduleGossip(const Row& row, unsigned transmissions);
  /// Rows for a message, those transmitted least often first; each counts as transmitted.
  [[nodiscard]] std::vector<Row> takeUpdates();
  [[nodiscard]] bool hasUpdates() const;

  /// Tombstones are found too. Null: no such row.
  [[nodiscard]] const Row* find(const std::string& table, const std::string& key) const;
  [[nodiscard]] const std::map<Key, Entry>& entries() const { return entries_; }
  [[nodiscard]] std::vector<Row> rows() const;

 private:
  void evictOldest();
  void evictBeyondLimit();

  HybridClock clock_;
  std::map<Key, Entry> entries_;
};

}  // namespace wingslip::replication
