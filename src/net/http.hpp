/// HTTP parsing from and serialization to buffers with Boost.Beast, for connections to clients, workers and
/// discovery. Uses no sockets.
#pragma once

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "net/message_framing.hpp"

namespace wingslip {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Error = boost::system::error_code;

constexpr std::size_t kMaxBodyBytes = std::size_t{32} * 1024 * 1024;  ///< limit for requests and responses
constexpr std::size_t kMaxBufferedBodyBytes = 64 * 1024;              ///< longer bodies are streamed
/// Limit for a header, a chunk line and a trailer, of requests and responses.
constexpr std::size_t kMaxHeaderBytes = 16 * 1024;
constexpr std::size_t kReadBytes = 4096;             ///< size of one read, except of a streamed body
constexpr std::size_t kStreamReadBytes = 16 * 1024;  ///< size of one read of a streamed body

/// Converts Beast's string view; the result refers to the same characters.
inline std::string_view toStringView(beast::string_view text) { return {text.data(), text.size()}; }

/// A Beast body type for the part of a body that has been received and not yet consumed. No memory is
/// preallocated for the length that the header states.
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

/// Parses the bytes in `in` and consumes them; bytes after the message remain in the buffer.
///
/// The parser's eager mode is disabled: an eager parser continues with body bytes received together with the
/// header, and does not report that the header had exceeded its limit.
///
/// The parser's own limits do not cover chunk lines and trailers, which it consumes only as a whole. A
/// message of which more than `kMaxHeaderBytes` bytes remain unparsed is therefore invalid (`header_limit`).
///
/// The parser reads a body as absent, or as lasting until the close, if it does not understand its framing. A
/// message with an unclear framing is therefore invalid as soon as its header is read (`checkFraming`).
/// @return whether the message is complete; `error` is set if it is invalid
template <class Parser>
bool parseBuffered(Parser& parser, beast::flat_buffer& in, Error& error) {
  parser.eager(false);
  while (!parser.is_done() && in.size() > 0) {
    const bool inHeader = !parser.is_header_done();
    const std::size_t used = parser.put(in.data(), error);
    in.consume(used);
    if (error == http::error::need_more) {
      error = {};
      if (used == 0) break;
    }
    if (!error && inHeader && parser.is_header_done())
      error = checkFraming(parser.get().version(), parser.get().base());
    if (error) return false;
  }
  if (!parser.is_done() && in.size() > kMaxHeaderBytes) error = http::error::header_limit;
  return parser.is_done();
}

/// Memory in bytes that a parsed header field takes in addition to its text: the node that Beast allocates.
constexpr std::size_t kParsedFieldBytes = 96;

/// Memory in bytes that the header at the start of `in` will take once it is parsed; 0 if it is incomplete.
/// Beast parses a header only as a whole, and a field of a few bytes takes many times its size.
inline std::size_t parsedHeaderBytes(const beast::flat_buffer& in) {
  const std::string_view text(static_cast<const char*>(in.data().data()), in.size());
  const std::size_t end = text.find("\r\n\r\n");
  if (end == std::string_view::npos) return 0;
  const auto lines = std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(end), '\n');
  return end + static_cast<std::size_t>(lines) * kParsedFieldBytes;
}

/// Removes the fields after the first `headerFields`: those of a trailer, which nothing reads.
template <class Fields>
void removeTrailer(Fields& fields, std::size_t headerFields) {
  auto field = fields.begin();
  for (std::size_t i = 0; i < headerFields && field != fields.end(); ++i) ++field;
  while (field != fields.end()) field = fields.erase(field);
}

namespace detail {

/// Appends the buffers that the serializer returns next.
template <class Serializer>
void appendNextBuffers(std::string& out, Serializer& serializer, Error& error) {
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

/// Appends the serialized message, header and body.
template <bool isRequest, class Body>
void append(std::string& out, const http::message<isRequest, Body>& message) {
  http::serializer<isRequest, Body> serializer(message);
  Error error;
  while (!serializer.is_done() && !error) detail::appendNextBuffers(out, serializer, error);
}

/// Appends the serialized header only. The caller appends the body with the framing that the header states.
template <bool isRequest>
void appendHeader(std::string& out, const http::message<isRequest, http::empty_body>& message) {
  http::serializer<isRequest, http::empty_body> serializer(message);
  serializer.split(true);
  Error error;
  while (!serializer.is_header_done() && !error) detail::appendNextBuffers(out, serializer, error);
}

/// Appends a piece of a body in chunked transfer coding. `last` also appends the end of the body; the piece
/// may then be empty.
inline void appendChunk(std::string& out, std::string_view piece, bool last) {
  if (!piece.empty()) {
    char size[20];
    const auto end = std::to_chars(size, size + sizeof size, piece.size(), 16).ptr;
    out.append(size, end).append("\r\n").append(piece).append("\r\n");
  }
  if (last) out += "0\r\n\r\n";
}

}  // namespace wingslip
