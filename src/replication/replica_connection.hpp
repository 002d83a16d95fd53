/// An inbound connection from another gatekeeper, which serves one HTTP request that carries a message.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <optional>
#include <string>

#include "net/guarded_connection.hpp"
#include "net/http.hpp"
#include "net/overload_manager.hpp"
#include "replication/message.hpp"
#include "replication/transport_counts.hpp"

namespace wingslip::replication {

/// Path of the HTTP POST requests that carry messages.
constexpr const char* kRequestPath = "/replica";
/// Bytes of memory charged per byte of a message, for its parsed form.
constexpr std::size_t kMemoryPerMessageByte = 8;

/// Managed by shared_ptr and used on the event loop's thread. Closes itself after the response, on an error,
/// or when `kConnectionTimeout` expires.
class ReplicaConnection : public GuardedConnection<ReplicaConnection> {
 public:
  /// Receives the events of the connection. Must outlive it, or call `close` before it is destroyed.
  class Owner {
   public:
    virtual ~Owner() = default;
    /// Handles a request. Returns the encoded response, or nullopt if the message is rejected (status 409).
    /// @throws std::runtime_error if the body is not a valid message (status 400).
    virtual std::optional<std::string> onRequestBody(const std::string& body) = 0;
    /// Called if `onRequestBody` threw. `reason` is one line for the log.
    virtual void onMalformedRequest(const std::string& reason) = 0;
    /// Called once the connection has closed itself; not after `close`.
    virtual void onConnectionEnded(const std::shared_ptr<ReplicaConnection>& connection) = 0;
  };

  ReplicaConnection(Owner& owner, asio::ip::tcp::socket socket, MemoryBudget& memory,
                    TransportCounts& counts);

  /// Starts reading. Returns false if the memory budget has no room; the caller must then drop the
  /// connection.
  [[nodiscard]] bool start();
  /// Closes the connection without notifying the owner.
  void close();

 private:
  void read();
  void onRead(const Error& error);
  void serve();
  void reject(http::status status);
  void respond(http::status status, std::string body);
  void end();

  Owner& owner_;
  TransportCounts& counts_;
  MemoryBudget::Charge memory_;
  asio::ip::tcp::socket socket_;
  asio::steady_timer timeoutTimer_;
  beast::flat_buffer readBuffer_;
  http::request_parser<http::string_body> parser_;
  std::string writeBuffer_;
};

}  // namespace wingslip::replication
