#include "distribution/entry.hpp"

#include <set>
#include <string_view>

#include "codec/hash.hpp"

namespace wingslip::distribution {
namespace {

constexpr std::size_t kEntryOverheadBytes = 24;
constexpr std::size_t kRecordOverheadBytes = 32;

Hash computeHash(const Entry& entry) {
  const std::array<std::uint64_t, 4> head{static_cast<std::uint64_t>(entry.key.kind), entry.key.name.size(),
                                          entry.version, entry.term};
  const std::string_view headBytes(reinterpret_cast<const char*>(head.data()), sizeof head);
  return hash64(entry.value, hash64(entry.key.name, hash64(headBytes)));
}

}  // namespace

EntryPointer makeEntry(EntryKey key, std::string value, Version version, Term term) {
  auto entry = std::make_shared<Entry>();
  entry->key = std::move(key);
  entry->value = std::move(value);
  entry->version = version;
  entry->term = term;
  entry->hash = computeHash(*entry);
  return entry;
}

std::size_t approximateBytes(const Entry& entry) {
  return kEntryOverheadBytes + entry.key.name.size() + entry.value.size();
}

std::size_t approximateBytes(const ChangeRecord& record) {
  std::size_t bytes = kRecordOverheadBytes + record.requestId.size();
  for (const LoggedEdit& edit : record.edits) bytes += approximateBytes(*edit.entry);
  return bytes;
}

std::optional<std::string> validateEdits(const std::vector<Edit>& edits) {
  if (edits.empty()) return "change has no edits";
  if (edits.size() > kMaxEditsPerChange) return "change has too many edits";
  std::set<EntryKey> keys;
  std::size_t bytes = 0;
  for (const Edit& edit : edits) {
    if (static_cast<std::size_t>(edit.key.kind) >= kEntryKinds) return "unknown entry kind";
    if (edit.key.name.empty()) return "entry name is empty";
    if (edit.key.name.size() > kMaxNameBytes) return "entry name is too long";
    if (edit.value && edit.value->size() > kMaxValueBytes) return "entry value is too long";
    if (!keys.insert(edit.key).second) return "duplicate entry key in a change";
    bytes += kEntryOverheadBytes + edit.key.name.size() + (edit.value ? edit.value->size() : 0);
  }
  if (bytes > kMaxChangeBytes) return "change is too large";
  return std::nullopt;
}

}  // namespace wingslip::distribution
