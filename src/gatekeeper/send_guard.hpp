/// Why an attempt that the decision module asked for was not sent after all.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "gatekeeper/reason_counts.hpp"

namespace wingslip {

/// Asked in the moment in which an attempt's first byte could be written: between the decision and that
/// moment a connection may have had to come up.
enum class SendRefusal : std::uint8_t {
  none,             ///< it is sent
  request_over,     ///< the request has its answer
  client_gone,      ///< nobody waits for the answer any more
  time_over,        ///< nothing is left of the client's time
  worker_left,      ///< no list names the worker as ready any more
  worker_excluded,  ///< by hand
};
constexpr std::size_t kSendRefusals = static_cast<std::size_t>(SendRefusal::worker_excluded) + 1;

/// As figures name them, in the order of SendRefusal; the first is no refusal.
inline constexpr std::array<std::string_view, kSendRefusals> kSendRefusalNames{
    "none", "request_over", "client_gone", "time_over", "worker_left", "worker_excluded"};
static_assert(!kSendRefusalNames.back().empty(), "every reason has a name");

using SendRefusals = ReasonCounts<SendRefusal, kSendRefusalNames>;

}  // namespace wingslip
