/// Persistent state of a control replica or a subscriber, and its encoding on disk.
#pragma once

#include <string>
#include <vector>

#include "distribution/message.hpp"

namespace wingslip::distribution {

inline constexpr std::size_t kMaxSnapshotBytes = 256 * 1024 * 1024;

/// An entry of a rejected change, with the entry that is in effect instead of the table's.
struct RejectedEntry {
  EntryKey key;
  EntryPointer lastKnownGood;   ///< null if no entry is in effect
  Version rejectedVersion = 0;  ///< of the rejected change
};

/// State to persist. A subscriber has no records and no promised term; a replica has no rejected entries.
struct Snapshot {
  Version version = 0;  ///< of `table`
  Term term = 0;        ///< of the record at `version`
  EntryTable table;
  std::vector<RejectedEntry> rejectedEntries;
  std::vector<RejectedChange> rejectedChanges;  ///< versions and reasons of the rejections
  std::string build;                            ///< of the subscriber that rejected the changes
  Term promisedTerm = 0;
  Version logBase = 0;  ///< version before the first record
  Term logBaseTerm = 0;
  std::vector<RecordPointer> records;  ///< the log after `logBase`
};

/// Encodes a header line, with the format version, the checksum and the length in bytes of the body, followed
/// by the body as CBOR.
std::string encodeSnapshot(const Snapshot& snapshot);
/// @throws CodecError if the bytes are not a valid snapshot, or its table does not match the stored root
/// hash.
Snapshot decodeSnapshot(const std::string& bytes);

}  // namespace wingslip::distribution
