// The clients' side: the listener, client connections, readiness, and the writing of answers.
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

#include "gatekeeper/client_request.hpp"
#include "gatekeeper/close_reason.hpp"
#include "gatekeeper/connection_order.hpp"
#include "net/http.hpp"
#include "net/overload_manager.hpp"

namespace wingslip {

struct Answer {
  http::status status = http::status::ok;
  std::string body;
  std::string contentType = "text/plain";
  decision::Time retryAfter = 0;  // ms; 0: no advice
  MemoryBudget::Charge room;      // of the body, until it is written
};

// An answer that is passed on as it comes.
struct AnswerHead {
  std::string contentType;
  std::optional<std::uint64_t> length;  // nothing: only its end tells
};

// The connection that a request came on, as its handler sees it.
class Responder {
 public:
  using TakePiece = std::function<void(std::string&& piece, bool last)>;

  virtual ~Responder() = default;
  // The final answer, once for each request held.
  virtual void answer(Answer&& answer) = 0;
  // Or its head, then its pieces, each once `room` was called for the one before.
  virtual void begin(const AnswerHead& head) = 0;
  virtual void pass(std::string&& piece, bool last, std::function<void()> room) = 0;
  // The last piece comes with what holds it, until it is written.
  virtual void keep(MemoryBudget::Charge&& room) = 0;
  // What was begun cannot be finished, and the client can tell.
  virtual void cut() = 0;
  // The next of a body that is not held whole, later; never, if the client leaves.
  virtual void pull(TakePiece take) = 0;
  // Whether the client has gone, whatever has been read of it; then `leave` ends the connection.
  virtual bool gone() = 0;
  virtual void leave() = 0;
};

/// Receives the requests of clients, on the event loop.
class RequestHandler {
 public:
  virtual ~RequestHandler() = default;
  /// Whether requests are served, for the readiness endpoint.
  virtual bool ready() const = 0;
  virtual decision::RequestId nextRequestId() = 0;
  /// Takes over a request. The responder is answered once, maybe before this returns.
  virtual void onRequest(decision::RequestId id, const Call& call, ClientMessage&& message,
                         const std::shared_ptr<Responder>& responder) = 0;
  /// The client has disconnected: no answer is wanted.
  virtual void onClientDisconnect(decision::RequestId id) = 0;
  /// A request of this class was rejected here and never reached `onRequest`.
  virtual void onRequestRejected(unsigned classIndex) = 0;
  /// A connection was closed with a request read and not answered, while its client was still connected.
  virtual void onClosedUnanswered(CloseReason reason) = 0;
};

class ClientServer {
 public:
  struct Limits {
    std::size_t connections = 480;
    /// Of these, kept for overflow: where all others are busy for `overflowAfter`, a peer is heard on one of
    /// them as far as its header and turned away, so that a malformed or silent one is not left in the
    /// kernel's queue.
    std::size_t overflowPlaces() const { return std::min<std::size_t>(8, connections / 16); }
    std::chrono::milliseconds overflowAfter{500};
    std::chrono::milliseconds overflowLeast{1000};  // an overflow connection gives way to the next after this
    std::chrono::milliseconds pausedMost{1000};     // a request that comes and finds no room in memory
    std::chrono::milliseconds idleLeast{2000};      // an idle connection may be closed after this
    std::chrono::milliseconds idleFor{75000};
    // A peer that sends no whole request is owed an error or a close within 3 s of connecting.
    std::chrono::milliseconds firstWithin{2500};  // a connection's first request, from its acceptance
    std::chrono::milliseconds wholeWithin{
        2500};                                // a later one, from its first byte; both up to the header's end
    std::chrono::milliseconds bodyGap{1500};  // between two pieces of a body
    std::chrono::milliseconds bodyGrace{2000};    // then a body must have come at bodyRate
    double bodyRate = 32;                         // bytes a ms; slow clients send 64
    std::chrono::milliseconds skipWithin{10000};  // for the rest of a body that is answered already
    std::chrono::milliseconds writeWithin{10000};
    std::chrono::milliseconds lingerFor{1000};
    std::size_t lingerBytes = 256 * 1024;  // thrown away of what a peer goes on sending after its last answer
  };

