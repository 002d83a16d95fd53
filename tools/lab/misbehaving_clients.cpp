#include "misbehaving_clients.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cmath>
#include <deque>
#include <sstream>

#include "client_request.hpp"

namespace wingslip::lab {
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using Error = boost::system::error_code;

namespace {

constexpr double kAnswerGraceMs = 600;  // a client waits for the answer this long after the deadline
/// The gatekeeper must answer a stalled request with an error or close the connection within 3 s; 500 ms are
/// added for scheduling delays on a busy machine.
constexpr double kErrorOrCloseWithinMs = 3000 + 500;
constexpr std::size_t kPipelinedRequests = 3;
constexpr double kSlowPieceIntervalMs = 40;
constexpr std::size_t kSlowWritePieces = 8;
/// After each exchange a client closes its connection with the reciprocal of this as probability.
constexpr double kMeanExchangesPerConnection = 12;

std::string textOf(const HttpRequest& request) {
  std::ostringstream out;
  out << request;
  return out.str();
}

}  // namespace

/// One client, with one connection at a time.
class MisbehavingClients::Client : public std::enable_shared_from_this<Client> {
  /// Wraps a handler so that it runs only if the exchange in progress now has not ended by then.
  template <class Handler>
  auto guard(Handler handler) {
    return [self = shared_from_this(), exchangeNumber = exchangeNumber_, handler](const Error& error,
                                                                                  std::size_t n = 0) {
      if (exchangeNumber == self->exchangeNumber_) handler(error, n);
    };
  }

 public:
  explicit Client(MisbehavingClients& parent)
      : parent_(parent), random_(parent.random_()), socket_(parent.io_), timer_(parent.io_) {}

  void scheduleExchange() {
    wait(std::exponential_distribution<double>(1 / parent_.scenario_.misbehavingLoad.thinkMs)(random_),
         [this] { connected() ? exchange() : connect(); });
  }

  void stop() {
    ++exchangeNumber_;
    timer_.cancel();
    close();
  }

 private:
  enum class Behaviour { plain, disconnect, pipeline, stall, slow, malformed };

  bool loadEnded() const { return parent_.clock_.nowMs() / 1000 >= parent_.scenario_.lengthS; }
  bool connected() const { return socket_.is_open(); }
  double uniform() { return std::uniform_real_distribution<>()(random_); }

  void wait(double ms, std::function<void()> then) {
    timer_.expires_after(std::chrono::microseconds(static_cast<long>(ms * 1000)));
    timer_.async_wait(guard([then = std::move(then)](const Error& error, std::size_t) {
      if (!error) then();
    }));
  }

  void close() {
    Error ignored;
    socket_.close(ignored);
    buffer_.clear();
    answersReceived_ = 0;
  }

  /// Schedules the next exchange, on this connection or a new one.
  void finishExchange() {
    ++exchangeNumber_;
    if (uniform() * kMeanExchangesPerConnection < 1) close();
    scheduleExchange();
  }

  void endConnection() {
    ++exchangeNumber_;
    close();
    scheduleExchange();
  }

  void connect() {
    if (loadEnded()) return;
    std::vector<int> candidates;
    for (const Gatekeeper& gatekeeper : parent_.gatekeepers_)
      if (gatekeeper.inRotation) candidates.push_back(gatekeeper.index);
    if (candidates.empty()) return scheduleExchange();
    gatekeeper_ = candidates[random_() % candidates.size()];
    socket_.async_connect(
        tcp::endpoint(asio::ip::address_v4::loopback(), parent_.gatekeepers_[gatekeeper_].port),
        guard([this](const Error& error, std::size_t) {
          if (error) return endConnection();
          socket_.set_option(tcp::no_delay(true));
          exchange();
        }));
  }

