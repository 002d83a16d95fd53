// A fleet of candidates in virtual time: the real state machine on the state of the stand-in store, under
// seeded schedules of drifting clocks, pauses, delays, losses and a store that fails.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "event_queue.hpp"
#include "leader_election/leader_election.hpp"
#include "store_state.hpp"

namespace wingslip::leader_election {

struct Faults {
  bool withinAssumptions = true;  // else calls may take effect long after they were given up
  double lossShare = 0;           // of messages, each way, while faults last
  Time until = 40000;             // then no more faults
  bool pauses = false;
  bool storeFails = false;
  bool writes = true;
};

class ElectionSimulation {
 public:
  // What went wrong, and what happened at all; by true time.
  struct Observed {
    long calls = 0;
    long recordsWritten = 0;
    long twoLeadersAtOnce = 0;
    long lowerTokens = 0;
    long sharedTokens = 0;
    long writesFenced = 0;
    long leadersWithoutLock = 0;
    long staleRecordsAccepted = 0;
  };

  ElectionSimulation(std::uint64_t seed, int candidates, const Faults& faults, Time ttlMs = 2000)
      : faults_(faults), timing_(timingFor(ttlMs, 300, static_cast<unsigned>(candidates))), random_(seed) {
    storeClockRate_ = 1 + between(-timing_.clockDrift / 2, timing_.clockDrift / 2);
    store_.onChange = [this](const std::string& key) { wakeReads(key); };
    store_.onSet = [this](const std::string&, const std::string& value) { onRecordWritten(value); };
    for (int i = 0; i < candidates; ++i) processes_.push_back(std::make_unique<Process>(*this, i));
    for (auto& process : processes_) at(between(0, 500), [started = process.get()] { started->start(); });
    if (faults.storeFails) at(between(5000, 15000), [this] { failStore(); });
  }

  void run(Time until) {
    while (const auto action = events_.next(until)) {
      store_.expire(storeNow());
      (*action)();
      check();
    }
  }

  int leaders() const {
    return static_cast<int>(std::count_if(processes_.begin(), processes_.end(),
                                          [](const auto& process) { return process->isLeading(); }));
  }
  // -1: none leads.
  int leader() const {
    for (const auto& process : processes_)
      if (process->isLeading()) return process->index;
    return -1;
  }
  // From now on nothing that the leader writes takes effect, whatever else it asks does. -1: none leads.
  int stopWritesOfLeader() {
    const int index = leader();
    if (index >= 0) withoutWrites_ = index;
    return index;
  }
  // The leader's process is gone at once. -1: none leads.
  int crashLeader() {
    const int index = leader();
    if (index >= 0) processes_[static_cast<std::size_t>(index)]->crashed = true;
    return index;
  }

  std::uint64_t leasesExpired() const {
    std::uint64_t out = 0;
    for (const auto& process : processes_) out += process->election->counts().leasesExpired;
    return out;
  }

  const Observed& observed() const { return observed_; }

 private:
  struct Process : ElectionHost, LeaderTask {
    Process(ElectionSimulation& owner, int number) : simulation(owner), index(number) {
      const Time halfDrift = owner.timing_.clockDrift / 2;
      clockRate = 1 + owner.between(-halfDrift, halfDrift);
      clockOffset = owner.between(0, 1e6);
      const ProcessIdentity identity{"p", "g" + std::to_string(number), "i" + std::to_string(number), "1", 0};
      election = std::make_unique<LeaderElection>(owner.timing_, identity, owner.random_(), *this);
      election->addTask("roster", *this);
    }
    Time localNow() const { return clockOffset + clockRate * simulation.now(); }
    bool isLeading() const { return !crashed && !paused && election->mayAct(localNow(), "roster"); }
    void start() {
      election->start(localNow());
      armTimer();
      if (simulation.faults_.writes) writeLater();
      if (simulation.faults_.pauses) pauseLater();
    }
    // What happens to a paused process waits until it resumes.
    void later(Time when, std::function<void()> action) {
      simulation.at(when, [this, action = std::move(action)] {
        if (crashed) return;
        if (paused) return void(waiting.push_back(action));
        action();
      });
    }
    void pauseLater() {
      simulation.at(simulation.now() + simulation.between(3000, 20000), [this] { pause(); });
    }
    void pause() {
      if (simulation.now() > simulation.faults_.until) return;
      paused = true;
      simulation.at(simulation.now() + simulation.between(100, 8000), [this] {
        paused = false;
        for (auto& action : std::exchange(waiting, {})) action();
        pauseLater();
      });
    }
    void armTimer() {
      const Time dueAt = election->nextDueAt();
      if (dueAt == std::numeric_limits<Time>::infinity()) return;
      const std::uint64_t timer = ++lastTimer;
      later(std::max(simulation.now(), (dueAt - clockOffset) / clockRate) + 0.01, [this, timer] {
        if (timer != lastTimer) return;
        election->runDue(localNow());
        armTimer();
      });
    }
    void writeLater() {
      later(simulation.now() + 200, [this] {
        election->writeRecord(localNow(), "roster", "at " + std::to_string(simulation.now()));
        armTimer();
        writeLater();
      });
    }

