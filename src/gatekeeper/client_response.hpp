/// Responses to clients and their serialization. Uses no sockets.
#pragma once

#include <boost/asio/buffer.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "net/http.hpp"
#include "overload/memory_budget.hpp"
#include "wingslip/decision/gateway.hpp"

namespace wingslip {

/// A response with a buffered body.
struct ClientResponse {
  http::status status = http::status::ok;
  std::string body;
  std::string contentType = "text/plain";
  decision::Time retryAfterMs = 0;  ///< value of Retry-After, ms; 0: no such header
  MemoryBudget::Charge bodyMemory;  ///< charge for `body`, released when it is written
};

/// The head of a 200 response whose body is streamed.
struct StreamedResponseHead {
  std::string contentType;
  std::optional<std::uint64_t> contentLength;  ///< bytes; `nullopt`: chunked, or ends with the connection
};

/// The output buffers of a client connection: one being written, and one with the bytes to write next.
class ResponseBuffer {
 public:
  /// Adds a complete response with its body.
  void addResponse(const ClientResponse& response, bool keepAlive);
  /// Adds a 100 Continue response.
  void addContinue();

  /// Chooses the framing of a streamed body: Content-Length, chunks or the connection's end.
  /// @param requestVersion HTTP version of the request; 11: HTTP/1.1
  void chooseFraming(const StreamedResponseHead& head, unsigned requestVersion);
  /// Whether the client can distinguish the end of the streamed body from a lost connection.
  bool isDelimited() const { return delimited_; }
  /// Adds the head of a streamed response. Call `chooseFraming` before.
  void addStreamHead(const StreamedResponseHead& head, bool keepAlive);
  /// Adds a piece of the streamed body; `last`: the body ends with it.
  void addPiece(std::string&& piece, bool last);

  bool hasPending() const { return !pending_.empty(); }
  bool isWriting() const { return !writing_.empty(); }
  /// Moves the pending bytes to the buffer being written, and returns it; it is valid until `finishWrite`.
  boost::asio::const_buffer startWrite();
  /// Releases the written bytes.
  void finishWrite();

 private:
  std::string pending_;
  std::string writing_;
  bool chunked_ = false;
  bool delimited_ = true;
};

}  // namespace wingslip
