/// Decoding of received messages, shared by control replicas and subscribers.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "distribution/limited_log.hpp"
#include "distribution/message.hpp"

namespace wingslip::distribution {

/// Decodes a message received from `from`. Returns empty and logs the reason if the bytes are not a valid
/// message.
[[nodiscard]] std::optional<Message> decodeOrLog(Milliseconds now, const std::string& from,
                                                 const std::uint8_t* bytes, std::size_t size,
                                                 LimitedLog& log);

}  // namespace wingslip::distribution
