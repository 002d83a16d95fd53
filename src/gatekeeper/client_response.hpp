/// Responses to clients: what they consist of, and their bytes on the wire. No sockets.
#pragma once

#include <boost/asio/buffer.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "net/http.hpp"
#include "overload/memory_budget.hpp"
#include "wingslip/decision/gateway.hpp"

namespace wingslip {

/// A response that is sent as a whole.
struct ClientResponse {
  http::status status = http::status::ok;
  std::string body;
  std::string contentType = "text/plain";
  decision::Time retryAfterMs = 0;  ///< Retry-After; 0: none
  MemoryBudget::Charge bodyMemory;  ///< accounts for `body` until it is written
};

/// The head of a 200 response whose body is streamed.
struct StreamedResponseHead {
  std::string contentType;
  std::optional<std::uint64_t> contentLength;  ///< none: delimited by chunks or by the connection's end
};

/// Output of one client connection: bytes that are being written, and bytes to be written next.
class ResponseBuffer {
 public:
  void addResponse(const ClientResponse& response, bool keepAlive);
  void addContinue();

  /// How the body of a streamed response is delimited, from the HTTP version of the request (11: HTTP/1.1).
  void chooseFraming(const StreamedResponseHead& head, unsigned requestVersion);
  /// Whether the client can tell the streamed body's end from a closed connection.
  bool isDelimited() const { return delimited_; }
  void addStreamHead(const StreamedResponseHead& head, bool keepAlive);
  void addPiece(std::string&& piece, bool last);

  bool hasPending() const { return !pending_.empty(); }
  bool isWriting() const { return !writing_.empty(); }
  /// Takes what is pending as the bytes to write now; they stay in place until `finishWrite`.
  boost::asio::const_buffer startWrite();
  void finishWrite();

 private:
  std::string pending_;
  std::string writing_;
  bool chunked_ = false;
  bool delimited_ = true;
};

}  // namespace wingslip
