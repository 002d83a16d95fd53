/// Basic types that the decision module shares with its host: time, identifiers, states and results.
#pragma once

#include <cstdint>

namespace wingslip::decision {

/// Milliseconds of the host's clock: a duration if the name ends in `Ms`, otherwise a point in time.
using Time = double;
/// Assigned by the host; unique among the requests in flight.
using RequestId = std::uint32_t;
/// Assigned by the host; opaque to the module.
using WorkerId = std::uint64_t;
/// Assigned by the host; opaque to the module.
using CustomerId = std::uint64_t;

/// Whether a request that may have run can be retried.
enum class Idempotency {
  idempotent,     ///< always
  withKey,        ///< within its window, at workers that recognise its idempotency key
  notIdempotent,  ///< never
};

/// Scope of the workers that recognise a repeated idempotency key.
enum class DeduplicationScope { all, zone, cell };

/// Life cycle state of a worker, as reported by service discovery.
enum class WorkerPhase { removed, ready, draining };

/// How an attempt ended.
enum class AttemptResult {
  ok,
  error,          ///< the worker answered with an error
  overloaded,     ///< the worker rejected the attempt before running it
  timeout,        ///< there was no answer within the timeout of the attempt
  connectFailed,  ///< the worker cannot have received the complete request: there was no connection, or the
                  ///< last byte was not written
  reset,          ///< the connection closed during the attempt
  cancelled,      ///< the host cancelled the attempt
  notSent,        ///< the host did not send the attempt; the request is not retried
};

/// Whether the outcome proves that the worker did not run the request.
inline bool provesNotRun(AttemptResult result) {
  return result == AttemptResult::overloaded || result == AttemptResult::connectFailed ||
         result == AttemptResult::notSent;
}

/// Kind of an endpoint update.
enum class EndpointUpdate {
  failed,    ///< the request for the list failed; there is no list
  delta,     ///< changes since the previous update
  cached,    ///< all endpoints as last known; may be outdated
  snapshot,  ///< all endpoints
};

}  // namespace wingslip::decision
