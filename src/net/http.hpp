/// HTTP on buffers, shared by the clients' side, the workers' side and discovery: Beast's parser fed from a
/// buffer, and its serializer to text. No sockets.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <cstdint>
#include <string>
#include <string_view>

namespace wingslip {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Error = boost::system::error_code;

constexpr std::size_t kMaxBodyBytes = std::size_t{32} * 1024 * 1024;  ///< of a request or response
constexpr std::size_t kMaxBufferedBodyBytes = 64 * 1024;              ///< a longer body is streamed
constexpr std::size_t kMaxHeaderBytes = 16 * 1024;
constexpr std::size_t kReadBytes = 4096;              ///< of one read of anything else
constexpr std::size_t kStreamPieceBytes = 16 * 1024;  ///< of one read of a streamed body

inline std::string_view view(beast::string_view text) { return {text.data(), text.size()}; }

/// A body as far as it has come and has not been taken away. Whatever length the header states, nothing is
/// allocated ahead.
struct WindowBody {
  using value_type = std::string;
  class reader {
   public:
    template <bool isRequest, class Fields>
    reader(http::header<isRequest, Fields>&, value_type& body) : body_(body) {}
    void init(const boost::optional<std::uint64_t>&, Error& error) { error = {}; }
    template <class Buffers>
    std::size_t put(const Buffers& buffers, Error& error) {
      error = {};
      std::size_t size = 0;
      for (const asio::const_buffer part : beast::buffers_range_ref(buffers)) {
        body_.append(static_cast<const char*>(part.data()), part.size());
        size += part.size();
      }
      return size;
    }
    void finish(Error& error) { error = {}; }

   private:
    value_type& body_;
  };
};

/// Parses what has been read; true once the message is complete. What follows it stays in the buffer.
///
/// Never eagerly: an eager parser goes on to body bytes that came with the header and forgets that the header
/// had exceeded its limit.
template <class Parser>
bool feed(Parser& parser, beast::flat_buffer& in, Error& error) {
  parser.eager(false);
  while (!parser.is_done() && in.size() > 0) {
    const std::size_t used = parser.put(in.data(), error);
    in.consume(used);
    if (error == http::error::need_more) {
      error = {};
      if (used == 0) return false;
    }
    if (error) return false;
  }
  return parser.is_done();
}

namespace detail {

/// Appends the serializer's next buffers.
template <class Serializer>
void appendNext(std::string& out, Serializer& serializer, Error& error) {
  std::size_t size = 0;
  serializer.next(error, [&](Error&, const auto& buffers) {
    for (const asio::const_buffer part : beast::buffers_range_ref(buffers)) {
      out.append(static_cast<const char*>(part.data()), part.size());
      size += part.size();
    }
  });
  serializer.consume(size);
}

}  // namespace detail

/// The whole message.
template <bool isRequest, class Body>
void append(std::string& out, const http::message<isRequest, Body>& message) {
  http::serializer<isRequest, Body> serializer(message);
  Error error;
  while (!serializer.is_done() && !error) detail::appendNext(out, serializer, error);
}

/// The header alone; the body follows separately, framed as the header says.
template <bool isRequest>
void appendHead(std::string& out, const http::message<isRequest, http::empty_body>& message) {
  http::serializer<isRequest, http::empty_body> serializer(message);
  serializer.split(true);
  Error error;
  while (!serializer.is_header_done() && !error) detail::appendNext(out, serializer, error);
}

/// A piece of a body framed as a chunk; the last one, which may be empty, with the end of the body.
inline void appendChunk(std::string& out, std::string_view piece, bool last) {
  if (!piece.empty()) {
    char size[20];
    const auto end = std::to_chars(size, size + sizeof size, piece.size(), 16).ptr;
    out.append(size, end).append("\r\n").append(piece).append("\r\n");
  }
  if (last) out += "0\r\n\r\n";
}

}  // namespace wingslip
