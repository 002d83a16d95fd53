/// Request handling of the stand-in worker.
#include "stand_in_worker.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <cmath>

namespace wingslip::lab {
namespace beast = boost::beast;
namespace http = beast::http;
using Error = boost::system::error_code;

namespace {

constexpr double kSecondAnswerDelayMs = 2;  // after the first answer
constexpr double kMaxIdleMs = 400;          // longest time between an answer and the close of the connection

// Parses a hexadecimal request id; 0 if the text is not one.
std::uint64_t hexId(std::string_view text) {
  std::uint64_t id = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), id, 16);
  return error == std::errc() && end == text.data() + text.size() ? id : 0;
}

}  // namespace

// A client connection of the worker; serves its requests one after the other.
class WorkerSession : public std::enable_shared_from_this<WorkerSession> {
 public:
  WorkerSession(Worker& worker, std::shared_ptr<tcp::socket> socket)
      : worker_(worker), socket_(std::move(socket)), timer_(worker_.io_) {}

  void read() {
    request_ = {};
    http::async_read(*socket_, buffer_, request_,
                     [self = shared_from_this()](const Error& error, std::size_t) {
                       if (error) return self->end();
                       self->serve();
                     });
  }

 private:
  void end() { worker_.open_.erase(socket_); }

  void serve() {
    const auto idHeader = request_.find("Req-Id");
    if (idHeader == request_.end()) return answer(http::status::not_found, "no id\n", false);
    const std::string idText(idHeader->value());
    const std::uint64_t id = hexId(idText);
    Error error;
    const tcp::endpoint from = socket_->remote_endpoint(error);
    const auto link = error ? worker_.links_.end() : worker_.links_.find({worker_.port_, from.port()});
    const int gatekeeper = link == worker_.links_.end() ? -1 : link->second;
    const std::string body = "lab worker " + std::to_string(worker_.index_) + " answers " + idText + "\n";
    worker_.verifier_.attemptReceived(id, worker_.index_, gatekeeper, worker_.nowMs_(), body);
    if (worker_.mode.silent) return;  // the connection stays open without an answer
    if (worker_.mode.draining || worker_.inFlight >= worker_.scenario_.workerInFlight)
      return answer(http::status::service_unavailable, "declined\n", true);
    const MisbehavingWorkers& misbehaviour = worker_.scenario_.misbehavingWorkers;
    if (worker_.drawFault(misbehaviour.hang)) return;
    if (worker_.drawFault(misbehaviour.reset)) return reset(*socket_), end();
    ++worker_.inFlight;
    std::lognormal_distribution<double> service(std::log(std::max(worker_.scenario_.serviceMs, 0.01)),
                                                worker_.scenario_.spread);
    double ms = service(worker_.random_);
    if (worker_.scenario_.coldS > 0) {
      const double age = (worker_.nowMs_() - worker_.startedMs_) / 1000;
      ms *= 1 + 3 * std::max(0.0, 1 - age / worker_.scenario_.coldS);
    }
    timer_.expires_after(std::chrono::microseconds(static_cast<long>(ms * 1000)));
    timer_.async_wait([self = shared_from_this(), body](const Error& e) {
      --self->worker_.inFlight;
      if (e) return self->end();
      self->answerWithFaults(body);
    });
  }

