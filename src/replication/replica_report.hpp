/// The replica's figures and operators' answers as text. The words are the operators'.
#pragma once

#include <cstdint>
#include <string>

#include "replication/replica.hpp"
#include "replication/transport_counts.hpp"

namespace wingslip::replication {

/// What the driver knows beyond the replica itself.
struct ReportInput {
  const Replica& replica;
  const TransportCounts& transport;
  Time now = 0;
  Time startedAt = 0;
  Time caughtUpAt = -1;  ///< negative: not yet
};

/// Hash of all rows of this copy: equal copies have equal hashes.
[[nodiscard]] std::uint64_t rowsHash(const Digest& digest);

/// Lines `svc.replica.NAME:VALUE|c` and `|g`.
[[nodiscard]] std::string telemetryText(const ReportInput& input);
/// A line `200 ...`, then one a member, lost members first; EOF.
[[nodiscard]] std::string membersText(const ReportInput& input);
/// A line on the rows: their hash and number, whether the copy has caught up; EOF.
[[nodiscard]] std::string stateText(const Replica& replica);

}  // namespace wingslip::replication
