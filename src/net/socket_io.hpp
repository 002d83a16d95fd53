/// Reads and writes on non-blocking sockets that cope with what Linux documents: a call may be interrupted,
/// may transfer only a part although more would fit, and may find no kernel memory for a moment. None of
/// these means that the connection is broken.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <utility>

namespace wingslip {

/// Whether the same call may succeed later on the same connection: interrupted, would block, or no kernel
/// memory (recv(2), send(2)).
inline bool isTransient(const boost::system::error_code& error) {
  namespace errors = boost::asio::error;
  return error == errors::interrupted || error == errors::would_block || error == errors::try_again ||
         error == errors::no_buffer_space || error == errors::no_memory;
}

namespace detail {

/// Makes the call until it is not interrupted; every other transient error becomes `would_block`.
template <class Call>
std::size_t uninterrupted(boost::system::error_code& error, Call call) {
  std::size_t bytes = 0;
  do {
    bytes = call();
  } while (error == boost::asio::error::interrupted);
  if (isTransient(error)) error = boost::asio::error::would_block;
  return error ? 0 : bytes;
}

}  // namespace detail

/// Reads what is there. `would_block`: nothing can be read now. The socket is non-blocking.
template <class Buffers>
std::size_t readSome(boost::asio::ip::tcp::socket& socket, const Buffers& to,
                     boost::system::error_code& error) {
  return detail::uninterrupted(error, [&] { return socket.read_some(to, error); });
}

/// Writes as much as the socket takes, in as many calls as that needs: a short write alone does not say that
/// the socket's buffer is full. `would_block`: the rest has to wait until the socket can be written to.
inline std::size_t writeSome(boost::asio::ip::tcp::socket& socket, boost::asio::const_buffer from,
                             boost::system::error_code& error) {
  std::size_t written = 0;
  error = {};
  while (!error && written < from.size())
    written += detail::uninterrupted(error, [&] { return socket.write_some(from + written, error); });
  return written;
}

/// The state of a connection as seen without reading from it.
enum class PeerState {
  quiet,    ///< open, and nothing has come
  hasSent,  ///< bytes wait to be read
  ended,    ///< closed, reset or broken
};

/// Peeks at the socket. Where the system cannot tell, the connection counts as open.
inline PeerState peerState(boost::asio::ip::tcp::socket& socket) {
  char byte;
  boost::system::error_code error;
  const std::size_t bytes = detail::uninterrupted(error, [&] {
    return socket.receive(boost::asio::buffer(&byte, 1), boost::asio::ip::tcp::socket::message_peek, error);
  });
  if (error == boost::asio::error::would_block) return PeerState::quiet;
  if (error || bytes == 0) return PeerState::ended;
  return PeerState::hasSent;
}

/// Writes all of `left`, which has to outlive the operation, and calls `done(error)` from a handler of its
/// own. Before each further write `wanted()` is asked; false ends the operation without a call. Asio's own
/// composed write waits for writability after a short write, an event that a buffer with space never raises.
template <class Wanted, class Done>
void asyncWriteAll(boost::asio::ip::tcp::socket& socket, boost::asio::const_buffer left, Wanted wanted,
                   Done done) {
  boost::system::error_code error;
  if (!socket.non_blocking()) socket.non_blocking(true, error);
  if (!error) left += writeSome(socket, left, error);
  if (error == boost::asio::error::would_block)
    return socket.async_wait(boost::asio::ip::tcp::socket::wait_write,
                             [&socket, left, wanted = std::move(wanted),
                              done = std::move(done)](const boost::system::error_code& waited) mutable {
                               if (!wanted()) return;
                               if (waited) return done(waited);
                               asyncWriteAll(socket, left, std::move(wanted), std::move(done));
                             });
  boost::asio::post(socket.get_executor(),
                    [wanted = std::move(wanted), done = std::move(done), error]() mutable {
                      if (wanted()) done(error);
                    });
}

}  // namespace wingslip