  void answerWithFaults(const std::string& body) {
    const MisbehavingWorkers& misbehaviour = worker_.scenario_.misbehavingWorkers;
    if (worker_.drawFault(misbehaviour.error))
      return answer(http::status::internal_server_error, "error\n", false);
    if (worker_.drawFault(misbehaviour.broken))
      return writeAndClose("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                               body.substr(0, body.size() / 2),
                           true);
    if (worker_.drawFault(misbehaviour.unframed))
      return writeAndClose("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body, false);
    if (worker_.drawFault(misbehaviour.twice)) writeSecondAnswer(body);
    answer(http::status::ok, body, false);
    if (worker_.drawFault(misbehaviour.closes)) closeLater();
  }

  // Writes the text, then closes the connection, by a reset if `byReset`.
  void writeAndClose(std::string text, bool byReset) {
    auto out = std::make_shared<std::string>(std::move(text));
    asio::async_write(*socket_, asio::buffer(*out),
                      [self = shared_from_this(), out, byReset](const Error&, std::size_t) {
                        Error ignored;
                        if (byReset)
                          reset(*self->socket_);
                        else
                          self->socket_->close(ignored);
                        self->end();
                      });
  }

  // Sends a second copy of the answer after the first one; the peer has no request for it.
  void writeSecondAnswer(const std::string& body) {
    auto text = std::make_shared<std::string>(
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    runLater(kSecondAnswerDelayMs, [self = shared_from_this(), text] {
      asio::async_write(*self->socket_, asio::buffer(*text), [self, text](const Error&, std::size_t) {});
    });
  }

  void closeLater() {
    runLater(std::uniform_real_distribution<>(0, kMaxIdleMs)(worker_.random_), [self = shared_from_this()] {
      Error ignored;
      self->socket_->shutdown(tcp::socket::shutdown_send, ignored);
    });
  }

  template <class Then>
  void runLater(double ms, Then then) {
    auto timer = std::make_shared<asio::steady_timer>(worker_.io_);
    timer->expires_after(std::chrono::microseconds(static_cast<long>(ms * 1000)));
    timer->async_wait([timer, then](const Error& error) {
      if (!error) then();
    });
  }

  void answer(http::status status, const std::string& body, bool declined) {
    auto reply = std::make_shared<http::response<http::string_body>>(status, 11);
    reply->set("Srv-Load", "inflight=" + std::to_string(worker_.inFlight) + ",queue=0,util=" +
                               std::to_string(std::min(
                                   1.0, worker_.inFlight / double(worker_.scenario_.workerInFlight))));
    if (declined) reply->set("Srv-Declined", "1");
    reply->body() = body;
    reply->prepare_payload();
    reply->keep_alive(true);
    http::async_write(*socket_, *reply, [self = shared_from_this(), reply](const Error& error, std::size_t) {
      if (error) return self->end();
      self->read();
    });
  }

  Worker& worker_;
  std::shared_ptr<tcp::socket> socket_;
  asio::steady_timer timer_;
  beast::flat_buffer buffer_;
  http::request<http::string_body> request_;
};

Worker::Worker(asio::io_context& io, int index, const Scenario& scenario, RunVerifier& verifier,
               const LinkOrigins& links, std::function<double()> nowMs, std::uint64_t seed)
    : io_(io),
      index_(index),
      scenario_(scenario),
      verifier_(verifier),
      links_(links),
      nowMs_(std::move(nowMs)),
      random_(seed) {
  acceptor_ = std::make_unique<tcp::acceptor>(listenAt(io));
  port_ = acceptor_->local_endpoint().port();
  startedMs_ = -1e9;  // far in the past: the worker is warm at first
  accept();
}

void Worker::accept() {
  auto socket = std::make_shared<tcp::socket>(io_);
  acceptor_->async_accept(*socket, [this, socket, acceptor = acceptor_.get()](const Error& error) {
    if (error || acceptor != acceptor_.get()) return;
    ++accepted_;
    // Without TCP_NODELAY, small writes would wait for the proxy's delayed acknowledgement, in addition to
    // the link's delay.
    Error ignored;
    socket->set_option(tcp::no_delay(true), ignored);
    open_.insert(socket);
    std::make_shared<WorkerSession>(*this, socket)->read();
    accept();
  });
}

bool Worker::drawFault(double share) {
  return share > 0 && std::uniform_real_distribution<>()(random_) < share;
}

void Worker::restart() {
  acceptor_->close();
  for (const auto& socket : std::set(open_)) reset(*socket);
  open_.clear();
  mode = {};
  startedMs_ = nowMs_();
  acceptor_ = std::make_unique<tcp::acceptor>(listenAt(io_, port_));
  accept();
}

}  // namespace wingslip::lab
