/// This process's candidacy for one leader task: the state machine from standby to leader and back.
///
/// | from           | event                                                        | to             |
/// | -------------- | ------------------------------------------------------------ | -------------- |
/// | standby        | the lock is free                                             | waiting        |
/// | standby        | this process's session owns the lock                         | claimingToken  |
/// | waiting        | the random delay has elapsed and the lease is valid          | acquiring      |
/// | waiting        | another session owns the lock                                | standby        |
/// | waiting        | this process's session owns the lock                         | claimingToken  |
/// | acquiring      | the lock was acquired                                        | claimingToken  |
/// | acquiring      | the store refused the lock or did not respond                | waiting        |
/// | claimingToken  | the record was written, or is read, with the claimed token   | leading        |
/// | claimingToken  | the lease expires                                            | leaseUncertain |
/// | claimingToken  | the store refused the claim or did not respond               | claimingToken  |
/// | claimingToken  | the lock is free or owned by another session                 | standby        |
/// | leading        | the lease expires                                            | leaseUncertain |
/// | leading        | the lock is free or owned by another session                 | standby        |
/// | leading        | the record has another leader or token (fencing check)       | standby        |
/// | leading        | a registration reports a higher token                        | claimingToken  |
/// | leading        | `stepDown`, or no write was confirmed for two TTLs           | releasing      |
/// | leaseUncertain | a new session, or a read of the lock                         | as standby     |
/// | releasing      | the store replied to the release or did not respond in time  | coolingDown    |
/// | coolingDown    | two TTLs after stepping down                                 | as standby     |
///
/// From every state:
///  - If the session ends, the next state is standby; releasing goes to coolingDown, and coolingDown does not
///    change.
///  - `drain` leads to releasing from the states in which this process may own the lock (acquiring,
///    claimingToken, leading, leaseUncertain), else to coolingDown. While draining, coolingDown never ends,
///    and losing the lock leads to coolingDown instead of standby.
/// "as standby": the transitions of standby apply immediately.
///
/// `candidacy.cpp` implements the lock: watching, acquiring and releasing it. `leadership.cpp` implements the
/// part that needs the lock: claiming a token, writing the record and watching the registrations.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "leader_election/election_context.hpp"
#include "leader_election/registration.hpp"

namespace wingslip::leader_election {

/// The state machine. Owned by `LeaderElection` and used on its thread. The context and the task must outlive
/// it. The `LeaderTask` may call back into the election from within any event.
class Candidacy {
 public:
  Candidacy(ElectionContext& context, std::size_t taskIndex, std::string taskName, LeaderTask& task);

  /// Schedules the first read of the lock at `watchAt`.
  void start(Time now, Time watchAt);
  /// Handles the reply to a call of this candidacy; ignores replies to calls that it has abandoned.
  void onReply(Time now, std::uint64_t callId, const PendingCall& call, const StoreReply& reply);
  /// Handles a successful creation or renewal of the session.
  void onSessionCreatedOrRenewed(Time now);
  /// Handles the end of the session at the store, and with it of the lock.
  void onSessionLost(Time now);
  /// Runs all actions that are due, including lease expiry.
  void runDue(Time now);
  /// Returns when `runDue` must be called next; infinity if nothing is scheduled.
  [[nodiscard]] Time nextDueAt() const;

  /// Returns whether this process leads the task and its lease is valid at `now`.
  [[nodiscard]] bool isLeaderWithValidLease(Time now) const;
  /// Schedules a write of the task's record; while one is in flight, only the latest data is written after
  /// it. Returns false if this process does not lead the task.
  bool writeRecord(Time now, const std::string& data);
  /// Releases the leadership and does not compete for two TTLs. `reason` becomes the task's last error.
  /// Has no effect unless this process leads.
  void stepDown(Time now, const std::string& reason);
  /// Releases the lock if this process may own it, and does not compete again.
  void drain(Time now);

  [[nodiscard]] const std::string& taskName() const { return taskName_; }
  /// Highest token of the task that this process has claimed or learned from records and registrations.
  [[nodiscard]] FencingToken highestSeenToken() const { return highestSeenToken_; }
  [[nodiscard]] State state() const { return state_; }
  [[nodiscard]] TaskStatus status() const;