    void callStore(const StoreCall& call) override { simulation.call(*this, call); }
    void cancelCall(std::uint64_t callId) override { cancelled.insert(callId); }
    void logEvent(const std::string&) override {}
    void onElected(Time, FencingToken, const std::string&) override {}
    void onDeposed(Time) override {}
    void onRecord(Time, FencingToken token, const std::string&, const std::string&) override {
      simulation.observed_.staleRecordsAccepted += token < highestToken;
      highestToken = std::max(highestToken, token);
    }
    void onRegistrations(Time, const std::vector<Registration>&) override {}

    ElectionSimulation& simulation;
    int index;
    double clockRate;
    double clockOffset;
    bool paused = false;
    bool crashed = false;
    FencingToken highestToken = 0;
    std::uint64_t lastTimer = 0;
    std::unique_ptr<LeaderElection> election;
    std::vector<std::function<void()>> waiting;
    std::set<std::uint64_t> cancelled;
    std::set<std::uint64_t> replied;
  };

  struct BlockingRead {
    Process* process;
    StoreCall call;
  };

  Time now() const { return events_.now(); }
  void at(Time when, std::function<void()> action) { events_.at(when, std::move(action)); }
  double between(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random_);
  }
  Time storeNow() const { return storeClockRate_ * now(); }
  bool faultsLast() const { return now() < faults_.until; }
  bool isLost() { return faultsLast() && between(0, 1) < faults_.lossShare; }
  Time delay() {
    if (!faultsLast()) return between(1, 5);
    const double maxMs = faults_.withinAssumptions ? timing_.callTimeoutMs * 0.99 : 8000;
    const double slowShare = faults_.withinAssumptions ? 0.1 : 0.2;
    return between(0, 1) < slowShare ? between(1, maxMs) : between(1, 20);
  }

  void call(Process& process, const StoreCall& call) {
    ++observed_.calls;
    const bool isWrite = call.operation == StoreOperation::compareAndSet &&
                         process.election->status()[0].state == State::leading;
    if (isWrite) observed_.leadersWithoutLock += faults_.withinAssumptions && !keepsLock(process);
    // Exactly one reply: the answer, or a failure at its time.
    process.later(now() + call.timeoutMs / process.clockRate,
                  [&process, id = call.id] { replyTo(process, id, {}); });
    if (isLost()) return;
    const Time transitMs = delay();
    if (faults_.withinAssumptions && transitMs > timing_.callTimeoutMs) return;
    at(now() + transitMs, [this, &process, call] { arrive(process, call); });
  }
  static void replyTo(Process& process, std::uint64_t callId, const StoreReply& reply) {
    if (process.cancelled.contains(callId) || !process.replied.insert(callId).second) return;
    process.election->onReply(process.localNow(), callId, reply);
    process.armTimer();
  }
  void answer(Process& process, std::uint64_t callId, StoreReply reply) {
    reply.answered = true;
    if (isLost()) return;
    process.later(now() + delay(), [&process, callId, reply] { replyTo(process, callId, reply); });
  }

