/// Opening a listening socket at the process's start.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>

namespace wingslip {

/// Whether a call failed for want of descriptors (of the process or the machine) or of kernel memory, so that
/// it may succeed later.
bool isShortage(const boost::system::error_code& error);

/// Opens, binds and listens. Retries for up to 5 s where `isShortage`, blocking the calling thread: nothing
/// is served yet. Throws boost::system::system_error.
void openListener(boost::asio::ip::tcp::acceptor& acceptor, const boost::asio::ip::tcp::endpoint& at);

/// Makes accept return an error for a connection that was aborted in the queue. Without it Asio's accept, and
/// with it the event loop, would block until the next connection comes.
void reportAbortedConnections(boost::asio::ip::tcp::acceptor& acceptor);

}  // namespace wingslip
