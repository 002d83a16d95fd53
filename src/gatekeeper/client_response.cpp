/// Serialization of responses to clients.
#include "gatekeeper/client_response.hpp"

#include <charconv>
#include <utility>

namespace wingslip {
namespace {

constexpr std::size_t kMaxRetainedCapacity = kReadBytes;  // larger buffers are freed after the write

std::string formatSeconds(decision::Time ms) {
  char text[32];
  const auto end = std::to_chars(text, text + sizeof text, ms / 1000, std::chars_format::fixed, 3).ptr;
  return std::string(text, end);
}

}  // namespace

void ResponseBuffer::addResponse(const ClientResponse& response, bool keepAlive) {
  http::response<http::string_body> message(response.status, 11, response.body);
  if (!response.contentType.empty()) message.set(http::field::content_type, response.contentType);
  if (response.retryAfterMs > 0) message.set(http::field::retry_after, formatSeconds(response.retryAfterMs));
  message.keep_alive(keepAlive);
  message.prepare_payload();
  append(pending_, message);
}

void ResponseBuffer::addContinue() {
  http::response<http::empty_body> message(http::status::continue_, 11);
  append(pending_, message);
}

void ResponseBuffer::chooseFraming(const StreamedResponseHead& head, unsigned requestVersion) {
  chunked_ = !head.contentLength && requestVersion >= 11;
  delimited_ = head.contentLength || chunked_;
}

void ResponseBuffer::addStreamHead(const StreamedResponseHead& head, bool keepAlive) {
  http::response<http::empty_body> message(http::status::ok, 11);
  if (!head.contentType.empty()) message.set(http::field::content_type, head.contentType);
  message.keep_alive(keepAlive);
  if (head.contentLength) message.content_length(*head.contentLength);
  if (chunked_) message.chunked(true);
  appendHeader(pending_, message);
}

void ResponseBuffer::addPiece(std::string&& piece, bool last) {
  if (chunked_)
    appendChunk(pending_, piece, last);
  else if (pending_.empty())
    pending_ = std::move(piece);
  else
    pending_ += piece;
}

boost::asio::const_buffer ResponseBuffer::startWrite() {
  writing_.swap(pending_);
  return boost::asio::buffer(writing_);
}

void ResponseBuffer::finishWrite() {
  if (writing_.capacity() > kMaxRetainedCapacity)
    std::string().swap(writing_);
  else
    writing_.clear();
}

}  // namespace wingslip
