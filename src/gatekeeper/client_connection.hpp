/// One connection of a client: reads requests, hands them to the handler and writes the answers.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "gatekeeper/client_server.hpp"
#include "gatekeeper/connection_order.hpp"

namespace wingslip {

/// Bytes that a connection is charged with: its parser, a first buffer, a request of 2 KiB and a short
/// answer. Once it is accepted, a small request never waits for room.
constexpr std::size_t kConnection = 12 * 1024;

/// One client connection: one request at a time, in the order in which they come.
class ClientServer::Connection : public Responder,
                                 public ConnectionOrder::Entry,
                                 public std::enable_shared_from_this<Connection> {
  using Clock = std::chrono::steady_clock;
  using Socket = boost::asio::ip::tcp::socket;

  template <class Handler>
  auto guard(Handler handler) {
    return [self = shared_from_this(), this, handler](const Error& error, std::size_t n = 0) {
      if (state_ != State::closed) handler(error, n);
    };
  }

  template <class Handler>
  auto guard0(Handler handler) {
    return [self = shared_from_this(), this, handler] {
      if (state_ != State::closed) handler();
    };
  }

 public:
  /// With `overflow` its header is heard, and it is turned away.
  Connection(ClientServer& server, Socket socket, MemoryBudget::Charge room, bool overflow)
      : server_(server),
        room_(std::move(room)),
        overflow_(overflow),
        socket_(std::move(socket)),
        timer_(socket_.get_executor()) {}

  void start();
  void answer(Answer&& answer) override;
  void begin(const AnswerHead& head) override;
  void pass(std::string&& piece, bool last, std::function<void()> room) override;
  void keep(MemoryBudget::Charge&& room) override;

  // Without its end where it states one; else a reset tells.
  void cut() override;
  void pull(TakePiece take) override;
  bool idle() const { return state_ == State::reading && !begun(); }
  bool isOverflow() const { return overflow_; }
  Clock::time_point openedAt() const { return openedAt_; }
  Clock::time_point idleSince() const { return idleSince_; }

  void close(CloseReason reason);

  // Ends it and tells nobody.
  void abandon();

  // Nobody accepts any more: ends a connection without a request. One that has just come may still bring its
  // first.
  void finishUp();

  // Heard beyond the limit, and another one comes: turned away with an answer if it has begun to speak.
  void giveWay();

  // Whether something has come that no handler has seen yet.
  bool unread();

  // What crosses this is not heard, and its client sends it once more on another connection.
  void endRest();

  // Whether the client has ended the connection, also behind bytes that nobody has read.
  bool gone() override;
  void leave() override;

 private:
  // Skipping: the answer is written, and the rest of the request's body is thrown away.
  enum class State { reading, held, streaming, answering, skipping, lingering, closed };
  bool begun() const { return begun_ || in_.size() > 0; }

  void wait(WaitQueue place) {
    waiting_.enter(server_.pressure_.waitQueues(), place, OverloadManager::now());
  }
  void turnAway(WaitQueue place) { server_.pressure_.waitQueues().countRejection(place); }

  bool owesAnswer() const;
  void arm(std::chrono::milliseconds span);
  void expire();
  void noRoom(WaitQueue place);

  // In the middle of a body that is passed on as it comes.
  void tooSlow();

  // Ready for the next request.
  void listen();

  // It may be closed from here on where another connection needs the room.
  void enterIdleOrder();

  // One read is pending in every state, so that the end of a client is seen while its request is held; only
  // where a body that is passed on waits for room none is.
  void read();

  // The request is no longer held.
  void giveBack();

  // What this connection takes, and what it takes with `more` bytes read.
  std::size_t cost(std::size_t more) const;

  // Whether there is room for the next read. A long body gives way before the budget is used up.
  bool hasRoom();

  // Nothing is read, so nothing but this tells that the client has left.
  void look();
  bool wantsMore() const;

  // Whether a body comes fast enough: only the time counts in which more of it is waited for.
  bool inTime(std::size_t n);

  // With what has been read, as far as the state wants it.
  void go();

  // What has come of the body, to who waits for it.
  void offer();
  void parse();

  // Some clients send an empty line behind a body.
  void skipBlankLines();
  bool expects() const;
  void sendContinue();

  // Of a connection's first request: how long its last byte has waited to be read.
  decision::Time waitedUnread();

  // A body too long to be held: judged by its header, and what has come of it goes along.
  void handleStream();
  void handle(ClientMessage&& message);
  void hold(const Call& call, ClientMessage&& message);

  // There is room after all.
  void leaveOverflow();
  void sayReady(http::verb method);

  // An answer from here: the request never reaches the handler.
  void reject(const Rejection& why, decision::Time retryAfter = 0);
  void write();
  void written();

  // The exchange is over on both sides.
  void next();

  // The answer's end is told at once; the connection goes when the client has seen it, so that bytes that it
  // was still sending do not reset what it has not read yet.
  void linger();

  // Somebody who sends without end is not worth the time that reading it takes.
  bool discard();

  ClientServer& server_;
  MemoryBudget::Charge room_;        // of this connection and of the request on it
  MemoryBudget::Charge answerRoom_;  // of an answer that is being written
  WaitQueues::QueueEntry waiting_;
  OverloadManager::PausedReader paused_;
  std::size_t requestBytes_ = 0;  // come of the request and not yet given away
  std::size_t passed_ = 0;        // of these, at the worker's side and not yet written
  bool overflow_;
  const Clock::time_point openedAt_ = Clock::now();
  Socket socket_;
  asio::steady_timer timer_;
  beast::flat_buffer in_;
  std::optional<http::request_parser<WindowBody>> parser_;
  TakePiece pull_;               // waits for the next of the body
  std::function<void()> taken_;  // waits for the next piece of the answer to be written
  std::string out_, writing_;
  State state_ = State::reading;
  Clock::time_point idleSince_;
  decision::RequestId id_ = 0;
  std::size_t discarded_ = 0;
  bool first_ = true;       // no whole request has come yet
  bool begun_ = false;      // a request's first byte has come
  bool continued_ = false;  // 100 Continue was considered
  bool last_ = false;       // the connection ends with the next answer
  bool reading_ = false;
  bool tcpTells_ = false;                    // of its state, as it should at the start
  bool inBody_ = false;                      // a header has come, and a body follows
  bool bodyDone_ = true;                     // nothing more of the body is to come
  bool chunked_ = false, delimited_ = true;  // the answer that is passed on
  unsigned version_ = 11;
  double bodyGot_ = 0;  // bytes
  Clock::duration bodyWaited_{};
  Clock::time_point readAt_;
};

}  // namespace wingslip
