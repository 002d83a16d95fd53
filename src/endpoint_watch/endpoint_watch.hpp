/// Connection schedule of the watch on the endpoint list: connects, timeouts and retries. No I/O: takes
/// events and times, returns the next action; `DiscoveryClient` carries it out.
///
/// Changes of the list have a deadline: a draining worker may be sent requests only during the drain grace of
/// the settings, which starts when the discovery agent has the change. For changes that a silent watch
/// misses, it starts 6 s after the watch became silent (docs/design.md, "The watch").
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <random>

namespace wingslip {

/// State machine of a watch: connects, sends the request, receives messages; when the connection is lost,
/// backs off and reconnects.
class EndpointWatch {
 public:
  using Time = double;  ///< ms of a monotonic clock with any epoch
  /// Bytes of a message that count as progress; a drip of single bytes is none.
  static constexpr std::size_t kProgressBytes = 4096;

  /// The action that the caller has to carry out next.
  enum class Action {
    none,
    connect,      ///< close the connection, if any, and connect
    sendRequest,  ///< send the request on the established connection
    close,        ///< close the connection, if any, and wait until `nextCheckAt`
  };

  /// Timeout and backoff of connection attempts.
  struct RetryPolicy {
    Time answerTimeoutMs = 0;  ///< from the start of the connect to the first message
    Time firstBackoffMs = 0;   ///< mean delay before the first retry
    Time maxBackoffMs = 0;     ///< the mean doubles up to this; each delay is 0.5 to 1.5 times the mean
  };

  /// Timeouts and backoff of the watch.
  struct Limits {
    Time silenceTimeoutMs = 2400;          ///< longest time between messages, heartbeats included
    RetryPolicy normal{1000, 50, 250};     ///< unless rejected; for an agent that serves only this gatekeeper
    RetryPolicy rejected{2500, 50, 1000};  ///< after a rejection: discovery serves many gatekeepers
    Time maxRejectedIntervalMs = 6500;     ///< longest time between connects after a rejection
  };

  /// The limits that let changes of the list be received within the drain grace.
  /// @param drainGraceMs how long the settings allow sending requests to a draining worker; 0: not set
  /// @param gatekeepers number of gatekeepers that may connect to the same discovery service simultaneously
  static Limits limitsFor(Time drainGraceMs, unsigned gatekeepers);

  /// The longest time, in ms, from when a responsive agent has a change until it is received here, or as much
  /// of it as arrives within one answer timeout.
  static Time maxUpdateDelayMs(const Limits& limits) {
    return limits.normal.answerTimeoutMs + 1.5 * limits.normal.maxBackoffMs;
  }
  /// The longest time, in ms, from when a discovery service that rejected requests or did not answer them
  /// becomes responsive again until its changes are received here.
  static Time maxUpdateDelayAfterRejectionMs(const Limits& limits) {
    return std::max(maxUpdateDelayMs(limits), limits.maxRejectedIntervalMs);
  }

  /// @param seed seed of the random backoff delays
  EndpointWatch(const Limits& limits, std::uint64_t seed) : limits_(limits), random_(seed) {}

  /// Replaces the limits; they apply from the next timeout or delay that is scheduled.
  void setLimits(const Limits& limits) { limits_ = limits; }

  /// Starts the watch, or restarts it at another address, discarding earlier failures and rejections.
  [[nodiscard]] Action start(Time now);
  /// Ends the watch: no action and no check follow.
  void stop() { state_ = State::stopped; }

  /// The connection has been established.
  Action onConnected(Time now);
  /// A complete message has been received: an accepted list, or a heartbeat.
  void onMessage(Time now);
  /// Bytes of a message have been received. A long message may take longer to arrive than its beginning: with
  /// every `kProgressBytes` the timeout starts anew.
  void onBytes(Time now, std::size_t bytes);
  /// The connection could not be established, failed, was closed, or carried a malformed or rejected list.
  [[nodiscard]] Action onConnectionLost(Time now);
  /// Discovery has rejected the request for lack of capacity.
  [[nodiscard]] Action onRejected(Time now);
  /// Handles timeouts and the end of backoff delays. To be called at `nextCheckAt`; does nothing before.
  [[nodiscard]] Action checkTime(Time now);

  /// When to call `checkTime`; below 0: never.
  Time nextCheckAt() const { return state_ == State::stopped ? -1 : nextCheckAt_; }
  /// Connection attempts since the process started.
  std::uint64_t connectCount() const { return connectCount_; }

 private:
  enum class State { stopped, backingOff, connecting, awaitingAnswer, watching };

  const RetryPolicy& retryPolicy() const { return rejected_ ? limits_.rejected : limits_.normal; }
  Action backOff(Time now);
  void limitRejectedDelay(Time now);

  Limits limits_;
  std::mt19937_64 random_;
  State state_ = State::stopped;
  Time nextCheckAt_ = 0;
  Time watchingSince_ = 0;
  Time connectStartedAt_ = 0;           // start of the last connection attempt
  std::size_t bytesSinceProgress_ = 0;  // of the message that is arriving
  Time meanBackoffMs_ = 0;              // mean of the last delay; 0: the next delay is the first
  bool rejected_ = false;               // a request was rejected, and no message was received since
  std::uint64_t connectCount_ = 0;
};

}  // namespace wingslip
