/// The copy that a gatekeeper leaves on disk for its next process: format only, the file is
/// snapshot_file.hpp's.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "replication/decode_error.hpp"
#include "replication/records.hpp"

namespace wingslip::replication {

struct Snapshot {
  std::int64_t writtenAtUnixMs = 0;
  std::uint64_t generation = 0;  ///< of the process that wrote it
  std::vector<MemberRecord> members;
  std::vector<Row> rows;
};

/// A header line with the format's version, the XXH64 and the length of the body; then the body in CBOR.
[[nodiscard]] std::string encodeSnapshot(const Snapshot& snapshot);

/// @throws DecodeError on another version, a wrong length or checksum, or a body that is no snapshot.
Snapshot decodeSnapshot(const std::string& bytes);

}  // namespace wingslip::replication
