/// The invariants that the gatekeeper checks at run time, and their names.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace wingslip::invariant {

/// An invariant, named after its violation. Checked where the gatekeeper acts; each violation is counted.
enum class Invariant : std::uint8_t {
  requestUnanswered,     ///< a request was released without a final answer, or answered after its deadline
  requestAnsweredTwice,  ///< a second final answer was given to a request
  connectionClosedUnanswered,  ///< a connection was closed with a request that was read and not answered
  attemptAfterClientLeft,      ///< an attempt was sent after the client had closed its connection
  attemptAfterAnswer,          ///< an attempt was sent for an answered request
  attemptsPastCap,             ///< more attempts were sent than the settings allow
  attemptPastDeadline,         ///< an attempt was sent after the client's deadline
  deadlineTooLong,             ///< a worker was sent a longer timeout than the client's remaining time
  sentToDraining,              ///< an attempt was sent to a draining worker after the grace period
  sentToGone,                  ///< an attempt was sent to a removed worker after the grace period
  sentToExcluded,              ///< an attempt was sent to a worker excluded by an operator
  slowStartExceeded,    ///< a worker in slow start was sent more than all gatekeepers together may send it
  unsafeRequestResent,  ///< a request that is not idempotent was sent again although it may have run
  concurrentAttempts,   ///< a second attempt was in flight although the request class allows one
  accountsNotZero,      ///< charges or entries remained although no work was in progress
};
constexpr std::size_t kInvariants = static_cast<std::size_t>(Invariant::accountsNotZero) + 1;

/// Invariant names as in the `svc.invariant` metrics and the log, in the order of `Invariant`.
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

/// @return the invariant's name as in the metrics and the log.
constexpr std::string_view nameOf(Invariant invariant) {
  return kInvariantNames[static_cast<std::size_t>(invariant)];
}

}  // namespace wingslip::invariant
