// A load of idle clients: each connects to a gatekeeper, sends nothing, one request or part of one, and stays
// idle until the gatekeeper closes the connection; then it reconnects as soon as the connection rate of the
// load permits.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <memory>
#include <set>

#include "scenario.hpp"

namespace wingslip::lab {

/// Counts of the idle clients of one gatekeeper since the start.
struct IdleClientCounts {
  long opened = 0;   ///< connections established
  long closed = 0;   ///< established connections closed or reset by the gatekeeper
  long refused = 0;  ///< failed connection attempts, and complete requests not answered with 200
};

/// The idle clients of one gatekeeper. Single-threaded, on the event loop `io`, which must outlive it.
class IdleClients {
 public:
  /// `port`: the gatekeeper's port on 127.0.0.1. `seed` determines which clients send a request or part of
  /// one.
  IdleClients(boost::asio::io_context& io, unsigned short port, const IdleLoad& load, std::uint64_t seed);
  ~IdleClients();
  IdleClients(const IdleClients&) = delete;
  IdleClients& operator=(const IdleClients&) = delete;

  /// Starts to connect all clients, at most `IdleLoad::connectsPerS` a second.
  void start();
  /// Closes all connections; no client reconnects.
  void stop();
  const IdleClientCounts& counts() const { return counts_; }

 private:
  enum class Payload { nothing, completeRequest, partialRequest };
  class Connection;

  void connectLater();
  void connectWaiting();
  void connect(Payload payload);
  void ended(const std::shared_ptr<Connection>& connection);

  boost::asio::io_context& io_;
  const unsigned short port_;
  const IdleLoad load_;
  boost::asio::steady_timer timer_;
  std::deque<Payload> waiting_;  // clients without a connection; the first connects next
  std::set<std::shared_ptr<Connection>> connections_;
  double connectTokens_ = 0;  // connections that the rate limit permits now
  bool running_ = false;
  IdleClientCounts counts_;
};

}  // namespace wingslip::lab
