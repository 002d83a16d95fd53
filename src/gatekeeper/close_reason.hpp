/// The reasons for which a client connection is closed.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "gatekeeper/reason_counts.hpp"

namespace wingslip {

/// Why a client connection was closed.
enum class CloseReason : std::uint8_t {
  peerClosed,              ///< the client closed the connection or its sending side
  peerReset,               ///< reset by the client, or another network error
  idleTimeout,             ///< closed before its first request: timeout, drain or overload
  evicted,                 ///< idle or lingering, closed to free a connection slot, descriptor or memory
  overflowEvicted,         ///< an overflow connection without a request, closed to free its slot
  lastResponse,            ///< the client did not close within the lingering close after its last response
  sendsAfterLastResponse,  ///< the client sent too much input after its last response
  writeTimeout,            ///< the client did not read its response within the write timeout
  bodyTimeout,             ///< the remaining body of an answered request timed out
  responseTruncated,       ///< a streamed response could not be completed
};
constexpr std::size_t kCloseReasonCount = static_cast<std::size_t>(CloseReason::responseTruncated) + 1;

/// Names in the metrics, in the order of CloseReason.
inline constexpr std::array<std::string_view, kCloseReasonCount> kCloseReasonNames{
    "peer_ended",  "peer_broken", "idle",          "evicted",      "evicted_silent",
    "last_answer", "sends_on",    "write_timeout", "body_timeout", "answer_cut"};
static_assert(!kCloseReasonNames.back().empty(), "every reason has a name");

/// Whether the client closed or lost the connection, so that no response is expected.
constexpr bool isPeerInitiated(CloseReason reason) {
  return reason == CloseReason::peerClosed || reason == CloseReason::peerReset;
}

/// Number of closed connections by reason.
using CloseCounts = ReasonCounts<CloseReason, kCloseReasonNames>;

}  // namespace wingslip
