/// Counters of the replica's HTTP transport, exported in the metrics `svc.replica.*`.
#pragma once

#include <cstdint>

namespace wingslip::replication {

/// Counted since the start of the process; owned by `ReplicaNode`.
struct TransportCounts {
  std::uint64_t bytesIn = 0;              ///< message bodies received
  std::uint64_t bytesOut = 0;             ///< message bodies sent
  std::uint64_t malformed = 0;            ///< invalid messages; also requests refused for lack of memory
  std::uint64_t connectionsRejected = 0;  ///< no connection slot or no memory was available
};

}  // namespace wingslip::replication
