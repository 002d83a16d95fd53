/// Text of the replica's metrics and operator responses. Its format is an interface for operators.
#pragma once

#include <cstdint>
#include <string>

#include "replication/replica.hpp"
#include "replication/transport_counts.hpp"

namespace wingslip::replication {

/// Input of the reports: the replica and values that only its driver has.
struct ReportInput {
  const Replica& replica;
  const TransportCounts& transport;
  Time now = 0;
  Time startedAt = 0;    ///< when the node started listening
  Time caughtUpAt = -1;  ///< negative: not caught up yet
};

/// Returns a hash of all rows of a copy. Copies with equal rows have equal hashes.
[[nodiscard]] std::uint64_t rowsHash(const Digest& digest);

/// Returns the metrics, as lines `svc.replica.NAME:VALUE|c` for counters and `|g` for gauges.
[[nodiscard]] std::string telemetryText(const ReportInput& input);
/// Returns a status line `200 ...`, a line per member in the order suspect, dead, left, alive, and a line
/// `EOF`.
[[nodiscard]] std::string membersText(const ReportInput& input);
/// Returns a line with the hash and number of the rows, whether the copy has caught up and the number of live
/// members, and a line `EOF`.
[[nodiscard]] std::string stateText(const Replica& replica);

}  // namespace wingslip::replication
