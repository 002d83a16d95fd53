/// The HTTP request that a worker is sent for a client's request.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "gatekeeper/client_request.hpp"
#include "wingslip/decision/gateway.hpp"

namespace wingslip {

/// How the body of a client's request goes to a worker.
struct BodyFraming {
  bool streamed = false;                       ///< the message holds only its beginning
  std::optional<std::uint64_t> contentLength;  ///< of a streamed body; none: chunked
};

/// The client's request with the time that is left, without the fields that concern only the client's
/// connection. `deadlineMs`: what the worker is told, rounded to whole milliseconds.
std::string serializeAttempt(const ClientMessage& message, const BodyFraming& framing,
                             decision::Time deadlineMs);

/// Upper bound in bytes of what `serializeAttempt` makes of this message, for the memory budget.
std::size_t maxAttemptBytes(const ClientMessage& message);

}  // namespace wingslip
