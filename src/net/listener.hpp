/// Opens the listening sockets when the process starts.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>

namespace wingslip {

/// @return whether a call failed for lack of file descriptors (of the process or the system) or of kernel
/// memory and may succeed later.
bool isShortage(const boost::system::error_code& error);

/// Opens and binds the acceptor and starts to listen. Retries for up to 5 s while the error is a
/// shortage (see `isShortage`), blocking the calling thread, which is acceptable because nothing is served
/// yet.
/// @throws boost::system::system_error if the socket cannot be opened, bound or listened on.
void openListener(boost::asio::ip::tcp::acceptor& acceptor, const boost::asio::ip::tcp::endpoint& at);

/// Makes accept return an error for a connection that was aborted in the accept backlog. By default Asio's
/// accept would block, and with it the event loop, until the next connection arrives.
/// @throws boost::system::system_error if the acceptor is not open.
void reportAbortedConnections(boost::asio::ip::tcp::acceptor& acceptor);

}  // namespace wingslip
