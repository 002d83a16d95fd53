#include "net.hpp"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <cmath>
#include <deque>
#include <nlohmann/json.hpp>

namespace wingslip::lab {
namespace beast = boost::beast;
namespace http = beast::http;
using Error = boost::system::error_code;

namespace {

constexpr auto kBeat = std::chrono::seconds(2);  // PROTOCOL: an empty line every 2 s while nothing changes
constexpr std::size_t kPiece = 16384;
constexpr double kSilentToldMs = 6000;  // STANDING: what a silent watch misses counts as told then
constexpr double kNever = 1e9;          // ms, past the end of any run
constexpr double kSecondAnswerMs = 2;   // after the first
constexpr double kMostRestMs = 400;     // before a connection that rests is closed

void reset(tcp::socket& socket) {
  Error ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

std::uint64_t hexId(std::string_view text) {
  std::uint64_t id = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), id, 16);
  return error == std::errc() && end == text.data() + text.size() ? id : 0;
}

}  // namespace

tcp::acceptor listenAt(asio::io_context& io, unsigned short port) {
  tcp::acceptor acceptor(io);
  const tcp::endpoint at(asio::ip::address_v4::loopback(), port);
  acceptor.open(at.protocol());
  acceptor.set_option(asio::socket_base::reuse_address(true));
  acceptor.bind(at);
  acceptor.listen();
  return acceptor;
}

// ---- Worker

class WorkerSession : public std::enable_shared_from_this<WorkerSession> {
 public:
  WorkerSession(Worker& worker, std::shared_ptr<tcp::socket> socket)
      : w_(worker), socket_(std::move(socket)), timer_(w_.io_) {}

  void read() {
    request_ = {};
    http::async_read(*socket_, buffer_, request_,
                     [self = shared_from_this()](const Error& error, std::size_t) {
                       if (error) return self->end();
                       self->serve();
                     });
  }

 private:
  void end() { w_.open_.erase(socket_); }

  void serve() {
    const auto idHeader = request_.find("Req-Id");
    if (idHeader == request_.end()) return answer(http::status::not_found, "no id\n", false);
    const std::string idText(idHeader->value());
    const std::uint64_t id = hexId(idText);
    Error error;
    const tcp::endpoint from = socket_->remote_endpoint(error);
    const auto link = error ? w_.links_.end() : w_.links_.find({w_.port_, from.port()});
    const int gatekeeper = link == w_.links_.end() ? -1 : link->second;
    const std::string body = "lab worker " + std::to_string(w_.index_) + " answers " + idText + "\n";
    w_.judge_.attempt(id, w_.index_, gatekeeper, w_.nowMs_(), body);
    if (w_.mode.silent) return;  // holds the connection and says nothing
    if (w_.mode.draining || w_.inFlight >= w_.s_.workerInFlight)
      return answer(http::status::service_unavailable, "declined\n", true);
    const RoughWorkers& rough = w_.s_.roughWorkers;
    if (w_.strikes(rough.hang)) return;
    if (w_.strikes(rough.reset)) return reset(*socket_), end();
    ++w_.inFlight;
    std::lognormal_distribution<double> service(std::log(std::max(w_.s_.serviceMs, 0.01)), w_.s_.spread);
    double ms = service(w_.random_);
    if (w_.s_.coldS > 0) {
      const double age = (w_.nowMs_() - w_.startedMs_) / 1000;
      ms *= 1 + 3 * std::max(0.0, 1 - age / w_.s_.coldS);
    }
    timer_.expires_after(std::chrono::microseconds(static_cast<long>(ms * 1000)));
    timer_.async_wait([self = shared_from_this(), body](const Error& e) {
      --self->w_.inFlight;
      if (e) return self->end();
      self->answerRoughly(body);
    });
  }

