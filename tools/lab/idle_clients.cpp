#include "idle_clients.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <random>
#include <string>
#include <string_view>

namespace wingslip::lab {
namespace asio = boost::asio;
using asio::ip::tcp;
using Error = boost::system::error_code;

namespace {

constexpr auto kConnectEvery = std::chrono::milliseconds(5);
// The gatekeeper answers it by itself, so that idle clients take nothing of the workers.
constexpr std::string_view kWholeRequest = "GET /health/ready HTTP/1.1\r\nHost: backend.local\r\n\r\n";
constexpr std::string_view kPartOfRequest = "GET /look HTTP/1.1\r\nHost: backend.local\r\n";
constexpr std::string_view kAnswered = "HTTP/1.1 200";
constexpr std::size_t kReadBytes = 512;

}  // namespace

/// One connection of one client, from the attempt to connect to the end.
class IdleClients::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(IdleClients& clients, Sends sends) : clients_(clients), sends_(sends), socket_(clients.io_) {}

  Sends sends() const { return sends_; }

  void start() {
    const tcp::endpoint gatekeeper(asio::ip::address_v4::loopback(), clients_.port_);
    socket_.async_connect(gatekeeper, [self = shared_from_this()](const Error& error) {
      if (self->closedHere_) return;
      if (error) return self->refused();
      ++self->clients_.counts_.opened;
      self->send();
      self->read();
    });
  }

  /// Closes it from this side: it counts as closed by nobody.
  void close() {
    closedHere_ = true;
    Error ignored;
    socket_.close(ignored);
  }

 private:
  void refused() {
    ++clients_.counts_.refused;
    clients_.ended(shared_from_this());
  }

  void send() {
    if (sends_ == Sends::nothing) return;
    const std::string_view text = sends_ == Sends::wholeRequest ? kWholeRequest : kPartOfRequest;
    // An error is the read's to tell.
    asio::async_write(socket_, asio::buffer(text), [self = shared_from_this()](const Error&, std::size_t) {});
  }

  void read() {
    socket_.async_read_some(asio::buffer(piece_),
                            [self = shared_from_this()](const Error& error, std::size_t size) {
                              if (self->closedHere_) return;
                              if (error) return self->closedByGatekeeper();
                              self->check(size);
                              self->read();
                            });
  }

  // Looks at the status line of an answer to a whole request.
  void check(std::size_t size) {
    if (sends_ != Sends::wholeRequest || begin_.size() >= kAnswered.size()) return;
    begin_.append(piece_.data(), std::min(size, kAnswered.size() - begin_.size()));
    if (begin_.size() == kAnswered.size() && begin_ != kAnswered) ++clients_.counts_.refused;
  }

  void closedByGatekeeper() {
    ++clients_.counts_.closed;
    clients_.ended(shared_from_this());
  }

  IdleClients& clients_;
  const Sends sends_;
  tcp::socket socket_;
  std::array<char, kReadBytes> piece_{};
  std::string begin_;  // the answer's first bytes
  bool closedHere_ = false;
};

IdleClients::IdleClients(asio::io_context& io, unsigned short port, const IdleLoad& load, std::uint64_t seed)
    : io_(io), port_(port), load_(load), timer_(io) {
  std::mt19937_64 random(seed);
  std::uniform_real_distribution<double> share;
  for (int client = 0; client < load_.each; ++client) {
    const double drawn = share(random);
    Sends sends = Sends::nothing;
    if (drawn < load_.requestShare)
      sends = Sends::wholeRequest;
    else if (drawn < load_.requestShare + load_.partShare)
      sends = Sends::partOfRequest;
    waiting_.push_back(sends);
  }
}

IdleClients::~IdleClients() { stop(); }

void IdleClients::start() {
  running_ = true;
  connectLater();
}

void IdleClients::stop() {
  running_ = false;
  timer_.cancel();
  for (const auto& connection : connections_) connection->close();
  connections_.clear();
}

void IdleClients::connectLater() {
  timer_.expires_after(kConnectEvery);
  timer_.async_wait([this](const Error& error) {
    if (error || !running_) return;
    connectWaiting();
    connectLater();
  });
}

// What the rate allowed in a period and nobody used is not kept for later periods.
void IdleClients::connectWaiting() {
  const double inPeriod = load_.connectsPerS * std::chrono::duration<double>(kConnectEvery).count();
  allowed_ = std::min(allowed_ + inPeriod, std::max(1.0, inPeriod));
  while (allowed_ >= 1 && !waiting_.empty()) {
    allowed_ -= 1;
    const Sends sends = waiting_.front();
    waiting_.pop_front();
    connect(sends);
  }
}

void IdleClients::connect(Sends sends) {
  const auto connection = std::make_shared<Connection>(*this, sends);
  connections_.insert(connection);
  connection->start();
}

void IdleClients::ended(const std::shared_ptr<Connection>& connection) {
  if (connections_.erase(connection) == 0) return;
  waiting_.push_back(connection->sends());
}

}  // namespace wingslip::lab
