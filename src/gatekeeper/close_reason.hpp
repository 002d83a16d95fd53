/// Why the gatekeeper ended a client's connection.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "gatekeeper/reason_counts.hpp"

namespace wingslip {

enum class CloseReason : std::uint8_t {
  peer_ended,      ///< the client closed it or ended its sending
  peer_broken,     ///< reset, or broken on the way
  idle,            ///< no request came for as long as one may rest
  evicted,         ///< it rested, and another needs its place
  evicted_silent,  ///< heard beyond the limit of connections, and another comes
  last_answer,     ///< the answer before said that it ends, or the process drains
  sends_on,        ///< the client goes on sending after its last answer
  write_timeout,   ///< the client does not take its answer
  body_timeout,    ///< the rest of a body that is answered already does not come
  malformed_body,  ///< the same, and it is no body
  answer_cut,      ///< an answer that was passed on as it came has no end
  process_end,     ///< the process ends
};
constexpr std::size_t kCloseReasons = static_cast<std::size_t>(CloseReason::process_end) + 1;

/// As figures name them, in the order of CloseReason.
inline constexpr std::array<std::string_view, kCloseReasons> kCloseReasonNames{
    "peer_ended", "peer_broken",   "idle",         "evicted",        "evicted_silent", "last_answer",
    "sends_on",   "write_timeout", "body_timeout", "malformed_body", "answer_cut",     "process_end"};
static_assert(!kCloseReasonNames.back().empty(), "every reason has a name");

/// Whether the client itself ended it, so that nothing is owed any more.
constexpr bool isPeers(CloseReason reason) {
  return reason == CloseReason::peer_ended || reason == CloseReason::peer_broken;
}

using CloseCounts = ReasonCounts<CloseReason, kCloseReasonNames>;

}  // namespace wingslip
