/// HTTP/1.1 client for the coordination store and other gatekeepers. Each call opens a connection of its own;
/// the number of calls, their bytes and their time are limited, and their memory is charged to the account
/// `discovery` of the memory budget.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "net/overload_manager.hpp"

namespace wingslip {

/// Owns its calls. Used from the event loop's thread only; handlers run there too.
class HttpClient {
 public:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;
  using Response = boost::beast::http::response<boost::beast::http::string_body>;
  /// Resource limits of a client.
  struct Limits {
    std::size_t maxCalls = 8;                         ///< concurrent calls; further calls fail
    std::size_t maxBodyBytes = std::size_t{2} << 20;  ///< limit on the body of a response
    std::size_t memoryPerBodyByte = 8;                ///< bytes charged per byte of a response body
  };
  /// Receives the outcome of a call. `response` is null if the call failed; `error` is then the reason as
  /// text, and empty otherwise. The response is valid only during the call of the handler.
  using CallDone = std::function<void(std::uint64_t id, const Response* response, const std::string& error)>;

  HttpClient(boost::asio::io_context& io, const Limits& limits, OverloadManager& overloadManager,
             CallDone callDone);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Starts a call. The `CallDone` handler is invoked exactly once unless the call is cancelled or the client
  /// is destroyed before, and never from within this function.
  /// @param id chosen by the caller; must not be the id of a call in flight
  /// @param timeout limits the time from connecting to the end of the response
  void call(std::uint64_t id, const boost::asio::ip::tcp::endpoint& to, Request&& request,
            std::chrono::steady_clock::duration timeout);
  /// Cancels a call without invoking the handler; no effect for an unknown id.
  void cancel(std::uint64_t id);
  /// @return the number of calls in flight.
  std::size_t callsInFlight() const { return calls_.size(); }

 private:
  class Call;
  boost::asio::io_context& io_;
  const Limits limits_;
  OverloadManager& overloadManager_;
  const CallDone callDone_;
  std::unordered_map<std::uint64_t, std::shared_ptr<Call>> calls_;
};

}  // namespace wingslip
