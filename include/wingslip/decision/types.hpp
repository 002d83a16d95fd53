/// Identifiers, states and reasons that the decision module shares with its host.
#pragma once

#include <cstdint>

namespace wingslip::decision {

/// Milliseconds of the host's clock: a point in time, or a span where the name ends in `Ms`.
using Time = double;
using RequestId = std::uint32_t;
/// Opaque: the host numbers the workers.
using WorkerId = std::uint64_t;
using CustomerId = std::uint64_t;

/// Whether a request that may have run can be sent again.
enum class Idempotency {
  idempotent,     ///< always
  withKey,        ///< within its window, to workers that share the memory of its idempotency key
  notIdempotent,  ///< never
};

/// Which workers recognise a repeated idempotency key.
enum class DeduplicationScope { all, zone, cell };

/// Where a worker stands in its life, as service discovery tells it.
enum class WorkerPhase { removed, ready, draining };

/// How an attempt ended.
enum class AttemptResult {
  ok,
  error,          ///< the worker answered that it failed
  overloaded,     ///< the worker turned the attempt away before it ran
  timeout,        ///< no answer in the time that the attempt was given
  connectFailed,  ///< the worker cannot have the whole request: no connection, or its last byte was not
                  ///< written
  reset,          ///< the connection broke under the attempt
  cancelled,      ///< the host gave it up
  notSent,        ///< the host found that nothing may be sent any more
};

/// What a list of endpoints is.
enum class EndpointUpdate {
  failed,    ///< the call for it failed: nothing is known
  delta,     ///< changes since the list before
  cached,    ///< all endpoints as last known, may be old
  snapshot,  ///< all endpoints
};

}  // namespace wingslip::decision
