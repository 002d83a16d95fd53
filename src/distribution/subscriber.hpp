/// A gatekeeper's copy of the configuration. Subscribes to a control replica from its current version,
/// applies changes in order, reports those that its build rejects, and repairs differing ranges. Does no I/O
/// and has no clock or threads: its inputs are messages and the time, its outputs are messages and changes of
/// the entries in effect.
#pragma once

#include <functional>
#include <map>
#include <random>

#include "distribution/limited_log.hpp"
#include "distribution/message.hpp"
#include "distribution/rejected_entries.hpp"
#include "distribution/transfer.hpp"

namespace wingslip::distribution {

/// Timeouts and intervals of a subscriber, in milliseconds.
struct SubscriberLimits {
  Milliseconds connectTimeout = 2'000;        ///< time without a response to Subscribe until failover
  Milliseconds silenceTimeout = 7'000;        ///< time without a message from the replica until failover
  Milliseconds acknowledgeInterval = 10'000;  ///< maximum time between two Acknowledge messages
  Milliseconds resubscribeInterval = 1'000;   ///< minimum time between two Subscribe messages after gaps
  Milliseconds backoffBase = 500;             ///< a failover waits 0 to base * 2^failedAttempts (full jitter)
  Milliseconds backoffCap = 10'000;           ///< maximum of that wait
  /// While connected to another replica, the subscriber retries the preferred one after one to two intervals.
  Milliseconds preferredRetryInterval = 300'000;
};

/// Event counters of a subscriber.
struct SubscriberCounts {
  std::uint64_t applied = 0;               ///< changes, including rejected ones
  std::uint64_t rejectedChanges = 0;       ///< not accepted by this build
  std::uint64_t duplicates = 0;            ///< records already applied
  std::uint64_t gaps = 0;                  ///< records that do not follow the current version
  std::uint64_t oldTerms = 0;              ///< records of an older term than the last record
  std::uint64_t conflictingHistories = 0;  ///< messages with another term for the current version
  std::uint64_t hashMismatches = 0;        ///< times the copy differed from the replica's
  std::uint64_t malformed = 0;             ///< messages that could not be decoded
  std::uint64_t unexpected = 0;            ///< messages of the wrong type or sender, or ranges not requested
  std::uint64_t repairs = 0;               ///< RangeRequest messages sent
  std::uint64_t repairsDone = 0;           ///< completed transfers whose table was adopted
  std::uint64_t repairsDamaged = 0;        ///< transfers aborted because their parts were inconsistent
  std::uint64_t failovers = 0;
};

/// An entry that comes into effect; `entry` is null if no entry is in effect any more.
struct EffectiveChange {
  EntryKey key;
  EntryPointer entry;
};

/// Not thread-safe. The owner drives it by `receive` and by `tick` at `nextTickAt`.
class Subscriber {
 public:
  /// Interface to the process that owns the subscriber; must outlive it.
  class Environment {
   public:
    virtual ~Environment() = default;
    /// Transmits the message to the replica. Messages may be lost.
    virtual void send(const std::string& replica, Message message) = 0;
    /// The copy is now at `version`. The changes must take effect atomically, between two requests.
    virtual void onChangesApplied(Version version, const std::vector<EffectiveChange>& changes) = 0;
    virtual void log(const std::string& line) = 0;
  };
  /// Returns the reason why this build does not accept the entry; empty if it does.
  using Validator = std::function<std::optional<std::string>(const Entry&)>;

  /// `replicas` are in the order in which they are tried (placement.hpp); at least one.
  Subscriber(const SubscriberLimits& limits, const std::vector<std::string>& replicas,
             const std::string& build, Validator validator, std::uint64_t seed, Environment& environment);

  /// Restores the persisted state; must be called before `start`. Entries that this build rejects do not take
  /// effect.
  void restore(const Snapshot& snapshot);
  /// State to persist.
  Snapshot snapshot() const;

