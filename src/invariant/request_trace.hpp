/// The record of one request that the invariant monitor checks, and its text for the log. No I/O.
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

/// The steps of a request.
enum class RequestState : std::uint8_t {
  received,
  connecting,  ///< an attempt waits for its connection
  sent,        ///< an attempt's first byte is being written
  endedOk,
  endedError,
  endedOverloaded,
  endedTimeout,
  endedConnectFailed,
  endedReset,
  endedCancelled,
  endedNotSent,
  streaming,
  answered,
  rejected,
  failed,
  truncated,
  clientClosed,
};
/// As in the log.
std::string_view nameOf(RequestState state);

/// Owned by whoever holds the request. The settings that apply to it are set by the owner, the rest by
/// `Monitor`.
class RequestTrace {
 public:
  static constexpr std::size_t kMaxSteps = 8;  ///< the last ones are kept

  std::string requestId;  ///< the client's, for the log
  Time deadline = 0;      ///< of its client; moves while its body is still arriving
  decision::Idempotency idempotency = decision::Idempotency::notIdempotent;
  Time idempotencyWindowMs = 0;  ///< with a key: from the first attempt that may have run
  unsigned maxAttempts = 1;

  /// The last steps, the oldest first, with times relative to `now`.
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
