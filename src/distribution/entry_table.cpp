#include "distribution/entry_table.hpp"

#include <algorithm>

#include "codec/hash.hpp"

namespace wingslip::distribution {
namespace {

bool keyLess(const EntryPointer& entry, const EntryKey& key) { return entry->key < key; }

}  // namespace

RangePointer makeRange(std::vector<EntryPointer> entries) {
  if (entries.empty()) return nullptr;
  const auto byKey = [](const EntryPointer& a, const EntryPointer& b) { return a->key < b->key; };
  std::sort(entries.begin(), entries.end(), byKey);
  auto range = std::make_shared<Range>();
  for (const EntryPointer& entry : entries) range->hash += entry->hash;
  range->entries = std::move(entries);
  return range;
}

std::size_t EntryTable::rangeOf(const EntryKey& key) {
  return hash64(key.name, static_cast<std::uint64_t>(key.kind)) % kRanges;
}

EntryPointer EntryTable::find(const EntryKey& key) const {
  const RangePointer& range = ranges_[rangeOf(key)];
  if (!range) return nullptr;
  const auto found = std::lower_bound(range->entries.begin(), range->entries.end(), key, keyLess);
  if (found == range->entries.end() || (*found)->key != key) return nullptr;
  return *found;
}

void EntryTable::put(const EntryPointer& entry) {
  const std::size_t index = rangeOf(entry->key);
  auto range = std::make_shared<Range>();
  const RangePointer& old = ranges_[index];
  range->entries.reserve((old ? old->entries.size() : 0) + 1);
  if (old) *range = *old;
  const auto position = std::lower_bound(range->entries.begin(), range->entries.end(), entry->key, keyLess);
  if (position != range->entries.end() && (*position)->key == entry->key) {
    range->hash -= (*position)->hash;
    *position = entry;
  } else {
    range->entries.insert(position, entry);
  }
  range->hash += entry->hash;
  replaceRange(index, std::move(range));
}

void EntryTable::erase(const EntryKey& key) {
  const EntryPointer existing = find(key);
  if (!existing) return;
  const std::size_t index = rangeOf(key);
  auto range = std::make_shared<Range>(*ranges_[index]);
  range->hash -= existing->hash;
  std::erase(range->entries, existing);
  if (range->entries.empty()) range = nullptr;
  replaceRange(index, std::move(range));
}

void EntryTable::apply(const ChangeRecord& record) {
  for (const LoggedEdit& edit : record.edits) {
    if (edit.removes)
      erase(edit.entry->key);
    else
      put(edit.entry);
  }
}

Hash EntryTable::rootHashAfter(const std::vector<LoggedEdit>& edits) const {
  Hash hash = rootHash_;
  for (const LoggedEdit& edit : edits) {
    if (const EntryPointer existing = find(edit.entry->key)) hash -= existing->hash;
    if (!edit.removes) hash += edit.entry->hash;
  }
  return hash;
}

Hash EntryTable::rangeHash(std::size_t index) const { return ranges_[index] ? ranges_[index]->hash : 0; }

std::vector<Hash> EntryTable::rangeHashes() const {
  std::vector<Hash> hashes;
  hashes.reserve(kRanges);
  for (std::size_t i = 0; i < kRanges; ++i) hashes.push_back(rangeHash(i));
  return hashes;
}

void EntryTable::replaceRange(std::size_t index, RangePointer range) {
  RangePointer& slot = ranges_[index];
  if (slot) {
    rootHash_ -= slot->hash;
    size_ -= slot->entries.size();
  }
  slot = std::move(range);
  if (slot) {
    rootHash_ += slot->hash;
    size_ += slot->entries.size();
  }
}

void EntryTable::forEach(const std::function<void(const EntryPointer&)>& visit) const {
  for (const RangePointer& range : ranges_) {
    if (!range) continue;
    for (const EntryPointer& entry : range->entries) visit(entry);
  }
}

}  // namespace wingslip::distribution
