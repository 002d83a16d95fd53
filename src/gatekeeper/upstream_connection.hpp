/// One connection to a worker: connects, writes an attempt and reads its response.
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

#include "gatekeeper/upstream_attempt.hpp"
#include "gatekeeper/upstream_response.hpp"
#include "net/guarded_connection.hpp"
#include "net/http.hpp"
#include "net/overload_manager.hpp"

namespace wingslip {

/// What all connections of one pool share. Outlives them as long as they are open.
struct UpstreamContext {
  boost::asio::io_context& io;
  OverloadManager& overload;
  UpstreamLimits limits;
  std::vector<std::string> reportFields;  ///< of load reports, in the settings' order
  UpstreamStreams streams;
  UpstreamStats stats;
  std::uint64_t attemptsWritten = 0;  ///< requests of which the kernel has the last byte, since the start
};

class UpstreamConnection;

/// Keeps connections in its lists, and is called by them from the event loop.
class UpstreamConnectionOwner {
 public:
  /// The exchange has ended well: the connection becomes idle, or is closed if it is not wanted.
  virtual void onReusable(const std::shared_ptr<UpstreamConnection>& connection) = 0;
  /// Closes the connection and takes it out of all lists of idle connections.
  virtual void closeConnection(UpstreamConnection& connection) = 0;
  /// The attempt has ended by itself (not by `stopAttempt`).
  virtual void onAttemptDone(UpstreamConnection& connection, AttemptEnd&& end) = 0;

 protected:
  ~UpstreamConnectionOwner() = default;
};

/// Carries one attempt at a time. Held by shared pointers: the owner's lists and pending handlers. Everything
/// runs on the one event loop.
///
/// While an attempt is out a read is pending, which brings the response. While idle, only readability is
/// waited for, and it ends the connection: the bytes stay in the kernel, where `isStale` sees them, so that
/// bytes of an earlier exchange are never taken for a response.
class UpstreamConnection : public GuardedConnection<UpstreamConnection> {
 public:
  using Clock = std::chrono::steady_clock;
  using IdleList = std::list<std::shared_ptr<UpstreamConnection>>;

  UpstreamConnection(UpstreamContext& context, UpstreamConnectionOwner& owner, decision::WorkerId worker,
                     const boost::asio::ip::tcp::endpoint& endpoint);

  decision::WorkerId worker() const { return worker_; }
  const boost::asio::ip::tcp::endpoint& endpoint() const { return endpoint_; }
  Clock::time_point openedAt() const { return openedAt_; }

  /// Reserves memory for the attempt; false where the budget has none.
  [[nodiscard]] bool reserveMemory(const AttemptRequest& request);
  /// Starts an attempt on an idle or new connection for which memory is reserved. `timeout`: from now to the
  /// response's end; of a streamed body, from its last byte. The owner is not called from within this.
  void startAttempt(decision::RequestId id, unsigned attempt, AttemptRequest request,
                    std::optional<Clock::duration> timeout);
  /// Ends the attempt with this result, or with connectFailed where its last byte was not written, so that
  /// the worker cannot have run it (cancelled stays). The caller closes the connection.
  decision::AttemptOutcome stopAttempt(decision::AttemptResult result);
  /// The consumer of a streamed response takes the next piece.
  void resumeResponse();

  decision::RequestId requestId() const { return outcome_.id; }
  /// Nothing of the present attempt has been sent yet.
  bool nothingSent() const { return !connected_ || quarantined_; }
  /// Whether a late second response to the exchange before would have arrived by now.
  bool quarantineOver() const;
  /// Whether the worker has closed this idle connection, or sent something on it.
  bool isStale();

  /// From now on idle, until the idle time-out or a new attempt.
  void becomeIdle();
  void close();

  /// Position in the owner's list of idle connections; none while it is in no list.
  std::optional<IdleList::iterator> idlePosition;

 private:
  bool hasStreamedBody() const { return readBody_ != nullptr; }
  void recordWait(WaitQueue reason);
  std::size_t memoryBytes(std::size_t more) const;
  void recordLatency();
  void armTimer(Clock::time_point at);
  void onTimer();
  void connect();
  void onConnected(const Error& error);
  void serializeAndWrite();
  void write();
  void writeRemaining();
  void requestBodyPiece();
  void writeBodyPiece(std::string&& piece, bool last);
  std::size_t readStep() const { return streaming_ ? kStreamPieceBytes : kReadBytes; }
  void read();
  void waitForMemory();
  void onRead(const Error& error, std::size_t bytes);
  void watchIdle();
  void onReadableWhileIdle();
  void parseResponse();
  void startStreaming();
  void onConnectionLost(const Error& error);
  void onResponse(bool complete);
  void endAttempt(decision::AttemptResult result);

  UpstreamContext& context_;
  UpstreamConnectionOwner& owner_;
  const decision::WorkerId worker_;
  const boost::asio::ip::tcp::endpoint endpoint_;
  const Clock::time_point openedAt_ = Clock::now();
  MemoryBudget::Charge memory_;
  WaitQueues::QueueEntry waitRecord_;
  OverloadManager::PausedReader pausedRead_;
  std::size_t requestBytes_ = 0;  // reserved for the attempt: the whole request, or one window of its body
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  UpstreamResponse response_;
  std::string output_;
  std::size_t outputSent_ = 0;
  std::function<std::optional<std::string>()> serialize_;           // until the first byte is written
  std::function<void(AttemptRequest::BodyPieceHandler)> readBody_;  // until the last piece has come
  std::optional<Clock::duration> timeout_;
  decision::AttemptOutcome outcome_;
  Clock::time_point startedAt_;
  Clock::time_point expiresAt_;  // of the attempt, or of the idle connection
  Clock::time_point idleSince_;
  bool connected_ = false;
  bool quarantined_ = false;  // an attempt waits for `quarantineOver`
  bool busy_ = false;
  bool reused_ = false;          // has carried an attempt before
  bool requestWritten_ = false;  // the last byte: from here on the worker may have run it
  bool chunkedBody_ = false;
  bool streaming_ = false;  // the response is passed on as it comes
  bool reading_ = false;
};

}  // namespace wingslip
