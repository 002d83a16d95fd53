/// Types shared by the modules of the leader election: timing, calls to the coordination store and their
/// replies, registrations, and the two interfaces that the election's user implements. Performs no I/O and
/// reads no clock.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace wingslip::leader_election {

/// Milliseconds of a monotonic clock.
using Time = double;
/// Fencing token of a task: increases with every new leader, and no value is assigned twice.
using FencingToken = std::uint64_t;

/// Durations and assumptions of the election.
struct Timing {
  /// TTL of the session at the store.
  Time ttlMs = 10000;
  /// The store refuses to grant a lock for this long after the session of its owner ended.
  Time lockDelayMs = 1000;
  /// Timeout of a call that does not block. The election assumes that a call takes effect within this time or
  /// never.
  Time callTimeoutMs = 1000;
  /// Time for which a blocking read waits for a change.
  Time blockingReadMs = 30000;
  /// Largest relative difference between the rates of two clocks.
  double clockDrift = 0.01;
  /// Number of processes that compete for each lock.
  unsigned candidates = 1;

  /// Duration of the lease from the moment the last successful renewal was sent. Shorter than the TTL by the
  /// clock drift and the call timeout: a write sent just before the lease expires may take effect that much
  /// later.
  [[nodiscard]] Time leaseMs() const { return ttlMs * (1 - clockDrift) - callTimeoutMs; }
  /// Candidates spread their attempts to acquire a free lock over this interval, which avoids a thundering
  /// herd at the store.
  [[nodiscard]] Time maxJitterMs() const { return std::max(100.0, 20.0 * candidates); }
};

/// Returns the timing for the configured values, with the call timeout and the wait of blocking reads derived
/// from the TTL.
[[nodiscard]] Timing timingFor(Time ttlMs, Time lockDelayMs, unsigned candidates);

/// Operations of the coordination store.
enum class StoreOperation {
  createSession,
  renewSession,
  destroySession,
  acquire,
  release,
  compareAndSet,
  read
};

/// A call to the coordination store. Every call that is not cancelled gets exactly one reply; if the store
/// does not respond within `timeoutMs`, that is a reply with `answered` false.
struct StoreCall {
  std::uint64_t id = 0;
  StoreOperation operation = StoreOperation::read;
  std::string key;
  std::string value;
  std::string session;
  /// compareAndSet: expected modify index of the key, 0 if the key must not exist. read: if above 0, the read
  /// blocks until the index exceeds it.
  std::uint64_t index = 0;
  bool recurse = false;     ///< read: return all keys with the prefix `key`
  Time ttlMs = 0;           ///< createSession: TTL of the session
  Time lockDelayMs = 0;     ///< createSession: lock delay of the session
  Time blockingReadMs = 0;  ///< read with an index: maximum wait
  Time timeoutMs = 0;
};

/// A key-value entry as read from the store.
struct StoreEntry {
  std::string key;
  std::string value;
  std::string session;  ///< session that owns the key's lock; empty: not locked
  std::uint64_t modifyIndex = 0;
};

/// The reply to a `StoreCall`.
struct StoreReply {
  bool answered = false;    ///< false: no usable response; the call may still have taken effect
  bool succeeded = false;   ///< renewSession: the session exists; other writes: the store applied the call
  std::string session;      ///< createSession: id of the new session
  std::uint64_t index = 0;  ///< read: index of the response
  std::vector<StoreEntry> entries;  ///< read: entries with the key or the prefix; empty if there are none
};

/// A process's registration at the store. A gatekeeper has more than one process during an upgrade.
struct Registration {
  std::string name;
  std::string instance;
  std::string build;
  std::int64_t startedUnixS = 0;  ///< start time, shown to operators
  bool draining = false;
  std::map<std::string, FencingToken> highestSeenTokens;  ///< by task name
};

