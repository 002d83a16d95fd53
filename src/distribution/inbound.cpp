#include "distribution/inbound.hpp"

namespace wingslip::distribution {

std::optional<Message> decodeOrLog(Milliseconds now, const std::string& from, const std::uint8_t* bytes,
                                   std::size_t size, LimitedLog& log) {
  try {
    return decode(bytes, size);
  } catch (const CodecError& error) {
    log.line(now, "event=message_refused from=" + from + " reason=\"" + error.what() + "\"");
    return std::nullopt;
  }
}

}  // namespace wingslip::distribution
