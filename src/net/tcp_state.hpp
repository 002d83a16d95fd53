/// What the kernel knows about a TCP socket, so that nothing has to be read from it.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>

namespace wingslip {

/// Whether the peer has closed or reset the connection.
bool hasPeerClosed(boost::asio::ip::tcp::socket& socket);
/// Whether the peer has finished sending, also behind bytes that are not read yet.
bool hasPeerFinishedSending(boost::asio::ip::tcp::socket& socket);
/// How long ago the peer's last bytes arrived, read or not; 0 if the kernel does not say.
std::chrono::milliseconds timeSinceLastData(boost::asio::ip::tcp::socket& socket);
/// Connections in the kernel that are not accepted yet; 0 if it does not say.
std::size_t acceptBacklogLength(boost::asio::ip::tcp::acceptor& acceptor);

}  // namespace wingslip