  Behaviour chooseBehaviour() {
    const MisbehavingLoad& load = parent_.scenario_.misbehavingLoad;
    double drawn = uniform();
    for (const auto& [behaviour, share] :
         {std::pair{Behaviour::disconnect, load.leave}, std::pair{Behaviour::pipeline, load.pipeline},
          std::pair{Behaviour::stall, load.stop}, std::pair{Behaviour::slow, load.slow},
          std::pair{Behaviour::malformed, load.malformed}})
      if ((drawn -= share) < 0) return behaviour;
    return Behaviour::plain;
  }

  std::string newRequest() {
    const std::uint64_t id = random_() >> 1 | 1;
    const bool edit = uniform() < parent_.scenario_.editShare;
    pending_.push_back(id);
    return textOf(makeRequest(parent_.scenario_, id,
                              1 + static_cast<int>(random_() % parent_.scenario_.customers), edit));
  }

  /// Records all pending requests as sent now.
  void recordSent() {
    // The deadlines of pipelined requests add up: the gatekeeper reads a request only after it has answered
    // the one before it.
    double position = 0;
    for (const std::uint64_t id : pending_)
      parent_.verifier_.sent(id, gatekeeper_, parent_.clock_.nowMs(),
                             parent_.scenario_.deadlineMs * ++position);
  }

  void exchange() {
    if (loadEnded()) return close();
    ++exchangeNumber_;
    pending_.clear();
    out_.clear();
    switch (chooseBehaviour()) {
      case Behaviour::plain:
        out_ = newRequest();
        return send([this] { awaitAnswers(); });
      case Behaviour::pipeline:
        for (std::size_t i = 0; i < kPipelinedRequests; ++i) out_ += newRequest();
        return send([this] { awaitAnswers(); });
      case Behaviour::disconnect:
        out_ = newRequest();
        return uniform() < 0.2 ? disconnectMidRequest() : send([this] { disconnectLater(); });
      case Behaviour::stall:
        return stallMidRequest();
      case Behaviour::slow:
        out_ = newRequest();
        return sendSlowly();
      case Behaviour::malformed:
        return sendMalformed();
    }
  }

  void send(const std::function<void()>& then) {
    recordSent();
    asio::async_write(socket_, asio::buffer(out_), guard([this, then](const Error& error, std::size_t) {
                        if (error) return connectionBroken();
                        then();
                      }));
  }

  void sendSlowly() {
    const std::size_t piece = std::max<std::size_t>(1, out_.size() / kSlowWritePieces);
    // The deadline counts from the last byte, so the request is recorded as sent with the last piece.
    if (out_.size() <= piece) return send([this] { awaitAnswers(); });
    asio::async_write(socket_, asio::buffer(out_.data(), piece),
                      guard([this, piece](const Error& error, std::size_t) {
                        if (error) return requestIncomplete();
                        out_.erase(0, piece);
                        wait(kSlowPieceIntervalMs, [this] { sendSlowly(); });
                      }));
  }

  /// The connection ended before the request was complete; no answer is required.
  void requestIncomplete() { endConnection(); }

  void awaitAnswers() {
    wait(parent_.scenario_.deadlineMs * static_cast<double>(pending_.size()) + kAnswerGraceMs, [this] {
      for (const std::uint64_t id : pending_)
        parent_.verifier_.ended(id, parent_.clock_.nowMs(), RequestOutcome::timedOut);
      endConnection();
    });
    readAnswer();
  }

  void readAnswer() {
    reply_.emplace();
    http::async_read(socket_, buffer_, *reply_, guard([this](const Error& error, std::size_t n) {
                       if (error) return connectionBroken(n > 0);
                       answered();
                     }));
  }

  void answered() {
    ++answersReceived_;
    parent_.verifier_.answered(pending_.front(), parent_.clock_.nowMs(),
                               static_cast<int>(reply_->get().result_int()), reply_->get().body());
    pending_.pop_front();
    const bool last = !reply_->get().keep_alive();
    if (last) dropPipelined();
    if (pending_.empty()) {
      timer_.cancel();
      return last ? endConnection() : finishExchange();
    }
    readAnswer();
  }

