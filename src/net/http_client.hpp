/// HTTP/1.1 calls to the coordination store and to other gatekeepers: one connection a call, limited in
/// number, bytes and time, and charged to the memory budget.
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

/// Owns its calls. Everything runs on the one event loop.
class HttpClient {
 public:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;
  using Response = boost::beast::http::response<boost::beast::http::string_body>;
  struct Limits {
    std::size_t maxCalls = 8;                         ///< at once; more fail
    std::size_t maxBodyBytes = std::size_t{2} << 20;  ///< of a response
    std::size_t memoryPerBodyByte = 8;                ///< bytes that a response takes while it is read
  };
  /// `response` is null where there is none, and `error` then says why in a few words.
  using CallDone = std::function<void(std::uint64_t id, const Response* response, const std::string& error)>;

  HttpClient(boost::asio::io_context& io, const Limits& limits, OverloadManager& overload, CallDone callDone);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// `CallDone` is called once, from a handler of its own. `id` is chosen by the caller and not in use.
  void call(std::uint64_t id, const boost::asio::ip::tcp::endpoint& to, Request&& request,
            std::chrono::steady_clock::duration timeout);
  /// Ends the call; `CallDone` is not called for it.
  void drop(std::uint64_t id);
  std::size_t out() const { return calls_.size(); }

 private:
  class Exchange;
  boost::asio::io_context& io_;
  const Limits limits_;
  OverloadManager& overload_;
  const CallDone callDone_;
  std::unordered_map<std::uint64_t, std::shared_ptr<Exchange>> calls_;
};

}  // namespace wingslip
