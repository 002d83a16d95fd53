// Implementation of the invariant monitor.
#include "invariant/monitor.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <numeric>

namespace wingslip::invariant {
namespace {

using decision::AttemptResult;
using decision::Idempotency;
using decision::WorkerId;
using decision::WorkerPhase;

// Tolerance for the number of calls to a worker in slow start: this many standard deviations, plus the same
// number of calls.
constexpr double kToleranceDeviations = 2;
constexpr double kToleranceDeviationsOfFewCalls = 3;
constexpr double kFewCalls = 30;  // expected calls below which the larger tolerance applies

RequestState stateOf(AttemptResult result) {
  switch (result) {
    case AttemptResult::ok:
      return RequestState::endedOk;
    case AttemptResult::error:
      return RequestState::endedError;
    case AttemptResult::overloaded:
      return RequestState::endedOverloaded;
    case AttemptResult::timeout:
      return RequestState::endedTimeout;
    case AttemptResult::connectFailed:
      return RequestState::endedConnectFailed;
    case AttemptResult::reset:
      return RequestState::endedReset;
    case AttemptResult::cancelled:
      return RequestState::endedCancelled;
    case AttemptResult::notSent:
      return RequestState::endedNotSent;
  }
  return RequestState::endedError;
}

std::string milliseconds(Time duration) {
  char text[32];
  std::snprintf(text, sizeof text, "%.1f ms", duration);
  return text;
}

}  // namespace

// --- Workers ---------------------------------------------------------------------------------------------

void Monitor::workerReady(WorkerId id, Time slowStartFrom) {
  Worker& worker = workers_[id];
  worker.retiredSince.reset();
  worker.phase = WorkerPhase::ready;
  if (worker.slowStartFrom != slowStartFrom) worker.sentAt.clear();
  worker.slowStartFrom = slowStartFrom;
}

void Monitor::workerRetired(WorkerId id, WorkerPhase phase, Time now) {
  Worker& worker = workers_[id];
  if (!worker.retiredSince) worker.retiredSince = now;
  worker.phase = phase;
  eraseRemovedWorkers();
}

void Monitor::workerExcluded(WorkerId id, Time now) {
  Worker& worker = workers_[id];
  if (!worker.excludedSince) worker.excludedSince = now;
}

void Monitor::workerIncluded(WorkerId id) { workers_[id].excludedSince.reset(); }

void Monitor::eraseRemovedWorkers() {
  if (workers_.size() <= kMaxWorkers) return;
  std::erase_if(workers_, [](const auto& entry) {
    return entry.second.phase == WorkerPhase::removed && !entry.second.excludedSince;
  });
}

// --- Requests --------------------------------------------------------------------------------------------

void Monitor::requestReceived(RequestTrace& trace, Time now) { trace.add(now, RequestState::received); }

void Monitor::attemptConnecting(RequestTrace& trace, WorkerId worker, Time now) {
  trace.add(now, RequestState::connecting, worker);
}

void Monitor::attemptSending(RequestTrace& trace, WorkerId worker, Time now, Time timeoutMs) {
  trace.add(now, RequestState::sent, worker);
  if (trace.answered_) violated(Invariant::attemptAfterAnswer, now, trace, "");
  if (trace.clientClosed_) violated(Invariant::attemptAfterClientLeft, now, trace, "");
  checkDeadline(trace, now, timeoutMs);
  checkRetry(trace, now);
  checkWorker(trace, worker, now);
  ++trace.attemptsSent_;
  trace.attemptInFlight_ = true;
  trace.lastSentAt_ = now;
}

void Monitor::checkDeadline(const RequestTrace& trace, Time now, Time timeoutMs) {
  const Time remainingMs = trace.deadline - now;
  if (now > trace.deadline)
    violated(Invariant::attemptPastDeadline, now, trace,
             milliseconds(now - trace.deadline) + " after the deadline");
  if (timeoutMs > remainingMs + kDeadlineToleranceMs)
    violated(Invariant::deadlineTooLong, now, trace,
             milliseconds(timeoutMs) + " sent as timeout, " + milliseconds(remainingMs) + " remaining");
}

void Monitor::checkRetry(const RequestTrace& trace, Time now) {
  if (trace.attemptsSent_ >= trace.maxAttempts)
    violated(Invariant::attemptsPastCap, now, trace,
             "attempt " + std::to_string(trace.attemptsSent_ + 1) + " of at most " +
                 std::to_string(trace.maxAttempts));
  if (trace.idempotency == Idempotency::idempotent) return;
  if (trace.attemptInFlight_) violated(Invariant::concurrentAttempts, now, trace, "");
  if (!trace.mayHaveRunSince_) return;
  const bool isDeduplicated =
      trace.idempotency == Idempotency::withKey && now <= *trace.mayHaveRunSince_ + trace.idempotencyWindowMs;
  if (!isDeduplicated) violated(Invariant::unsafeRequestResent, now, trace, "");
}

void Monitor::checkWorker(const RequestTrace& trace, WorkerId id, Time now) {
  const auto found = workers_.find(id);
  if (found == workers_.end()) return;
  Worker& worker = found->second;
  if (worker.excludedSince)
    violated(Invariant::sentToExcluded, now, trace,
             "excluded for " + milliseconds(now - *worker.excludedSince));
  if (worker.retiredSince && now > *worker.retiredSince + rules_.drainGraceMs) {
    const bool removed = worker.phase == WorkerPhase::removed;
    violated(removed ? Invariant::sentToGone : Invariant::sentToDraining, now, trace,
             "retired " + milliseconds(now - *worker.retiredSince) + " ago");
  }
  checkSlowStart(trace, worker, now);
}

// Detects that this gatekeeper alone sends more than all gatekeepers together may send.
void Monitor::checkSlowStart(const RequestTrace& trace, Worker& worker, Time now) {
  const bool inSlowStart =
      worker.slowStartFrom > 0 && rules_.slowStartMs > 0 && now < worker.slowStartFrom + rules_.slowStartMs;
  if (!inSlowStart) {
    worker.sentAt.clear();
    return;
  }
  const Time windowStart = now - rules_.overloadWindowMs;
  while (!worker.sentAt.empty() && worker.sentAt.front() < windowStart) worker.sentAt.pop_front();
  worker.sentAt.push_back(now);
  const double workerRate = workerRate_();
  if (workerRate <= 0) return;
  const double maxCalls = maxCallsInSlowStart(worker, now, workerRate);
  if (static_cast<double>(worker.sentAt.size()) > maxCalls)
    violated(Invariant::slowStartExceeded, now, trace,
             std::to_string(worker.sentAt.size()) + " calls, limit " + std::to_string(maxCalls));
}

double Monitor::maxCallsInSlowStart(const Worker& worker, Time now, double workerRate) const {
  const double progress = std::clamp((now - worker.slowStartFrom) / rules_.slowStartMs, 0.0, 1.0);
  const double capacityShare = rules_.slowStartInitialShare + (1 - rules_.slowStartInitialShare) * progress;
  const double calls = rules_.overloadMultiple * capacityShare * workerRate * rules_.overloadWindowMs;
  const double tolerance = calls < kFewCalls ? kToleranceDeviationsOfFewCalls : kToleranceDeviations;
  return calls + tolerance * std::sqrt(calls) + tolerance;
}

void Monitor::attemptEnded(RequestTrace& trace, WorkerId worker, AttemptResult result, Time now) {
  trace.add(now, stateOf(result), worker);
  if (!trace.attemptInFlight_) return;
  trace.attemptInFlight_ = false;
  if (!provesNotRun(result) && !trace.mayHaveRunSince_) trace.mayHaveRunSince_ = trace.lastSentAt_;
}

void Monitor::responseBegun(RequestTrace& trace, Time now) { trace.add(now, RequestState::responseBegun); }

void Monitor::responseStreaming(RequestTrace& trace, Time now) {
  trace.add(now, RequestState::streaming);
  checkAnswerTime(trace, now);
}

void Monitor::checkAnswerTime(const RequestTrace& trace, Time now) {
  if (now > trace.deadline + kAnswerToleranceMs)
    violated(Invariant::requestUnanswered, now, trace,
             "answered " + milliseconds(now - trace.deadline) + " after the deadline");
}

void Monitor::requestAnswered(RequestTrace& trace, RequestState finalState, Time now) {
  trace.add(now, finalState);
  if (trace.answered_) violated(Invariant::requestAnsweredTwice, now, trace, "");
  trace.answered_ = true;
  const bool isLong = trace.streamedBytes > kMaxTimedResponseBytes;
  if (finalState != RequestState::truncated && !isLong) checkAnswerTime(trace, now);
}

void Monitor::clientClosed(RequestTrace& trace, Time now) {
  trace.add(now, RequestState::clientClosed);
  trace.clientClosed_ = true;
}

void Monitor::requestReleased(RequestTrace& trace, Time now) {
  if (!trace.answered_ && !trace.clientClosed_)
    violated(Invariant::requestUnanswered, now, trace, "released unanswered");
}

// --- Connections and accounts ----------------------------------------------------------------------------

void Monitor::connectionClosedUnanswered(const std::string& reason, Time now) {
  violated(Invariant::connectionClosedUnanswered, now, reason);
}

void Monitor::checkNoneRemaining(std::size_t remaining, const std::string& description, Time now) {
  if (remaining > 0) violated(Invariant::accountsNotZero, now, description);
}

// --- Counts and log --------------------------------------------------------------------------------------

std::uint64_t Monitor::total() const {
  return std::accumulate(counts_.begin(), counts_.end(), std::uint64_t{0});
}

std::string Monitor::telemetry() const {
  std::string out;
  for (std::size_t i = 0; i < kInvariants; ++i)
    out += "svc.invariant." + std::string(kInvariantNames[i]) + ":" + std::to_string(counts_[i]) + "|c\n";
  return out;
}

void Monitor::violated(Invariant invariant, Time now, const RequestTrace& trace, const std::string& detail) {
  violated(invariant, now, (detail.empty() ? "" : detail + "; ") + trace.text(now));
}

void Monitor::violated(Invariant invariant, Time now, const std::string& detail) {
  const auto index = static_cast<std::size_t>(invariant);
  const bool loggedRecently = counts_[index] > 0 && now - lastLoggedAt_[index] < kLogIntervalMs;
  ++counts_[index];
  if (loggedRecently) return;
  lastLoggedAt_[index] = now;
  log_("invariant broken: " + std::string(nameOf(invariant)) + " (" + std::to_string(counts_[index]) +
       "): " + detail);
}

}  // namespace wingslip::invariant
