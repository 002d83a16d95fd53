/// A connection to a worker: connects, sends the request of an attempt and reads its response.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gatekeeper/response_progress.hpp"
#include "gatekeeper/upstream_attempt.hpp"
#include "gatekeeper/upstream_response.hpp"
#include "net/guarded_connection.hpp"
#include "net/http.hpp"
#include "net/overload_manager.hpp"

namespace wingslip {

/// State shared by all connections of a pool. Must outlive every open connection.
struct UpstreamContext {
  boost::asio::io_context& io;
  OverloadManager& overload;
  UpstreamLimits limits;
  std::vector<std::string> reportFields;  ///< names of the load report fields, in the order of the settings
  UpstreamStreams streams;
  UpstreamStats stats;
  std::uint64_t attemptsWritten = 0;  ///< requests whose last byte the kernel has accepted, since the start
};

class UpstreamConnection;

/// The owner of the connections, which stores them in its lists. Connections call it on the event loop.
class UpstreamConnectionOwner {
 public:
  /// The exchange is complete and the connection can be reused: the owner makes it idle, or closes it if it
  /// does not need it.
  virtual void onReusable(const std::shared_ptr<UpstreamConnection>& connection) = 0;
  /// Closes the connection and removes it from all lists of idle connections.
  virtual void closeConnection(UpstreamConnection& connection) = 0;
  /// The attempt has ended, other than by the owner's call of `stopAttempt`.
  virtual void onAttemptDone(UpstreamConnection& connection, AttemptEnd&& end) = 0;

 protected:
  ~UpstreamConnectionOwner() = default;
};

/// A connection that carries one attempt at a time. Shared ownership: the owner's lists and the pending
/// handlers refer to it. Runs on the event loop only.
///
/// During an attempt a read is pending, which receives the response. An idle connection only waits for its
/// socket to become readable, and is then closed. It does not read: the bytes stay in the kernel, where
/// `isStale` detects them, so that bytes of an earlier exchange are never taken for the response to the next
/// request.
class UpstreamConnection : public GuardedConnection<UpstreamConnection> {
 public:
  using Clock = std::chrono::steady_clock;
  using IdleList = std::list<std::shared_ptr<UpstreamConnection>>;

  UpstreamConnection(UpstreamContext& context, UpstreamConnectionOwner& owner, decision::WorkerId worker,
                     const boost::asio::ip::tcp::endpoint& endpoint);

  decision::WorkerId worker() const { return worker_; }
  const boost::asio::ip::tcp::endpoint& endpoint() const { return endpoint_; }
  Clock::time_point openedAt() const { return openedAt_; }
  /// When the worker's process last showed on this connection that it runs: by a byte, or by accepting it.
  Clock::time_point lastActiveAt() const { return lastActiveAt_; }

  /// Reserves memory for the connection and the attempt. Returns false if the memory budget does not allow
  /// it.
  [[nodiscard]] bool reserveMemory(const AttemptRequest& request);
  /// Starts an attempt on an idle or new connection for which `reserveMemory` has succeeded. `timeout`: from
  /// now, or from the arrival of the last piece of a streamed request body, to the end of a buffered response
  /// or the start of a streamed one. Never calls the owner synchronously.
  void startAttempt(decision::RequestId id, unsigned attempt, AttemptRequest request,
                    std::optional<Clock::duration> timeout);
  /// Ends the attempt with this result; the caller closes the connection. The result becomes connectFailed if
  /// the last byte of the request was not written, because the worker cannot have executed it then. The
  /// result cancelled is never replaced.
  decision::AttemptOutcome stopAttempt(decision::AttemptResult result);
  /// Resumes reading a streamed response when its consumer is ready for the next piece.
  void resumeResponse();
  /// Starts to stream a response that has begun and may be long: its header states a long body, of which no
  /// byte need have arrived, or no length. Its attempt would otherwise end although the response is on its
  /// way. Returns whether it has started: false if there is no such response, or if it is streamed already.
  bool streamUnfinishedResponse();
  /// For a streamed response without a stated length, from the time on when a short one is due: ends it
  /// unless it is a long one, or progresses like one.
  /// @return whether this cannot be told yet, so that it has to be called again
  [[nodiscard]] bool endShortResponse();

