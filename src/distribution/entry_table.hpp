/// The table of entries at one version, divided into ranges by the hash of the key. A range is immutable and
/// replaced when an entry of it changes: a copy of the table costs one pointer a range, a change costs the
/// pointers of one range. Hashes of ranges and of the whole are kept with each change, never computed anew.
#pragma once

#include <functional>

#include "distribution/entry.hpp"

namespace wingslip::distribution {

/// The entries of one range in the order of their keys. `hash`: the sum of their hashes.
struct Range {
  Hash hash = 0;
  std::vector<EntryPointer> entries;
};
using RangePointer = std::shared_ptr<const Range>;

/// Sorts the entries and sums their hashes.
RangePointer makeRange(std::vector<EntryPointer> entries);

class EntryTable {
 public:
  static constexpr std::size_t kRanges = 1024;

  static std::size_t rangeOf(const EntryKey& key);

  /// Null when there is none.
  EntryPointer find(const EntryKey& key) const;
  void put(const EntryPointer& entry);
  void erase(const EntryKey& key);
  void apply(const ChangeRecord& record);

  /// The hash of the whole once the edits are applied, without applying them. The edits are of distinct keys.
  Hash rootHashAfter(const std::vector<LoggedEdit>& edits) const;

  Hash rootHash() const { return rootHash_; }
  Hash rangeHash(std::size_t index) const;
  std::vector<Hash> rangeHashes() const;
  std::size_t size() const { return size_; }

  /// Null for an empty range.
  const RangePointer& range(std::size_t index) const { return ranges_[index]; }
  void replaceRange(std::size_t index, RangePointer range);
  void forEach(const std::function<void(const EntryPointer&)>& visit) const;

 private:
  std::vector<RangePointer> ranges_ = std::vector<RangePointer>(kRanges);
  Hash rootHash_ = 0;
  std::size_t size_ = 0;
};

}  // namespace wingslip::distribution
