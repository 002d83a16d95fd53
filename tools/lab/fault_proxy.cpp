#include "fault_proxy.hpp"

#include <array>
#include <boost/asio/write.hpp>
#include <deque>

namespace wingslip::lab {
using Error = boost::system::error_code;

namespace {

constexpr std::size_t kPiece = 16384;

}  // namespace

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
