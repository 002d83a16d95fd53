/// The format of the snapshot of a copy that a gatekeeper writes to disk for its next process.
/// snapshot_file.hpp reads and writes the file.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "replication/decode_error.hpp"
#include "replication/records.hpp"

namespace wingslip::replication {

/// Contents of a snapshot.
struct Snapshot {
  std::int64_t writtenAtUnixMs = 0;   ///< Unix time of the write
  std::uint64_t generation = 0;       ///< of the process that wrote the snapshot
  std::vector<MemberRecord> members;  ///< without the writing member
  std::vector<Row> rows;
};

/// Returns a header line with the format version and the XXH64 checksum and length of the body, followed by
/// the body in CBOR.
[[nodiscard]] std::string encodeSnapshot(const Snapshot& snapshot);

/// Decodes and validates a snapshot.
/// @throws DecodeError on an unsupported version, a mismatch of length or checksum, or an invalid body.
Snapshot decodeSnapshot(const std::string& bytes);

}  // namespace wingslip::replication
