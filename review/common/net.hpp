/// Blocking sockets on loopback addresses, HTTP/1.1 messages on them, and the record of a run. Shared by the
/// stand-ins of all cases.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace review {

/// Milliseconds since the start of this process, on the monotonic clock.
double nowMs();
void sleepMs(double ms);
void sleepUntil(double atMs);

/// The lines of record.txt, with their times. Thread-safe.
class Record {
 public:
  explicit Record(const std::string& path);
  void add(const std::string& line);

 private:
  std::mutex mutex_;
  std::string path_;
};

/// A socket that is closed on destruction.
class Socket {
 public:
  Socket() = default;
  explicit Socket(int number) : number_(number) {}
  Socket(Socket&& other) noexcept : number_(other.release()) {}
  Socket& operator=(Socket&& other) noexcept;
  ~Socket() { close(); }
  int number() const { return number_; }
  bool isOpen() const { return number_ >= 0; }
  int release();
  void close();
  /// Closes the connection with a reset.
  void reset();

 private:
  int number_ = -1;
};

/// Listens on a free port of 127.0.0.1.
Socket listenOnLoopback(int backlog);
std::uint16_t portOf(const Socket& socket);
/// A port that nobody listens on.
std::uint16_t freePort();
std::string loopbackAddress(std::uint16_t port);
/// @return a closed socket if nobody listens on the port
Socket connectToLoopback(std::uint16_t port);
Socket acceptFrom(const Socket& listener);
/// @return whether all bytes were written to the connection
bool sendAll(const Socket& socket, const std::string& bytes);
/// Bytes that were written to the connection and that the peer's machine has not acknowledged.
int unacknowledgedBytes(const Socket& socket);

/// A request or a response with its whole body.
struct HttpMessage {
  std::string startLine;
  std::map<std::string, std::string> headers;  ///< names in lower case
  std::string body;

  std::string header(const std::string& name) const;
  std::string method() const;
  std::string target() const;
  int status() const;
};

/// Reads messages from one connection, one after the other. Handles Content-Length and chunked bodies.
class HttpReader {
 public:
  explicit HttpReader(const Socket& socket) : socket_(socket) {}
  /// @return nothing if the connection ended, or if no whole message came by `untilMs` (see nowMs)
  std::optional<HttpMessage> read(double untilMs);
  /// Whether bytes of the next message have been read already.
  bool hasBytes() const { return !buffer_.empty(); }
  /// Whether the peer has closed or reset the connection.
  bool ended() const { return ended_; }

 private:
  bool fill(double untilMs);
  std::optional<std::string> takeLine(double untilMs);
  bool takeBytes(std::size_t count, std::string& to, double untilMs);

  const Socket& socket_;
  std::string buffer_;
  bool ended_ = false;
};

std::string responseText(int status, const std::string& reason, const std::string& headers,
                         const std::string& body);

}  // namespace review
