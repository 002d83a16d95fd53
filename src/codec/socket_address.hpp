/// Text form of a TCP socket address. Depends on no other part of the project.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string_view>

namespace wingslip {

/// Reads `host:port`, where the host is an IPv4 address, or an IPv6 address with or without brackets.
/// @throws std::runtime_error, one line, if it is neither, or the port is not a number up to 65535.
boost::asio::ip::tcp::endpoint parseEndpoint(std::string_view hostPort);

}  // namespace wingslip
