#include "simulated_candidates.hpp"

#include <algorithm>
#include <cmath>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace wingslip::lab {

using wingslip::leader_election::ElectionHost;
using wingslip::leader_election::FencingToken;
using wingslip::leader_election::LeaderElection;
using wingslip::leader_election::LeaderTask;
using wingslip::leader_election::ProcessIdentity;
using wingslip::leader_election::Registration;
using wingslip::leader_election::StoreCall;
using wingslip::leader_election::StoreOperation;
using wingslip::leader_election::StoreReply;
using wingslip::leader_election::Timing;

namespace {

// The default values of the gatekeeper's configuration.
constexpr double kTtlMs = 10000;
constexpr double kLockDelayMs = 1000;
// One-way delay between a candidate and the store.
constexpr double kMinDelayMs = 0.2;
constexpr double kMaxDelayMs = 2;
constexpr const char* kTask = "roster";
constexpr const char* kPrefix = "p";

std::string registrationsKey() { return std::string(kPrefix) + "/members/"; }

std::size_t bytesOf(const StoreCall& call) {
  return call.key.size() + call.value.size() + call.session.size();
}

std::size_t bytesOf(const StoreReply& reply) {
  std::size_t out = reply.session.size();
  for (const auto& entry : reply.entries) out += entry.key.size() + entry.value.size() + entry.session.size();
  return out;
}

}  // namespace

struct SimulatedCandidates::Candidate : ElectionHost, LeaderTask {
  Candidate(SimulatedCandidates& owner, std::size_t index, const Timing& timing) : fleet(owner) {
    const std::string number = std::to_string(index);
    const ProcessIdentity identity{kPrefix, "gatekeeper-" + number, "instance-" + number, "1", 0};
    election = std::make_unique<LeaderElection>(timing, identity, fleet.random_(), *this);
    election->addTask(kTask, *this);
  }
  void start() {
    election->start(fleet.events_.now());
    armTimer();
  }
  void armTimer() {
    const Time dueAt = election->nextDueAt();
    if (!std::isfinite(dueAt)) return;
    const std::uint64_t timer = ++lastTimer;
    fleet.at(dueAt, [this, timer] {
      if (timer != lastTimer || crashed) return;
      election->runDue(fleet.events_.now());
      armTimer();
    });
  }
  bool isLeading() const { return !crashed && election->isLeaderWithValidLease(fleet.events_.now(), kTask); }

  void callStore(const StoreCall& call) override { fleet.call(*this, call); }
  void cancelCall(std::uint64_t callId) override { unanswered.erase(callId); }
  void logEvent(const std::string&) override {}
  void onElected(Time, FencingToken, const std::string&) override {}
  void onLeadershipLost(Time) override {}
  void onRecord(Time, FencingToken, const std::string&, const std::string&) override {}
  void onRegistrations(Time, const std::vector<Registration>&) override {}

  SimulatedCandidates& fleet;
  bool crashed = false;
  std::uint64_t lastTimer = 0;
  std::set<std::uint64_t> unanswered;  // ids of pending calls
  std::unique_ptr<LeaderElection> election;
};

SimulatedCandidates::SimulatedCandidates(std::size_t candidates, std::uint64_t seed) : random_(seed) {
  store_.onChange = [this](const std::string& key) { wakeReads(key); };
  const Timing timing =
      wingslip::leader_election::timingFor(kTtlMs, kLockDelayMs, static_cast<unsigned>(candidates));
  for (std::size_t i = 0; i < candidates; ++i)
    candidates_.push_back(std::make_unique<Candidate>(*this, i, timing));
  for (const auto& candidate : candidates_) candidate->start();
}

SimulatedCandidates::~SimulatedCandidates() = default;

void SimulatedCandidates::at(Time when, std::function<void()> action) { events_.at(when, std::move(action)); }

SimulatedCandidates::Time SimulatedCandidates::delayMs() {
  return std::uniform_real_distribution<Time>(kMinDelayMs, kMaxDelayMs)(random_);
}

void SimulatedCandidates::run(Time durationMs) {
  const Time until = events_.now() + durationMs;
  while (const auto action = events_.next(until)) {
    store_.expire(events_.now());
    (*action)();
  }
}