  decision::RequestId requestId() const { return outcome_.id; }
  /// Whether the current attempt is still connecting or in quarantine, so that none of its bytes has been
  /// sent.
  bool nothingSent() const { return !connected_ || quarantined_; }
  /// Whether a late second response to the previous exchange would have arrived by now.
  bool quarantineOver() const;
  /// Whether the worker has closed this idle connection or sent unexpected bytes on it.
  bool isStale();

  /// Makes the connection idle until a new attempt starts or the idle timeout closes it.
  void becomeIdle();
  /// Closes the socket, cancels all waits and releases the memory. Does not notify the owner.
  void close();

  /// Position in the owner's list of idle connections; `nullopt` while the connection is not in it. Set by
  /// the owner.
  std::optional<IdleList::iterator> idlePosition;

 private:
  bool expectsBodyPieces() const { return readBody_ != nullptr; }
  // Whether a response that may be long has begun and is not streamed yet.
  bool awaitsRestOfResponse() const {
    return busy_ && !streaming_ && requestWritten_ && response_.mayBecomeLong();
  }
  // Whether the response is long enough, or states so, to be streamed once its attempt times out.
  bool isKnownToBeLong() const {
    return response_.statesLongBody() || response_.bodyBytes() >= kStreamReadBytes;
  }
  void recordWait(WaitQueue queue);
  std::size_t memoryBytes(std::size_t nextReadBytes) const;
  void recordLatency();
  void armTimer(Clock::time_point at);
  void onTimer();
  void connect();
  void onConnected(const Error& error);
  void serializeAndWrite();
  void write();
  void writeRemaining();
  bool hasWorkerTakenBytes();
  void requestBodyPiece();
  void writeBodyPiece(std::string&& piece, bool last);
  std::size_t readSize() const { return streaming_ ? kStreamReadBytes : kReadBytes; }
  void read();
  void waitForMemory();
  void onRead(const Error& error, std::size_t bytes);
  void watchIdle();
  void onReadableWhileIdle();
  void parseResponse();
  void reportHeader();
  void startStreaming();
  void forwardBody();
  void awaitResponse();
  bool progressesLikeLongResponse() const;
  void onConnectionLost(const Error& error);
  void onResponse(bool complete);
  void endAttempt(decision::AttemptResult result);

  UpstreamContext& context_;
  UpstreamConnectionOwner& owner_;
  const decision::WorkerId worker_;
  const boost::asio::ip::tcp::endpoint endpoint_;
  const Clock::time_point openedAt_ = Clock::now();
  Clock::time_point lastActiveAt_ = openedAt_;
  MemoryBudget::Charge memory_;
  WaitQueues::QueueEntry waitRecord_;
  OverloadManager::PausedRead pausedRead_;
  std::size_t requestBytes_ = 0;  // reserved for the attempt: the complete request, or one window of its body
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  UpstreamResponse response_;
  std::string output_;
  std::size_t outputSent_ = 0;
  std::size_t unacknowledgedBytes_ = 0;                    // when the timer of the write was started
  std::function<std::optional<std::string>()> serialize_;  // null once it has been called
  std::function<bool()> mayComplete_;
  std::function<Clock::duration()> remainingTime_;
  std::function<void(AttemptRequest::BodyPieceHandler)> readBody_;  // null once the last piece has arrived
  std::optional<Clock::duration> timeout_;
  decision::AttemptOutcome outcome_;
  Clock::time_point startedAt_;
  Clock::time_point expiresAt_;  // when the attempt or idle connection times out; max: never
  Clock::time_point idleSince_;
  RecentBytes recentBytes_;  // of the response's body
  StallTime stallTime_;      // of the worker, while the response is streamed
  bool connected_ = false;
  bool quarantined_ = false;  // the attempt waits until `quarantineOver`
  bool busy_ = false;
  bool reused_ = false;          // has carried an earlier attempt
  bool requestWritten_ = false;  // the kernel has accepted its last byte; the worker may execute it
  bool chunkedBody_ = false;
  bool headerReported_ = false;  // `UpstreamStreams::onResponseHeader` was called for the attempt
  bool streaming_ = false;       // the response is forwarded as it arrives
  bool reading_ = false;         // a read, or an idle connection's wait for input, is pending
};

}  // namespace wingslip
