#include "open_load.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <memory>
#include <utility>

#include "client_request.hpp"

namespace wingslip::lab {
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using Error = boost::system::error_code;

namespace {

constexpr double kNoArrivalS = 1e9;     // longer than any load
constexpr double kAnswerGraceMs = 600;  // a client waits for the answer this long after the deadline

}  // namespace

// One request on its own connection, until it is answered, fails or times out.
class OpenLoad::Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(OpenLoad& load, std::uint64_t id, HttpRequest request)
      : load_(load), id_(id), request_(std::move(request)), socket_(load.io_), timer_(load.io_) {}

  void start(unsigned short port) {
    timer_.expires_after(
        std::chrono::milliseconds(static_cast<long>(load_.scenario_.deadlineMs + kAnswerGraceMs)));
    timer_.async_wait([self = shared_from_this()](const Error& error) {
      if (!error) self->end(RequestOutcome::timedOut);
    });
    socket_.async_connect(tcp::endpoint(asio::ip::address_v4::loopback(), port),
                          [self = shared_from_this()](const Error& error) {
                            if (error) return self->end(RequestOutcome::unreachable);
                            self->write();
                          });
  }

 private:
  void write() {
    http::async_write(socket_, request_, [self = shared_from_this()](const Error& error, std::size_t) {
      if (error) return self->end(RequestOutcome::unreachable);
      self->read();
    });
  }

  void read() {
    http::async_read(socket_, buffer_, reply_, [self = shared_from_this()](const Error& error, std::size_t) {
      self->end(error ? RequestOutcome::closed : RequestOutcome::pending);
    });
  }

  // `pending` means that an answer was read; the verifier derives the outcome from it.
  void end(RequestOutcome outcome) {
    if (std::exchange(done_, true)) return;
    --load_.inFlight_;
    timer_.cancel();
    Error ignored;
    socket_.close(ignored);
    if (outcome == RequestOutcome::pending)
      load_.verifier_.answered(id_, load_.clock_.nowMs(), static_cast<int>(reply_.result_int()),
                               reply_.body());
    else
      load_.verifier_.ended(id_, load_.clock_.nowMs(), outcome);
  }

  OpenLoad& load_;
  const std::uint64_t id_;
  HttpRequest request_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  beast::flat_buffer buffer_;
  http::response<http::string_body> reply_;
  bool done_ = false;
};

OpenLoad::OpenLoad(asio::io_context& io, const Scenario& scenario, const std::vector<Gatekeeper>& gatekeepers,
                   RunClock& clock, RunVerifier& verifier, std::uint64_t seed)
    : io_(io),
      scenario_(scenario),
      gatekeepers_(gatekeepers),
      clock_(clock),
      verifier_(verifier),
      random_(seed) {}

void OpenLoad::scheduleNextArrival() {
  std::exponential_distribution<double> gap(scenario_.rate);
  nextS_ += scenario_.rate > 0 ? gap(random_) : kNoArrivalS;
  if (nextS_ >= scenario_.lengthS) return;
  clock_.at(nextS_, [this] {
    send();
    scheduleNextArrival();
  });
}

std::vector<int> OpenLoad::gatekeepersInRotation() const {
  std::vector<int> out;
  for (const Gatekeeper& gatekeeper : gatekeepers_)
    if (gatekeeper.inRotation) out.push_back(gatekeeper.index);
  return out;
}

void OpenLoad::send() {
  const std::vector<int> candidates = gatekeepersInRotation();
  if (candidates.empty() || inFlight_ >= scenario_.mostInFlight) return void(++notSent_);
  const int gatekeeper =
      candidates[std::uniform_int_distribution<std::size_t>(0, candidates.size() - 1)(random_)];
  const int customer = std::uniform_int_distribution<int>(1, scenario_.customers)(random_);
  const bool edit = std::uniform_real_distribution<double>()(random_) < scenario_.editShare;
  const std::uint64_t id = random_() >> 1 | 1;
  verifier_.sent(id, gatekeeper, clock_.nowMs(), scenario_.deadlineMs);
  ++inFlight_;
  std::make_shared<Exchange>(*this, id, makeRequest(scenario_, id, customer, edit))
      ->start(gatekeepers_[gatekeeper].port);
}

}  // namespace wingslip::lab
