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

constexpr std::size_t kCallBytes = 8 * 1024;  // of memory that a call holds besides its response body

}  // namespace

// One call: connects, writes, reads the whole response, closes.
class HttpClient::Exchange : public GuardedConnection<Exchange> {
 public:
  Exchange(HttpClient& client, std::uint64_t id, const tcp::endpoint& to, Request&& request)
      : client_(client),
        id_(id),
        to_(to),
        memory_(client.overload_.memory().open(Account::discovery)),
        socket_(client.io_),
        timer_(client.io_) {
    request.set(http::field::connection, "close");
    append(out_, request);
    parser_.body_limit(client.limits_.maxBodyBytes);
    parser_.header_limit(kMaxHeaderBytes);
  }

  void start(std::chrono::steady_clock::duration timeout) {
    if (!memory_.resize(kCallBytes + out_.size())) return failLater("no memory for a call");
    timer_.expires_after(timeout);
    timer_.async_wait(guard([this](const Error& error, std::size_t) {
      if (!error) end(nullptr, "no answer in time");
    }));
    socket_.async_connect(to_, guard([this](const Error& error, std::size_t) {
                            if (error) return end(nullptr, "cannot connect");
                            write();
                          }));
  }

  // Fails from a handler of its own, never from within the caller's call.
  void failLater(const char* why) {
    asio::post(client_.io_, [self = shared_from_this(), why] {
      if (!self->ended()) self->end(nullptr, why);
    });
  }

  void abandon() {
    markEnded();
    timer_.cancel();
    Error ignored;
    socket_.close(ignored);
    memory_.release();
  }

 private:
  void write() {
    asyncWriteAll(
        socket_, asio::buffer(out_), [self = shared_from_this()] { return !self->ended(); },
        [self = shared_from_this(), this](const Error& error) {
          if (error) return end(nullptr, "broken");
          read();
        });
  }

  void read() {
    http::async_read_some(
        socket_, in_, parser_, guard([this](const Error& error, std::size_t) {
          if (isTransient(error)) return read();
          if (error) return end(nullptr, error == http::error::body_limit ? "too long an answer" : "broken");
          if (parser_.is_done()) return end(&parser_.get(), "");
          if (!memory_.resize(kCallBytes + out_.size() +
                              parser_.get().body().size() * client_.limits_.memoryPerBodyByte))
            return end(nullptr, "no memory for an answer");
          read();
        }));
  }

  void end(const Response* response, const std::string& error) {
    const auto self = shared_from_this();
    abandon();
    client_.calls_.erase(id_);
    client_.callDone_(id_, response, error);
  }

  HttpClient& client_;
  const std::uint64_t id_;
  const tcp::endpoint to_;
  MemoryBudget::Charge memory_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  std::string out_;
  beast::flat_buffer in_;
  http::response_parser<http::string_body> parser_;
};

HttpClient::HttpClient(asio::io_context& io, const Limits& limits, OverloadManager& overload,
                       CallDone callDone)
    : io_(io), limits_(limits), overload_(overload), callDone_(std::move(callDone)) {}

HttpClient::~HttpClient() {
  for (const auto& [id, call] : calls_) call->abandon();
}

void HttpClient::call(std::uint64_t id, const tcp::endpoint& to, Request&& request,
                      std::chrono::steady_clock::duration timeout) {
  const auto call = std::make_shared<Exchange>(*this, id, to, std::move(request));
  const bool full = calls_.size() >= limits_.maxCalls;
  calls_[id] = call;
  if (full)
    call->failLater("too many calls at once");
  else
    call->start(timeout);
}

void HttpClient::drop(std::uint64_t id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  found->second->abandon();
  calls_.erase(found);
}

}  // namespace wingslip
