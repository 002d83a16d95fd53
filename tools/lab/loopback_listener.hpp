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

/// A listener on 127.0.0.1; port 0: any free one.
tcp::acceptor listenAt(asio::io_context& io, unsigned short port = 0);

/// Closes the connection with a reset.
void reset(tcp::socket& socket);

/// Which gatekeeper's link a connection to a worker came over: by the worker's port and the local port of the
/// proxy's upstream socket. Connections to two workers may have the same local port.
using LinkOf = std::map<std::pair<unsigned short, unsigned short>, int>;

}  // namespace wingslip::lab
