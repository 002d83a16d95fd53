/// The copy that a control replica or a subscriber leaves on disk, and its encoding.
#pragma once

#include <string>
#include <vector>

#include "distribution/message.hpp"

namespace wingslip::distribution {

inline constexpr std::size_t kMaxSnapshotBytes = 256 * 1024 * 1024;

/// An entry of a rejected change, with what is in effect in place of the table's.
struct RejectedEntry {
  EntryKey key;
  EntryPointer lastKnownGood;   ///< null: no entry is in effect
  Version rejectedVersion = 0;  ///< of the rejected change
};

/// The state of a copy. A subscriber has no records and no promised term; a replica has no rejected entries.
struct Snapshot {
  Version version = 0;  ///< of `table`
  Term term = 0;        ///< of the record at `version`
  EntryTable table;
  std::vector<RejectedEntry> rejectedEntries;
  std::vector<RejectedChange> rejectedChanges;  ///< with the reasons
  std::string build;                            ///< that rejected them
  Term promisedTerm = 0;
  Version logBase = 0;
  Term logBaseTerm = 0;
  std::vector<RecordPointer> records;  ///< the log after its base
};

/// A header line with the format's version, the checksum and the length of the body; then the body in CBOR.
std::string encodeSnapshot(const Snapshot& snapshot);
/// @throws CodecError, also when the table does not have the root hash that was written with it.
Snapshot decodeSnapshot(const std::string& bytes);

}  // namespace wingslip::distribution