  /// Makes the subscriber connect with the next tick.
  void start(Milliseconds now);
  /// Sends due messages and checks timeouts.
  void tick(Milliseconds now);
  /// Time at which `tick` must be called next.
  Milliseconds nextTickAt() const;
  /// Decodes and handles a message from `from`; counts and logs bytes that are not a valid message.
  void receiveBytes(Milliseconds now, const std::string& from, const std::uint8_t* bytes, std::size_t size);
  /// Handles a decoded message from `from`.
  void receive(Milliseconds now, const std::string& from, const Message& message);

  /// Entry in effect; null if there is none.
  EntryPointer find(const EntryKey& key) const;
  Version version() const { return version_; }
  Term term() const { return term_; }
  /// Table as in the log, including entries of rejected changes.
  const EntryTable& table() const { return table_; }
  /// Reasons by rejected version.
  const std::map<Version, std::string>& rejectedChanges() const { return rejected_.reasons(); }
  /// Unix time of the newest append round that a majority is known to have responded to: it bounds the
  /// staleness of this copy.
  Milliseconds writerTime() const { return writerTime_; }
  /// Replica to which the subscriber is connected, or which it tries next.
  const std::string& replica() const { return replicas_[replicaIndex_]; }
  bool connected() const { return state_ == State::connected; }
  const SubscriberCounts& counts() const { return counts_; }

 private:
  enum class State { waiting, connecting, connected };

  void handle(Milliseconds now, const Changes& message);
  void handle(Milliseconds now, const RangeContents& message);
  void handle(Milliseconds now, const Rejection& message);
  template <class Other>
  void handle(Milliseconds now, const Other&) {
    reportUnexpected(now);
  }

  void subscribe(Milliseconds now);
  void resubscribe(Milliseconds now);
  // Switches to the next replica and connects to it after a random delay.
  void failOver(Milliseconds now, const char* reason);
  void acknowledge(Milliseconds now);
  // Requests the differing ranges, resuming from an interrupted transfer if there is one.
  void requestRepair(Milliseconds now);
  // Aborts the transfer; its received ranges are reused by the next one.
  void abortRepair();
  void reportUnexpected(Milliseconds now);

  enum class RecordOutcome { applied, duplicate, gap, conflict, damaged };
  // Checks whether the record is the next one; `applied` means that it can be applied.
  RecordOutcome checkRecord(const ChangeRecord& record);
  // Applies the record and adds the entries that come into effect to `changes`.
  RecordOutcome applyRecord(const ChangeRecord& record, std::vector<EffectiveChange>& changes);
  // Returns the reason why this build does not accept the record; empty if it does.
  std::optional<std::string> validateRecord(const ChangeRecord& record) const;
  // Replaces the table by that of a completed transfer.
  void adoptTable(const EntryTable& table, Version version, Term term);
  // Adds new and changed entries of `after` to `entries`, and removed ones to `changes`.
  void compareRange(const RangePointer& before, const RangePointer& after, std::vector<EntryPointer>& entries,
                    std::vector<EffectiveChange>& changes);
  // Versions with an entry that this build does not accept, with the reason. All entries of these versions
  // are rejected.
  std::map<Version, std::string> findRejectedVersions(const std::vector<EntryPointer>& entries) const;

  const SubscriberLimits limits_;
  const std::vector<std::string> replicas_;
  const std::string build_;
  const Validator validator_;
  Environment& environment_;
  std::mt19937_64 random_;
  LimitedLog log_;

  EntryTable table_;  // as in the log, including entries of rejected changes
  Version version_ = 0;
  Term term_ = 0;
  RejectedEntries rejected_;
  Milliseconds writerTime_ = 0;

  State state_ = State::waiting;
  std::size_t replicaIndex_ = 0;
  unsigned failedAttempts_ = 0;
  Milliseconds connectAt_ = 0;     // in State::waiting: when to send Subscribe
  Milliseconds subscribedAt_ = 0;  // when the last Subscribe was sent
  Milliseconds lastReceivedAt_ = 0;
  Milliseconds lastAcknowledgeAt_ = 0;
  Milliseconds preferredRetryAt_ = 0;
  std::unique_ptr<TransferReceiver> repair_;
  std::optional<EntryTable> staged_;  // base of the next transfer, with ranges from an interrupted one
  SubscriberCounts counts_;
};

}  // namespace wingslip::distribution
