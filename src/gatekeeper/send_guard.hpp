/// Why an attempt that the decision module asked for was not sent after all.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "gatekeeper/reason_counts.hpp"

namespace wingslip {

/// Checked when an attempt's first byte could be written: since the decision a connection may have had to be
/// established.
enum class SendRefusal : std::uint8_t {
  none,                ///< it is sent
  requestOver,         ///< the request has its final answer
  clientDisconnected,  ///< the client has disconnected
  deadlinePassed,      ///< the deadline has passed
  workerNotReady,      ///< the endpoint list does not name the worker as ready any more
  workerExcluded,      ///< by an operator
};
constexpr std::size_t kSendRefusalCount = static_cast<std::size_t>(SendRefusal::workerExcluded) + 1;

/// As figures name them, in the order of SendRefusal; the first is no refusal.
inline constexpr std::array<std::string_view, kSendRefusalCount> kSendRefusalNames{
    "none", "request_over", "client_gone", "time_over", "worker_left", "worker_excluded"};
static_assert(!kSendRefusalNames.back().empty(), "every reason has a name");

using SendRefusals = ReasonCounts<SendRefusal, kSendRefusalNames>;

}  // namespace wingslip