  void arrive(Process& process, const StoreCall& call) {
    if (storeIsDown_) return;
    StoreReply reply;
    const Time atStore = storeNow();
    writer_ = &process;
    switch (call.operation) {
      case StoreOperation::createSession:
        reply.session = store_.createSession(atStore, call.value, call.ttlMs, call.lockDelayMs);
        break;
      case StoreOperation::renewSession:
        reply.succeeded = store_.renew(atStore, call.session);
        break;
      case StoreOperation::destroySession:
        store_.destroy(atStore, call.session);
        break;
      case StoreOperation::acquire: {
        const auto acquired = store_.acquire(atStore, call.key, call.session, call.value);
        if (!acquired) return;  // an error at the store
        reply.succeeded = *acquired;
        break;
      }
      case StoreOperation::release:
        reply.succeeded = store_.release(atStore, call.key, call.session).value_or(false);
        break;
      case StoreOperation::compareAndSet:
        if (process.index == withoutWrites_ && process.election->status()[0].state == State::leading) return;
        reply.succeeded = store_.compareAndSet(atStore, call.key, call.index, call.value);
        observed_.writesFenced += !reply.succeeded;
        break;
      case StoreOperation::read:
        if (call.index > 0 && call.index == store_.changedAt(call.key, call.recurse))
          return waitForChange(process, call);
        reply = read(call);
        break;
    }
    answer(process, call.id, reply);
  }
  void waitForChange(Process& process, const StoreCall& call) {
    blockingReads_.push_back({&process, call});
    at(now() + call.blockingReadMs, [this, &process, call] {
      const auto found =
          std::find_if(blockingReads_.begin(), blockingReads_.end(), [&](const BlockingRead& waiting) {
            return waiting.process == &process && waiting.call.id == call.id;
          });
      if (found == blockingReads_.end()) return;
      blockingReads_.erase(found);
      answer(process, call.id, read(call));
    });
  }
  StoreReply read(const StoreCall& call) const {
    StoreReply out;
    out.index = store_.changedAt(call.key, call.recurse);
    for (const auto& [key, stored] : store_.read(call.key, call.recurse))
      out.entries.push_back({key, stored.value, stored.session, stored.modifyIndex});
    return out;
  }
  void wakeReads(const std::string& key) {
    std::vector<BlockingRead> woken;
    std::erase_if(blockingReads_, [&](const BlockingRead& waiting) {
      const bool isMatch = key.rfind(waiting.call.key, 0) == 0;
      if (isMatch) woken.push_back(waiting);
      return isMatch;
    });
    for (const BlockingRead& waiting : woken)
      at(now(), [this, waiting] { answer(*waiting.process, waiting.call.id, read(waiting.call)); });
  }

  // The store is down for a while, and comes back as it was, empty, or as it was before.
  void failStore() {
    if (!faultsLast()) return;
    if (between(0, 1) < 0.3) savedStore_ = store_;
    storeIsDown_ = true;
    blockingReads_.clear();
    at(now() + between(200, 6000), [this] {
      storeIsDown_ = false;
      const double kind = between(0, 1);
      if (kind < 0.5) {
        const auto onChange = store_.onChange;
        const auto onSet = store_.onSet;
        // Empty or old, so that all sessions that are known are gone or are of that time.
        store_ = kind < 0.25 ? wingslip::lab::StoreState() : savedStore_;
        store_.onChange = onChange;
        store_.onSet = onSet;
      }
      at(now() + between(6000, 12000), [this] { failStore(); });
    });
  }

  // A compare-and-set of the record took effect.
  void onRecordWritten(const std::string& value) {
    const auto record = nlohmann::json::parse(value);
    const FencingToken token = record["token"].get<FencingToken>();
    const std::string leaderInstance = record["holder"].get<std::string>();
    ++observed_.recordsWritten;
    observed_.lowerTokens += token < highestToken_;
    const auto [found, isNew] = leaderOfToken_.try_emplace(token, leaderInstance);
    observed_.sharedTokens += !isNew && found->second != leaderInstance;
    highestToken_ = std::max(highestToken_, token);
    for (const auto& process : processes_)
      observed_.twoLeadersAtOnce +=
          process.get() != writer_ && process->isLeading() && faults_.withinAssumptions;
  }
  // The argument's first half: the lock is the leader's for as long as an act that is sent now may take.
  bool keepsLock(const Process& process) const {
    const auto lock = store_.read("p/duties/roster/lock", false);
    return !lock.empty() && lock[0].second.value == "g" + std::to_string(process.index) &&
           store_.heldUntil("p/duties/roster/lock") >=
               storeNow() + timing_.callTimeoutMs * (1 - timing_.clockDrift);
  }
  void check() {
    observed_.twoLeadersAtOnce += leaders() > 1;
    if (!faults_.withinAssumptions) return;
    for (const auto& process : processes_)
      observed_.leadersWithoutLock += process->isLeading() && !keepsLock(*process);
  }

  Faults faults_;
  Timing timing_;
  std::mt19937_64 random_;
  Observed observed_;
  double storeClockRate_ = 1;
  bool storeIsDown_ = false;
  wingslip::lab::StoreState store_;
  wingslip::lab::StoreState savedStore_;
  std::vector<BlockingRead> blockingReads_;
  wingslip::lab::EventQueue events_;
  std::vector<std::unique_ptr<Process>> processes_;
  std::map<FencingToken, std::string> leaderOfToken_;
  FencingToken highestToken_ = 0;
  Process* writer_ = nullptr;
  int withoutWrites_ = -1;
};

}  // namespace wingslip::leader_election
