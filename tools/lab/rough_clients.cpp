#include "rough_clients.hpp"

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

constexpr double kPatienceMs = 600;  // past its deadline a client still waits for the answer
/// A peer that stops in the middle of a request is owed an error or a close within 3 s; the rest is for a
/// busy machine.
constexpr double kStoppedMs = 3000 + 500;
constexpr std::size_t kPipelined = 3;
constexpr double kSlowPieceMs = 40;
constexpr std::size_t kSlowPieces = 8;
constexpr double kMostRequestsKept = 12;  // on one connection, by chance

std::string textOf(const HttpRequest& request) {
  std::ostringstream out;
  out << request;
  return out.str();
}

}  // namespace

/// One client: a connection at a time.
class RoughClients::Client : public std::enable_shared_from_this<Client> {
  template <class Handler>
  auto guard(Handler handler) {
    return [self = shared_from_this(), round = round_, handler](const Error& error, std::size_t n = 0) {
      if (round == self->round_) handler(error, n);
    };
  }

 public:
  explicit Client(RoughClients& all) : all_(all), random_(all.random_()), socket_(all.io_), timer_(all.io_) {}

  void think() {
    wait(std::exponential_distribution<double>(1 / all_.scenario_.rough.thinkMs)(random_),
         [this] { open() ? exchange() : connect(); });
  }

  void stop() {
    ++round_;
    timer_.cancel();
    close();
  }

 private:
  enum class Act { plain, leave, pipeline, stop, slow, malformed };

