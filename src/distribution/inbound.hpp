/// Reading of messages that came from a connection, for control replicas and subscribers alike.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "distribution/limited_log.hpp"
#include "distribution/message.hpp"

namespace wingslip::distribution {

/// The message in these bytes; nothing, and a line in the log, where they are none.
[[nodiscard]] std::optional<Message> decodeOrLog(Milliseconds now, const std::string& from,
                                                 const std::uint8_t* bytes, std::size_t size,
                                                 LimitedLog& log);

}  // namespace wingslip::distribution
