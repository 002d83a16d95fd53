/// Leader election over a coordination store: one process of the fleet leads each task, under a lease and a
/// fencing token. The module takes events and monotonic time as input and issues calls to the store; it
/// performs no I/O and reads no clock.
///
/// Behaviour under a network partition, and why there is at most one leader:
///
/// The old leader acts only while its lease is valid. Without a connection to the store it cannot renew its
/// session, and by its own clock it stops before the store can end the session. No other process can acquire
/// the lock earlier.
///
/// The new leader is the process that acquires the lock after the old session ended. It acts only after its
/// higher token was written to the task's record. Gatekeepers do not vote among themselves: the side of the
/// partition that reaches the store has the leader, however many gatekeepers are on each side. A side that
/// does not reach the store has none.
///
/// This requires that a call takes effect within its timeout or never, and that the rates of the processes'
/// clocks differ by at most `clockDrift`. If that is violated (by a pause between check and send, or a
/// restored store), two processes may believe that they lead. The fencing token then decides: the older
/// leader's writes fail at the compare-and-set, and readers reject a record under a lower token.
///
/// `docs/design.md` has the full argument, `candidacy.hpp` the states and transitions.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "leader_election/candidacy.hpp"
#include "leader_election/election_context.hpp"
#include "leader_election/election_types.hpp"

namespace wingslip::leader_election {

/// Candidate for all leader tasks of this process. Used on one thread. The host and the tasks must outlive
/// it.
class LeaderElection {
 public:
  LeaderElection(const Timing& timing, const ProcessIdentity& self, std::uint64_t seed, ElectionHost& host);

  /// Adds a task for whose leadership this process competes. Must be called before `start`.
  void addTask(const std::string& name, LeaderTask& task);
  /// Starts the session and all candidacies. The first calls to the store are made after a random delay.
  void start(Time now);
  /// Handles the reply to a call. The host calls it exactly once for each call of `ElectionHost::callStore`
  /// that was not cancelled.
  void onReply(Time now, std::uint64_t callId, const StoreReply& reply);
  /// Runs all actions that are due. The host calls it at `nextDueAt` at the latest.
  void runDue(Time now);
  /// Returns when `runDue` must be called next; infinity if nothing is scheduled.
  [[nodiscard]] Time nextDueAt() const;

  /// Returns whether this process leads the task and its lease is valid at `now`. Writes of the task's record
  /// are checked by the election itself; a task with any other effect must check this before each.
  [[nodiscard]] bool isLeaderWithValidLease(Time now, const std::string& taskName) const;
  /// Schedules a write of the task's record; while one is in flight, only the latest data is written after
  /// it. Returns false if this process does not lead the task.
  bool writeRecord(Time now, const std::string& taskName, const std::string& data);
  /// Called by a leader that cannot do the task: releases the leadership and does not compete for two TTLs.
  /// The election does the same by itself if no write is confirmed for two TTLs.
  void stepDown(Time now, const std::string& taskName, const std::string& reason);
  /// Stops acting as leader, then releases the locks, and marks the registration as draining.
  void drain(Time now);
  /// Ends the session, and with it the registration. The election is inactive afterwards.
  void endSession(Time now);
  /// Returns whether, after `drain`, all locks are released and the registration is up to date.
  [[nodiscard]] bool isDrained() const;

  [[nodiscard]] const ElectionCounts& counts() const { return context_.counts; }
  /// Returns the status of each task, in the order of the `addTask` calls.
  [[nodiscard]] std::vector<TaskStatus> status() const;

 private:
  void onSessionReply(Time now, const StoreReply& reply, Time sentAt);
  [[nodiscard]] Registration registration() const;
  [[nodiscard]] bool isRunning() const { return started_ && !ended_; }

  ElectionContext context_;
  std::deque<Candidacy> candidacies_;
  bool started_ = false;
  bool ended_ = false;
};

}  // namespace wingslip::leader_election
