/// Whether the header of an HTTP message states in exactly one way where the body of the message ends.
#pragma once

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/system/error_code.hpp>

namespace wingslip {

/// Checks the fields of a header that frame the body. A recipient that reads an unclear framing in another
/// way than the sender takes the text of a body for a further message (RFC 9112, sections 6.1, 6.3 and 11.2).
///
/// Permitted are: neither field; one Content-Length that is a number; one Transfer-Encoding that is `chunked`
/// alone, in HTTP/1.1. The gatekeeper asks for no other coding and applies none, so a coded body would be
/// passed on as a plain one.
/// @param version HTTP version of the message, 11 for HTTP/1.1
/// @param fields of the header, without a trailer
/// @return `bad_transfer_encoding`, `bad_content_length`, or no error
boost::system::error_code checkFraming(unsigned version, const boost::beast::http::fields& fields);

}  // namespace wingslip
