/// Implementation of the loopback listeners.
#include "loopback_listener.hpp"

namespace wingslip::lab {

tcp::acceptor listenAt(asio::io_context& io, unsigned short port) {
  tcp::acceptor acceptor(io);
  const tcp::endpoint at(asio::ip::address_v4::loopback(), port);
  acceptor.open(at.protocol());
  acceptor.set_option(asio::socket_base::reuse_address(true));
  acceptor.bind(at);
  acceptor.listen();
  return acceptor;
}

void reset(tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace wingslip::lab