  // What happened since the last look, for the service log.
  struct Stats {
    unsigned accepted = 0;         // connections taken from the kernel's queue
    unsigned rejected = 0;         // requests answered from here: malformed, too large, too slow
    std::size_t mostBuffered = 0;  // bytes of one connection read and not yet understood
    double mostWaited = 0;         // ms from a first request's last byte until it was read
  };

  ClientServer(boost::asio::io_context& io, const Config& config, const Limits& limits,
               RequestHandler& handler, OverloadManager& pressure);
  ~ClientServer();
  ClientServer(const ClientServer&) = delete;
  ClientServer& operator=(const ClientServer&) = delete;

  void start();  // throws std::runtime_error if it cannot listen
  // Where the platform holds the listening socket: from `start` on connections wait there until this.
  void beginAccepting();
  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

  std::size_t connections() const { return connections_.size(); }
  // Of the connections that there may be, the part that has a request.
  double busyShare() const;
  // Under pressure: closes what has been idle for long enough.
  void trimIdle();
  Stats takeStats() { return std::exchange(stats_, {}); }
  const CloseCounts& closes() const { return closes_; }

  // From here on every answer ends its connection.
  void beginDrain() { draining_ = true; }
  // No more connections. Of its own socket it takes what the machine has accepted already; one that the
  // platform holds goes on listening, and what waits there is the next process's.
  void stopAccepting();
  // Closes the connections without a request.
  void finishUp();
  // Called as soon as no connection is left.
  void whenEmpty(std::function<void()> done);

 private:
  class Connection;

  /// Whether one more connection may be accepted: below the limit, or some connection is idle. Asks nothing
  /// of the kernel.
  bool hasRoom() const;
  std::size_t mostUsual() const { return limits_.connections - limits_.overflowPlaces(); }
  void accept();
  void takeNext();
  void openOverflow();
  void refillOverflowRooms();
  void acceptToOverflow();
  bool makeOverflowRoom();
  decision::Time turnedAwayFor() const;
  void acceptLater();
  void admitWaiting();
  void add(boost::asio::ip::tcp::socket socket);
  void addAtStop(boost::asio::ip::tcp::socket socket);
  /// Accepts what the machine's queue still holds, then closes the listener.
  void takeQueued();
  void takeQueuedLater();
  bool makeRoomAtStop();
  void closeListener();
  void remove(const std::shared_ptr<Connection>& connection);
  /// Closes the connection that has been idle longest. False: none is idle.
  bool closeLeastRecentlyUsed();

  const Config& config_;
  const Limits limits_;
  RequestHandler& handler_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer pause_, overflowTimer_;
  OverloadManager& pressure_;
  std::unordered_set<std::shared_ptr<Connection>> connections_;
  ConnectionOrder idle_;    // without a request, least recently used first
  ConnectionOrder ending_;  // told their end while they were idle; closed first where room is needed
  ConnectionOrder overflowOrder_;
  std::optional<boost::asio::ip::tcp::socket> waiting_;  // accepted, and no room yet
  WaitQueues::Waiting noRoom_;                           // since when there is none
  std::size_t overflowCount_ = 0;
  std::vector<MemoryBudget::Charge> overflowRooms_;  // one for each overflow place that is free
  bool overflowOpen_ = false;
  std::function<void()> done_;
  Stats stats_;
  CloseCounts closes_;
  mutable std::mt19937_64 chance_;  // for advice on when to come back; from the configured seed
  bool open_ = false;               // connections may come in
  bool accepting_ = false;          // an accept is pending
  bool draining_ = false;
};

}  // namespace wingslip
