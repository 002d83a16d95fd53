/// Reads and writes on non-blocking sockets that handle the temporary failures documented for Linux: a call
/// may be interrupted, may transfer fewer bytes than would fit, and may fail temporarily for lack of kernel
/// memory. None of these is an error of the connection.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <utility>

namespace wingslip {

/// @return whether the same call may succeed later on the same connection, because it was interrupted, would
/// block or found no kernel memory (see recv(2) and send(2)).
inline bool isTransient(const boost::system::error_code& error) {
  namespace errors = boost::asio::error;
  return error == errors::interrupted || error == errors::would_block || error == errors::try_again ||
         error == errors::no_buffer_space || error == errors::no_memory;
}

namespace detail {

/// Repeats `call` as long as a signal interrupts it, and maps every other transient error to `would_block`.
/// @return the bytes transferred, or 0 on an error
template <class Call>
std::size_t retryOnInterrupt(boost::system::error_code& error, Call call) {
  std::size_t bytes = 0;
  do {
    bytes = call();
  } while (error == boost::asio::error::interrupted);
  if (isTransient(error)) error = boost::asio::error::would_block;
  return error ? 0 : bytes;
}

}  // namespace detail

/// Reads the available bytes from a non-blocking socket. Sets `error` to `would_block` if none are available.
/// @return the number of bytes read
template <class Buffers>
std::size_t readSome(boost::asio::ip::tcp::socket& socket, const Buffers& to,
                     boost::system::error_code& error) {
  return detail::retryOnInterrupt(error, [&] { return socket.read_some(to, error); });
}

/// Writes as many bytes as the non-blocking socket accepts, in several calls if needed: a short write alone
/// does not mean that the socket's send buffer is full. Sets `error` to `would_block` if the remaining bytes
/// have to wait until the socket is writable.
/// @return the number of bytes written
inline std::size_t writeSome(boost::asio::ip::tcp::socket& socket, boost::asio::const_buffer from,
                             boost::system::error_code& error) {
  std::size_t written = 0;
  error = {};
  while (!error && written < from.size())
    written += detail::retryOnInterrupt(error, [&] { return socket.write_some(from + written, error); });
  return written;
}

/// The state of a connection, determined without consuming received bytes.
enum class PeerState {
  idle,           ///< open, without received bytes
  dataAvailable,  ///< received bytes are available
  closed,         ///< closed, reset or failed
};

/// Peeks at a non-blocking socket. A connection counts as open if the state cannot be determined now.
inline PeerState peerState(boost::asio::ip::tcp::socket& socket) {
  char byte;
  boost::system::error_code error;
  const std::size_t bytes = detail::retryOnInterrupt(error, [&] {
    return socket.receive(boost::asio::buffer(&byte, 1), boost::asio::ip::tcp::socket::message_peek, error);
  });
  if (error == boost::asio::error::would_block) return PeerState::idle;
  if (error || bytes == 0) return PeerState::closed;
  return PeerState::dataAvailable;
}

/// Writes all bytes of `remaining`, which must outlive the operation, and then calls `handler(error)`, never
/// from within this function. `isActive()` is called before each further write and before the handler; if it
/// returns false, the operation ends without calling the handler. Asio's composed write is not used because
/// it waits for writability after a short write, an event that is not raised while the send buffer has space.
template <class IsActive, class Handler>
void asyncWriteAll(boost::asio::ip::tcp::socket& socket, boost::asio::const_buffer remaining,
                   IsActive isActive, Handler handler) {
  boost::system::error_code error;
  if (!socket.non_blocking()) socket.non_blocking(true, error);
  if (!error) remaining += writeSome(socket, remaining, error);
  if (error == boost::asio::error::would_block)
    return socket.async_wait(
        boost::asio::ip::tcp::socket::wait_write,
        [&socket, remaining, isActive = std::move(isActive),
         handler = std::move(handler)](const boost::system::error_code& waitError) mutable {
          if (!isActive()) return;
          if (waitError) return handler(waitError);
          asyncWriteAll(socket, remaining, std::move(isActive), std::move(handler));
        });
  boost::asio::post(socket.get_executor(),
                    [isActive = std::move(isActive), handler = std::move(handler), error]() mutable {
                      if (isActive()) handler(error);
                    });
}

}  // namespace wingslip
