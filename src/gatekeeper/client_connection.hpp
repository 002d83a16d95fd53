/// One connection of a client: reads requests, hands them to the handler and writes the responses.
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

#include "gatekeeper/body_rate.hpp"
#include "gatekeeper/client_response.hpp"
#include "gatekeeper/client_server.hpp"
#include "gatekeeper/connection_order.hpp"

namespace wingslip {

/// Bytes that a connection is charged with: its parser, a first buffer, a request of 2 KiB and a short
/// response. Once it is accepted, a small request never waits for memory.
constexpr std::size_t kClientConnectionBytes = 12 * 1024;

constexpr ImmediateResponse kNoCapacity{http::status::service_unavailable,
                                        "refused: no room, try again later"};

/// Why a connection is closed after an error of a read or write.
inline CloseReason closeReasonOf(const Error& error) {
  return error == asio::error::eof ? CloseReason::peerClosed : CloseReason::peerReset;
}

/// One client connection: one request at a time, in the order in which they come. Held by the server's set
/// and by pending handlers. Everything runs on the one event loop.
class ClientServer::Connection : public Responder,
                                 public ConnectionOrder::Entry,
                                 public std::enable_shared_from_this<Connection> {
 public:
  using Clock = std::chrono::steady_clock;
  using Socket = boost::asio::ip::tcp::socket;

  /// `memory`: holds kClientConnectionBytes. `overflow`: beyond the limit of regular connections; its request
  /// is read as far as the header and rejected, unless there is capacity by then.
  Connection(ClientServer& server, Socket socket, MemoryBudget::Charge memory, bool overflow)
      : server_(server),
        memory_(std::move(memory)),
        overflow_(overflow),
        socket_(std::move(socket)),
        timer_(socket_.get_executor()) {}

  void start();

  // Responder
  void respond(ClientResponse&& response) override;
  void startStream(const StreamedResponseHead& head) override;
  void sendPiece(std::string&& piece, bool last, std::function<void()> onPieceWritten) override;
  void holdMemory(MemoryBudget::Charge&& memory) override;
  void abortStream() override;
  void readBody(BodyPieceHandler onPiece) override;
  bool hasDisconnected() override;
  void closeDisconnected() override;

  /// No byte of a request has been read since the last response.
  bool isIdle() const { return state_ == State::reading && !requestStarted(); }
  bool isOverflow() const { return overflow_; }
  Clock::time_point openedAt() const { return openedAt_; }
  Clock::time_point idleSince() const { return idleSince_; }
  /// Whether bytes have arrived that no handler has read yet.
  bool hasUnreadData();

  /// Closes at once. A request on it ends; one that is owed an answer is reported.
  void close(CloseReason reason);
  /// Closes without telling anybody, as the server is destroyed.
  void abandon();
  /// Nobody accepts any more: ends an idle connection. A new one may still bring its first request.
  void closeIfIdle();
  /// Ends an idle connection, at first only its sending. A request that crosses this is not read, and its
  /// client sends it again on another connection.
  void closeIdle();
  /// An overflow connection makes way for another: with a rejection if a request has started.
  void evictFromOverflow();

 private:
  enum class State {
    reading,       // idle, or a request is being read
    inFlight,      // the handler has the request
    streaming,     // the response is streamed
    responding,    // the last bytes of the response are being written
    skippingBody,  // the response is written, and the rest of the request's body is read and dropped
    lingering,     // nothing more is sent; waits for the client's end
    closed,
  };

  // A completion handler that does nothing once the connection is closed.
  template <class Handler>
  auto guard(Handler handler) {
    return [self = shared_from_this(), this, handler](const Error& error, std::size_t bytes = 0) {
      if (state_ != State::closed) handler(error, bytes);
    };
  }
  template <class Handler>
  auto guardPosted(Handler handler) {
    return [self = shared_from_this(), this, handler] {
      if (state_ != State::closed) handler();
    };
  }

  // Life of the connection, time limits (client_connection.cpp)
  bool requestStarted() const { return requestStarted_ || input_.size() > 0; }
  bool owesAnswer() const;
  void recordWait(WaitQueue reason) {
    waitRecord_.enter(server_.pressure_.waitQueues(), reason, OverloadManager::now());
  }
  void recordTimeout(WaitQueue reason) { server_.pressure_.waitQueues().countRejection(reason); }
  void armTimer(std::chrono::milliseconds span);
  void onTimer();
  void awaitRequest();
  void enterIdleOrder();
  void leaveOverflow();
  void finishExchange();
  void linger();
  bool discardInput();
  std::size_t memoryBytes(std::size_t more) const;
  void releaseRequestMemory();

  // Reading a request (client_connection_reading.cpp)
  void read();
  void waitForMemory(bool awaitingBody);
  void onReadable(const Error& waitError);
  std::size_t readStep() const;
  bool reserveReadMemory();
  bool wantsInput() const;
  void checkDisconnect();
  bool isBodyInTime(std::size_t bytes);
  void processInput();
  void parseRequest();
  void parseBody();
  void startBody();
  void deliverBody();
  void skipBlankLines();
  bool expectsContinue() const;
  void sendContinue();
  decision::Time measureUnreadWait();
  void onStreamedRequest();
  void onWholeRequest(ClientMessage&& message);
  void admit(const ParsedRequest& request, ClientMessage&& message);

  // Writing a response (client_connection_writing.cpp)
  void respondReadiness(http::verb method);
  void reject(const ImmediateResponse& rejection, decision::Time retryAfterMs = 0);
  void rejectForCapacity(WaitQueue reason);
  void rejectSlowBody();
  void write();
  void onWritten();

  ClientServer& server_;
  MemoryBudget::Charge memory_;          // of this connection and of the request on it
  MemoryBudget::Charge responseMemory_;  // of a response that is being written
  WaitQueues::QueueEntry waitRecord_;
  OverloadManager::PausedReader pausedRead_;
  std::size_t requestBytes_ = 0;    // read of the request and not yet released
  std::size_t forwardedBytes_ = 0;  // of these: given to the handler and not yet written to the worker
  bool overflow_;
  const Clock::time_point openedAt_ = Clock::now();
  Socket socket_;
  boost::asio::steady_timer timer_;
  beast::flat_buffer input_;
  std::optional<http::request_parser<WindowBody>> parser_;
  BodyPieceHandler bodyReader_;           // waits for the next piece of the request's body
  std::function<void()> onPieceWritten_;  // waits for the last piece of the response to be written
  ResponseBuffer output_;
  State state_ = State::reading;
  Clock::time_point idleSince_;
  decision::RequestId requestId_ = 0;
  std::size_t discardedBytes_ = 0;
  bool firstRequest_ = true;         // no whole request has come yet
  bool requestStarted_ = false;      // a request's first byte has come
  bool continueConsidered_ = false;  // 100 Continue was sent, or is not expected
  bool closeAfterResponse_ = false;
  bool reading_ = false;
  bool tcpStateKnown_ = false;  // the kernel tells of the connection's state, as it does on Linux
  bool inBody_ = false;         // a header has come, and a body follows
  bool bodyDone_ = true;        // nothing more of the body is to come
  unsigned requestVersion_ = 11;
  BodyRate bodyRate_;
};

}  // namespace wingslip
