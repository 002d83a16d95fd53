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

constexpr std::array<std::string_view, 17> kStateNames{"taken",
                                                       "connecting",
                                                       "sent",
                                                       "ended_ok",
                                                       "ended_error",
                                                       "ended_declined",
                                                       "ended_timeout",
                                                       "ended_unconnected",
                                                       "ended_reset",
                                                       "ended_cancelled",
                                                       "ended_never_sent",
                                                       "streaming",
                                                       "answered",
                                                       "refused",
                                                       "failed",
                                                       "cut",
                                                       "client_left"};

RequestState stateOf(AttemptResult result) {
  switch (result) {
    case AttemptResult::ok:
      return RequestState::ended_ok;
    case AttemptResult::error:
      return RequestState::ended_error;
    case AttemptResult::overloaded:
      return RequestState::ended_declined;
    case AttemptResult::timeout:
      return RequestState::ended_timeout;
    case AttemptResult::connectFailed:
      return RequestState::ended_unconnected;
    case AttemptResult::reset:
      return RequestState::ended_reset;
    case AttemptResult::cancelled:
      return RequestState::ended_cancelled;
    case AttemptResult::notSent:
      return RequestState::ended_never_sent;
  }
  return RequestState::ended_error;
}

/// Whether a request that was sent surely never ran (PROTOCOL, "has it run?").
bool provesUnrun(AttemptResult result) {
  return result == AttemptResult::overloaded || result == AttemptResult::connectFailed ||
         result == AttemptResult::notSent;
}

std::string milliseconds(Time span) {
  char text[32];
  std::snprintf(text, sizeof text, "%.1f ms", span);
  return text;
}

}  // namespace

std::string_view nameOf(RequestState state) { return kStateNames[static_cast<std::size_t>(state)]; }

void RequestTrace::add(Time at, RequestState state, WorkerId worker) {
  steps_[count_++ % kSteps] = {at, state, worker};
}

std::string RequestTrace::text(Time now) const {
  std::string out = "request=" + (name.empty() ? "-" : name) + " states=";
  const std::size_t first = count_ > kSteps ? count_ - kSteps : 0;
  for (std::size_t i = first; i < count_; ++i) {
    const Step& step = steps_[i % kSteps];
    char text[96];
    std::snprintf(text, sizeof text, "%s%s@%.1f", i > first ? "," : "",
                  std::string(invariant::nameOf(step.state)).c_str(), step.at - now);
    out += text;
    if (step.worker != 0)
      std::snprintf(text, sizeof text, "/%016llx", static_cast<unsigned long long>(step.worker)), out += text;
  }
  return out;
}

// --- Workers ---------------------------------------------------------------------------------------------

void Monitor::workerReady(WorkerId worker, Time warmFrom) {
  Worker& known = workers_[worker];
  known.leavesSince.reset();
  known.phase = WorkerPhase::ready;
  if (known.warmFrom != warmFrom) known.sent.clear();
  known.warmFrom = warmFrom;
}

void Monitor::workerLeaves(WorkerId worker, WorkerPhase phase, Time now) {
  Worker& known = workers_[worker];
  if (!known.leavesSince) known.leavesSince = now;
  known.phase = phase;
  trimWorkers();
}

void Monitor::workerExcluded(WorkerId worker, Time now) {
  Worker& known = workers_[worker];
  if (!known.excludedSince) known.excludedSince = now;
}

void Monitor::workerIncluded(WorkerId worker) { workers_[worker].excludedSince.reset(); }

void Monitor::trimWorkers() {
  if (workers_.size() <= kMostWorkers) return;
  std::erase_if(workers_, [](const auto& entry) {
    return entry.second.phase == WorkerPhase::removed && !entry.second.excludedSince;
  });
}

// --- Requests --------------------------------------------------------------------------------------------

void Monitor::taken(RequestTrace& trace, Time now) { trace.add(now, RequestState::taken); }

void Monitor::connecting(RequestTrace& trace, WorkerId worker, Time now) {
  trace.add(now, RequestState::connecting, worker);
}

void Monitor::sending(RequestTrace& trace, WorkerId worker, Time now, Time passedOn) {
  trace.add(now, RequestState::sent, worker);
  if (trace.answered_) violated(Invariant::attempt_after_answer, now, trace, "");
  if (trace.left_) violated(Invariant::attempt_after_client_left, now, trace, "");
  if (now > trace.deadline)
    violated(Invariant::attempt_past_deadline, now, trace, milliseconds(now - trace.deadline) + " late");
  if (passedOn > trace.deadline - now + kDeadlineSlack)
    violated(Invariant::deadline_too_long, now, trace,
             milliseconds(passedOn) + " passed on, " + milliseconds(trace.deadline - now) + " left");
  if (trace.sent_ >= trace.cap)
    violated(Invariant::attempts_past_cap, now, trace,
             "attempt " + std::to_string(trace.sent_ + 1) + " of " + std::to_string(trace.cap));
  checkRepeat(trace, now);
  checkWorker(trace, worker, now);
  ++trace.sent_;
  trace.out_ = true;
  trace.sentAt_ = now;
}