  void answerRoughly(const std::string& body) {
    const RoughWorkers& rough = w_.s_.roughWorkers;
    if (w_.strikes(rough.error)) return answer(http::status::internal_server_error, "error\n", false);
    if (w_.strikes(rough.broken))
      return say("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                     body.substr(0, body.size() / 2),
                 true);
    if (w_.strikes(rough.unframed)) return say("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body, false);
    if (w_.strikes(rough.twice)) sayLater(body);
    answer(http::status::ok, body, false);
    if (w_.strikes(rough.closes)) closeLater();
  }

  // Writes the text and ends the connection, in good order or by a reset.
  void say(std::string text, bool byReset) {
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

  // The same answer again, of which nobody has any use.
  void sayLater(const std::string& body) {
    auto text = std::make_shared<std::string>(
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    later(kSecondAnswerMs, [self = shared_from_this(), text] {
      asio::async_write(*self->socket_, asio::buffer(*text), [self, text](const Error&, std::size_t) {});
    });
  }

  void closeLater() {
    later(std::uniform_real_distribution<>(0, kMostRestMs)(w_.random_), [self = shared_from_this()] {
      Error ignored;
      self->socket_->shutdown(tcp::socket::shutdown_send, ignored);
    });
  }

  template <class Then>
  void later(double ms, Then then) {
    auto timer = std::make_shared<asio::steady_timer>(w_.io_);
    timer->expires_after(std::chrono::microseconds(static_cast<long>(ms * 1000)));
    timer->async_wait([timer, then](const Error& error) {
      if (!error) then();
    });
  }

  void answer(http::status status, const std::string& body, bool declined) {
    auto reply = std::make_shared<http::response<http::string_body>>(status, 11);
    reply->set("Srv-Load", "inflight=" + std::to_string(w_.inFlight) + ",queue=0,util=" +
                               std::to_string(std::min(1.0, w_.inFlight / double(w_.s_.workerInFlight))));
    if (declined) reply->set("Srv-Declined", "1");
    reply->body() = body;
    reply->prepare_payload();
    reply->keep_alive(true);
    http::async_write(*socket_, *reply, [self = shared_from_this(), reply](const Error& error, std::size_t) {
      if (error) return self->end();
      self->read();
    });
  }

  Worker& w_;
  std::shared_ptr<tcp::socket> socket_;
  asio::steady_timer timer_;
  beast::flat_buffer buffer_;
  http::request<http::string_body> request_;
};

Worker::Worker(asio::io_context& io, int index, const Scenario& s, Judge& judge, const LinkOf& links,
               std::function<double()> nowMs, std::uint64_t seed)
    : io_(io), index_(index), s_(s), judge_(judge), links_(links), nowMs_(std::move(nowMs)), random_(seed) {
  acceptor_ = std::make_unique<tcp::acceptor>(listenAt(io));
  port_ = acceptor_->local_endpoint().port();
  startedMs_ = -1e9;  // long warm
  accept();
}

void Worker::accept() {
  auto socket = std::make_shared<tcp::socket>(io_);
  acceptor_->async_accept(*socket, [this, socket, acceptor = acceptor_.get()](const Error& error) {
    if (error || acceptor != acceptor_.get()) return;
    ++accepted_;
    // The proxy acknowledges in its own time, which would hold small writes back on top of the link's delay.
    Error ignored;
    socket->set_option(tcp::no_delay(true), ignored);
    open_.insert(socket);
    std::make_shared<WorkerSession>(*this, socket)->read();
    accept();
  });
}

bool Worker::strikes(double share) {
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

// ---- Agent

struct Agent::Watch {
  explicit Watch(tcp::socket s) : socket(std::move(s)) {}
  tcp::socket socket;
  std::deque<std::string> out;
  bool writing = false;
};

Agent::Agent(asio::io_context& io, int gatekeeper, std::vector<Entry> list, Judge& judge,
             std::function<double()> nowMs)
    : io_(io),
      gatekeeper_(gatekeeper),
      list_(std::move(list)),
      judge_(judge),
      nowMs_(std::move(nowMs)),
      acceptor_(listenAt(io)),
      port_(acceptor_.local_endpoint().port()),
      beat_(io) {
  accept();
  struct Beat {
    Agent* a;
    void operator()(const Error& error) const {
      if (error) return;
      if (!a->down_) {
        for (const auto& watch : a->watches_) watch->out.emplace_back("1\r\n\n\r\n");
        a->tell({});
      }
      a->beat_.expires_after(kBeat);
      a->beat_.async_wait(*this);
    }
  };
  beat_.expires_after(kBeat);
  beat_.async_wait(Beat{this});
}

std::string Agent::listJson(bool resetAll, const std::vector<std::size_t>& only) const {
  nlohmann::json instances = nlohmann::json::array();
  auto add = [&](const Entry& e) {
    instances.push_back({{"instanceId", e.id},
                         {"hostPort", e.hostPort},
                         {"zone", e.zone},
                         {"machineType", "m"},
                         {"cell", 0},
                         {"lifecycle", e.lifecycle},
                         {"weight", 1.0},
                         {"startedAtMs", e.startedAtMs}});
  };
  if (resetAll)
    for (const Entry& e : list_) add(e);
  else
    for (const std::size_t i : only) add(list_[i]);
  return nlohmann::json{{"generation", generation_}, {"reset", resetAll}, {"instances", instances}}.dump();
}

void Agent::accept() {
  acceptor_.async_accept([this](const Error& error, tcp::socket socket) {
    if (error) return;
    accept();
    if (down_) {  // silent: the connection is held and nothing said; it ends with the gatekeeper's
      auto held = std::make_shared<tcp::socket>(std::move(socket));
      auto piece = std::make_shared<std::array<char, 512>>();
      held->async_read_some(asio::buffer(*piece), [held, piece](const Error&, std::size_t) {});
      return;
    }
    auto watch = std::make_shared<Watch>(std::move(socket));
    if (crowded_) {
      auto busy = std::make_shared<std::string>(
          "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
      asio::async_write(watch->socket, asio::buffer(*busy), [watch, busy](const Error&, std::size_t) {});
      return;
    }
    auto buffer = std::make_shared<beast::flat_buffer>();
    auto request = std::make_shared<http::request<http::empty_body>>();
    http::async_read(
        watch->socket, *buffer, *request, [this, watch, buffer, request](const Error& e, std::size_t) {
          if (e) return;
          const std::string target(request->target());
          if (target.rfind("/registry/instances", 0) != 0) {
            watch->out.emplace_back("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
          } else if (target.find("watch=1") != std::string::npos) {
            std::string line = listJson(true, {}) + "\n";
            char size[32];
            std::snprintf(size, sizeof size, "%zx\r\n", line.size());
            watch->out.push_back(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n" +
                std::string(size) + line + "\r\n");
            silentSince_.reset();
            crowdedUntil_ = -kNever;
            for (std::size_t w = 0; w < list_.size(); ++w) toldOf(w);
          } else {
            const std::string body = listJson(true, {});
            watch->out.push_back("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                                 std::to_string(body.size()) + "\r\n\r\n" + body);
          }
          watches_.insert(watch);
          tell({});
        });
  });
}

void Agent::change(std::size_t worker, const std::string& lifecycle, double startedAtMs) {
  list_[worker].lifecycle = lifecycle;
  if (startedAtMs > 0) list_[worker].startedAtMs = startedAtMs;
  ++generation_;
  untold_.push_back(worker);
  if (!down_) tell(untold_);
}

void Agent::setDown(bool down) {
  down_ = down;
  // A watch that has fallen silent stays so: it has to be opened anew.
  if (down_) mute_.insert(watches_.begin(), watches_.end()), watches_.clear();
  if (!down_ && std::exchange(untoldToNew_, false))
    for (std::size_t w = 0; w < list_.size(); ++w) toldOf(w);
  if (!down_ && !untold_.empty()) tell(untold_);
}

void Agent::setCrowded(bool crowded) {
  crowded_ = crowded;
  crowdedUntil_ = crowded ? kNever : nowMs_();
}

void Agent::endWatches() {
  for (const auto& watch : std::set(watches_)) {
    Error ignored;
    watch->socket.shutdown(tcp::socket::shutdown_both, ignored);
  }
  watches_.clear();
}

void Agent::silenceWatches() {
  mute_.insert(watches_.begin(), watches_.end());
  watches_.clear();
  silentSince_ = nowMs_();
}

void Agent::gatekeeperStarts() {
  if (!down_) return;
  untoldToNew_ = true;
  for (std::size_t w = 0; w < list_.size(); ++w) judge_.drainUndone(gatekeeper_, static_cast<int>(w));
}

void Agent::setHeard(bool heard) {
  heard_ = heard;
  if (!heard_ || down_) return;
  for (std::size_t w = 0; w < list_.size(); ++w) toldOf(w);
}

void Agent::toldOf(std::size_t worker) {
  if (list_[worker].lifecycle == "Ready")
    judge_.drainUndone(gatekeeper_, static_cast<int>(worker));
  else if (heard_)
    judge_.drainTold(gatekeeper_, static_cast<int>(worker),
                     std::max({nowMs_(), silentSince_ ? *silentSince_ + kSilentToldMs : 0.0,
                               crowdedUntil_ + kSilentToldMs}));
}

// Writes what each watch has waiting; with `changed`, a line of those entries first, and their drains to the
// judge.
void Agent::tell(const std::vector<std::size_t>& changed) {
  if (!changed.empty()) {
    std::string line = listJson(false, changed) + "\n";
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", line.size());
    for (const auto& watch : watches_) watch->out.push_back(std::string(size) + line + "\r\n");
    for (const std::size_t w : changed) toldOf(w);
    untold_.clear();
  }
  for (const auto& watch : std::set(watches_)) {
    if (watch->writing || watch->out.empty()) continue;
    watch->writing = true;
    bytesSaid_ += static_cast<long>(watch->out.front().size());
    auto text = std::make_shared<std::string>(std::move(watch->out.front()));
    watch->out.pop_front();
    asio::async_write(watch->socket, asio::buffer(*text),
                      [this, watch, text](const Error& error, std::size_t) {
                        watch->writing = false;
                        if (error) return void(watches_.erase(watch));
                        tell({});
                      });
  }
}

// ---- Proxy

struct Proxy::Pair : std::enable_shared_from_this<Pair> {
  Pair(Proxy& p, tcp::socket d) : proxy(p), down(std::move(d)), up(p.io_) {}
  Proxy& proxy;
  tcp::socket down, up;
  int open = 2;
  bool lost = false;  // bytes were dropped

  void start() {
    if (proxy.mode_ == LinkMode::blackhole) return pump(down, up, true);
    up.async_connect(tcp::endpoint(asio::ip::address_v4::loopback(), proxy.towards_),
                     [self = shared_from_this()](const Error& error) {
                       if (error) return self->kill();
                       Error ignored;
                       self->up.set_option(tcp::no_delay(true), ignored);
                       self->down.set_option(tcp::no_delay(true), ignored);
                       self->proxy.links_[{self->proxy.towards_, self->up.local_endpoint(ignored).port()}] =
                           self->proxy.gatekeeper_;
                       self->pump(self->down, self->up, true);
                       self->pump(self->up, self->down, false);
                     });
  }
  void kill() {
    reset(down), reset(up);
    proxy.pairs_.erase(shared_from_this());
  }
  // Moves what `from` says to `to`, piece by piece, as the link's mode is when the piece comes.
  void pump(tcp::socket& from, tcp::socket& to, bool towardsWorker) {
    auto piece = std::make_shared<std::array<char, kPiece>>();
    from.async_read_some(asio::buffer(*piece), [self = shared_from_this(), &from, &to, towardsWorker, piece](
                                                   const Error& error, std::size_t n) {
      if (error == asio::error::eof) return self->enqueue(to, towardsWorker, "", 0);
      if (error) return self->kill();
      const LinkMode mode = self->proxy.mode_;
      if (mode == LinkMode::cut) return self->kill();
      if (mode == LinkMode::blackhole || !to.is_open() || (mode == LinkMode::oneway && !towardsWorker))
        return self->lost = true, self->pump(from, to, towardsWorker);  // heard and dropped
      self->enqueue(to, towardsWorker, std::string(piece->data(), n), n);
      self->pump(from, to, towardsWorker);
    });
  }

  // A piece on its way over the link; an empty one is the end of that direction.
  struct OnItsWay {
    Clock::time_point due;
    std::string bytes;
  };
  struct Direction {
    std::deque<OnItsWay> pieces;
    Clock::time_point last{};  // when the piece before arrives
    bool moving = false;
  };

  // Pieces keep their distance in time: a later one is not held up by the one before.
  void enqueue(tcp::socket& to, bool towardsWorker, std::string bytes, std::size_t n) {
    Direction& way = towardsWorker ? there : back;
    const auto inMs = [](double ms) { return std::chrono::microseconds(static_cast<long>(ms * 1000)); };
    Clock::time_point due = Clock::now();
    if (proxy.mode_ == LinkMode::delay) due += inMs(proxy.delayMs_);
    if (proxy.mode_ == LinkMode::throttle)
      due = std::max(due, way.last) + inMs(1000 * static_cast<double>(n) / proxy.bytesPerS_);
    way.last = std::max(way.last, due);
    way.pieces.push_back({way.last, std::move(bytes)});
    if (!way.moving) move(to, way);
  }

  void move(tcp::socket& to, Direction& way) {
    if (way.pieces.empty()) return void(way.moving = false);
    way.moving = true;
    auto next = std::make_shared<OnItsWay>(std::move(way.pieces.front()));
    way.pieces.pop_front();
    if (next->due <= Clock::now()) return arrive(to, way, next);
    auto timer = std::make_shared<asio::steady_timer>(proxy.io_, next->due);
    timer->async_wait(
        [self = shared_from_this(), this, timer, &to, &way, next](const Error&) { arrive(to, way, next); });
  }

  void arrive(tcp::socket& to, Direction& way, const std::shared_ptr<OnItsWay>& next) {
    if (next->bytes.empty()) {
      Error ignored;
      to.shutdown(tcp::socket::shutdown_send, ignored);
      if (--open == 0) kill();
      return;
    }
    asio::async_write(to, asio::buffer(next->bytes),
                      [self = shared_from_this(), this, &to, &way, next](const Error& error, std::size_t) {
                        if (error) return kill();
                        move(to, way);
                      });
  }

  Direction there, back;
};

Proxy::Proxy(asio::io_context& io, int gatekeeper, unsigned short towards, LinkOf& links)
    : io_(io),
      gatekeeper_(gatekeeper),
      towards_(towards),
      links_(links),
      acceptor_(listenAt(io)),
      port_(acceptor_.local_endpoint().port()) {
  accept();
}

void Proxy::accept() {
  acceptor_.async_accept([this](const Error& error, tcp::socket socket) {
    if (error) return;
    accept();
    if (mode_ == LinkMode::cut) return reset(socket);  // as a machine that is back resets
    auto pair = std::make_shared<Pair>(*this, std::move(socket));
    pairs_.insert(pair);
    pair->start();
  });
}

void Proxy::set(LinkMode mode, double delayMs, double bytesPerS) {
  mode_ = mode, delayMs_ = delayMs, bytesPerS_ = bytesPerS;
  for (const auto& pair : std::set(pairs_))
    if (mode == LinkMode::cut || (pair->lost && mode != LinkMode::blackhole && mode != LinkMode::oneway))
      pair->kill();
}

}  // namespace wingslip::lab
