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

constexpr auto kConnectPeriod = std::chrono::milliseconds(5);
// The gatekeeper answers this path itself, so that idle clients put no load on the workers.
constexpr std::string_view kCompleteRequest = "GET /health/ready HTTP/1.1\r\nHost: backend.local\r\n\r\n";
constexpr std::string_view kPartialRequest = "GET /look HTTP/1.1\r\nHost: backend.local\r\n";
constexpr std::string_view kStatus200 = "HTTP/1.1 200";
constexpr std::size_t kReadBytes = 512;

}  // namespace

/// One connection of one client, from the attempt to connect to the end.
class IdleClients::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(IdleClients& clients, Payload payload)
      : clients_(clients), payload_(payload), socket_(clients.io_) {}

  Payload payload() const { return payload_; }

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

  /// Closes the connection from the client's side, which is not counted in IdleClientCounts::closed.
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
    if (payload_ == Payload::nothing) return;
    const std::string_view text = payload_ == Payload::completeRequest ? kCompleteRequest : kPartialRequest;
    // The pending read reports any error of the connection.
    asio::async_write(socket_, asio::buffer(text), [self = shared_from_this()](const Error&, std::size_t) {});
  }

  void read() {
    socket_.async_read_some(asio::buffer(readBuffer_),
                            [self = shared_from_this()](const Error& error, std::size_t size) {
                              if (self->closedHere_) return;
                              if (error) return self->closedByGatekeeper();
                              self->checkStatus(size);
                              self->read();
                            });
  }

  // Checks the status line of the answer to a complete request.
  void checkStatus(std::size_t size) {
    if (payload_ != Payload::completeRequest || statusLineStart_.size() >= kStatus200.size()) return;
    statusLineStart_.append(readBuffer_.data(), std::min(size, kStatus200.size() - statusLineStart_.size()));
    if (statusLineStart_.size() == kStatus200.size() && statusLineStart_ != kStatus200)
      ++clients_.counts_.refused;
  }

  void closedByGatekeeper() {
    ++clients_.counts_.closed;
    clients_.ended(shared_from_this());
  }

  IdleClients& clients_;
  const Payload payload_;
  tcp::socket socket_;
  std::array<char, kReadBytes> readBuffer_{};
  std::string statusLineStart_;  // the first bytes of the answer
  bool closedHere_ = false;
};

IdleClients::IdleClients(asio::io_context& io, unsigned short port, const IdleLoad& load, std::uint64_t seed)
    : io_(io), port_(port), load_(load), timer_(io) {
  std::mt19937_64 random(seed);
  std::uniform_real_distribution<double> share;
  for (int client = 0; client < load_.each; ++client) {
    const double drawn = share(random);
    Payload payload = Payload::nothing;
    if (drawn < load_.requestShare)
      payload = Payload::completeRequest;
    else if (drawn < load_.requestShare + load_.partShare)
      payload = Payload::partialRequest;
    waiting_.push_back(payload);
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
  timer_.expires_after(kConnectPeriod);
  timer_.async_wait([this](const Error& error) {
    if (error || !running_) return;
    connectWaiting();
    connectLater();
  });
}

// Unused tokens accumulate to at most one period's connections, or to one connection if a period has less.
void IdleClients::connectWaiting() {
  const double tokensPerPeriod = load_.connectsPerS * std::chrono::duration<double>(kConnectPeriod).count();
  connectTokens_ = std::min(connectTokens_ + tokensPerPeriod, std::max(1.0, tokensPerPeriod));
  while (connectTokens_ >= 1 && !waiting_.empty()) {
    connectTokens_ -= 1;
    const Payload payload = waiting_.front();
    waiting_.pop_front();
    connect(payload);
  }
}

void IdleClients::connect(Payload payload) {
  const auto connection = std::make_shared<Connection>(*this, payload);
  connections_.insert(connection);
  connection->start();
}

void IdleClients::ended(const std::shared_ptr<Connection>& connection) {
  if (connections_.erase(connection) == 0) return;
  waiting_.push_back(connection->payload());
}

}  // namespace wingslip::lab
