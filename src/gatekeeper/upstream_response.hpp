/// Parses and validates a worker's response. Uses no sockets or timers.
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

/// How much of the request has been written when response bytes are parsed.
struct RequestProgress {
  bool written = false;        ///< the kernel has accepted the last byte
  bool bodyStreaming = false;  ///< further body pieces are expected from the client
};

/// The response of one attempt at a time, and the bytes that were read but not yet parsed. Each connection
/// owns one.
class UpstreamResponse {
 public:
  enum class State {
    incomplete,
    complete,
    malformed,  ///< not valid HTTP, beyond a limit, or a 200 before the request's last byte
  };

  /// Prepares for a new response. Retains unparsed bytes.
  void reset();

  /// Returns a buffer into which the next bytes are read; `commit` then appends the bytes that were read.
  boost::asio::mutable_buffer prepare(std::size_t bytes) { return input_.prepare(bytes); }
  void commit(std::size_t bytes) { input_.commit(bytes); }

  /// Parses the committed bytes and skips interim (1xx) responses.
  State parse(RequestProgress request);
  /// Called when the worker has closed the connection. Returns true if the close delimits the response and
  /// thereby completes it.
  [[nodiscard]] bool finishAtClose();

  /// Whether the header of the final response is complete.
  bool hasHeader() const { return parser_->is_header_done(); }
  /// Whether any byte of the response has been parsed.
  bool hasStarted() const { return parser_->got_some(); }
  bool isOk() const { return parser_->get().result() == http::status::ok; }
  /// Whether the header is complete and its Content-Length exceeds `kMaxBufferedBodyBytes` bytes.
  bool statesLongBody() const;
  /// Whether the header is complete and the body, by its Content-Length or as read so far, exceeds
  /// `kMaxBufferedBodyBytes` bytes.
  bool exceedsBuffer() const;
  /// Whether this is a 200 whose header states no length and whose end has not been received.
  bool isUnfinishedWithoutLength() const { return isUnfinished() && !parser_->content_length(); }
  /// Whether this is a 200 whose end has not been received and whose body may exceed `kMaxBufferedBodyBytes`
  /// bytes: its header states such a length, or none.
  bool mayBecomeLong() const { return isUnfinishedWithoutLength() || (isUnfinished() && statesLongBody()); }
  /// Bytes of the body received so far, including those that `takeBody` has moved out.
  std::size_t bodyBytes() const { return takenBodyBytes_ + parser_->get().body().size(); }
  /// Whether the connection may carry another request: no bytes remain unparsed, and the response
  /// permits a persistent connection.
  bool allowsReuse() const;

  std::string contentType() const {
    return std::string(toStringView(parser_->get()[http::field::content_type]));
  }
  /// The Content-Length in bytes, `nullopt` if the header has none.
  std::optional<std::uint64_t> contentLength() const;
  /// Sets the outcome's result, and its quota use, actual units and load report from the header fields.
  void describe(decision::AttemptOutcome& outcome, const std::vector<std::string>& reportFields) const;

  /// Moves out the part of the body received so far.
  std::string takeBody() {
    takenBodyBytes_ += parser_->get().body().size();
    return std::exchange(parser_->get().body(), {});
  }
  std::size_t bodyCapacity() const { return parser_ ? parser_->get().body().capacity() : 0; }
  std::size_t bufferedBytes() const { return input_.size(); }
  /// Memory in bytes that the response uses if the next read delivers `nextReadBytes` bytes.
  std::size_t memoryBytes(std::size_t nextReadBytes) const;
  /// Frees the unused capacity of the read buffer, and the previous response.
  void releaseSpareMemory() {
    input_.shrink_to_fit();
    reset();
  }

 private:
  bool isInterim() const;
  bool isUnfinished() const { return parser_->is_header_done() && isOk() && !parser_->is_done(); }
  void removeUnusedFields();
  bool isPremature(RequestProgress request) const;

  beast::flat_buffer input_;
  std::optional<http::response_parser<WindowBody>> parser_;
  std::size_t takenBodyBytes_ = 0;
  bool headerParsed_ = false;  // the final header is parsed, and its unused fields are removed
};

}  // namespace wingslip
