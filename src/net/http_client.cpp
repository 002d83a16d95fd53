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

constexpr std::size_t kCall = 8 * 1024;  // what a call holds besides its answer's body

}  // namespace

// One call: connect, write, read the whole answer, close.
class HttpClient::Exchange : public GuardedConnection<Exchange> {
 public:
  Exchange(HttpClient& calls, std::uint64_t id, const tcp::endpoint& to, Request&& request)
      : calls_(calls),
        id_(id),
        to_(to),
        room_(calls.pressure_.memory().open(Account::discovery)),
        socket_(calls.io_),
        timer_(calls.io_) {
    request.set(http::field::connection, "close");
    append(out_, request);
    parser_.body_limit(calls.limits_.body);
    parser_.header_limit(kMostHeader);
  }

  void start(std::chrono::steady_clock::duration within) {
    if (!room_.resize(kCall + out_.size())) return later("no memory for a call");
    timer_.expires_after(within);
    timer_.async_wait(guard([this](const Error& error, std::size_t) {
      if (!error) end(nullptr, "no answer in time");
    }));
    socket_.async_connect(to_, guard([this](const Error& error, std::size_t) {
                            if (error) return end(nullptr, "cannot connect");
                            write();
                          }));
  }

  // Ends as failed, by a handler of its own.
  void later(const char* why) {
    asio::post(calls_.io_, [self = shared_from_this(), why] {
      if (!self->ended()) self->end(nullptr, why);
    });
  }

  void abandon() {
    markEnded();
    timer_.cancel();
    Error ignored;
    socket_.close(ignored);
    room_.release();
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
          if (!room_.resize(kCall + out_.size() + parser_.get().body().size() * calls_.limits_.parsed))
            return end(nullptr, "no memory for an answer");
          read();
        }));
  }

  void end(const Response* response, const std::string& error) {
    const auto self = shared_from_this();
    abandon();
    calls_.calls_.erase(id_);
    calls_.ended_(id_, response, error);
  }

  HttpClient& calls_;
  const std::uint64_t id_;
  const tcp::endpoint to_;
  MemoryBudget::Charge room_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  std::string out_;
  beast::flat_buffer in_;
  http::response_parser<http::string_body> parser_;
};

HttpClient::HttpClient(asio::io_context& io, const Limits& limits, OverloadManager& pressure, Ended ended)
    : io_(io), limits_(limits), pressure_(pressure), ended_(std::move(ended)) {}

HttpClient::~HttpClient() {
  for (const auto& [id, call] : calls_) call->abandon();
}

void HttpClient::call(std::uint64_t id, const tcp::endpoint& to, Request&& request,
                      std::chrono::steady_clock::duration within) {
  const auto call = std::make_shared<Exchange>(*this, id, to, std::move(request));
  const bool full = calls_.size() >= limits_.calls;
  calls_[id] = call;
  if (full)
    call->later("too many calls at once");
  else
    call->start(within);
}

void HttpClient::drop(std::uint64_t id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  found->second->abandon();
  calls_.erase(found);
}

}  // namespace wingslip
