/// Parsing of TCP socket addresses in text form. Has no dependencies on other parts of the project.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string_view>

namespace wingslip {

/// Parses `host:port`, where the host is an IPv4 address, or an IPv6 address with or without brackets.
/// @throws std::runtime_error with a one-line message if the host is not an IP address or the port is not a
/// number from 0 to 65535.
boost::asio::ip::tcp::endpoint parseEndpoint(std::string_view hostPort);

}  // namespace wingslip
