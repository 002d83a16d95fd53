/// What must never happen to a request, as a typed list.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace wingslip::invariant {

/// Each is checked where the gatekeeper acts, and counted when it is violated.
enum class Invariant : std::uint8_t {
  requestUnanswered,           ///< a request's time is over, or it was released, without a final answer
  requestAnsweredTwice,        ///< a final answer for a request that has one
  connectionClosedUnanswered,  ///< a connection was closed over a request that was read and not answered
  attemptAfterClientLeft,      ///< an attempt was sent although the client had closed
  attemptAfterAnswer,          ///< an attempt was sent for a request that is answered
  attemptsPastCap,             ///< more attempts than the settings allow
  attemptPastDeadline,         ///< an attempt was sent after the client's deadline
  deadlineTooLong,             ///< more time was passed on to a worker than its client has left
  sentToDraining,              ///< to a draining worker, after the settings' grace
  sentToGone,                  ///< to a removed worker, after the grace
  sentToExcluded,              ///< to a worker that is excluded by hand
  slowStartExceeded,           ///< more to a worker in slow start than the whole fleet may send it
  unsafeRequestResent,         ///< sent again although it may have run, and is not idempotent
  concurrentAttempts,          ///< a second attempt in flight where the class allows one
  accountsNotZero,             ///< something is still held when nothing is left to hold it for
};
constexpr std::size_t kInvariants = static_cast<std::size_t>(Invariant::accountsNotZero) + 1;

/// As the `svc.invariant` figures and the log name them, in the order of `Invariant`.
constexpr std::array<std::string_view, kInvariants> kInvariantNames{
    "request_unanswered",
    "request_answered_twice",
    "connection_closed_unanswered",
    "attempt_after_client_left",
    "attempt_after_answer",
    "attempts_past_cap",
    "attempt_past_deadline",
    "deadline_too_long",
    "sent_to_draining",
    "sent_to_gone",
    "sent_to_excluded",
    "slow_start_exceeded",
    "unsafe_request_resent",
    "concurrent_attempts",
    "accounts_not_zero",
};
static_assert(!kInvariantNames.back().empty(), "every invariant has a name");

constexpr std::string_view nameOf(Invariant invariant) {
  return kInvariantNames[static_cast<std::size_t>(invariant)];
}

}  // namespace wingslip::invariant
