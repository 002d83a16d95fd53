/// An inbound connection of another gatekeeper: one HTTP request with a message, and its response.
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

constexpr const char* kRequestPath = "/replica";
constexpr std::size_t kMemoryPerMessageByte = 8;  // charged while a message is parsed

/// Held by shared_ptr; on the loop's thread. Ends by itself, after `kTimeout` at the latest.
class ReplicaConnection : public GuardedConnection<ReplicaConnection> {
 public:
  /// Outlives the connection unless it calls `close` before.
  class Owner {
   public:
    virtual ~Owner() = default;
    /// Returns the encoded response; nothing where the message is rejected.
    /// @throws std::runtime_error where the body is no message.
    virtual std::optional<std::string> onRequestBody(const std::string& body) = 0;
    virtual void onMalformedRequest(const std::string& reason) = 0;
    virtual void onConnectionEnded(const std::shared_ptr<ReplicaConnection>& connection) = 0;
  };

  ReplicaConnection(Owner& owner, asio::ip::tcp::socket socket, MemoryBudget& memory,
                    TransportCounts& counts);

  /// False: no memory is left for it, and it is to be dropped.
  [[nodiscard]] bool start();
  /// Ends it without telling the owner.
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
  asio::steady_timer timeout_;
  beast::flat_buffer in_;
  http::request_parser<http::string_body> parser_;
  std::string out_;
};

}  // namespace wingslip::replication
