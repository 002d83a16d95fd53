/// Forwarding and delaying of a link's data.
#include "fault_proxy.hpp"

#include <array>
#include <boost/asio/write.hpp>
#include <deque>

namespace wingslip::lab {
using Error = boost::system::error_code;

namespace {

constexpr std::size_t kChunkBytes = 16384;

}  // namespace

// A connection over the link: the gatekeeper's socket `down` and the socket `up` to the upstream port.
struct Proxy::Connection : std::enable_shared_from_this<Connection> {
  Connection(Proxy& p, tcp::socket d) : proxy(p), down(std::move(d)), up(p.io_) {}
  Proxy& proxy;
  tcp::socket down, up;
  int open = 2;              // directions whose end of stream has not been forwarded
  bool droppedData = false;  // the streams have a gap

  void start() {
    if (proxy.mode_ == LinkMode::blackhole) return pump(down, up, true);
    up.async_connect(
        tcp::endpoint(asio::ip::address_v4::loopback(), proxy.upstreamPort_),
        [self = shared_from_this()](const Error& error) {
          if (error) return self->resetBoth();
          Error ignored;
          self->up.set_option(tcp::no_delay(true), ignored);
          self->down.set_option(tcp::no_delay(true), ignored);
          self->proxy.links_[{self->proxy.upstreamPort_, self->up.local_endpoint(ignored).port()}] =
              self->proxy.gatekeeper_;
          self->pump(self->down, self->up, true);
          self->pump(self->up, self->down, false);
        });
  }
  void resetBoth() {
    reset(down), reset(up);
    proxy.connections_.erase(shared_from_this());
  }
  // Forwards data from one socket to the other in chunks. The link's mode at the arrival of a chunk applies.
  void pump(tcp::socket& from, tcp::socket& to, bool towardsWorker) {
    auto chunk = std::make_shared<std::array<char, kChunkBytes>>();
    from.async_read_some(asio::buffer(*chunk), [self = shared_from_this(), &from, &to, towardsWorker, chunk](
                                                   const Error& error, std::size_t n) {
      if (error == asio::error::eof) return self->enqueue(to, towardsWorker, "", 0);
      if (error) return self->resetBoth();
      const LinkMode mode = self->proxy.mode_;
      if (mode == LinkMode::cut) return self->resetBoth();
      if (mode == LinkMode::blackhole || !to.is_open() || (mode == LinkMode::oneway && !towardsWorker))
        return self->droppedData = true, self->pump(from, to, towardsWorker);
      self->enqueue(to, towardsWorker, std::string(chunk->data(), n), n);
      self->pump(from, to, towardsWorker);
    });
  }

  // A chunk in transit over the link; an empty one marks the end of the stream.
  struct DelayedChunk {
    Clock::time_point due;
    std::string bytes;
  };
  struct Direction {
    std::deque<DelayedChunk> chunks;
    Clock::time_point last{};  // due time of the last chunk enqueued
    bool writing = false;
  };

  // Each chunk's due time is counted from its own arrival, so that a delay adds latency without reducing the
  // throughput.
  void enqueue(tcp::socket& to, bool towardsWorker, std::string bytes, std::size_t n) {
    Direction& direction = towardsWorker ? upstream : downstream;
    const auto inMs = [](double ms) { return std::chrono::microseconds(static_cast<long>(ms * 1000)); };
    Clock::time_point due = Clock::now();
    if (proxy.mode_ == LinkMode::delay) due += inMs(proxy.delayMs_);
    if (proxy.mode_ == LinkMode::throttle)
      due = std::max(due, direction.last) + inMs(1000 * static_cast<double>(n) / proxy.bytesPerS_);
    direction.last = std::max(direction.last, due);
    direction.chunks.push_back({direction.last, std::move(bytes)});
    if (!direction.writing) writeNext(to, direction);
  }

  void writeNext(tcp::socket& to, Direction& direction) {
    if (direction.chunks.empty()) return void(direction.writing = false);
    direction.writing = true;
    auto next = std::make_shared<DelayedChunk>(std::move(direction.chunks.front()));
    direction.chunks.pop_front();
    if (next->due <= Clock::now()) return write(to, direction, next);
    auto timer = std::make_shared<asio::steady_timer>(proxy.io_, next->due);
    timer->async_wait([self = shared_from_this(), this, timer, &to, &direction, next](const Error&) {
      write(to, direction, next);
    });
  }

  void write(tcp::socket& to, Direction& direction, const std::shared_ptr<DelayedChunk>& next) {
    if (next->bytes.empty()) {
      Error ignored;
      to.shutdown(tcp::socket::shutdown_send, ignored);
      if (--open == 0) resetBoth();
      return;
    }
    asio::async_write(
        to, asio::buffer(next->bytes),
        [self = shared_from_this(), this, &to, &direction, next](const Error& error, std::size_t) {
          if (error) return resetBoth();
          writeNext(to, direction);
        });
  }

  Direction upstream, downstream;
};

Proxy::Proxy(asio::io_context& io, int gatekeeper, unsigned short upstreamPort, LinkOrigins& links)
    : io_(io),
      gatekeeper_(gatekeeper),
      upstreamPort_(upstreamPort),
      links_(links),
      acceptor_(listenAt(io)),
      port_(acceptor_.local_endpoint().port()) {
  accept();
}

void Proxy::accept() {
  acceptor_.async_accept([this](const Error& error, tcp::socket socket) {
    if (error) return;
    accept();
    // A restarted machine also resets connections that it does not know.
    if (mode_ == LinkMode::cut) return reset(socket);
    auto connection = std::make_shared<Connection>(*this, std::move(socket));
    connections_.insert(connection);
    connection->start();
  });
}

void Proxy::set(LinkMode mode, double delayMs, double bytesPerS) {
  mode_ = mode, delayMs_ = delayMs, bytesPerS_ = bytesPerS;
  for (const auto& connection : std::set(connections_))
    if (mode == LinkMode::cut ||
        (connection->droppedData && mode != LinkMode::blackhole && mode != LinkMode::oneway))
      connection->resetBoth();
}

}  // namespace wingslip::lab
