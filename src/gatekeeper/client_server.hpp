/// The clients' side: the listener, how many connections there may be, and which are closed for others.
#pragma once

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

#include "gatekeeper/close_reason.hpp"
#include "gatekeeper/connection_order.hpp"
#include "gatekeeper/request_handler.hpp"
#include "net/http.hpp"
#include "net/overload_manager.hpp"

namespace wingslip {

/// Owns the listener and all client connections. Everything runs on the one event loop.
class ClientServer {
 public:
  struct Limits {
    std::size_t maxConnections = 480;
    /// Connections of the maximum that are kept for overflow: where all others are busy for `overflowDelay`,
    /// a peer is read on one of them as far as its header and rejected, so that a malformed or silent one is
    /// not left in the kernel's accept queue.
    std::size_t overflowSlots() const { return std::min<std::size_t>(8, maxConnections / 16); }
    std::chrono::milliseconds overflowDelay{500};
    std::chrono::milliseconds minOverflowTime{1000};  ///< then an overflow connection makes way for the next
    std::chrono::milliseconds maxMemoryWait{1000};    ///< of a request that comes and finds no memory
    std::chrono::milliseconds minIdleTime{2000};  ///< then an idle connection may be closed under overload
    std::chrono::milliseconds idleTimeout{75000};
    // A peer that sends no whole request is owed an error or a close within 3 s of connecting.
    std::chrono::milliseconds firstRequestTimeout{2500};  ///< from the accept to the header's end
    std::chrono::milliseconds headerTimeout{2500};        ///< of a later request, from its first byte
    std::chrono::milliseconds bodyPieceTimeout{1500};     ///< between two pieces of a body
    std::chrono::milliseconds bodyGrace{2000};         ///< then a body must have come at `minBodyBytesPerMs`
    double minBodyBytesPerMs = 32;                     ///< slow clients send 64
    std::chrono::milliseconds skipBodyTimeout{10000};  ///< for the rest of a body that is answered already
    std::chrono::milliseconds writeTimeout{10000};
    std::chrono::milliseconds lingerTimeout{1000};  ///< for the client's end after the last response
    std::size_t maxLingerBytes = 256 * 1024;        ///< dropped of what the client sends meanwhile
  };

  /// Counts since the last `takeStats`, for the service log.
  struct Stats {
    unsigned accepted = 0;         ///< connections taken from the kernel's queue
    unsigned rejected = 0;         ///< requests answered here: malformed, too large, too slow, no capacity
    std::size_t mostBuffered = 0;  ///< bytes of one connection read and not yet parsed
    double mostWaited = 0;         ///< ms from a first request's last byte until it was read
  };

  ClientServer(boost::asio::io_context& io, const Config& config, const Limits& limits,
               RequestHandler& handler, OverloadManager& pressure);
  ~ClientServer();
  ClientServer(const ClientServer&) = delete;
  ClientServer& operator=(const ClientServer&) = delete;

  /// Throws std::runtime_error if it cannot listen.
  void start();
  /// Where the platform holds the listening socket connections wait there from `start` until this.
  void startAccepting();
  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

  std::size_t connections() const { return connections_.size(); }
  /// Connections with a request as a share (0 to 1) of the most regular connections.
  double busyShare() const;
  /// Under overload: closes what has been idle for `minIdleTime`.
  void closeLongIdle();
  Stats takeStats() { return std::exchange(stats_, {}); }
  const CloseCounts& closes() const { return closes_; }

  /// From here on every response ends its connection.
  void startDrain() { draining_ = true; }
  /// No more connections. Those in the accept queue of its own socket are still taken; a socket that the
  /// platform holds goes on listening, and its queue is the next process's.
  void stopAccepting();
  /// Closes the connections without a request.
  void closeIdle();
  /// `done` is called as soon as no connection is left and the listener is closed.
  void whenEmpty(std::function<void()> done);

 private:
  class Connection;

  bool hasCapacity() const;
  std::size_t maxRegular() const { return limits_.maxConnections - limits_.overflowSlots(); }
  void accept();
  void acceptNext();
  void openOverflowLater();
  void reserveOverflowMemory();
  void acceptToOverflow();
  bool freeOverflowSlot();
  decision::Time rejectionRetryAfterMs() const;
  void retryAccept();
  void admitAccepted();
  void add(boost::asio::ip::tcp::socket socket);
  void addAtStop(boost::asio::ip::tcp::socket socket);
  void acceptQueued();
  void acceptQueuedLater();
  bool freeMemoryAtStop();
  void closeListener();
  void remove(const std::shared_ptr<Connection>& connection);
  bool closeLeastRecentlyUsed();

  const Config& config_;
  const Limits limits_;
  RequestHandler& handler_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer acceptRetryTimer_;
  boost::asio::steady_timer overflowTimer_;
  OverloadManager& pressure_;
  std::unordered_set<std::shared_ptr<Connection>> connections_;
  ConnectionOrder idle_;           // without a request, least recently used first
  ConnectionOrder lingering_;      // ended while idle; closed first where capacity is needed
  ConnectionOrder overflowOrder_;  // oldest first
  std::optional<boost::asio::ip::tcp::socket> accepted_;  // no capacity for it yet
  WaitQueues::QueueEntry fullRecord_;                     // since when there is no capacity
  std::size_t overflowCount_ = 0;
  std::vector<MemoryBudget::Charge> overflowMemory_;  // one for each overflow slot that is free
  bool overflowOpen_ = false;
  std::function<void()> done_;
  Stats stats_;
  CloseCounts closes_;
  mutable std::mt19937_64 jitter_;  // of Retry-After; from the configured seed
  bool open_ = false;               // connections may be accepted
  bool accepting_ = false;          // an accept is pending
  bool draining_ = false;
};

}  // namespace wingslip
