// Implementation of the HTTP client.
#include "net/http_client.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility>

#include "net/guarded_connection.hpp"
#include "net/http.hpp"
#include "net/socket_io.hpp"

namespace wingslip {
namespace {

using asio::ip::tcp;

constexpr std::size_t kCallBytes = 8 * 1024;  // memory of a call without its request and its response body

}  // namespace

// A call: connects, writes the request, reads the complete response and closes the connection.
class HttpClient::Call : public GuardedConnection<Call> {
 public:
  Call(HttpClient& client, std::uint64_t id, const tcp::endpoint& to, Request&& request)
      : client_(client),
        id_(id),
        to_(to),
        memory_(client.overloadManager_.memory().open(Account::discovery)),
        socket_(client.io_),
        timer_(client.io_) {
    request.set(http::field::connection, "close");
    append(requestText_, request);
    parser_.body_limit(client.limits_.maxBodyBytes);
    parser_.header_limit(kMaxHeaderBytes);
  }

  void start(std::chrono::steady_clock::duration timeout) {
    if (!memory_.resize(kCallBytes + requestText_.size())) return failLater("no memory for the request");
    timer_.expires_after(timeout);
    timer_.async_wait(guard([this](const Error& error, std::size_t) {
      if (!error) complete(nullptr, "no answer in time");
    }));
    socket_.async_connect(to_, guard([this](const Error& error, std::size_t) {
                            if (error) return complete(nullptr, "cannot connect");
                            write();
                          }));
  }

  // Reports the failure from a posted handler, never from within `HttpClient::call`.
  void failLater(const char* reason) {
    asio::post(client_.io_, [self = shared_from_this(), reason] {
      if (!self->ended()) self->complete(nullptr, reason);
    });
  }

  void closeConnection() {
    markEnded();
    timer_.cancel();
    Error ignored;
    socket_.close(ignored);
    memory_.release();
  }

 private:
  void write() {
    asyncWriteAll(
        socket_, asio::buffer(requestText_), [self = shared_from_this()] { return !self->ended(); },
        [self = shared_from_this(), this](const Error& error) {
          if (error) return complete(nullptr, "broken");
          read();
        });
  }

  void read() {
    http::async_read_some(
        socket_, readBuffer_, parser_, guard([this](const Error& error, std::size_t) {
          if (isTransient(error)) return read();
          if (error)
            return complete(nullptr, error == http::error::body_limit ? "too long an answer" : "broken");
          if (parser_.is_header_done() && checkFraming(parser_.get().version(), parser_.get().base()))
            return complete(nullptr, "broken");
          if (parser_.is_done()) return complete(&parser_.get(), "");
          if (!memory_.resize(kCallBytes + requestText_.size() +
                              parser_.get().body().size() * client_.limits_.memoryPerBodyByte))
            return complete(nullptr, "no memory for the response");
          read();
        }));
  }

  void complete(const Response* response, const std::string& error) {
    const auto self = shared_from_this();
    closeConnection();
    client_.calls_.erase(id_);
    client_.callDone_(id_, response, error);
  }

  HttpClient& client_;
  const std::uint64_t id_;
  const tcp::endpoint to_;
  MemoryBudget::Charge memory_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  std::string requestText_;
  beast::flat_buffer readBuffer_;
  http::response_parser<http::string_body> parser_;
};

HttpClient::HttpClient(asio::io_context& io, const Limits& limits, OverloadManager& overloadManager,
                       CallDone callDone)
    : io_(io), limits_(limits), overloadManager_(overloadManager), callDone_(std::move(callDone)) {}

HttpClient::~HttpClient() {
  for (const auto& [id, call] : calls_) call->closeConnection();
}

void HttpClient::call(std::uint64_t id, const tcp::endpoint& to, Request&& request,
                      std::chrono::steady_clock::duration timeout) {
  const auto newCall = std::make_shared<Call>(*this, id, to, std::move(request));
  const bool limitReached = calls_.size() >= limits_.maxCalls;
  calls_[id] = newCall;
  if (limitReached)
    newCall->failLater("too many concurrent calls");
  else
    newCall->start(timeout);
}

void HttpClient::cancel(std::uint64_t id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  found->second->closeConnection();
  calls_.erase(found);
}

}  // namespace wingslip
