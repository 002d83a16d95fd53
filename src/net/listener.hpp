/// Opening a listening socket at the process's start.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>

namespace wingslip {

/// Whether a call failed for want of something that this machine has to have free again first: descriptors of
/// the process or of the machine, memory in the kernel.
bool isShortage(const boost::system::error_code& error);

/// Opens, binds and listens. A shortage of the moment is waited out for up to 5 s, in the calling thread:
/// nothing is served yet. Throws boost::system::system_error.
void openListener(boost::asio::ip::tcp::acceptor& acceptor, const boost::asio::ip::tcp::endpoint& at);

/// What every listener of the process has: Asio's accept would else wait for the next connection, and with it
/// the loop, after one that was aborted in the queue.
void tellOfAbortedConnections(boost::asio::ip::tcp::acceptor& acceptor);

}  // namespace wingslip