/// A job that is run by one process of the fleet at a time, the leader. Its functions are called on the
/// thread of `LeaderElection`, from within any of its events.
class LeaderTask {
 public:
  virtual ~LeaderTask() = default;
  /// This process has become the leader, with a token above all earlier ones. `data` is that of the task's
  /// record as last read, empty if there is none.
  virtual void onElected(Time now, FencingToken token, const std::string& data) = 0;
  /// This process has stopped being the leader.
  virtual void onLeadershipLost(Time now) = 0;
  /// The task's record was read or written. Called only if its token is not below the highest seen.
  virtual void onRecord(Time now, FencingToken token, const std::string& leaderInstance,
                        const std::string& data) = 0;
  /// Reports all registrations: when this process becomes the leader, and after each change while it leads.
  virtual void onRegistrations(Time now, const std::vector<Registration>& all) = 0;
};

/// The environment of a `LeaderElection`: sends its calls to the store and logs its events. Must outlive it.
class ElectionHost {
 public:
  virtual ~ElectionHost() = default;
  /// Sends a call to the store. Must not deliver the reply before it returns.
  virtual void callStore(const StoreCall& call) = 0;
  /// Cancels a call; its reply is not delivered, or ignored.
  virtual void cancelCall(std::uint64_t callId) = 0;
  /// Logs a line for operators. May be called often, so an implementation should limit the rate.
  virtual void logEvent(const std::string& line) = 0;
};

/// State of this process's candidacy for a task. `candidacy.hpp` has the transitions.
enum class State {
  standby,         ///< another process owns the lock, or there is no session or no read of the lock yet
  waiting,         ///< the lock is free; waits for a random delay before acquiring it
  acquiring,       ///< a call to acquire the lock is in flight
  claimingToken,   ///< this process owns the lock; its token is not yet in the record
  leading,         ///< may act while the lease is valid
  leaseUncertain,  ///< the lease expired before the session was renewed; may not act
  releasing,       ///< has stopped acting; the lock is being released
  coolingDown      ///< stepped down or draining; does not compete
};

/// Returns the state's name in operators' responses and logs. Operators' tools parse these names, so they
/// must not change when an enumerator is renamed.
[[nodiscard]] const char* stateName(State state);

/// Identity of this process in the fleet.
struct ProcessIdentity {
  std::string keyPrefix;  ///< prefix of all keys at the store
  std::string name;       ///< name of the gatekeeper, shared by both processes of an upgrade
  std::string instance;   ///< unique to this process
  std::string build;
  std::int64_t startedUnixS = 0;
};

/// Counters of the election since the start of the process.
struct ElectionCounts {
  std::uint64_t leadershipsAcquired = 0;  ///< times this process became the leader
  /// Leaderships that ended with the loss of the lock or the session, or by the fencing check before a write.
  std::uint64_t locksLost = 0;
  std::uint64_t leasesExpired = 0;   ///< leaderships that ended with the expiry of the lease
  std::uint64_t steppedDown = 0;     ///< leaderships that ended by `stepDown`
  std::uint64_t recordsWritten = 0;  ///< writes of a record that the store confirmed, without claims
  /// Leaderships that ended by the fencing check before a write or by a registration with a higher token.
  std::uint64_t fenceRejections = 0;
  std::uint64_t renewalsFailed = 0;
  std::uint64_t callsFailed = 0;  ///< calls without a usable response
  std::uint64_t sessionsLost = 0;
  /// Losses of state at the store: an index decreased, or a record disappeared or has a lower token. At most
  /// one is counted per session TTL.
  std::uint64_t storeRollbacks = 0;
  std::uint64_t staleRecords = 0;      ///< records rejected because their token is below the highest seen
  std::uint64_t malformedEntries = 0;  ///< records and registrations that could not be parsed
};

/// Status of a task for operators.
struct TaskStatus {
  std::string task;
  std::string lockHolder;  ///< name of the gatekeeper that owns the lock; empty: free or not read yet
  std::string lastError;
  State state = State::standby;
  FencingToken token = 0;  ///< token of this process while it leads, else the highest seen
  Time stateSince = 0;     ///< when `state` was entered
};

}  // namespace wingslip::leader_election
