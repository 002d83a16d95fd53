/// Types shared by the modules of the leader election: timing, calls to the coordination store and their
/// replies, registrations, and the two interfaces that a user of the election implements. No I/O, no clock.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace wingslip::leader_election {

/// Milliseconds of a monotonic clock.
using Time = double;
/// Rises with every new leader of a task and is never given twice.
using FencingToken = std::uint64_t;

struct Timing {
  Time ttlMs = 10000;       ///< of the session at the store
  Time lockDelayMs = 1000;  ///< a lock stays closed for this long after its leader's session ended
  Time callTimeoutMs =
      1000;  ///< a call is answered within this or given up; assumed to have no effect after it
  Time blockingReadMs = 30000;  ///< how long a read waits for a change
  double clockDrift = 0.01;     ///< at most, between the rates of two clocks
  unsigned candidates = 1;

  /// How long the lease holds after the last successful renewal was sent. Less the call time-out: a write
  /// that is sent in the lease's last moment may take effect that much later.
  [[nodiscard]] Time leaseMs() const { return ttlMs * (1 - clockDrift) - callTimeoutMs; }
  /// Candidates spread their attempts on a free lock over this, so that they do not stampede.
  [[nodiscard]] Time spreadMs() const { return std::max(100.0, 20.0 * candidates); }
};

/// Derives what is not configured from what is.
[[nodiscard]] Timing timingFor(Time ttlMs, Time lockDelayMs, unsigned candidates);

enum class StoreOperation {
  createSession,
  renewSession,
  destroySession,
  acquire,
  release,
  compareAndSet,
  read
};

/// One call to the store. Every call gets exactly one reply: one that is not answered within `timeoutMs`
/// failed.
struct StoreCall {
  std::uint64_t id = 0;
  StoreOperation operation = StoreOperation::read;
  std::string key;
  std::string value;
  std::string session;
  std::uint64_t index =
      0;                 ///< compareAndSet: the key's, 0 for none; read: above 0, wait for a change past it
  bool recurse = false;  ///< read: all keys that begin with `key`
  Time ttlMs = 0;        ///< createSession
  Time lockDelayMs = 0;  ///< createSession
  Time blockingReadMs = 0;  ///< read with an index
  Time timeoutMs = 0;
};

struct StoreEntry {
  std::string key;
  std::string value;
  std::string session;  ///< that holds the key's lock; empty: none
  std::uint64_t modifyIndex = 0;
};

struct StoreReply {
  bool answered = false;    ///< else there is no usable answer, and the call may have taken effect
  bool succeeded = false;   ///< renewSession: the session lives; acquire, release, compareAndSet: done
  std::string session;      ///< createSession
  std::uint64_t index = 0;  ///< read: of the answer
  std::vector<StoreEntry> entries;
};

/// What one process of a gatekeeper says of itself at the store.
struct Registration {
  std::string name;
  std::string instance;
  std::string build;
  std::int64_t startedUnixS = 0;  ///< for people
  bool draining = false;
  std::map<std::string, FencingToken> highestSeenTokens;  ///< by task
};

/// A job of which one process of the fleet is the leader. Calls may come from within any event of
/// `LeaderElection`, on its thread.
class LeaderTask {
 public:
  virtual ~LeaderTask() = default;
  /// This process leads from now on, under a token above all before. `data`: as last recorded, or empty.
  virtual void onElected(Time now, FencingToken token, const std::string& data) = 0;
  /// This process leads no more.
  virtual void onDeposed(Time now) = 0;
  /// A record was read whose token is no lower than any seen.
  virtual void onRecord(Time now, FencingToken token, const std::string& leaderInstance,
                        const std::string& data) = 0;
  /// All registrations: at the start of the leadership, and after each change while it lasts.
  virtual void onRegistrations(Time now, const std::vector<Registration>& all) = 0;
};

/// What the election needs of the program around it. Must outlive the `LeaderElection`.
class ElectionHost {
 public:
  virtual ~ElectionHost() = default;
  /// Must not reply from within.
  virtual void callStore(const StoreCall& call) = 0;
  /// Nobody waits for the call's reply any more.
  virtual void cancelCall(std::uint64_t callId) = 0;
  /// For operators; may come often.
  virtual void logEvent(const std::string& line) = 0;
};

/// Where this process stands with one task. `candidacy.hpp` has the transitions.
enum class State {
  standby,         ///< another process leads, or the store has not answered yet
  waiting,         ///< the lock is free; a random wait before the attempt
  acquiring,       ///< the lock was asked for
  provingToken,    ///< the lock is ours; our token is not yet in the record
  leading,         ///< may act while the lease lasts
  leaseUncertain,  ///< the lease ended without word from the store; no acts
  releasing,       ///< acts have stopped; the lock is being given back
  coolingDown      ///< stepped down or draining; does not compete
};

/// The word in operators' answers and logs. They read and parse these words: they stay as they are, whatever
/// the enumerators are called.
[[nodiscard]] const char* operatorsNameOf(State state);

/// Who this process is to the fleet.
struct ProcessIdentity {
  std::string keyPrefix;  ///< of all keys at the store
  std::string name;
  std::string instance;  ///< unlike that of any other process
  std::string build;
  std::int64_t startedUnixS = 0;
};

struct ElectionCounts {
  std::uint64_t acquired = 0;
  std::uint64_t lost = 0;
  std::uint64_t leasesExpired = 0;
  std::uint64_t steppedDown = 0;
  std::uint64_t recordsWritten = 0;
  std::uint64_t refusedByFence = 0;
  std::uint64_t renewalsFailed = 0;
  std::uint64_t callsFailed = 0;
  std::uint64_t sessionsLost = 0;
  std::uint64_t storeRollbacks =
      0;  ///< the store forgot what it had: an index fell, a record is gone or older
  std::uint64_t staleRecords = 0;
  std::uint64_t malformed = 0;
};

/// One task as operators see it.
struct TaskStatus {
  std::string task;
  std::string leaderName;  ///< a gatekeeper's; empty: nobody's
  std::string lastError;
  State state = State::standby;
  FencingToken token = 0;  ///< own while leading, else the highest seen
  Time sinceAt = 0;
};

}  // namespace wingslip::leader_election
