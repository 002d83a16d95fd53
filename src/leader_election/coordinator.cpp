#include "leader_election/coordinator.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <random>
#include <utility>

#include "net/operator_response.hpp"

namespace wingslip::leader_election {
namespace {

namespace asio = boost::asio;

constexpr const char* kMembershipTask = "roster";  // part of the keys at the coordination store
// `shutDown` completes this long after the call that ends the session was sent, without waiting for its
// reply.
constexpr auto kEndSessionTimeout = std::chrono::milliseconds(100);
// The registration stays visible as draining for at least this long after `drain`, so that the leader reads
// it before it is deleted with the session.
constexpr Time kDrainingVisibleMs = 300;
constexpr const char* kEmptyFieldPlaceholder = "-";

ProcessIdentity identityOf(const CoordinationConfig& settings, const std::string& name) {
  const auto unixNow =
      std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch());
  char instance[20];
  // The instance id is not derived from the configured seed, which both processes of an upgrade share.
  std::random_device systemRandom;
  std::snprintf(instance, sizeof instance, "%08x%08x", systemRandom(), systemRandom());
  return {settings.prefix, name, instance, WINGSLIP_GATEKEEPER_BUILD, unixNow.count()};
}

const std::string& orPlaceholder(const std::string& text) {
  static const std::string placeholder = kEmptyFieldPlaceholder;
  return text.empty() ? placeholder : text;
}

}  // namespace

Coordinator::Coordinator(asio::io_context& io, const CoordinationConfig& settings, const std::string& name,
                         unsigned candidates, std::uint64_t seed, OverloadManager& overloadManager)
    : election_(timingFor(settings.ttlMs, settings.lockDelayMs, candidates), identityOf(settings, name),
                seed ^ std::random_device()(), *this),
      membership_(election_, kMembershipTask, settings.ttlMs),
      storeClient_(io, settings.store, overloadManager,
                   [this](std::uint64_t callId, const StoreReply& reply, const std::string& error) {
                     if (!error.empty() && error != lastStoreError_)
                       logEvent("call to the coordination store failed: " + error);
                     lastStoreError_ = error;
                     election_.onReply(now(), callId, reply);
                     runDue();
                   }),
      timer_(io),
      endSessionTimer_(io) {
  election_.addTask(kMembershipTask, membership_);
}

Time Coordinator::now() const {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

void Coordinator::start() {
  election_.start(now());
  runDue();
}

void Coordinator::drain() {
  election_.drain(now());
  drainStartedAt_ = now();
  runDue();
}

void Coordinator::shutDown(Time maxWaitMs, std::function<void()> done) {
  if (onShutDownDone_) return;
  onShutDownDone_ = std::move(done);
  endSessionDeadline_ = now() + maxWaitMs;
  runDue();
}

bool Coordinator::isReadyToEndSession() const {
  if (!onShutDownDone_ || isEndingSession_) return false;
  return now() >= endSessionDeadline_ ||
         (election_.isDrained() && now() >= drainStartedAt_ + kDrainingVisibleMs);
}

void Coordinator::runDue() {
  election_.runDue(now());
  membership_.runDue(now());
  if (isReadyToEndSession()) endSession();
  armTimer();
}

void Coordinator::endSession() {
  isEndingSession_ = true;
  election_.endSession(now());
  endSessionTimer_.expires_after(kEndSessionTimeout);
  endSessionTimer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) onShutDownDone_();
  });
}

Time Coordinator::nextDueAt() const {
  const Time at = std::min(election_.nextDueAt(), membership_.nextDueAt());
  if (!onShutDownDone_ || isEndingSession_) return at;
  const Time endSessionAt = election_.isDrained()
                                ? std::min(endSessionDeadline_, drainStartedAt_ + kDrainingVisibleMs)
                                : endSessionDeadline_;
  return std::min(at, endSessionAt);
}

void Coordinator::armTimer() {
  const Time at = nextDueAt();
  if (!std::isfinite(at)) {
    timer_.cancel();
    return;
  }
  const auto waitUs = static_cast<std::int64_t>(std::max(0.0, at - now()) * 1000) + 1;
  timer_.expires_after(std::chrono::microseconds(waitUs));
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) runDue();
  });
}

// --- Operators' calls and metrics ------------------------------------------------------------------------

std::string Coordinator::telemetry() const {
  std::string out;
  const auto add = [&](const std::string& name, std::uint64_t value, const char* kind) {
    out += std::string("svc.duty.") + name + ":" + std::to_string(value) + "|" + kind + "\n";
  };
  const ElectionCounts& counts = election_.counts();
  const std::vector<TaskStatus> status = election_.status();
  const auto isLeading = [](const TaskStatus& task) { return task.state == State::leading; };
  add("held", static_cast<std::uint64_t>(std::count_if(status.begin(), status.end(), isLeading)), "g");
  add("acquired", counts.leadershipsAcquired, "c");
  add("lost", counts.locksLost, "c");
  add("lapsed", counts.leasesExpired, "c");
  add("given_up", counts.steppedDown, "c");
  add("acts", counts.recordsWritten, "c");
  add("refused_by_fence", counts.fenceRejections, "c");
  add("renewals_failed", counts.renewalsFailed, "c");
  add("calls_failed", counts.callsFailed, "c");
  add("sessions_lost", counts.sessionsLost, "c");
  add("store_went_back", counts.storeRollbacks, "c");
  add("stale_records", counts.staleRecords, "c");
  add("malformed", counts.malformedEntries + membership_.unreadableRecords(), "c");
  auto members = membership_.record().counts();
  for (const auto state :
       {MemberState::present, MemberState::draining, MemberState::departed, MemberState::missing})
    add(std::string("roster_") + stateName(state), members[state], "g");
  return out;
}

std::string Coordinator::dutiesResponse() const {
  const std::vector<TaskStatus> all = election_.status();
  std::string out = "200 " + std::to_string(all.size()) + " duties\n";
  for (const TaskStatus& status : all) {
    const auto sinceS = static_cast<long>((now() - status.stateSince) / 1000);
    out += status.task + " state=" + stateName(status.state) + " holder=" + orPlaceholder(status.lockHolder) +
           " token=" + std::to_string(status.token) + " since_s=" + std::to_string(sinceS) +
           " last_error=" + orPlaceholder(status.lastError) + "\n";
  }
  return out + "EOF\n";
}

std::string Coordinator::rosterResponse() const {
  const MembershipRecord& record = membership_.record();
  auto counts = record.counts();
  std::string firstLine =
      "200 version=" + std::to_string(record.version()) + " token=" + std::to_string(membership_.token());
  constexpr MemberState kOrder[] = {MemberState::missing, MemberState::draining, MemberState::departed,
                                    MemberState::present};
  for (const MemberState state : kOrder)
    firstLine += std::string(" ") + stateName(state) + "=" + std::to_string(counts[state]);
  OperatorResponse out(firstLine);
  for (const MemberState state : kOrder)
    for (const auto& [name, member] : record.members())
      if (member.state == state)
        out.addLine(name + " " + stateName(state) + " processes=" + std::to_string(member.processes) +
                    " build=" + member.build + " started=" + std::to_string(member.startedUnixS) +
                    " since_version=" + std::to_string(member.sinceVersion));
  return out.text();
}

}  // namespace wingslip::leader_election
