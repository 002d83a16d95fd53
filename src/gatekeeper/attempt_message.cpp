/// Serializes the HTTP request that is sent to a worker for a client's request.
#include "gatekeeper/attempt_message.hpp"

#include <cmath>
#include <string_view>

namespace wingslip {
namespace {

// Upper bound, in bytes, of the parts of the message that are not the client's target, header fields or body:
// the remainder of the request line, the header fields set here and the framing of one chunk.
constexpr std::size_t kFramingOverheadBytes = 160;
constexpr std::size_t kFieldFramingBytes = 4;  // `: ` and the line terminator

}  // namespace

std::string serializeAttempt(const ClientMessage& message, const BodyFraming& framing,
                             decision::Time deadlineMs) {
  http::request<http::empty_body> head(message.base());
  for (const auto field : {http::field::connection, http::field::keep_alive, http::field::te,
                           http::field::trailer, http::field::transfer_encoding, http::field::upgrade,
                           http::field::expect, http::field::proxy_connection, http::field::content_length})
    head.erase(field);
  head.version(11);
  const std::string_view target = toStringView(message.target());
  if (const auto origin = originForm(target); origin.size() != target.size())
    head.target(std::string(origin));
  head.set("Req-Deadline-Ms", std::to_string(std::lround(deadlineMs)));
  const std::string& body = message.body();
  std::string out;
  if (!framing.streamed) {
    if (!body.empty() || head.method() != http::verb::get) head.content_length(body.size());
    appendHeader(out, head);
    return out += body;
  }
  if (framing.contentLength) {
    head.content_length(*framing.contentLength);
    appendHeader(out, head);
    return out += body;
  }
  head.chunked(true);
  appendHeader(out, head);
  appendChunk(out, body, false);
  return out;
}

std::size_t maxAttemptBytes(const ClientMessage& message) {
  std::size_t bytes = kFramingOverheadBytes + toStringView(message.target()).size() + message.body().size();
  for (const auto& field : message.base())
    bytes +=
        toStringView(field.name_string()).size() + toStringView(field.value()).size() + kFieldFramingBytes;
  return bytes;
}

}  // namespace wingslip
