// A fleet of candidates in virtual time: the real state machine against the state of the simulated
// coordination store, under seeded schedules of clock drift, pauses, message delays and losses, and failures
// of the store.
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

// The faults of a schedule.
struct Faults {
  bool withinAssumptions = true;  // else calls may take effect long after their timeout
  double messageLossRate = 0;     // probability of loss, in each direction, while faults are active
  Time activeUntil = 40000;       // no faults from then on
  bool pauses = false;            // processes pause at random times
  bool storeFails = false;        // the store stops, and restarts with its state, an old state or none
  bool writes = true;             // leaders write the record periodically
};

class ElectionSimulation {
 public:
  // Counters of violations and of events. Simultaneity is judged in simulation time, not by the processes'
  // clocks.
  struct Observed {
    long calls = 0;
    long recordsWritten = 0;
    long simultaneousLeaders = 0;
    long tokenRegressions = 0;      // records written under a token below the highest so far
    long duplicateTokens = 0;       // records written under a token of another leader
    long writesRejected = 0;        // compare-and-set calls that the store rejected
    long leadersWithoutLock = 0;    // leaders whose lock may expire before a call would time out
    long staleRecordsAccepted = 0;  // records under a lower token that a candidate accepted
  };

  ElectionSimulation(std::uint64_t seed, int candidates, const Faults& faults, Time ttlMs = 2000)
      : faults_(faults), timing_(timingFor(ttlMs, 300, static_cast<unsigned>(candidates))), random_(seed) {
    storeClockRate_ = 1 + uniform(-timing_.clockDrift / 2, timing_.clockDrift / 2);
    store_.onChange = [this](const std::string& key) { completeBlockingReads(key); };
    store_.onSet = [this](const std::string&, const std::string& value) { onRecordWritten(value); };
    for (int i = 0; i < candidates; ++i) processes_.push_back(std::make_unique<Process>(*this, i));
    for (auto& process : processes_) at(uniform(0, 500), [started = process.get()] { started->start(); });
    if (faults.storeFails) at(uniform(5000, 15000), [this] { failStore(); });
  }

  void run(Time until) {
    while (const auto action = events_.next(until)) {
      store_.expire(storeNow());
      (*action)();
      checkInvariants();
    }
  }

  int leaderCount() const {
    return static_cast<int>(std::count_if(processes_.begin(), processes_.end(),
                                          [](const auto& process) { return process->isLeading(); }));
  }
  // Returns -1 if there is no leader.
  int leaderIndex() const {
    for (const auto& process : processes_)
      if (process->isLeading()) return process->index;
    return -1;
  }
  // Drops all further compare-and-set calls that the present leader sends while it leads; its other calls
  // take effect. Returns its index, or -1 if there is no leader.
  int dropWritesOfLeader() {
    const int index = leaderIndex();
    if (index >= 0) droppedWriter_ = index;
    return index;
  }
  // Crashes the leader's process. Returns its index, or -1 if there is no leader.
  int crashLeader() {
    const int index = leaderIndex();
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
      clockRate = 1 + owner.uniform(-halfDrift, halfDrift);
      clockOffset = owner.uniform(0, 1e6);
      const ProcessIdentity identity{"p", "g" + std::to_string(number), "i" + std::to_string(number), "1", 0};
      election = std::make_unique<LeaderElection>(owner.timing_, identity, owner.random_(), *this);
      election->addTask("roster", *this);
    }
    Time localNow() const { return clockOffset + clockRate * simulation.now(); }
    bool isLeading() const {
      return !crashed && !paused && election->isLeaderWithValidLease(localNow(), "roster");
    }
    void start() {
      election->start(localNow());
      armTimer();
      if (simulation.faults_.writes) scheduleWrite();
      if (simulation.faults_.pauses) schedulePause();
    }
    // Runs the action at `when`; while the process is paused, actions are deferred until it resumes.
    void scheduleWhileRunning(Time when, std::function<void()> action) {
      simulation.at(when, [this, action = std::move(action)] {
        if (crashed) return;
        if (paused) return void(deferredActions.push_back(action));
        action();
      });
    }
    void schedulePause() {
      simulation.at(simulation.now() + simulation.uniform(3000, 20000), [this] { pause(); });
    }
    void pause() {
      if (simulation.now() > simulation.faults_.activeUntil) return;
      paused = true;
      simulation.at(simulation.now() + simulation.uniform(100, 8000), [this] {
        paused = false;
        for (auto& action : std::exchange(deferredActions, {})) action();
        schedulePause();
      });
    }
    void armTimer() {
      const Time dueAt = election->nextDueAt();
      if (dueAt == std::numeric_limits<Time>::infinity()) return;
      const std::uint64_t timer = ++lastTimer;
      scheduleWhileRunning(std::max(simulation.now(), (dueAt - clockOffset) / clockRate) + 0.01,
                           [this, timer] {
                             if (timer != lastTimer) return;
                             election->runDue(localNow());
                             armTimer();
                           });
    }
    void scheduleWrite() {
      scheduleWhileRunning(simulation.now() + 200, [this] {
        election->writeRecord(localNow(), "roster", "at " + std::to_string(simulation.now()));
        armTimer();
        scheduleWrite();
      });
    }

