/// Implementation of the check of a message's framing.
#include "net/message_framing.hpp"

#include <algorithm>
#include <boost/beast/core/string.hpp>

namespace wingslip {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

constexpr unsigned kHttp11 = 11;

bool isNumber(boost::beast::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
}

}  // namespace

error_code checkFraming(unsigned version, const http::fields& fields) {
  const auto codings = fields.count(http::field::transfer_encoding);
  const auto lengths = fields.count(http::field::content_length);
  if (codings > 0) {
    const bool isChunked =
        codings == 1 && boost::beast::iequals(fields[http::field::transfer_encoding], "chunked");
    if (!isChunked || lengths > 0 || version < kHttp11) return http::error::bad_transfer_encoding;
  }
  if (lengths > 1 || (lengths == 1 && !isNumber(fields[http::field::content_length])))
    return http::error::bad_content_length;
  return {};
}

}  // namespace wingslip
