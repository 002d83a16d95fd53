/// Reasons why an attempt that the decision module started is not sent to its worker.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "gatekeeper/reason_counts.hpp"

namespace wingslip {

/// Why an attempt is not sent. Determined immediately before its first byte is written: establishing a
/// connection may have taken time since the decision.
enum class SendRefusal : std::uint8_t {
  none,                ///< the attempt is sent
  requestOver,         ///< the request already has its final response
  clientDisconnected,  ///< the client has disconnected
  deadlinePassed,      ///< the deadline has passed
  workerNotReady,      ///< the endpoint list no longer names the worker as ready
  workerExcluded,      ///< an operator has excluded the worker
  repeatNotAllowed,    ///< its class, its idempotency window or the settings no longer permit this attempt
  sentElsewhere,       ///< the other process of an upgrade has sent a request with this id
  clientUnseen,        ///< the client may have disconnected behind what it sent before, and is not heard
};
constexpr std::size_t kSendRefusalCount = static_cast<std::size_t>(SendRefusal::clientUnseen) + 1;

/// Names in the metrics, in the order of SendRefusal. `none` is not reported.
inline constexpr std::array<std::string_view, kSendRefusalCount> kSendRefusalNames{
    "none",        "request_over",   "client_gone",  "time_over", "worker_left", "worker_excluded",
    "repeat_over", "sent_elsewhere", "client_unseen"};
static_assert(!kSendRefusalNames.back().empty(), "every SendRefusal has a name");

/// Number of attempts checked before sending, by result.
using SendRefusals = ReasonCounts<SendRefusal, kSendRefusalNames>;

}  // namespace wingslip