    void callStore(const StoreCall& call) override { simulation.call(*this, call); }
    void cancelCall(std::uint64_t callId) override { cancelled.insert(callId); }
    void logEvent(const std::string&) override {}
    void onElected(Time, FencingToken, const std::string&) override {}
    void onLeadershipLost(Time) override {}
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
    std::vector<std::function<void()>> deferredActions;
    std::set<std::uint64_t> cancelled;
    std::set<std::uint64_t> replied;
  };

  struct BlockingRead {
    Process* process;
    StoreCall call;
  };

  Time now() const { return events_.now(); }
  void at(Time when, std::function<void()> action) { events_.at(when, std::move(action)); }
  double uniform(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random_);
  }
  Time storeNow() const { return storeClockRate_ * now(); }
  bool faultsActive() const { return now() < faults_.activeUntil; }
  bool isMessageLost() { return faultsActive() && uniform(0, 1) < faults_.messageLossRate; }
  Time delay() {
    if (!faultsActive()) return uniform(1, 5);
    const double maxMs = faults_.withinAssumptions ? timing_.callTimeoutMs * 0.99 : 8000;
    const double slowRate = faults_.withinAssumptions ? 0.1 : 0.2;
    return uniform(0, 1) < slowRate ? uniform(1, maxMs) : uniform(1, 20);
  }

  void call(Process& process, const StoreCall& call) {
    ++observed_.calls;
    const bool isWrite = call.operation == StoreOperation::compareAndSet &&
                         process.election->status()[0].state == State::leading;
    if (isWrite) observed_.leadersWithoutLock += faults_.withinAssumptions && !isLockGuaranteed(process);
    // Exactly one reply: the store's response, or a failure when the call times out.
    process.scheduleWhileRunning(now() + call.timeoutMs / process.clockRate,
                                 [&process, id = call.id] { deliverReply(process, id, {}); });
    if (isMessageLost()) return;
    const Time transitMs = delay();
    if (faults_.withinAssumptions && transitMs > timing_.callTimeoutMs) return;
    at(now() + transitMs, [this, &process, call] { onCallArrival(process, call); });
  }
  static void deliverReply(Process& process, std::uint64_t callId, const StoreReply& reply) {
    if (process.cancelled.contains(callId) || !process.replied.insert(callId).second) return;
    process.election->onReply(process.localNow(), callId, reply);
    process.armTimer();
  }
  void sendReply(Process& process, std::uint64_t callId, StoreReply reply) {
    reply.answered = true;
    if (isMessageLost()) return;
    process.scheduleWhileRunning(now() + delay(),
                                 [&process, callId, reply] { deliverReply(process, callId, reply); });
  }

  void onCallArrival(Process& process, const StoreCall& call) {
    if (storeIsDown_) return;
    StoreReply reply;
    const Time storeTime = storeNow();
    writer_ = &process;
    switch (call.operation) {
      case StoreOperation::createSession:
        reply.session = store_.createSession(storeTime, call.value, call.ttlMs, call.lockDelayMs);
        break;
      case StoreOperation::renewSession:
        reply.succeeded = store_.renew(storeTime, call.session);
        break;
      case StoreOperation::destroySession:
        store_.destroy(storeTime, call.session);
        break;
      case StoreOperation::acquire: {
        const auto acquired = store_.acquire(storeTime, call.key, call.session, call.value);
        if (!acquired) return;  // the store rejects the call with an error and the call times out
        reply.succeeded = *acquired;
        break;
      }
      case StoreOperation::release:
        reply.succeeded = store_.release(storeTime, call.key, call.session).value_or(false);
        break;
      case StoreOperation::compareAndSet:
        if (process.index == droppedWriter_ && process.election->status()[0].state == State::leading) return;
        reply.succeeded = store_.compareAndSet(storeTime, call.key, call.index, call.value);
        observed_.writesRejected += !reply.succeeded;
        break;
      case StoreOperation::read:
        if (call.index > 0 && call.index == store_.changedAt(call.key, call.recurse))
          return waitForChange(process, call);
        reply = read(call);
        break;
    }
    sendReply(process, call.id, reply);
  }
  void waitForChange(Process& process, const StoreCall& call) {
    blockingReads_.push_back({&process, call});
    at(now() + call.blockingReadMs, [this, &process, call] {
      const auto found =
          std::find_if(blockingReads_.begin(), blockingReads_.end(), [&](const BlockingRead& blocked) {
            return blocked.process == &process && blocked.call.id == call.id;
          });
      if (found == blockingReads_.end()) return;
      blockingReads_.erase(found);
      sendReply(process, call.id, read(call));
    });
  }
  StoreReply read(const StoreCall& call) const {
    StoreReply out;
    out.index = store_.changedAt(call.key, call.recurse);
    for (const auto& [key, stored] : store_.read(call.key, call.recurse))
      out.entries.push_back({key, stored.value, stored.session, stored.modifyIndex});
    return out;
  }
  void completeBlockingReads(const std::string& key) {
    std::vector<BlockingRead> woken;
    std::erase_if(blockingReads_, [&](const BlockingRead& blocked) {
      const bool isMatch = key.rfind(blocked.call.key, 0) == 0;
      if (isMatch) woken.push_back(blocked);
      return isMatch;
    });
    for (const BlockingRead& blocked : woken)
      at(now(), [this, blocked] { sendReply(*blocked.process, blocked.call.id, read(blocked.call)); });
  }

  // Stops the store for a while. It restarts with its state, without any, or with a state saved earlier.
  void failStore() {
    if (!faultsActive()) return;
    if (uniform(0, 1) < 0.3) savedStore_ = store_;
    storeIsDown_ = true;
    blockingReads_.clear();
    at(now() + uniform(200, 6000), [this] {
      storeIsDown_ = false;
      const double kind = uniform(0, 1);
      if (kind < 0.5) {
        const auto onChange = store_.onChange;
        const auto onSet = store_.onSet;
        // Without state, all sessions have ended; with the saved state, the sessions are those of that time.
        store_ = kind < 0.25 ? wingslip::lab::StoreState() : savedStore_;
        store_.onChange = onChange;
        store_.onSet = onSet;
      }
      at(now() + uniform(6000, 12000), [this] { failStore(); });
    });
  }

  // Called when a compare-and-set of the record took effect.
  void onRecordWritten(const std::string& value) {
    const auto record = nlohmann::json::parse(value);
    const FencingToken token = record["token"].get<FencingToken>();
    const std::string leaderInstance = record["holder"].get<std::string>();
    ++observed_.recordsWritten;
    observed_.tokenRegressions += token < highestToken_;
    const auto [found, isNew] = leaderOfToken_.try_emplace(token, leaderInstance);
    observed_.duplicateTokens += !isNew && found->second != leaderInstance;
    highestToken_ = std::max(highestToken_, token);
    for (const auto& process : processes_)
      observed_.simultaneousLeaders +=
          process.get() != writer_ && process->isLeading() && faults_.withinAssumptions;
  }
  // Returns whether the process owns the lock and the store cannot grant it to another before a call that is
  // sent now would time out.
  bool isLockGuaranteed(const Process& process) const {
    const auto lock = store_.read("p/duties/roster/lock", false);
    return !lock.empty() && lock[0].second.value == "g" + std::to_string(process.index) &&
           store_.heldUntil("p/duties/roster/lock") >=
               storeNow() + timing_.callTimeoutMs * (1 - timing_.clockDrift);
  }
  void checkInvariants() {
    observed_.simultaneousLeaders += leaderCount() > 1;
    if (!faults_.withinAssumptions) return;
    for (const auto& process : processes_)
      observed_.leadersWithoutLock += process->isLeading() && !isLockGuaranteed(*process);
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
  Process* writer_ = nullptr;  // sender of the call that the store applies at present
  int droppedWriter_ = -1;     // process whose writes are dropped; -1: none
};

}  // namespace wingslip::leader_election
