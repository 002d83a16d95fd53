/// When the watch on the endpoint list is opened, waited for and opened again. No I/O: events and times in,
/// the next action out; `DiscoveryClient` carries it out.
///
/// A change of the list has to be known here in time: a worker that drains may be sent to only for as long as
/// the settings allow, counted from when the list's agent has the change. What a silent watch misses counts
/// from 6 s after it fell silent (docs/design.md, "The watch").
#pragma once

#include <algorithm>
#include <cstdint>
#include <random>

namespace wingslip {

/// State machine of one watch: connect, request, receive; when lost, back off and connect again.
class EndpointWatch {
 public:
  using Time = double;  ///< ms of any steady clock

  /// What the caller has to do next.
  enum class Action {
    none,
    connect,      ///< close the connection, if any, and connect
    sendRequest,  ///< on the connection that is now established
    close,        ///< close the connection, if any; `nextCheckAt` says when to go on
  };

  /// How fast to try again.
  struct RetryPolicy {
    Time answerTimeoutMs = 0;  ///< from connecting to the first message
    Time firstBackoffMs = 0;   ///< mean delay before the first retry
    Time maxBackoffMs = 0;     ///< the mean doubles up to this; each delay is 0.5 to 1.5 times the mean
  };

  struct Limits {
    Time silenceTimeoutMs = 2400;          ///< from one message to the next, heartbeats included
    RetryPolicy normal{1000, 50, 250};     ///< the agent answers only this gatekeeper
    RetryPolicy rejected{2500, 50, 1000};  ///< discovery has rejected a request: it serves many
    Time maxRejectedIntervalMs = 6500;     ///< from one connect to the next after a rejection
  };

  /// @param drainGraceMs for how long a draining worker may still be sent to, by the settings; 0: not set
  /// @param gatekeepers how many may connect to the same discovery service at the same time
  static Limits limitsFor(Time drainGraceMs, unsigned gatekeepers);

  /// The longest, in ms, from when an agent that answers has a change until it is known here.
  static Time maxUpdateDelayMs(const Limits& limits) {
    return limits.normal.answerTimeoutMs + 1.5 * limits.normal.maxBackoffMs;
  }
  /// The same, from when a discovery service that rejected requests or left them unanswered answers again.
  static Time maxUpdateDelayAfterRejectionMs(const Limits& limits) {
    return std::max(maxUpdateDelayMs(limits), limits.maxRejectedIntervalMs);
  }

  EndpointWatch(const Limits& limits, std::uint64_t seed) : limits_(limits), random_(seed) {}

  void setLimits(const Limits& limits) { limits_ = limits; }

  /// Starts, or starts again at another address about which nothing is known.
  [[nodiscard]] Action start(Time now);
  void stop() { state_ = State::stopped; }

  Action onConnected(Time now);
  /// A complete message has arrived: a usable list, or a heartbeat.
  void onMessage(Time now);
  /// The connection could not be established, failed, ended or carried something unusable.
  [[nodiscard]] Action onConnectionLost(Time now);
  /// Discovery has answered, and rejected the request for lack of capacity.
  [[nodiscard]] Action onRejected(Time now);
  /// Due at `nextCheckAt`; does nothing before.
  [[nodiscard]] Action checkTime(Time now);

  /// When to call `checkTime`; below 0: never.
  Time nextCheckAt() const { return state_ == State::stopped ? -1 : nextCheckAt_; }
  /// Connections attempted since the process's start.
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
  Time connectStartedAt_ = 0;  // when the last connect was started
  Time meanBackoffMs_ = 0;     // of the last delay; 0: the next failure is the first
  bool rejected_ = false;      // discovery has rejected a request and sent no message since
  std::uint64_t connectCount_ = 0;
};

}  // namespace wingslip