  bool over() const { return all_.clock_.nowMs() / 1000 >= all_.scenario_.lengthS; }
  bool open() const { return socket_.is_open(); }
  double chance() { return std::uniform_real_distribution<>()(random_); }

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
    used_ = 0;
  }

  /// Goes on with the next exchange, on this connection or another.
  void next() {
    ++round_;
    if (chance() * kMostRequestsKept < 1) close();
    think();
  }

  void endConnection() {
    ++round_;
    close();
    think();
  }

  void connect() {
    if (over()) return;
    std::vector<int> able;
    for (const Gatekeeper& gatekeeper : all_.gatekeepers_)
      if (gatekeeper.inFront) able.push_back(gatekeeper.index);
    if (able.empty()) return think();
    gatekeeper_ = able[random_() % able.size()];
    socket_.async_connect(
        tcp::endpoint(asio::ip::address_v4::loopback(), all_.gatekeepers_[gatekeeper_].port),
        guard([this](const Error& error, std::size_t) {
          if (error) return endConnection();
          socket_.set_option(tcp::no_delay(true));
          exchange();
        }));
  }

  Act pick() {
    const RoughLoad& rough = all_.scenario_.rough;
    double at = chance();
    for (const auto& [act, share] :
         {std::pair{Act::leave, rough.leave}, std::pair{Act::pipeline, rough.pipeline},
          std::pair{Act::stop, rough.stop}, std::pair{Act::slow, rough.slow},
          std::pair{Act::malformed, rough.malformed}})
      if ((at -= share) < 0) return act;
    return Act::plain;
  }

  std::string ask() {
    const std::uint64_t id = random_() >> 1 | 1;
    const bool edit = chance() < all_.scenario_.editShare;
    waiting_.push_back(id);
    return textOf(
        requestOf(all_.scenario_, id, 1 + static_cast<int>(random_() % all_.scenario_.customers), edit));
  }

  /// The requests that wait have been written whole now.
  void noteSent() {
    double turn = 0;  // one behind another: the next is read when the one before is answered
    for (const std::uint64_t id : waiting_)
      all_.judge_.sent(id, gatekeeper_, all_.clock_.nowMs(), all_.scenario_.deadlineMs * ++turn);
  }

  void exchange() {
    if (over()) return close();
    ++round_;
    waiting_.clear();
    out_.clear();
    switch (pick()) {
      case Act::plain:
        out_ = ask();
        return send([this] { awaitAnswers(); });
      case Act::pipeline:
        for (std::size_t i = 0; i < kPipelined; ++i) out_ += ask();
        return send([this] { awaitAnswers(); });
      case Act::leave:
        out_ = ask();
        return chance() < 0.2 ? leaveInTheMiddle() : send([this] { leaveLater(); });
      case Act::stop:
        return stopInTheMiddle();
      case Act::slow:
        out_ = ask();
        return sendSlowly();
      case Act::malformed:
        return sendNonsense();
    }
  }

  void send(const std::function<void()>& then) {
    noteSent();
    asio::async_write(socket_, asio::buffer(out_), guard([this, then](const Error& error, std::size_t) {
                        if (error) return broken();
                        then();
                      }));
  }

  void sendSlowly() {
    const std::size_t piece = std::max<std::size_t>(1, out_.size() / kSlowPieces);
    // Its time counts from the last byte; the judge's clock begins with the last piece.
    if (out_.size() <= piece) return send([this] { awaitAnswers(); });
    asio::async_write(socket_, asio::buffer(out_.data(), piece),
                      guard([this, piece](const Error& error, std::size_t) {
                        if (error) return unsent();
                        out_.erase(0, piece);
                        wait(kSlowPieceMs, [this] { sendSlowly(); });
                      }));
  }

  /// Closed before the request was whole: nothing is owed for it.
  void unsent() { endConnection(); }

  void awaitAnswers() {
    wait(all_.scenario_.deadlineMs * static_cast<double>(waiting_.size()) + kPatienceMs, [this] {
      for (const std::uint64_t id : waiting_) all_.judge_.ended(id, all_.clock_.nowMs(), Fate::lost);
      endConnection();
    });
    readAnswer();
  }

  void readAnswer() {
    reply_.emplace();
    http::async_read(socket_, buffer_, *reply_, guard([this](const Error& error, std::size_t n) {
                       if (error) return broken(n > 0);
                       answered();
                     }));
  }

  void answered() {
    ++used_;
    all_.judge_.answered(waiting_.front(), all_.clock_.nowMs(), static_cast<int>(reply_->get().result_int()),
                         reply_->get().body());
    waiting_.pop_front();
    const bool last = !reply_->get().keep_alive();
    if (last) dropRest();
    if (waiting_.empty()) {
      timer_.cancel();
      return last ? endConnection() : next();
    }
    readAnswer();
  }

  /// What was sent behind a request whose answer says that the connection ends was not heard.
  void dropRest() {
    for (const std::uint64_t id : waiting_) all_.judge_.crossed(id, all_.clock_.nowMs());
    waiting_.clear();
  }

  /// The connection ended with no whole answer. On one that has been used the close may have crossed the
  /// request; the judge knows whether a worker has seen it.
  void broken(bool begun = false) {
    const double now = all_.clock_.nowMs();
    bool first = true;
    for (const std::uint64_t id : waiting_) {
      const bool crossing = (used_ > 0 || !first) && !begun;
      crossing ? all_.judge_.crossed(id, now) : all_.judge_.ended(id, now, Fate::closed);
      first = false;
    }
    endConnection();
  }

  void leaveLater() {
    wait(chance() * all_.scenario_.serviceMs * 2, [this] { leave(); });
  }

  void leave() {
    for (const std::uint64_t id : waiting_) all_.judge_.left(id, all_.clock_.nowMs());
    Error ignored;
    if (chance() < 0.5) socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    endConnection();
  }

  void leaveInTheMiddle() {
    out_.resize(1 + random_() % (out_.size() - 1));
    waiting_.clear();
    asio::async_write(socket_, asio::buffer(out_),
                      guard([this](const Error&, std::size_t) { leaveLater(); }));
  }

  /// Stops and stays.
  void stopInTheMiddle() {
    out_ = ask();
    out_.resize(1 + random_() % (out_.size() - 2));
    waiting_.clear();
    sendAndAwaitEnd();
  }

  void sendNonsense() {
    out_ = "NONSENSE " + std::to_string(random_()) + "\r\n\r\n";
    sendAndAwaitEnd();
  }

  /// What is no request: an error or a close is owed within kStoppedMs.
  void sendAndAwaitEnd() {
    const double since = all_.clock_.nowMs();
    asio::async_write(socket_, asio::buffer(out_), guard([this, since](const Error& error, std::size_t) {
                        if (error) return unsent();
                        wait(kStoppedMs, [this, since] {
                          all_.judge_.leftHanging(gatekeeper_, since, all_.clock_.nowMs());
                          endConnection();
                        });
                        awaitEnd();
                      }));
  }

  /// Any answer or close will do.
  void awaitEnd() {
    socket_.async_read_some(asio::buffer(piece_),
                            guard([this](const Error&, std::size_t) { endConnection(); }));
  }

  RoughClients& all_;
  std::mt19937_64 random_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  beast::flat_buffer buffer_;
  std::optional<http::response_parser<http::string_body>> reply_;
  std::array<char, 4096> piece_{};
  std::string out_;
  std::deque<std::uint64_t> waiting_;  // requests without an answer, in the order of sending
  int gatekeeper_ = 0;
  unsigned used_ = 0;   // answers on this connection
  unsigned round_ = 0;  // a handler of an earlier exchange finds nothing to do
};

RoughClients::RoughClients(asio::io_context& io, const Scenario& scenario,
                           const std::vector<Gatekeeper>& gatekeepers, RunClock& clock, Judge& judge,
                           std::uint64_t seed)
    : io_(io), scenario_(scenario), gatekeepers_(gatekeepers), clock_(clock), judge_(judge), random_(seed) {}

RoughClients::~RoughClients() {
  for (const auto& client : clients_) client->stop();
}

void RoughClients::start() {
  for (int i = 0; i < scenario_.rough.clients; ++i) {
    clients_.push_back(std::make_shared<Client>(*this));
    clients_.back()->think();
  }
}

}  // namespace wingslip::lab
