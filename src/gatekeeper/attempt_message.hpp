/// Serializes the HTTP request that is sent to a worker for a client's request.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "gatekeeper/client_request.hpp"
#include "wingslip/decision/gateway.hpp"

namespace wingslip {

/// How the body of a client's request is forwarded to a worker.
struct BodyFraming {
  bool streamed = false;                       ///< the message contains only the first piece of the body
  std::optional<std::uint64_t> contentLength;  ///< of a streamed body, bytes; `nullopt`: it is sent chunked
};

/// Returns the client's request as it is sent to a worker: without the header fields that apply only to the
/// client's connection, and with the remaining time `deadlineMs`, rounded to whole milliseconds, in
/// `Req-Deadline-Ms`. A streamed body is included only up to the end of its first piece.
std::string serializeAttempt(const ClientMessage& message, const BodyFraming& framing,
                             decision::Time deadlineMs);

/// Upper bound in bytes of the size that `serializeAttempt` returns for this message, for the memory budget.
std::size_t maxAttemptBytes(const ClientMessage& message);

}  // namespace wingslip
