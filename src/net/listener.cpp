// Implementation of the listening socket set-up.
#include "net/listener.hpp"

#include <boost/asio/error.hpp>
#include <boost/system/system_error.hpp>
#include <chrono>
#include <thread>

namespace wingslip {
namespace {

namespace errors = boost::asio::error;
using boost::asio::ip::tcp;
using Error = boost::system::error_code;
using Clock = std::chrono::steady_clock;

constexpr auto kListenTimeout = std::chrono::seconds(5);
constexpr auto kListenRetryDelay = std::chrono::milliseconds(50);

Error tryToListen(tcp::acceptor& acceptor, const tcp::endpoint& at) {
  Error error;
  acceptor.open(at.protocol(), error);
  if (!error) acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor.bind(at, error);
  if (!error) acceptor.listen(tcp::acceptor::max_listen_connections, error);
  if (!error) return error;
  Error ignored;
  acceptor.close(ignored);
  return error;
}

}  // namespace

bool isShortage(const Error& error) {
  return error == errors::no_descriptors || error == errors::no_buffer_space || error == errors::no_memory ||
         error == boost::system::errc::too_many_files_open_in_system;
}

void openListener(tcp::acceptor& acceptor, const tcp::endpoint& at) {
  const auto deadline = Clock::now() + kListenTimeout;
  Error error = tryToListen(acceptor, at);
  while (isShortage(error) && Clock::now() < deadline) {
    std::this_thread::sleep_for(kListenRetryDelay);
    error = tryToListen(acceptor, at);
  }
  if (error) throw boost::system::system_error(error);
  reportAbortedConnections(acceptor);
}

void reportAbortedConnections(tcp::acceptor& acceptor) {
  acceptor.set_option(tcp::acceptor::enable_connection_aborted(true));
}

}  // namespace wingslip