void Monitor::checkRepeat(const RequestTrace& trace, Time now) {
  if (trace.out_ && trace.repeat != Idempotency::idempotent)
    violated(Invariant::concurrent_attempts, now, trace, "");
  if (!trace.mayHaveRunSince_ || trace.repeat == Idempotency::idempotent) return;
  const bool inWindow = trace.repeat == Idempotency::withKey && now <= *trace.mayHaveRunSince_ + trace.window;
  if (!inWindow) violated(Invariant::unsafe_request_resent, now, trace, "");
}

void Monitor::checkWorker(const RequestTrace& trace, WorkerId id, Time now) {
  const auto found = workers_.find(id);
  if (found == workers_.end()) return;
  Worker& worker = found->second;
  if (worker.excludedSince)
    violated(Invariant::sent_to_excluded, now, trace, "since " + milliseconds(now - *worker.excludedSince));
  if (worker.leavesSince && now > *worker.leavesSince + rules_.stopSendingWithin)
    violated(worker.phase == WorkerPhase::removed ? Invariant::sent_to_gone : Invariant::sent_to_draining,
             now, trace, "told " + milliseconds(now - *worker.leavesSince) + " ago");
  checkSlowStart(trace, worker, now);
}

// A gatekeeper alone may never use up what all of them have together: N of what a worker of this warmth may
// get in the span, and the scatter that the rule allows. Where no rate is known there is nothing to hold it
// against.
void Monitor::checkSlowStart(const RequestTrace& trace, Worker& worker, Time now) {
  if (worker.warmFrom <= 0 || rules_.warmUp <= 0 || now >= worker.warmFrom + rules_.warmUp) {
    worker.sent.clear();
    return;
  }
  while (!worker.sent.empty() && worker.sent.front() < now - rules_.fallSpan) worker.sent.pop_front();
  worker.sent.push_back(now);
  const double rate = warmRate_();
  if (rate <= 0) return;
  constexpr double kFew = 30, kScatter = 2, kScatterOfFew = 3;
  const double age = std::clamp((now - worker.warmFrom) / rules_.warmUp, 0.0, 1.0);
  const double warmth = rules_.coldFrom + (1 - rules_.coldFrom) * age;
  const double calls = rules_.fallMultiple * warmth * rate * rules_.fallSpan;
  const double scatter = calls < kFew ? kScatterOfFew : kScatter;
  const double most = calls + scatter * std::sqrt(calls) + scatter;
  if (static_cast<double>(worker.sent.size()) > most)
    violated(Invariant::slow_start_exceeded, now, trace,
             std::to_string(worker.sent.size()) + " calls of " + std::to_string(most));
}

void Monitor::ended(RequestTrace& trace, WorkerId worker, AttemptResult result, Time now) {
  trace.add(now, stateOf(result), worker);
  if (!trace.out_) return;
  trace.out_ = false;
  if (!provesUnrun(result) && !trace.mayHaveRunSince_) trace.mayHaveRunSince_ = trace.sentAt_;
}

void Monitor::streaming(RequestTrace& trace, Time now) { trace.add(now, RequestState::streaming); }

void Monitor::answered(RequestTrace& trace, RequestState how, Time now) {
  trace.add(now, how);
  if (trace.answered_) violated(Invariant::request_answered_twice, now, trace, "");
  trace.answered_ = true;
  if (how != RequestState::cut && now > trace.deadline + kAnswerSlack)
    violated(Invariant::request_unanswered, now, trace,
             "answered " + milliseconds(now - trace.deadline) + " after its time");
}

void Monitor::clientLeft(RequestTrace& trace, Time now) {
  trace.add(now, RequestState::client_left);
  trace.left_ = true;
}

void Monitor::forgotten(RequestTrace& trace, Time now) {
  if (!trace.answered_ && !trace.left_) violated(Invariant::request_unanswered, now, trace, "let go of");
}

// --- Connections and accounts ----------------------------------------------------------------------------

void Monitor::closedUnanswered(const std::string& what, Time now) {
  violated(Invariant::connection_closed_unanswered, now, what);
}

void Monitor::accounts(std::size_t held, const std::string& left, Time now) {
  if (held > 0) violated(Invariant::accounts_not_zero, now, left);
}

std::uint64_t Monitor::total() const {
  return std::accumulate(counts_.begin(), counts_.end(), std::uint64_t{0});
}

std::string Monitor::telemetry() const {
  std::string out;
  for (std::size_t i = 0; i < kInvariants; ++i)
    out += "svc.invariant." + std::string(kInvariantNames[i]) + ":" + std::to_string(counts_[i]) + "|c\n";
  return out;
}

void Monitor::violated(Invariant invariant, Time now, const RequestTrace& trace, const std::string& what) {
  violated(invariant, now, (what.empty() ? "" : what + "; ") + trace.text(now));
}

void Monitor::violated(Invariant invariant, Time now, const std::string& what) {
  const auto index = static_cast<std::size_t>(invariant);
  const bool quiet = counts_[index] > 0 && now - loggedAt_[index] < kLogEvery;
  ++counts_[index];
  if (quiet) return;
  loggedAt_[index] = now;
  log_("invariant broken: " + std::string(nameOf(invariant)) + " (" + std::to_string(counts_[index]) +
       "): " + what);
}

}  // namespace wingslip::invariant
