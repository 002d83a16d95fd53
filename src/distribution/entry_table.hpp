/// Table of entries at one version, partitioned into ranges by the hash of the key. A range is immutable and
/// is replaced when one of its entries changes: copying the table copies one pointer per range, and a change
/// copies the pointers of one range. The hashes of the ranges and of the table are updated incrementally with
/// each change and never recomputed from all entries.
#pragma once

#include <functional>

#include "distribution/entry.hpp"

namespace wingslip::distribution {

/// Entries of one range, sorted by key. `hash` is the sum of their hashes.
struct Range {
  Hash hash = 0;
  std::vector<EntryPointer> entries;
};
using RangePointer = std::shared_ptr<const Range>;

/// Builds a range: sorts the entries and sums their hashes. Returns null if there are no entries.
RangePointer makeRange(std::vector<EntryPointer> entries);

/// Copy-on-write hash-partitioned table. Not thread-safe; copies share their ranges.
class EntryTable {
 public:
  static constexpr std::size_t kRanges = 1024;

  /// Index of the range of the key, below kRanges.
  static std::size_t rangeOf(const EntryKey& key);

  /// Entry with this key; null if the table has none.
  EntryPointer find(const EntryKey& key) const;
  /// Inserts the entry, or replaces the one with the same key.
  void put(const EntryPointer& entry);
  /// Removes the entry with this key, if the table has one.
  void erase(const EntryKey& key);
  /// Applies all edits of the record.
  void apply(const ChangeRecord& record);

  /// Root hash that the table would have after the edits, without applying them. The keys of the edits must
  /// be distinct.
  Hash rootHashAfter(const std::vector<LoggedEdit>& edits) const;

  /// Hash of the whole table: the sum of the hashes of its ranges.
  Hash rootHash() const { return rootHash_; }
  /// Hash of the range with this index; 0 if it is empty.
  Hash rangeHash(std::size_t index) const;
  /// Hashes of all kRanges ranges, by index.
  std::vector<Hash> rangeHashes() const;
  /// Number of entries.
  std::size_t size() const { return size_; }

  /// Range with this index; null if it is empty.
  const RangePointer& range(std::size_t index) const { return ranges_[index]; }
  /// Replaces the range with this index; null empties it.
  void replaceRange(std::size_t index, RangePointer range);
  /// Calls `visit` for each entry, in the order of ranges and, within a range, of keys.
  void forEach(const std::function<void(const EntryPointer&)>& visit) const;

 private:
  std::vector<RangePointer> ranges_ = std::vector<RangePointer>(kRanges);
  Hash rootHash_ = 0;
  std::size_t size_ = 0;
};

}  // namespace wingslip::distribution
