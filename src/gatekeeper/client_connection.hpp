/// A client connection: reads requests, passes them to the handler and writes the responses.
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

#include "gatekeeper/body_lag.hpp"
#include "gatekeeper/body_rate.hpp"
#include "gatekeeper/client_response.hpp"
#include "gatekeeper/client_server.hpp"
#include "gatekeeper/connection_order.hpp"

namespace wingslip {

/// Bytes charged for a connection when it is accepted: its parser, a first buffer, a request of 2 KiB and a
/// short response. So a small request on an accepted connection never waits for memory.
constexpr std::size_t kClientConnectionBytes = 12 * 1024;

/// The response to a request for which there is no free connection slot or no memory.
constexpr ImmediateResponse kNoCapacity{http::status::service_unavailable,
                                        "refused: no room, try again later"};
/// The response to a request that is read, or still being read, when the process is about to exit.
constexpr ImmediateResponse kShuttingDown{http::status::service_unavailable,
                                          "refused: shutting down, try again elsewhere"};
/// The response to a request that its client sends too slowly.
constexpr ImmediateResponse kTooSlow{http::status::request_timeout, "too slow"};

/// Returns the close reason that a read or write error stands for.
inline CloseReason closeReasonOf(const Error& error) {
  return error == asio::error::eof ? CloseReason::peerClosed : CloseReason::peerReset;
}

/// A client connection. Handles pipelined requests one at a time, in order of arrival. Owned by the server's
/// set and by pending handlers. Not thread-safe: runs on the event loop only.
class ClientServer::Connection : public Responder,
                                 public ConnectionOrder::Entry,
                                 public std::enable_shared_from_this<Connection> {
 public:
  using Clock = std::chrono::steady_clock;
  using Socket = boost::asio::ip::tcp::socket;

  /// @param memory a charge of kClientConnectionBytes
  /// @param overflow the connection is beyond the limit of regular connections: its request is read up to the
  ///     end of the header and rejected, unless there is capacity by then
  Connection(ClientServer& server, Socket socket, MemoryBudget::Charge memory, bool overflow)
      : server_(server),
        memory_(std::move(memory)),
        overflow_(overflow),
        socket_(std::move(socket)),
        timer_(socket_.get_executor()) {}

  /// Sets the socket options and starts reading.
  void start();

  // Responder
  void respond(ClientResponse&& response) override;
  void startStream(const StreamedResponseHead& head) override;
  void sendPiece(std::string&& piece, bool last, std::function<void()> onPieceWritten) override;
  void chargeFinalPiece(MemoryBudget::Charge&& memory) override;
  void abortStream() override;
  void readBody(BodyPieceHandler onPiece) override;
  decision::Time bodyLagMs() override;
  bool hasDisconnected() override;
  bool mayHaveDisconnected() override;
  void closeDisconnected() override;

  /// Whether no byte of a request has been read since the last response.
  bool isIdle() const { return state_ == State::reading && !requestStarted(); }
  bool isOverflow() const { return overflow_; }
  Clock::time_point openedAt() const { return openedAt_; }
  Clock::time_point idleSince() const { return idleSince_; }
  /// Whether the kernel has received bytes that the read handler is about to read. False while reading is
  /// paused.
  bool isReadDue();

  /// Closes the connection immediately and cancels its request. An unanswered request is reported to the
  /// handler, unless the client has closed the connection or its response was truncated.
  void close(CloseReason reason);
  /// Closes without notifying the handler or the server; used by `close` and the server's destructor.
  void abandon();
  /// For use once accepting has stopped: closes the connection if it is idle. A new connection or an
  /// incomplete request header gets a short time limit instead.
  void closeIfIdle();
  /// Closes an idle connection: immediately, or with a lingering close if it has carried a response. A
  /// request that arrives during the lingering close is discarded; its client retries it on another
  /// connection.
  void closeIdle();
  /// For use while the server refuses requests: refuses a request that has been read in part, and closes an
  /// idle connection. Does nothing if bytes are about to be read; the read handler calls it again.
  void refuseIncomplete();
  /// Closes an overflow connection to free its slot; with a rejection if a request has started.
  void evictFromOverflow();

 private:
  enum class State {
    reading,         // idle, or a request is being read
    inFlight,        // the request is with the handler, or `reject` is about to respond to it
    streaming,       // the response is being streamed
    responding,      // the last bytes of the response are being written
    discardingBody,  // the response is written; the remaining request body is read and discarded
    lingering,       // the sending side is shut down; waits for the client to close
    closed,
  };

  // Wraps a completion handler: keeps the connection alive, and does nothing once it is closed.
  template <class Handler>
  auto guard(Handler handler) {
    return [self = shared_from_this(), this, handler](const Error& error, std::size_t bytes = 0) {
      if (state_ != State::closed) handler(error, bytes);
    };
  }
  // The same for a handler without arguments.
  template <class Handler>
  auto guardPosted(Handler handler) {
    return [self = shared_from_this(), this, handler] {
      if (state_ != State::closed) handler();
    };
  }

  // Lifecycle and time limits (client_connection.cpp)
  bool requestStarted() const { return requestStarted_ || input_.size() > 0; }
  // Whether no complete header of a request has been read since the last response.
  bool isAwaitingHeader() const { return state_ == State::reading && !inBody_; }
  bool hasUnansweredRequest() const;
  bool hasInputBehindRequest();
  bool mustCloseAfterResponse();
  bool announcedClose() const;
  void recordWait(WaitQueue queue) {
    waitRecord_.enter(server_.overloadManager_.waitQueues(), queue, OverloadManager::now());
  }
  void countRejection(WaitQueue queue) { server_.overloadManager_.waitQueues().countRejection(queue); }
  void armTimer(std::chrono::milliseconds span);
  void onTimer();
  void onTimeout();
  void startAwaitingRequest();
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
  std::chrono::milliseconds maxMemoryWait();
  void onReadable(const Error& waitError);
  std::size_t readSize() const;
  bool reserveReadMemory();
  bool reserveHeaderMemory();
  bool canBufferInput() const;
  void checkDisconnect();
  bool checkBodyRate(std::size_t bytes);
  void processInput();
  void parseRequest();
  void parseBody();
  void onMalformedBody(http::status status);
  bool statesBody() const;
  void startBody();
  void deliverBody();
  void skipBlankLines();
  void sendContinue();
  std::chrono::milliseconds measureUnreadWait();
  void onStreamedRequest();
  void onBufferedRequest(ClientMessage&& message);
  const ImmediateResponse* refusalOf(const ParsedRequest& request);
  void admit(const ParsedRequest& request, ClientMessage&& message);

  // Writing a response (client_connection_writing.cpp)
  void respondReadiness(http::verb method);
  void reject(const ImmediateResponse& rejection, decision::Time retryAfterMs = 0);
  void rejectForCapacity(WaitQueue queue);
  void rejectBody(RequestEnd end, const ImmediateResponse& rejection, decision::Time retryAfterMs = 0);
  void rejectRest(const ImmediateResponse& rejection, decision::Time retryAfterMs);
  bool hasClientTakenBytes();
  void write();
  void onWritten();

  ClientServer& server_;
  MemoryBudget::Charge memory_;          // for this connection and the request on it
  MemoryBudget::Charge responseMemory_;  // for the response being written
  WaitQueues::QueueEntry waitRecord_;    // the current wait in the metrics of the wait queues
  OverloadManager::PausedRead pausedRead_;
  std::size_t headerBytes_ = 0;     // memory of the request's parsed header
  std::size_t headerFields_ = 0;    // number of its fields
  std::size_t requestBytes_ = 0;    // memory of the request: its parsed header, and what is held of its body
  std::size_t forwardedBytes_ = 0;  // part of `requestBytes_` with the handler, not yet written to a worker
  bool overflow_;                   // beyond the limit of regular connections
  const Clock::time_point openedAt_ = Clock::now();
  Socket socket_;
  boost::asio::steady_timer timer_;
  beast::flat_buffer input_;
  std::optional<http::request_parser<WindowBody>> parser_;
  BodyPieceHandler bodyPieceHandler_;     // called with the next piece of the request's body
  std::function<void()> onPieceWritten_;  // called when the most recent piece sent is written
  ResponseBuffer output_;
  State state_ = State::reading;
  Clock::time_point idleSince_;
  Clock::time_point lastReadAt_ = openedAt_;       // when bytes were last read
  Clock::time_point seenConnectedAt_ = openedAt_;  // when an end of the stream would last have been seen
  decision::RequestId requestId_ = 0;
  std::size_t unacknowledgedBytes_ = 0;  // of the response, when the write timer was started
  bool responseStreamed_ = false;        // the response in `output_` is a streamed one
  std::size_t discardedBytes_ = 0;       // input discarded during the lingering close, bytes
  bool awaitingFirstRequest_ = true;     // no complete request has been received yet
  bool requestStarted_ = false;          // the first byte of a request has been parsed
  bool expectsContinue_ = false;         // the client sends the body only after a 100 Continue
  bool continueHandled_ = false;         // 100 Continue has been sent, or is not expected
  bool closeAfterResponse_ = false;
  bool reading_ = false;  // a read is pending
  // Whether the TCP state that the kernel reports is used, as on Linux. False if the kernel reported the
  // connection as closed at its start.
  bool tcpStateKnown_ = false;
  bool inBody_ = false;           // the header is read, and a body follows
  bool bodyDone_ = true;          // no more of the body is expected
  unsigned requestVersion_ = 11;  // HTTP version; 11: HTTP/1.1
  BodyRate bodyRate_;
  BodyLag bodyLag_;
};

}  // namespace wingslip