  /// The gatekeeper does not read requests pipelined behind one whose answer announces the close of the
  /// connection.
  void dropPipelined() {
    for (const std::uint64_t id : pending_) parent_.verifier_.closedUndelivered(id, parent_.clock_.nowMs());
    pending_.clear();
  }

  /// The connection ended before a complete answer. The gatekeeper may close a reused connection before it
  /// reads the request; the verifier checks whether a worker has received the request.
  void connectionBroken(bool answerStarted = false) {
    const double now = parent_.clock_.nowMs();
    bool first = true;
    for (const std::uint64_t id : pending_) {
      const bool undelivered = (answersReceived_ > 0 || !first) && !answerStarted;
      undelivered ? parent_.verifier_.closedUndelivered(id, now)
                  : parent_.verifier_.ended(id, now, RequestOutcome::closed);
      first = false;
    }
    endConnection();
  }

  void disconnectLater() {
    wait(uniform() * parent_.scenario_.serviceMs * 2, [this] { disconnect(); });
  }

  void disconnect() {
    for (const std::uint64_t id : pending_) parent_.verifier_.clientDisconnected(id, parent_.clock_.nowMs());
    Error ignored;
    if (uniform() < 0.5) socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    endConnection();
  }

  void disconnectMidRequest() {
    out_.resize(1 + random_() % (out_.size() - 1));
    pending_.clear();
    asio::async_write(socket_, asio::buffer(out_),
                      guard([this](const Error&, std::size_t) { disconnectLater(); }));
  }

  /// Sends part of a request and keeps the connection open.
  void stallMidRequest() {
    out_ = newRequest();
    out_.resize(1 + random_() % (out_.size() - 2));
    pending_.clear();
    sendAndAwaitErrorOrClose();
  }

  void sendMalformed() {
    out_ = "NONSENSE " + std::to_string(random_()) + "\r\n\r\n";
    sendAndAwaitErrorOrClose();
  }

  /// Sends an incomplete or malformed request; an error or a close must follow within kErrorOrCloseWithinMs.
  void sendAndAwaitErrorOrClose() {
    const double sinceMs = parent_.clock_.nowMs();
    asio::async_write(socket_, asio::buffer(out_), guard([this, sinceMs](const Error& error, std::size_t) {
                        if (error) return requestIncomplete();
                        wait(kErrorOrCloseWithinMs, [this, sinceMs] {
                          parent_.verifier_.invalidRequestUnanswered(gatekeeper_, sinceMs,
                                                                     parent_.clock_.nowMs());
                          endConnection();
                        });
                        awaitErrorOrClose();
                      }));
  }

  /// Accepts any answer or close.
  void awaitErrorOrClose() {
    socket_.async_read_some(asio::buffer(readBuffer_),
                            guard([this](const Error&, std::size_t) { endConnection(); }));
  }

  MisbehavingClients& parent_;
  std::mt19937_64 random_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  beast::flat_buffer buffer_;
  std::optional<http::response_parser<http::string_body>> reply_;
  std::array<char, 4096> readBuffer_{};
  std::string out_;
  std::deque<std::uint64_t> pending_;  // ids of unanswered requests, in the order of sending
  int gatekeeper_ = 0;
  unsigned answersReceived_ = 0;  // answers on this connection
  unsigned exchangeNumber_ = 0;   // handlers of an earlier exchange are ignored
};

MisbehavingClients::MisbehavingClients(asio::io_context& io, const Scenario& scenario,
                                       const std::vector<Gatekeeper>& gatekeepers, RunClock& clock,
                                       RunVerifier& verifier, std::uint64_t seed)
    : io_(io),
      scenario_(scenario),
      gatekeepers_(gatekeepers),
      clock_(clock),
      verifier_(verifier),
      random_(seed) {}

MisbehavingClients::~MisbehavingClients() {
  for (const auto& client : clients_) client->stop();
}

void MisbehavingClients::start() {
  for (int i = 0; i < scenario_.misbehavingLoad.clients; ++i) {
    clients_.push_back(std::make_shared<Client>(*this));
    clients_.back()->scheduleExchange();
  }
}

}  // namespace wingslip::lab
