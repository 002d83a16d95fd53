/// This process's candidacy for one task: the state machine from standby to leader and back.
///
/// | from           | event                                                     | to             |
/// | -------------- | --------------------------------------------------------- | -------------- |
/// | standby        | the lock is free                                          | waiting        |
/// | standby        | the lock is held by our session                           | provingToken   |
/// | waiting        | the random wait is over and the lease is valid            | acquiring      |
/// | waiting        | the lock is held by another                               | standby        |
/// | waiting        | the lock is held by our session                           | provingToken   |
/// | acquiring      | acquired                                                  | provingToken   |
/// | acquiring      | refused, or no answer                                     | waiting        |
/// | provingToken   | our token is written to the record, or is found there     | leading        |
/// | provingToken   | the lease ends                                            | leaseUncertain |
/// | provingToken   | the claim is refused, or no answer                        | provingToken   |
/// | provingToken   | the lock is held by another                               | standby        |
/// | leading        | the lease ends                                            | leaseUncertain |
/// | leading        | lock or record belongs to another                         | standby        |
/// | leading        | a registration has seen a higher token                    | provingToken   |
/// | leading        | `stepDown`, or no write took effect for two TTLs          | releasing      |
/// | leaseUncertain | new session, or a reply on the lock                       | as standby     |
/// | releasing      | the lock is given back, no answer, or the session ended   | coolingDown    |
/// | coolingDown    | two TTLs after stepping down                              | as standby     |
///
/// From every state:
///  - The session ended: standby, but releasing goes to coolingDown, and coolingDown stays.
///  - `drain`: releasing where the lock may be ours (acquiring, provingToken, leading, leaseUncertain), else
///    coolingDown. While draining, coolingDown has no end, and a lost lock leads there, not to standby.
/// "as standby": the transitions of standby follow at once.
///
/// Implemented in `candidacy.cpp`: the lock and the way to it. In `leadership.cpp`: what a process does once
/// it holds the lock, which is to claim a token, write the record and look at the registrations.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "leader_election/election_context.hpp"
#include "leader_election/registration.hpp"

namespace wingslip::leader_election {

/// Owned by `LeaderElection`; single-threaded as that is. `LeaderTask` may call back from within any event.
class Candidacy {
 public:
  Candidacy(ElectionContext& context, std::size_t taskIndex, std::string taskName, LeaderTask& task);

  /// `watchAt`: when the lock is read for the first time.
  void start(Time now, Time watchAt);
  void onReply(Time now, std::uint64_t callId, const PendingCall& call, const StoreReply& reply);
  void onSessionCreatedOrRenewed(Time now);
  void onSessionLost(Time now);
  void runDue(Time now);
  /// Infinity: never by time alone.
  [[nodiscard]] Time nextDueAt() const;

  /// Whether an act of the task may be made at this moment.
  [[nodiscard]] bool mayAct(Time now) const;
  /// The latest data wins where a write is under way. False: this process does not lead.
  bool writeRecord(Time now, const std::string& data);
  /// Gives the leadership up and does not compete for two TTLs.
  void stepDown(Time now, const std::string& reason);
  void drain(Time now);

  [[nodiscard]] const std::string& taskName() const { return taskName_; }
  [[nodiscard]] FencingToken highestSeenToken() const { return highestSeenToken_; }
  [[nodiscard]] State state() const { return state_; }
  [[nodiscard]] TaskStatus status() const;

 private:
  /// What the step under way at the store does. One step is under way at a time.
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

  /// The task's lock and record as last read; a blocking read keeps them current.
  struct LockWatch {
    std::uint64_t callId = 0;
    std::uint64_t index = 0;  // 0: the lock has to be read anew
    Time dueAt = 0;
    Backoff backoff;
    std::string lockSession;  // empty: the lock is free
  };
  struct RecordWrite {
    bool isPending = false;
    std::string data;
    Time withoutEffectSince = 0;  // the first of the writes that have not taken effect
  };
  struct RegistrationWatch {
    std::uint64_t callId = 0;
    std::uint64_t index = 0;
    Time dueAt = 0;
  };

  void setState(Time now, State state);
  void sendStep(Time now, Step step, StoreCall call);
  [[nodiscard]] StoreCall readOfTask() const;
  [[nodiscard]] StoreCall readOfRegistrations() const;
  [[nodiscard]] const StoreEntry* lockIn(const StoreReply& reply) const;
  [[nodiscard]] LeaderRecord recordIn(const StoreReply& reply);
  [[nodiscard]] std::vector<Registration> registrationsIn(const StoreReply& reply);

  // candidacy.cpp: the lock.
  void watchLockIfDue(Time now);
  void onLockWatchReply(Time now, const StoreReply& reply, Time sentAt);
  void followLock(Time now, Time readSentAt);
  void considerLock(Time now);
  void readLockAnew(Time now);
  void waitBeforeAcquiring(Time now, Time maxMs);
  void acquireLock(Time now);
  void onAcquireReply(Time now, const StoreReply& reply);
  void releaseLock(Time now);
  void coolDown(Time now);
  void startStepIfDue(Time now);
  void onStepReply(Time now, const StoreReply& reply);

  // leadership.cpp: the token, the record, the registrations.
  void onRegistrationsBeforeClaim(Time now, const StoreReply& reply, Time retryAt);
  void onRecordBeforeClaim(Time now, const StoreReply& reply, Time retryAt);
  void claimToken(Time now, const LeaderRecord& record);
  void onClaimReply(Time now, const StoreReply& reply, Time retryAt);
  void becomeLeader(Time now);
  void stopActs(Time now, State next);
  void loseLock(Time now, const std::string& reason);
  void expireLease(Time now);
  void acceptRecord(Time now, const LeaderRecord& record);
  void refuseStaleRecord(Time now, const LeaderRecord& record);
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
  Time dueAt_ = 0;  // of the next step, or of the end of coolingDown
  std::string lockHolder_;
  std::string lastError_;

  LockWatch lockWatch_;
  Time lockOursSince_ = 0;
  Backoff acquireBackoff_;
  bool competesAgain_ = false;  // after coolingDown; else it is for good

  Step step_ = Step::none;
  std::uint64_t stepCallId_ = 0;
  Backoff stepBackoff_;

  FencingToken token_ = 0;
  FencingToken highestSeenToken_ = 0;
  FencingToken claimedToken_ = 0;
  FencingToken highestRegisteredToken_ = 0;  // that any registration says its process has seen
  std::string recordData_;                   // as last read, or as being written
  std::string refusedRecord_;                // the one last refused as stale, so that it is reported once
  bool recordLossReported_ = false;
  RecordWrite write_;
  RegistrationWatch registrationWatch_;
};

}  // namespace wingslip::leader_election
