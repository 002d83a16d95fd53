// A load of idle clients: each connects to a gatekeeper, sends nothing, one request or part of one, and rests
// until the gatekeeper closes the connection; then it connects again as soon as the load's rate allows.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <memory>
#include <set>

#include "scenario.hpp"

namespace wingslip::lab {

/// What has happened to the idle clients of one gatekeeper so far.
struct IdleClientCounts {
  long opened = 0;   ///< connections established
  long closed = 0;   ///< of these, closed or reset by the gatekeeper
  long refused = 0;  ///< attempts to connect that failed, and whole requests not answered 200
};

/// The idle clients of one gatekeeper. Single-threaded, on the loop it is given; it must be destroyed before
/// the loop.
class IdleClients {
 public:
  /// `port` is the gatekeeper's on 127.0.0.1. Which clients send a request or part of one comes from `seed`.
  IdleClients(boost::asio::io_context& io, unsigned short port, const IdleLoad& load, std::uint64_t seed);
  ~IdleClients();
  IdleClients(const IdleClients&) = delete;
  IdleClients& operator=(const IdleClients&) = delete;

  /// From here on all clients connect, at `IdleLoad::connectsPerS` at most.
  void start();
  /// Closes all connections; no client connects again.
  void stop();
  const IdleClientCounts& counts() const { return counts_; }

 private:
  enum class Sends { nothing, wholeRequest, partOfRequest };
  class Connection;

  void connectLater();
  void connectWaiting();
  void connect(Sends sends);
  void ended(const std::shared_ptr<Connection>& connection);

  boost::asio::io_context& io_;
  const unsigned short port_;
  const IdleLoad load_;
  boost::asio::steady_timer timer_;
  std::deque<Sends> waiting_;  // clients without a connection, the next to connect first
  std::set<std::shared_ptr<Connection>> connections_;
  double allowed_ = 0;  // connections that the rate allows now
  bool running_ = false;
  IdleClientCounts counts_;
};

}  // namespace wingslip::lab
