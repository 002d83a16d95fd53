/// Parses a worker's response and decides what counts as one. No sockets, no timers.
#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "net/http.hpp"
#include "wingslip/decision/gateway.hpp"

namespace wingslip {

/// What an attempt has written when response bytes are parsed.
struct RequestProgress {
  bool written = false;        ///< the last byte is with the kernel
  bool bodyStreaming = false;  ///< body pieces are still to come from the client
};

/// The response of one attempt at a time, with the bytes that were read and not yet parsed. Belongs to one
/// connection.
class UpstreamResponse {
 public:
  enum class State {
    incomplete,
    complete,
    malformed,  ///< not HTTP, past a limit, or a 200 before the request's last byte
  };

  /// Starts a new response. Unparsed bytes stay.
  void reset();

  boost::asio::mutable_buffer prepare(std::size_t bytes) { return input_.prepare(bytes); }
  void commit(std::size_t bytes) { input_.commit(bytes); }

  /// Parses what was committed; skips 1xx responses.
  State parse(RequestProgress request);
  /// The peer has closed the connection. True: the response is delimited by that and is complete.
  [[nodiscard]] bool finishAtClose();

  bool hasStarted() const { return parser_->got_some(); }
  bool isOk() const { return parser_->get().result() == http::status::ok; }
  /// Whether the header is complete and the body, stated or read so far, exceeds `kMaxBufferedBodyBytes`
  /// bytes.
  bool exceedsBuffer() const;
  /// Whether the connection may carry another request: nothing is left over, and neither side closes.
  bool allowsReuse() const;

  std::string contentType() const { return std::string(view(parser_->get()[http::field::content_type])); }
  std::optional<std::uint64_t> contentLength() const;
  /// The result and what the header says of usage, cost and load.
  void describe(decision::AttemptOutcome& outcome, const std::vector<std::string>& reportFields) const;

  /// The body as far as it has come; the next piece starts empty.
  std::string takeBody() { return std::exchange(parser_->get().body(), {}); }
  std::size_t bodyCapacity() const { return parser_ ? parser_->get().body().capacity() : 0; }
  std::size_t bufferedBytes() const { return input_.size(); }
  /// Bytes of memory in use if `more` bytes are read.
  std::size_t memoryBytes(std::size_t more) const;
  void releaseSpareMemory() { input_.shrink_to_fit(); }

 private:
  bool isInterim() const;
  bool isEarly(RequestProgress request) const;

  beast::flat_buffer input_;
  std::optional<http::response_parser<WindowBody>> parser_;
};

}  // namespace wingslip
