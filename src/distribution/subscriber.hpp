/// A gatekeeper's copy of the configuration: subscribes at a control replica from the version it holds, takes
/// changes in order, reports those that its build rejects, repairs by ranges what differs. Without I/O, clock
/// or threads: messages and time in, messages and changes of what is in effect out.
#pragma once

#include <functional>
#include <map>
#include <random>

#include "distribution/limited_log.hpp"
#include "distribution/message.hpp"
#include "distribution/rejected_entries.hpp"
#include "distribution/transfer.hpp"

namespace wingslip::distribution {

struct SubscriberLimits {
  Milliseconds connectTimeout = 2'000;  ///< no answer to Subscribe: the next replica is asked
  Milliseconds silenceTimeout = 7'000;  ///< no message from the replica: the next one is asked
  Milliseconds acknowledgeInterval = 10'000;
  Milliseconds resubscribeInterval = 1'000;  ///< at most one a time after gaps
  Milliseconds backoffBase = 500;  ///< full jitter: a wait of 0 to base * 2^attempts, at most the cap
  Milliseconds backoffCap = 10'000;
  /// Away from the preferred replica, it is tried again after one to two of these intervals.
  Milliseconds preferredRetryInterval = 300'000;
};

struct SubscriberCounts {
  std::uint64_t applied = 0;          ///< changes, also the rejected ones
  std::uint64_t rejectedChanges = 0;  ///< not accepted by this build
  std::uint64_t duplicates = 0;       ///< records held already
  std::uint64_t gaps = 0;             ///< records that do not follow
  std::uint64_t oldTerms = 0;         ///< records of an older term than the held one
  std::uint64_t conflictingHistories = 0;
  std::uint64_t hashDiffers = 0;  ///< a copy that differs from the replica's
  std::uint64_t malformed = 0;
  std::uint64_t unexpected = 0;
  std::uint64_t repairs = 0;
  std::uint64_t repairsDone = 0;
  std::uint64_t repairsDamaged = 0;
  std::uint64_t failovers = 0;
};

/// An entry that is in effect from now on; null: none is.
struct EffectiveChange {
  EntryKey key;
  EntryPointer entry;
};

class Subscriber {
 public:
  class Environment {
   public:
    virtual ~Environment() = default;
    virtual void send(const std::string& replica, Message message) = 0;
    /// Takes effect as a whole, between two requests.
    virtual void onChangesApplied(Version version, const std::vector<EffectiveChange>& changes) = 0;
    virtual void log(const std::string& line) = 0;
  };
  /// The reason why this build does not accept the entry; nothing when it does.
  using Validator = std::function<std::optional<std::string>(const Entry&)>;

  /// `replicas`: in the order in which they are asked (placement.hpp); at least one.
  Subscriber(const SubscriberLimits& limits, const std::vector<std::string>& replicas,
             const std::string& build, Validator validator, std::uint64_t seed, Environment& environment);

  /// What was on disk, before `start`. Entries that this build rejects do not take effect.
  void restore(const Snapshot& snapshot);
  Snapshot snapshot() const;

  void start(Milliseconds now);
  void tick(Milliseconds now);
  /// When `tick` has something to do next.
  Milliseconds nextTickAt() const;
  void receiveBytes(Milliseconds now, const std::string& from, const std::uint8_t* bytes, std::size_t size);
  void receive(Milliseconds now, const std::string& from, const Message& message);

  /// The entry in effect; null when there is none.
  EntryPointer find(const EntryKey& key) const;
  Version version() const { return version_; }
  Term term() const { return term_; }
  const EntryTable& table() const { return table_; }
  const std::map<Version, std::string>& rejectedChanges() const { return rejected_.reasons(); }
  /// Unix time up to which a writer is known to have answered: how stale this copy can be.
  Milliseconds writerTime() const { return writerTime_; }
  const std::string& replica() const { return replicas_[rank_]; }
  bool connected() const { return state_ == State::connected; }
  const SubscriberCounts& counts() const { return counts_; }

 private:
  enum class State { waiting, connecting, connected };

  void handle(Milliseconds now, const Changes& message);
  void handle(Milliseconds now, const RangeContents& message);
  void handle(Milliseconds now, const Rejection& message);
  template <class Other>
  void handle(Milliseconds now, const Other&) {
    unexpected(now);
  }

  void subscribe(Milliseconds now);
  void resubscribe(Milliseconds now);
  // Fails over to the next replica after a random wait.
  void fail(Milliseconds now, const char* why);
  void acknowledge(Milliseconds now);
  void requestRepair(Milliseconds now);
  void dropRepair();
  void unexpected(Milliseconds now);

  enum class RecordOutcome { applied, duplicate, gap, conflict, damaged };
  // Whether the record follows this copy; `applied`: it can be.
  RecordOutcome check(const ChangeRecord& record);
  RecordOutcome take(const ChangeRecord& record, std::vector<EffectiveChange>& changes);
  std::optional<std::string> findFault(const ChangeRecord& record) const;
  void adopt(const EntryTable& table, Version version, Term term);
  // Entries of the new range that the old one has not; entries gone from it are released at once.
  void compareRange(const RangePointer& before, const RangePointer& after, std::vector<EntryPointer>& entries,
                    std::vector<EffectiveChange>& changes);
  // Versions of which one entry is not accepted, with the reason: all entries of them are rejected.
  std::map<Version, std::string> findFaultyVersions(const std::vector<EntryPointer>& entries) const;

  const SubscriberLimits limits_;
  const std::vector<std::string> replicas_;
  const std::string build_;
  const Validator validator_;
  Environment& environment_;
  std::mt19937_64 random_;
  LimitedLog log_;

  EntryTable table_;  // as the log says, rejected changes included
  Version version_ = 0;
  Term term_ = 0;
  RejectedEntries rejected_;
  Milliseconds writerTime_ = 0;

  State state_ = State::waiting;
  std::size_t rank_ = 0;
  unsigned attempts_ = 0;
  Milliseconds connectAt_ = 0;     // waiting: Subscribe is sent then
  Milliseconds subscribedAt_ = 0;  // of the last Subscribe
  Milliseconds lastReceivedAt_ = 0;
  Milliseconds acknowledgedAt_ = 0;
  Milliseconds preferredRetryAt_ = 0;
  std::unique_ptr<TransferReceiver> repair_;
  std::optional<EntryTable> staged_;  // ranges of a transfer that was cut off, to go on from
  SubscriberCounts counts_;
};

}  // namespace wingslip::distribution
