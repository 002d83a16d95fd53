/// Why the gatekeeper ended a client's connection.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "gatekeeper/reason_counts.hpp"

namespace wingslip {

enum class CloseReason : std::uint8_t {
  peerClosed,              ///< the client closed it or ended its sending
  peerReset,               ///< reset, or broken on the way
  idleTimeout,             ///< no request came within the idle time-out
  evicted,                 ///< it was idle, and another connection needs its place
  evictedFromOverflow,     ///< an overflow connection, and another one comes
  lastResponse,            ///< the last response announced the close, or the process drains
  sendsAfterLastResponse,  ///< the client goes on sending after its last response
  writeTimeout,            ///< the client does not read its response
  bodyTimeout,             ///< the rest of a body that is answered already does not come
  malformedBody,           ///< the rest of a body that is answered already is malformed
  responseCut,             ///< a streamed response ended early
  processEnd,              ///< the process ends
};
constexpr std::size_t kCloseReasonCount = static_cast<std::size_t>(CloseReason::processEnd) + 1;

/// As figures name them, in the order of CloseReason.
inline constexpr std::array<std::string_view, kCloseReasonCount> kCloseReasonNames{
    "peer_ended", "peer_broken",   "idle",         "evicted",        "evicted_silent", "last_answer",
    "sends_on",   "write_timeout", "body_timeout", "malformed_body", "answer_cut",     "process_end"};
static_assert(!kCloseReasonNames.back().empty(), "every reason has a name");

/// Whether the client itself closed it, so that it is owed no answer.
constexpr bool isByPeer(CloseReason reason) {
  return reason == CloseReason::peerClosed || reason == CloseReason::peerReset;
}

using CloseCounts = ReasonCounts<CloseReason, kCloseReasonNames>;

}  // namespace wingslip
