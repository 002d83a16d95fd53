/// Entries of the configuration and the changes to them. A change is a set of edits that is applied
/// atomically; each change creates one version of the configuration.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace wingslip::distribution {

using Version = std::uint64_t;      ///< position in the log; the first record has version 1
using Term = std::uint64_t;         ///< fencing token of a writer; the empty configuration has term 0
using Milliseconds = std::int64_t;  ///< duration, or time of a monotonic clock unless documented as Unix time
using Hash = std::uint64_t;         ///< XXH64; not cryptographic

/// Kind of an entry. The numeric values are part of the wire and disk formats.
enum class EntryKind : std::uint8_t { route, serviceClass, plan, limit };
inline constexpr std::size_t kEntryKinds = 4;

// Limits of a valid change, checked when it is published. The decoders check all but kMaxChangeBytes.
inline constexpr std::size_t kMaxNameBytes = 256;
inline constexpr std::size_t kMaxValueBytes = 16 * 1024;
inline constexpr std::size_t kMaxRequestIdBytes = 64;
inline constexpr std::size_t kMaxEditsPerChange = 64;
inline constexpr std::size_t kMaxChangeBytes = 64 * 1024;

/// Identifies an entry: a name is unique within its kind.
struct EntryKey {
  EntryKind kind = EntryKind::route;
  std::string name;
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the 0 of a comparison's result for a pointer
  auto operator<=>(const EntryKey&) const = default;
};

/// A configuration entry. Immutable once built, so that tables, log and messages share one copy.
struct Entry {
  EntryKey key;
  std::string value;
  Version version = 0;  ///< of the change that last wrote the entry
  Term term = 0;        ///< term of the writer of that change
  Hash hash = 0;        ///< of all the fields above
};
using EntryPointer = std::shared_ptr<const Entry>;

/// Builds an entry and computes its hash.
EntryPointer makeEntry(EntryKey key, std::string value, Version version, Term term);

/// An edit as requested by a publisher: a new value, or the removal of the entry if `value` is empty.
struct Edit {
  EntryKey key;
  std::optional<std::string> value;
};

/// An edit as stored in the log. For a removal, only the key, version and term of `entry` are meaningful.
struct LoggedEdit {
  EntryPointer entry;
  bool removes = false;
};

/// A record of the log. A writer starts its term with a barrier: a record without edits or request id.
struct ChangeRecord {
  Version version = 0;
  Term term = 0;
  std::string requestId;  ///< idempotency key chosen by the publisher; a request id is written at most once
  Hash rootHash = 0;      ///< of the whole table after this change is applied
  std::vector<LoggedEdit> edits;
};
using RecordPointer = std::shared_ptr<const ChangeRecord>;

/// Approximate size in bytes of an entry or a record in a message; slightly more than the codec produces.
std::size_t approximateBytes(const Entry& entry);
std::size_t approximateBytes(const ChangeRecord& record);

/// Returns the reason why the edits do not form a valid change; empty if they do.
std::optional<std::string> validateEdits(const std::vector<Edit>& edits);

}  // namespace wingslip::distribution
