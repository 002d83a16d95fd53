/// Listeners and sockets of the lab's stand-ins on 127.0.0.1.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <map>
#include <utility>

namespace wingslip::lab {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using Clock = std::chrono::steady_clock;

/// Opens a listener on 127.0.0.1; port 0 selects a free ephemeral port.
/// @throws boost::system::system_error if the port cannot be bound.
tcp::acceptor listenAt(asio::io_context& io, unsigned short port = 0);

/// Closes the connection with a TCP reset.
void reset(tcp::socket& socket);

/// Maps a connection from a proxy to the gatekeeper of its link. The key is the upstream port and the local
/// port of the proxy's upstream socket; the local port alone is not unique over connections to different
/// workers.
using LinkOrigins = std::map<std::pair<unsigned short, unsigned short>, int>;

}  // namespace wingslip::lab
