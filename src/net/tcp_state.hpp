/// Queries the kernel for the state of TCP sockets, without reading data from them.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>

namespace wingslip {

/// @return whether the peer has closed or reset the connection; false if the socket is not open or the kernel
/// does not report its state. A connection that this side has shut down also counts as closed.
bool hasPeerClosed(boost::asio::ip::tcp::socket& socket);
/// @return whether the peer has finished sending, or the connection is closed or has failed, even if received
/// bytes are still unread.
bool hasPeerFinishedSending(boost::asio::ip::tcp::socket& socket);
/// @return the time since the peer's last bytes arrived, read or unread; 0 if the kernel does not report it.
std::chrono::milliseconds timeSinceLastData(boost::asio::ip::tcp::socket& socket);
/// @return the bytes written that the peer's kernel has not acknowledged; 0 if the kernel does not report it.
std::size_t unacknowledgedBytes(boost::asio::ip::tcp::socket& socket);
/// @return the number of connections in the accept backlog; 0 if the kernel does not report it.
std::size_t acceptBacklogLength(boost::asio::ip::tcp::acceptor& acceptor);

}  // namespace wingslip
