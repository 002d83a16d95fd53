/// Leader election over a coordination store: one process of the fleet leads each task, under a lease and a
/// fencing token. Events and monotonic time in, calls to the store out; no I/O, no clock.
///
/// Who may act as leader after a partition, and why can there never be two?
///
/// The old leader acts only while its lease is valid. Cut off from the store it cannot renew, and by its own
/// clock it stops before the store can end its session. Nobody else gets the lock before that.
///
/// The new leader is whoever acquires the lock after the old session ended. It acts only once its higher
/// token is in the task's record. Gatekeepers elect nobody among themselves: what counts is who reaches the
/// store, not which side of the partition has more gatekeepers. A side that does not reach the store has no
/// leader.
///
/// This holds while a call takes effect within its time-out or never, and clocks run within `clockDrift` of
/// each other. Where that fails (a pause between check and send, a restored store) two processes may believe
/// that they lead. Then the token decides: the older one's writes fail at the compare-and-set, and readers
/// refuse a record under a lower token.
///
/// `docs/design.md` has the whole argument; `candidacy.hpp` the states and transitions.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "leader_election/candidacy.hpp"
#include "leader_election/election_context.hpp"
#include "leader_election/election_types.hpp"

namespace wingslip::leader_election {

/// Used on one thread. Refers to its host and tasks, which must outlive it.
class LeaderElection {
 public:
  LeaderElection(const Timing& timing, const ProcessIdentity& self, std::uint64_t seed, ElectionHost& host);

  /// Before `start`.
  void addTask(const std::string& name, LeaderTask& task);
  void start(Time now);
  /// Exactly once for each call of `ElectionHost::callStore` that was not cancelled.
  void onReply(Time now, std::uint64_t callId, const StoreReply& reply);
  /// Does what is due; the host calls it at `nextDueAt` at the latest.
  void runDue(Time now);
  /// Infinity: never by time alone.
  [[nodiscard]] Time nextDueAt() const;

  /// Whether an act of the task may be made at this moment. The one act so far is the write of the task's
  /// record, and `writeRecord` checks this by itself; a task with other acts calls it before each.
  [[nodiscard]] bool mayAct(Time now, const std::string& taskName) const;
  /// Writes the task's record; the latest data wins where a write is under way. False: this process does not
  /// lead.
  bool writeRecord(Time now, const std::string& taskName, const std::string& data);
  /// The leader cannot do the task: it gives the leadership up and does not compete for two TTLs. It does so
  /// by itself where nothing that it writes takes effect for two TTLs.
  void stepDown(Time now, const std::string& taskName, const std::string& reason);
  /// Acts stop, then locks are given back; the registration says that this process drains.
  void drain(Time now);
  /// The last call: ends the session, and with it the registration.
  void endSession(Time now);
  /// After `drain`: no lock is held and nothing is under way.
  [[nodiscard]] bool isDrained() const;

  [[nodiscard]] const ElectionCounts& counts() const { return context_.counts; }
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