void SimulatedCandidates::call(Candidate& from, const StoreCall& call) {
  ++traffic_.calls;
  traffic_.bytes += bytesOf(call);
  from.unanswered.insert(call.id);
  // A call gets one reply, the store's or a failure at the timeout, or none if it is cancelled.
  at(events_.now() + call.timeoutMs, [this, &from, id = call.id] { reply(from, id, {}); });
  at(events_.now() + delayMs(), [this, &from, call] { execute(from, call); });
}

void SimulatedCandidates::reply(Candidate& to, std::uint64_t callId, const StoreReply& reply) const {
  if (to.crashed || to.unanswered.erase(callId) == 0) return;
  to.election->onReply(events_.now(), callId, reply);
  to.armTimer();
}

void SimulatedCandidates::replyLater(Candidate& to, std::uint64_t callId, const StoreReply& reply) {
  traffic_.bytes += bytesOf(reply);
  at(events_.now() + delayMs(), [this, &to, callId, reply] { this->reply(to, callId, reply); });
}

void SimulatedCandidates::execute(Candidate& from, const StoreCall& call) {
  StoreReply reply;
  reply.answered = true;
  switch (call.operation) {
    case StoreOperation::createSession:
      reply.session = store_.createSession(events_.now(), call.value, call.ttlMs, call.lockDelayMs);
      break;
    case StoreOperation::renewSession:
      reply.succeeded = store_.renew(events_.now(), call.session);
      break;
    case StoreOperation::destroySession:
      store_.destroy(events_.now(), call.session);
      break;
    case StoreOperation::acquire: {
      const std::optional<bool> acquired = store_.acquire(events_.now(), call.key, call.session, call.value);
      if (!acquired) return;  // an error at the store: the call fails at its timeout
      reply.succeeded = *acquired;
      break;
    }
    case StoreOperation::release:
      reply.succeeded = store_.release(events_.now(), call.key, call.session).value_or(false);
      break;
    case StoreOperation::compareAndSet:
      reply.succeeded = store_.compareAndSet(events_.now(), call.key, call.index, call.value);
      break;
    case StoreOperation::read:
      if (call.index > 0 && call.index == store_.changedAt(call.key, call.recurse))
        return waitForChange(from, call);
      reply = read(call);
      break;
  }
  replyLater(from, call.id, reply);
}

void SimulatedCandidates::waitForChange(Candidate& from, const StoreCall& call) {
  blockingReads_.push_back({&from, call});
  at(events_.now() + call.blockingReadMs, [this, &from, call] {
    const auto found =
        std::find_if(blockingReads_.begin(), blockingReads_.end(), [&](const BlockingRead& waiting) {
          return waiting.candidate == &from && waiting.call.id == call.id;
        });
    if (found == blockingReads_.end()) return;
    blockingReads_.erase(found);
    replyLater(from, call.id, read(call));
  });
}

StoreReply SimulatedCandidates::read(const StoreCall& call) const {
  StoreReply out;
  out.answered = true;
  out.index = store_.changedAt(call.key, call.recurse);
  for (const auto& [key, stored] : store_.read(call.key, call.recurse))
    out.entries.push_back({key, stored.value, stored.session, stored.modifyIndex});
  return out;
}

void SimulatedCandidates::wakeReads(const std::string& key) {
  for (auto waiting = blockingReads_.begin(); waiting != blockingReads_.end();) {
    if (key.rfind(waiting->call.key, 0) != 0) {
      ++waiting;
      continue;
    }
    const BlockingRead woken = *waiting;
    waiting = blockingReads_.erase(waiting);
    at(events_.now(), [this, woken] { replyLater(*woken.candidate, woken.call.id, read(woken.call)); });
  }
}

bool SimulatedCandidates::crashLeader() {
  for (const auto& candidate : candidates_) {
    if (!candidate->isLeading()) continue;
    candidate->crashed = true;
    return true;
  }
  return false;
}

std::size_t SimulatedCandidates::leaders() const {
  return static_cast<std::size_t>(std::count_if(
      candidates_.begin(), candidates_.end(), [](const auto& candidate) { return candidate->isLeading(); }));
}

std::size_t SimulatedCandidates::registered() const { return store_.read(registrationsKey(), true).size(); }

std::size_t SimulatedCandidates::registeredBytes() const {
  std::size_t out = 0;
  for (const auto& [key, stored] : store_.read(registrationsKey(), true))
    out += key.size() + stored.value.size() + stored.session.size();
  return out;
}

}  // namespace wingslip::lab
