/// Checks at run time that no invariant is violated, from the events of requests, workers and connections.
///
/// It keeps its own record of what was received and sent and asks nothing of the parts that decide, so that a
/// fault in them shows here. A violation is counted and logged with the request's last states; it never
/// changes what the gatekeeper does. No I/O and no clock.
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

/// The settings about workers that are checked.
struct WorkerRules {
  Time drainGraceMs = 0;        ///< for which a draining worker may still be sent to
  double overloadMultiple = 0;  ///< of its capacity, what a worker in slow start may get within the window
  double slowStartShare = 1;    ///< of its capacity, what a worker has when it starts
  Time overloadWindowMs = 0;
  Time slowStartMs = 0;  ///< until it has all of its capacity
};

/// Used from the event loop's thread only. Times are ms of the caller's monotonic clock.
class Monitor {
 public:
  /// A line for the log.
  using Log = std::function<void(const std::string&)>;
  /// Good answers per ms of a worker that is not in slow start; 0: not known.
  using WorkerRate = std::function<double()>;

  static constexpr Time kLogIntervalMs = 5000;  ///< of each invariant
  /// By how much the time passed on to a worker may exceed what the client has left.
  static constexpr Time kDeadlineToleranceMs = 150;
  /// After its deadline, until an answer counts as missing.
  static constexpr Time kAnswerToleranceMs = 500;
  /// Beyond this, removed workers are forgotten.
  static constexpr std::size_t kMaxWorkers = 16384;

  Monitor(Log log, WorkerRate workerRate) : log_(std::move(log)), workerRate_(std::move(workerRate)) {}

  void setRules(const WorkerRules& rules) { rules_ = rules; }

  // --- Workers ---
  /// @param slowStartFrom when it started; 0: long ago
  void workerReady(decision::WorkerId worker, Time slowStartFrom);
  /// Draining or removed. Only the first of repeated calls counts.
  void workerRetired(decision::WorkerId worker, decision::WorkerPhase phase, Time now);
  void workerExcluded(decision::WorkerId worker, Time now);
  void workerIncluded(decision::WorkerId worker);

  // --- Requests ---
  void requestReceived(RequestTrace& trace, Time now);
  void attemptConnecting(RequestTrace& trace, decision::WorkerId worker, Time now);
  /// The first byte of an attempt is about to be written.
  /// @param timeoutMs the time that is passed on to the worker
  void attemptSending(RequestTrace& trace, decision::WorkerId worker, Time now, Time timeoutMs);
  /// Of the attempt that was sent last, or that was never sent.
  void attemptEnded(RequestTrace& trace, decision::WorkerId worker, decision::AttemptResult result, Time now);
  void responseStreaming(RequestTrace& trace, Time now);
  /// @param how answered, rejected, failed or truncated
  void requestAnswered(RequestTrace& trace, RequestState how, Time now);
  void clientClosed(RequestTrace& trace, Time now);
  /// Its owner drops it: it must be answered, or its client must have closed.
  void requestReleased(RequestTrace& trace, Time now);

  // --- Connections and accounts ---
  void connectionClosedUnanswered(const std::string& reason, Time now);
  /// Called when nothing should be held any more.
  /// @param held how many things are
  void checkNothingHeld(std::size_t held, const std::string& description, Time now);

  std::uint64_t count(Invariant invariant) const { return counts_[static_cast<std::size_t>(invariant)]; }
  std::uint64_t total() const;
  /// Lines `svc.invariant.NAME:VALUE|c`.
  std::string telemetry() const;

 private:
  struct Worker {
    std::optional<Time> retiredSince;
    std::optional<Time> excludedSince;
    decision::WorkerPhase phase = decision::WorkerPhase::ready;
    Time slowStartFrom = 0;
    std::deque<Time> sentAt;  // while it is in slow start: within the overload window
  };

  void violated(Invariant invariant, Time now, const std::string& what);
  void violated(Invariant invariant, Time now, const RequestTrace& trace, const std::string& what);
  void checkDeadline(const RequestTrace& trace, Time now, Time timeoutMs);
  void checkRetry(const RequestTrace& trace, Time now);
  void checkWorker(const RequestTrace& trace, decision::WorkerId worker, Time now);
  void checkSlowStart(const RequestTrace& trace, Worker& worker, Time now);
  double maxCallsInSlowStart(const Worker& worker, Time now, double workerRate) const;
  void forgetRemovedWorkers();

  const Log log_;
  WorkerRules rules_;
  const WorkerRate workerRate_;
  std::unordered_map<decision::WorkerId, Worker> workers_;
  std::array<std::uint64_t, kInvariants> counts_{};
  std::array<Time, kInvariants> loggedAt_{};
};

}  // namespace wingslip::invariant
