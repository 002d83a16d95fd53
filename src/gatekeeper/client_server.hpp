/// The server for client connections: listener, connection limit and eviction of idle connections.
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

/// Owns the listener and all client connections. Not thread-safe: runs on the event loop only.
class ClientServer {
 public:
  /// Connection limit and timeouts of the server.
  struct Limits {
    /// Maximum number of open client connections, including the overflow connections.
    std::size_t maxConnections = 480;
    /// Number of connections, out of `maxConnections`, that are reserved for overflow. They are used once
    /// there has been no capacity for `overflowDelay`: the request of an overflow connection is read up to
    /// the end of its header and rejected. Without them, malformed and silent peers would wait in the
    /// kernel's accept queue, without the error or close that they must get (see `firstRequestTimeout`).
    std::size_t overflowSlots() const { return std::min<std::size_t>(8, maxConnections / 16); }
    std::chrono::milliseconds overflowDelay{500};     ///< time without capacity until overflow starts
    std::chrono::milliseconds minOverflowTime{1000};  ///< age from which an overflow connection is evictable
    std::chrono::milliseconds maxMemoryWait{1000};    ///< longest wait for memory to read on a request body
    std::chrono::milliseconds minIdleTime{2000};   ///< idle time from which overload may close a connection
    std::chrono::milliseconds idleTimeout{75000};  ///< between two requests of a connection
    // A peer that sends no complete request must get an error or a close within 3 s of connecting; the
    // timeout runs only from the accept.
    std::chrono::milliseconds firstRequestTimeout{2500};  ///< from the accept to the end of the header
    std::chrono::milliseconds headerTimeout{2500};        ///< for later requests, from their first byte
    std::chrono::milliseconds bodyReadTimeout{1500};      ///< between two reads of a request body
    std::chrono::milliseconds bodyRateGracePeriod{2000};  ///< waiting time exempt from `minBodyBytesPerMs`
    double minBodyBytesPerMs = 32;  ///< minimum body rate, bytes/ms; slow clients send 64 bytes/ms
    std::chrono::milliseconds bodyDiscardTimeout{10000};  ///< for the remaining body of an answered request
    std::chrono::milliseconds writeTimeout{10000};        ///< for each write of response bytes
    std::chrono::milliseconds lingerTimeout{1000};        ///< for the client to close after the last response
    std::size_t maxLingerBytes = 256 * 1024;  ///< input discarded during the lingering close, bytes
  };

  /// Counters and maxima since the last `takeStats`, for the service log unless noted otherwise.
  struct Stats {
    unsigned accepted = 0;  ///< connections accepted, except while stopping; not logged
    /// Requests rejected by this server: malformed, too large, too slow or no capacity; and readiness probes
    /// not answered with 200.
    unsigned rejected = 0;
    std::size_t maxBufferedBytes = 0;  ///< maximum of the bytes read and not yet parsed on one connection
    double maxUnreadWaitMs = 0;        ///< maximum time, ms, that a connection's first request was unread
  };

  /// The references must outlive the server.
  ClientServer(boost::asio::io_context& io, const Config& config, const Limits& limits,
               RequestHandler& handler, OverloadManager& overloadManager);
  ~ClientServer();
  ClientServer(const ClientServer&) = delete;
  ClientServer& operator=(const ClientServer&) = delete;

  /// Opens the listener, or adopts the socket passed by the platform (`Config::inheritedListenFd`).
  /// @throws std::runtime_error if listening fails
  void start();
  /// Starts accepting. Called by `start`, unless the platform owns the listening socket: there, connections
  /// stay in the kernel's accept queue from `start` until this call.
  void startAccepting();
  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

  /// Number of open client connections, including the overflow connections.
  std::size_t connections() const { return connections_.size(); }
  /// Connections with a request, as a share (0 to 1) of the maximum number of regular connections.
  double busyFraction() const;
  /// For use under overload: closes the connections that have been idle for at least `minIdleTime`.
  void closeLongIdleConnections();
  /// Returns the statistics and resets them.
  Stats takeStats() { return std::exchange(stats_, {}); }
  /// Closed connections by reason, since the start of the process.
  const CloseCounts& closes() const { return closes_; }

  /// From this call on, each connection is closed after the response to the last request received on it.
  void startDrain() { draining_ = true; }
  /// Stops accepting. With a listening socket of its own, the server first accepts the connections in the
  /// accept queue; a socket owned by the platform keeps listening, and the next process accepts its queue.
  void stopAccepting();
  /// Closes the connections that have no request in progress, now and whenever one becomes idle later. A new
  /// connection and an incomplete request header get a short time limit instead.
  void closeIdleConnections();
  /// From this call on, each request that is read is refused. Requests in flight are not affected.
  void startRefusing() { refusing_ = true; }
  /// Refuses the requests that have been read in part, and closes idle connections. For use after
  /// `startRefusing`, which refuses those of which more is read later.
  void refuseIncompleteRequests();
  /// Calls `done` once all connections and the listener are closed, possibly before this returns.
  void notifyWhenEmpty(std::function<void()> done);

 private:
  class Connection;

  bool hasCapacity() const;
  std::size_t maxRegular() const { return limits_.maxConnections - limits_.overflowSlots(); }
  void accept();
  void acceptNext();
  void scheduleOverflow();
  void reserveOverflowMemory();
  void acceptToOverflow();
  bool freeOverflowSlot();
  decision::Time rejectionRetryAfterMs() const;
  void retryAccept();
  void admitAccepted();
  void add(boost::asio::ip::tcp::socket socket);
  void addWhileStopping(boost::asio::ip::tcp::socket socket);
  void drainAcceptQueue();
  void scheduleAcceptQueueDrain();
  bool freeMemoryWhileStopping();
  void closeListener();
  void remove(const std::shared_ptr<Connection>& connection);
  bool evictConnection();

  const Config& config_;
  const Limits limits_;
  RequestHandler& handler_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer acceptRetryTimer_;
  boost::asio::steady_timer overflowTimer_;
  OverloadManager& overloadManager_;
  std::unordered_set<std::shared_ptr<Connection>> connections_;
  ConnectionOrder idle_;           // connections without a request, least recently used first
  ConnectionOrder lingering_;      // closed while idle, in lingering close; evicted first
  ConnectionOrder overflowOrder_;  // oldest first
  std::optional<boost::asio::ip::tcp::socket> acceptedSocket_;  // accepted, waiting for capacity
  WaitQueues::QueueEntry capacityWait_;                         // entered while there is no capacity
  std::size_t overflowCount_ = 0;
  std::vector<MemoryBudget::Charge> overflowMemory_;  // one charge for each free overflow slot
  bool overflowEnabled_ = false;                      // `overflowDelay` has passed without capacity
  std::function<void()> done_;
  Stats stats_;
  CloseCounts closes_;
  mutable std::mt19937_64 randomGenerator_;  // jitter of Retry-After; seeded from the configuration
  bool acceptEnabled_ = false;               // between `startAccepting` and `stopAccepting`
  bool acceptPending_ = false;               // a wait for the listener to become readable is pending
  bool draining_ = false;
  bool closesIdle_ = false;  // `closeIdleConnections` has been called
  bool refusing_ = false;    // `startRefusing` has been called
};

}  // namespace wingslip
