/// Entries of the configuration and the changes made to them. A change is a set of edits that takes effect
/// as a whole; each change is one version of the configuration.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace wingslip::distribution {

using Version = std::uint64_t;      ///< position in the log; the first change is version 1
using Term = std::uint64_t;         ///< fencing token of a writer; 0 is the term of the empty configuration
using Milliseconds = std::int64_t;  ///< of a monotonic clock, unless said otherwise
using Hash = std::uint64_t;

enum class EntryKind : std::uint8_t { route, serviceClass, plan, limit };
inline constexpr std::size_t kEntryKinds = 4;

inline constexpr std::size_t kMaxNameBytes = 256;
inline constexpr std::size_t kMaxValueBytes = 16 * 1024;
inline constexpr std::size_t kMaxRequestIdBytes = 64;
inline constexpr std::size_t kMaxEditsPerChange = 64;
inline constexpr std::size_t kMaxChangeBytes = 64 * 1024;

struct EntryKey {
  EntryKind kind = EntryKind::route;
  std::string name;
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the 0 of a comparison's result for a pointer
  auto operator<=>(const EntryKey&) const = default;
};

/// Immutable once built, so that tables, log and messages share one copy.
struct Entry {
  EntryKey key;
  std::string value;
  Version version = 0;  ///< of the change that wrote it
  Term term = 0;        ///< of that change's writer
  Hash hash = 0;        ///< of everything above
};
using EntryPointer = std::shared_ptr<const Entry>;

/// Builds an entry and computes its hash.
EntryPointer makeEntry(EntryKey key, std::string value, Version version, Term term);

/// What a publisher asks for: a new value, or the removal of the entry.
struct Edit {
  EntryKey key;
  std::optional<std::string> value;
};

/// An edit as the log holds it. Of a removal only the key, version and term of `entry` mean anything.
struct LoggedEdit {
  EntryPointer entry;
  bool removes = false;
};

/// One version of the log. A record without edits marks the start of a writer's term.
struct ChangeRecord {
  Version version = 0;
  Term term = 0;
  std::string requestId;  ///< chosen by the publisher; the same id is written once
  Hash rootHash = 0;      ///< of the whole table once this change is applied
  std::vector<LoggedEdit> edits;
};
using RecordPointer = std::shared_ptr<const ChangeRecord>;

/// About the bytes of a record or an entry in a message; a little more than the codec takes.
std::size_t approximateBytes(const Entry& entry);
std::size_t approximateBytes(const ChangeRecord& record);

/// The reason why these edits are no change; nothing when they are one.
std::optional<std::string> findFault(const std::vector<Edit>& edits);

}  // namespace wingslip::distribution