 private:
  /// Kind of the store call in flight that advances the state machine. At most one is in flight.
  enum class Step {
    none,
    acquireLock,
    readRegistrations,
    readRecord,
    claimToken,
    readBeforeWrite,
    write,
    releaseLock
  };

  /// The blocking read that watches the task's lock and record, and the lock as last read.
  struct LockWatch {
    std::uint64_t callId = 0;
    std::uint64_t index = 0;  // of the last read; 0: the lock must be read again without blocking
    Time dueAt = 0;
    Backoff backoff;
    std::string lockSession;  // session that owns the lock; empty: the lock is free
  };
  /// The next write of the task's record, which has not been sent yet.
  struct RecordWrite {
    bool isPending = false;
    std::string data;
    // Time of the oldest unconfirmed write, or of the last confirmation if that is later.
    Time unconfirmedSince = 0;
  };
  /// The leader's blocking read of all registrations.
  struct RegistrationWatch {
    std::uint64_t callId = 0;
    std::uint64_t index = 0;
    Time dueAt = 0;
  };

  void setState(Time now, State state);
  void sendStep(Time now, Step step, StoreCall call);
  [[nodiscard]] StoreCall taskReadCall() const;
  [[nodiscard]] StoreCall registrationsReadCall() const;
  [[nodiscard]] const StoreEntry* findLock(const StoreReply& reply) const;
  [[nodiscard]] LeaderRecord parseRecord(const StoreReply& reply);
  [[nodiscard]] std::vector<Registration> parseRegistrations(const StoreReply& reply);

  // Implemented in candidacy.cpp: the lock.
  void watchLockIfDue(Time now);
  void onLockWatchReply(Time now, const StoreReply& reply, Time sentAt);
  void onLockRead(Time now, Time readSentAt);
  void enterStateForLock(Time now);
  void rereadLock(Time now);
  void waitBeforeAcquiring(Time now, Time maxMs);
  void acquireLock(Time now);
  void onAcquireReply(Time now, const StoreReply& reply);
  void releaseLock(Time now);
  void coolDown(Time now);
  void startStepIfDue(Time now);
  void onStepReply(Time now, const StoreReply& reply);

  // Implemented in leadership.cpp: the token, the record and the registrations.
  void onRegistrationsBeforeClaim(Time now, const StoreReply& reply, Time retryAt);
  void onRecordBeforeClaim(Time now, const StoreReply& reply, Time retryAt);
  void claimToken(Time now, const LeaderRecord& record);
  void onClaimReply(Time now, const StoreReply& reply, Time retryAt);
  void becomeLeader(Time now);
  void endLeadership(Time now, State next);
  void loseLock(Time now, const std::string& reason);
  void expireLease(Time now);
  void acceptRecord(Time now, const LeaderRecord& record);
  void rejectStaleRecord(Time now, const LeaderRecord& record);
  void onRecordBeforeWrite(Time now, const StoreReply& reply, Time retryAt);
  void onWriteReply(Time now, const StoreReply& reply, Time retryAt);
  void watchRegistrationsIfDue(Time now);
  void onRegistrationsReply(Time now, const StoreReply& reply);

  ElectionContext& context_;
  const std::size_t taskIndex_;
  const std::string taskName_;
  LeaderTask& task_;

  State state_ = State::standby;
  Time stateSince_ = 0;
  Time dueAt_ = 0;          // time of the next step, or of the end of coolingDown
  std::string lockHolder_;  // name of the gatekeeper that owns the lock; empty: free or not read yet
  std::string lastError_;

  LockWatch lockWatch_;
  Time lockAcquiredAt_ = 0;
  Backoff acquireBackoff_;
  // Whether this process competes again after coolingDown; false while draining.
  bool rejoinsAfterCoolDown_ = false;

  Step step_ = Step::none;
  std::uint64_t stepCallId_ = 0;
  Backoff stepBackoff_;

  FencingToken token_ = 0;
  FencingToken highestSeenToken_ = 0;
  FencingToken claimedToken_ = 0;
  FencingToken highestRegisteredToken_ = 0;  // highest token reported by any registration
  std::string recordData_;                   // as last read or sent for writing
  std::string lastRejectedRecord_;  // leader and token of the last stale record, so that it is logged once
  bool recordLossReported_ = false;
  RecordWrite write_;
  RegistrationWatch registrationWatch_;
};

}  // namespace wingslip::leader_election
