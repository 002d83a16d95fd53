/// The record of a request that the invariant monitor checks, and its text for the log. Performs no I/O.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "wingslip/decision/gateway.hpp"

namespace wingslip::invariant {

using decision::Time;

/// A state in the processing of a request; `ended...` is the outcome of an attempt.
enum class RequestState : std::uint8_t {
  received,
  connecting,  ///< an attempt waits for its connection to be established
  sent,        ///< an attempt's first byte is being written
  endedOk,
  endedError,
  endedOverloaded,
  endedTimeout,
  endedConnectFailed,
  endedReset,
  endedCancelled,
  endedNotSent,
  responseBegun,  ///< the header of an attempt's response has come, its end has not
  streaming,
  answered,
  rejected,
  failed,
  truncated,
  clientClosed,
};
/// @return the state's name as in the log.
std::string_view nameOf(RequestState state);

/// The data of a request that its invariants depend on. Owned by the owner of the request, which sets the
/// public members; the `Monitor` sets the private ones.
class RequestTrace {
 public:
  static constexpr std::size_t kMaxSteps = 8;  ///< number of most recent steps that are stored

  std::string requestId;  ///< as received from the client, for the log
  Time deadline = 0;      ///< the client's deadline; moves while the request body is arriving
  decision::Idempotency idempotency = decision::Idempotency::notIdempotent;
  Time idempotencyWindowMs = 0;   ///< deduplication period of an idempotency key, from the first
                                  ///< attempt that may have run
  unsigned maxAttempts = 1;       ///< including the first attempt
  std::size_t streamedBytes = 0;  ///< body of a streamed response passed on so far, bytes

  /// @return the stored steps, oldest first, with times in ms relative to `now`.
  std::string text(Time now) const;

 private:
  friend class Monitor;
  struct Step {
    Time at = 0;
    RequestState state = RequestState::received;
    decision::WorkerId worker = 0;
  };

  void add(Time at, RequestState state, decision::WorkerId worker = 0);

  std::array<Step, kMaxSteps> steps_{};
  std::size_t stepCount_ = 0;
  unsigned attemptsSent_ = 0;
  bool attemptInFlight_ = false;
  std::optional<Time> mayHaveRunSince_;
  Time lastSentAt_ = 0;
  bool answered_ = false;
  bool clientClosed_ = false;
};

}  // namespace wingslip::invariant
