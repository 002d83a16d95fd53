/// What the replica's HTTP driver counts, for the figures `svc.replica.*`.
#pragma once

#include <cstdint>

namespace wingslip::replication {

struct TransportCounts {
  std::uint64_t bytesIn = 0;   ///< of message bodies
  std::uint64_t bytesOut = 0;  ///< likewise
  std::uint64_t malformed = 0;
  std::uint64_t connectionsRejected = 0;  ///< for want of a connection slot or of memory
};

}  // namespace wingslip::replication
