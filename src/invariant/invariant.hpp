/// What may never happen to a request, as a typed list.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace wingslip::invariant {

/// Each is one rule of the platform, checked where the gatekeeper acts and counted when it is broken.
enum class Invariant : std::uint8_t {
  request_unanswered,            ///< a request's time is over, and it has no final answer
  request_answered_twice,        ///< a final answer for a request that has one
  connection_closed_unanswered,  ///< a connection was closed over a request that was read and not answered
  attempt_after_client_left,     ///< an attempt began although its client had gone
  attempt_after_answer,          ///< an attempt began for a request that is answered
  attempts_past_cap,             ///< more attempts than the settings grant
  attempt_past_deadline,         ///< an attempt began after the client's time was over
  deadline_too_long,             ///< a worker was told of more time than its client has left
  sent_to_draining,              ///< to a worker that was told to drain, after the settings' grace
  sent_to_gone,                  ///< to a worker that no list has any more, after the grace
  sent_to_excluded,              ///< to a worker that is excluded by hand
  slow_start_exceeded,           ///< more to a worker in slow start than this gatekeeper's whole budget
  unsafe_request_resent,         ///< sent again although it may have run, and its class forbids that
  concurrent_attempts,           ///< a second attempt out where the class allows one
  accounts_not_zero,             ///< something is still held when nothing is left to hold it for
};
constexpr std::size_t kInvariants = static_cast<std::size_t>(Invariant::accounts_not_zero) + 1;

/// As figures and the log name them, in the order of Invariant.
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
