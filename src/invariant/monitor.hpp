/// Run-time verification of the invariants from the events of requests, workers and connections.
///
/// The monitor records the events itself and does not query the components that make decisions, so that it
/// detects their faults. A violation is counted and logged with the request's last states; it never changes
/// the gatekeeper's behaviour. Performs no I/O and reads no clock.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

#include "invariant/invariant.hpp"
#include "invariant/request_trace.hpp"
#include "wingslip/decision/gateway.hpp"

namespace wingslip::invariant {

/// The settings for sending to workers that the monitor verifies.
struct WorkerRules {
  Time drainGraceMs = 0;             ///< grace period in which a retired worker may still be sent attempts
  double overloadMultiple = 0;       ///< permitted load in slow start, as a multiple of the present capacity
  double slowStartInitialShare = 1;  ///< initial capacity in slow start, as a share (0 to 1) of full capacity
  Time overloadWindowMs = 0;         ///< period over which attempts to a worker in slow start are counted
  Time slowStartMs = 0;              ///< duration of the slow start; 0: none
};

/// Counts and logs invariant violations. Owned by the Gatekeeper and used from the event loop's thread only.
/// Times are milliseconds of the caller's monotonic clock.
class Monitor {
 public:
  /// Receives the text of a log line.
  using Log = std::function<void(const std::string&)>;
  /// Returns the successful responses per ms of a worker that is not in slow start, or 0 if unknown.
  using WorkerRate = std::function<double()>;

  static constexpr Time kLogIntervalMs = 5000;  ///< minimum time between two log lines of an invariant
  /// Tolerance by which the timeout sent to a worker may exceed the client's remaining time.
  static constexpr Time kDeadlineToleranceMs = 150;
  /// Time after the deadline until an answer counts as missing.
  static constexpr Time kAnswerToleranceMs = 500;
  /// Size in bytes up to which the last byte of a response is due at the deadline. The start of a longer
  /// response is due then.
  static constexpr std::size_t kMaxTimedResponseBytes = 64 * 1024;
  /// Number of recorded workers above which removed workers are erased.
  static constexpr std::size_t kMaxWorkers = 16384;

  Monitor(Log log, WorkerRate workerRate) : log_(std::move(log)), workerRate_(std::move(workerRate)) {}

  /// Replaces the settings, also for workers that are already recorded.
  void setRules(const WorkerRules& rules) { rules_ = rules; }

  // --- Workers ---
  /// Records that the endpoint list has the worker as ready.
  /// @param slowStartFrom start of its slow start; 0 if it is not in slow start
  void workerReady(decision::WorkerId worker, Time slowStartFrom);
  /// Records that a worker is draining or removed. The grace period starts with the first of repeated calls.
  void workerRetired(decision::WorkerId worker, decision::WorkerPhase phase, Time now);
  /// Records that an operator has excluded the worker.
  void workerExcluded(decision::WorkerId worker, Time now);
  /// Records the end of the worker's exclusion.
  void workerIncluded(decision::WorkerId worker);

  // --- Requests ---
  /// Records the start of a request. Its owner has set the public members of `trace`.
  void requestReceived(RequestTrace& trace, Time now);
  /// Records that an attempt waits for its connection.
  void attemptConnecting(RequestTrace& trace, decision::WorkerId worker, Time now);
  /// Records that the first byte of an attempt is about to be written, and checks the invariants of
  /// sending.
  /// @param timeoutMs the timeout that is sent to the worker
  void attemptSending(RequestTrace& trace, decision::WorkerId worker, Time now, Time timeoutMs);
  /// Records the end of the attempt that was sent last, or of one that was never sent.
  void attemptEnded(RequestTrace& trace, decision::WorkerId worker, decision::AttemptResult result, Time now);
  /// Records that the header of an attempt's response has come, and its end has not.
  void responseBegun(RequestTrace& trace, Time now);
  /// Records that the response's first bytes are being streamed to the client.
  void responseStreaming(RequestTrace& trace, Time now);
  /// Records the final answer of the request.
  /// @param finalState answered, rejected, failed or truncated
  void requestAnswered(RequestTrace& trace, RequestState finalState, Time now);
  /// Records that the client has closed its connection.
  void clientClosed(RequestTrace& trace, Time now);
  /// Records that the request's owner releases it. It must be answered, or its client must have closed.
  void requestReleased(RequestTrace& trace, Time now);

  // --- Connections and accounts ---
  /// Counts a violation of `Invariant::connectionClosedUnanswered`.
  /// @param reason why the connection was closed, for the log
  void connectionClosedUnanswered(const std::string& reason, Time now);
  /// To be called when no work is in progress.
  /// @param remaining number of charges or entries that remain; must be 0
  /// @param description what remains, for the log
  void checkNoneRemaining(std::size_t remaining, const std::string& description, Time now);

  /// @return the number of violations of the invariant.
  std::uint64_t count(Invariant invariant) const { return counts_[static_cast<std::size_t>(invariant)]; }
  /// @return the number of violations of all invariants.
  std::uint64_t total() const;
  /// @return the counts as metrics, one line `svc.invariant.NAME:VALUE|c` each.
  std::string telemetry() const;

 private:
  struct Worker {
    std::optional<Time> retiredSince;
    std::optional<Time> excludedSince;
    decision::WorkerPhase phase = decision::WorkerPhase::ready;
    Time slowStartFrom = 0;
    std::deque<Time> sentAt;  // attempts in slow start within the overload window, oldest first
  };

  void violated(Invariant invariant, Time now, const std::string& detail);
  void violated(Invariant invariant, Time now, const RequestTrace& trace, const std::string& detail);
  void checkAnswerTime(const RequestTrace& trace, Time now);
  void checkDeadline(const RequestTrace& trace, Time now, Time timeoutMs);
  void checkRetry(const RequestTrace& trace, Time now);
  void checkWorker(const RequestTrace& trace, decision::WorkerId worker, Time now);
  void checkSlowStart(const RequestTrace& trace, Worker& worker, Time now);
  double maxCallsInSlowStart(const Worker& worker, Time now, double workerRate) const;
  void eraseRemovedWorkers();

  const Log log_;
  WorkerRules rules_;
  const WorkerRate workerRate_;
  std::unordered_map<decision::WorkerId, Worker> workers_;
  std::array<std::uint64_t, kInvariants> counts_{};
  std::array<Time, kInvariants> lastLoggedAt_{};
};

}  // namespace wingslip::invariant
