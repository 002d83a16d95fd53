// Calls of this program to others over HTTP/1.1 (the coordination store, other gatekeepers): a connection
// each, bounded in number, in bytes and in time, charged to the ledger.
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

class HttpClient {
 public:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;
  using Response = boost::beast::http::response<boost::beast::http::string_body>;
  struct Limits {
    std::size_t calls = 8;  // at once; more fail
    std::size_t body = std::size_t{2} << 20;
    std::size_t parsed = 8;  // bytes that a byte of an answer takes while it is read
  };
  // `response` is null where there is none, and `error` then says why in a few words.
  using Ended = std::function<void(std::uint64_t id, const Response* response, const std::string& error)>;

  HttpClient(boost::asio::io_context& io, const Limits& limits, OverloadManager& pressure, Ended ended);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Ends once, by a handler of its own, never from within. `id` is the caller's, unlike any that is out.
  void call(std::uint64_t id, const boost::asio::ip::tcp::endpoint& to, Request&& request,
            std::chrono::steady_clock::duration within);
  void drop(std::uint64_t id);  // ends the call without a word
  std::size_t out() const { return calls_.size(); }

 private:
  class Exchange;
  boost::asio::io_context& io_;
  const Limits limits_;
  OverloadManager& pressure_;
  const Ended ended_;
  std::unordered_map<std::uint64_t, std::shared_ptr<Exchange>> calls_;
};

}  // namespace wingslip
