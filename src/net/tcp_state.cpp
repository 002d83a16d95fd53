// Implementation of the TCP state queries with TCP_INFO, SIOCOUTQ and poll.
#include "net/tcp_state.hpp"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <cerrno>

namespace wingslip {
namespace {

using boost::asio::ip::tcp;

// Fills `info`. Returns false unless the kernel provides at least its first `minSize` bytes.
bool readTcpInfo(int descriptor, tcp_info& info, std::size_t minSize) {
  socklen_t size = sizeof info;
  return getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 && size >= minSize;
}

bool readTcpState(int descriptor, tcp_info& info) {
  return readTcpInfo(descriptor, info, sizeof info.tcpi_state);
}

}  // namespace

bool hasPeerClosed(tcp::socket& socket) {
  tcp_info info{};
  return socket.is_open() && readTcpState(socket.native_handle(), info) && info.tcpi_state != TCP_ESTABLISHED;
}

bool hasPeerFinishedSending(tcp::socket& socket) {
  pollfd pollDescriptor{socket.native_handle(), POLLRDHUP, 0};
  int readyCount = 0;
  do {
    readyCount = poll(&pollDescriptor, 1, 0);
  } while (readyCount < 0 && errno == EINTR);
  return readyCount == 1 && (pollDescriptor.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

std::chrono::milliseconds timeSinceLastData(tcp::socket& socket) {
  tcp_info info{};
  constexpr std::size_t kMinInfoSize =
      offsetof(tcp_info, tcpi_last_data_recv) + sizeof info.tcpi_last_data_recv;
  if (!socket.is_open() || !readTcpInfo(socket.native_handle(), info, kMinInfoSize))
    return std::chrono::milliseconds(0);
  return std::chrono::milliseconds(info.tcpi_last_data_recv);
}

std::size_t unacknowledgedBytes(tcp::socket& socket) {
  int bytes = 0;
  const bool known = socket.is_open() && ioctl(socket.native_handle(), SIOCOUTQ, &bytes) == 0;
  return known && bytes > 0 ? static_cast<std::size_t>(bytes) : 0;
}

std::size_t acceptBacklogLength(tcp::acceptor& acceptor) {
  tcp_info info{};
  const bool hasInfo = acceptor.is_open() && readTcpState(acceptor.native_handle(), info);
  return hasInfo && info.tcpi_state == TCP_LISTEN ? info.tcpi_unacked : 0;
}

}  // namespace wingslip
