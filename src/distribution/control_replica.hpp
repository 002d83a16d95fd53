/// Control replica: maintains the log as the writer or as a follower, fetches from other replicas while it
/// receives nothing from a writer, and serves subscribers. Does no I/O and has no clock or threads: its
/// inputs are messages and the time, its outputs are messages. The caller must persist `state()` before it
/// transmits any message that a call has sent.
#pragma once

#include <random>

#include "distribution/limited_log.hpp"
#include "distribution/subscriber_sessions.hpp"
#include "distribution/writer.hpp"

namespace wingslip::distribution {

/// Limits of a control replica; times in milliseconds, sizes in records.
struct ReplicaLimits {
  SessionLimits sessions;
  std::size_t maxUncommitted = 64;     ///< uncommitted records at the writer; must be less than maxRecords
  std::size_t maxRecords = 65'536;     ///< maximum number of records retained in the log; versions compacted
                                       ///< away are behind the horizon
  Milliseconds writerTimeout = 2'000;  ///< without a message from a writer (at the writer: without
                                       ///< responses of a majority) for this time, the replica fetches
                                       ///< from other replicas
  Milliseconds fetchInterval = 1'000;  ///< between two fetches, unless the response shows that the replica
                                       ///< still lags
  Milliseconds repairTimeout = 5'000;  ///< a repair without progress for this time is aborted
};

/// Event counters of a control replica.
struct ReplicaCounts {
  std::uint64_t oldTerms = 0;              ///< rejected writer messages of an older term
  std::uint64_t conflictingHistories = 0;  ///< messages that conflict with this replica's log; not applied
  std::uint64_t malformed = 0;             ///< messages that could not be decoded
  std::uint64_t unexpected = 0;            ///< responses not requested, and replica messages not from a peer
  std::uint64_t fetches = 0;               ///< Fetch messages sent
  std::uint64_t repairs = 0;               ///< RangeRequest messages sent
  std::uint64_t repairsDone = 0;           ///< completed transfers whose table was adopted
  std::uint64_t repairsDamaged = 0;        ///< transfers aborted because their parts were inconsistent
  std::uint64_t tableMismatches = 0;       ///< times the table did not match the root hashes of the log
};

/// Not thread-safe. The owner drives it by `receive` and `tick`.
class ControlReplica {
 public:
  /// Interface to the process that owns the replica; must outlive it.
  class Environment {
   public:
    virtual ~Environment() = default;
    /// Transmits the message to the replica or subscriber `to`. Messages may be lost.
    virtual void send(const std::string& to, Message message) = 0;
    /// A change that was published at this replica and was pending is now committed.
    virtual void onChangeCommitted(const std::string& requestId, Version version) = 0;
    /// A subscriber has rejected a change. Called once per session and change.
    virtual void onChangeRejected(const std::string& subscriber, const RejectedChange& change) = 0;
    virtual void log(const std::string& line) = 0;
    /// Current Unix time in milliseconds.
    virtual Milliseconds unixTime() = 0;
  };

  /// `peers` are the names of the other replicas. All replicas must be configured with the same set.
  ControlReplica(const ReplicaLimits& limits, const std::string& name, const std::vector<std::string>& peers,
                 std::uint64_t seed, Environment& environment);

  /// Restores the persisted state; must be called before any other function. If the table does not match its
  /// log, the replica repairs it before it serves subscribers.
  void restore(const Snapshot& snapshot);
  const ReplicaState& state() const { return state_; }

  /// Makes this replica the writer of `term`. Returns false if this term or a later one was already promised.
  bool becomeWriter(Milliseconds now, Term term);
  /// Whether this replica is the writer and a majority has promised its term.
  bool isWriter() const { return writer_ && writer_->ready(); }
  /// Publishes a change. Retrying with the same request id is idempotent while the log still has
  /// the record of that request.
  PublishResult publish(Milliseconds now, const std::string& requestId, const std::vector<Edit>& edits);

  /// Decodes and handles a message from `from`; counts and logs bytes that are not a valid message.
  void receiveBytes(Milliseconds now, const std::string& from, const std::uint8_t* bytes, std::size_t size);
  /// Handles a decoded message from the replica or subscriber `from`.
  void receive(Milliseconds now, const std::string& from, const Message& message);
  /// Sends due messages and checks timeouts. To be called about every 100 ms.
  void tick(Milliseconds now);

  const ReplicaCounts& counts() const { return counts_; }
  const SubscriberSessions& sessions() const { return sessions_; }

 private:
  void handle(Milliseconds now, const std::string& from, const Subscribe& message);
  void handle(Milliseconds now, const std::string& from, const Acknowledge& message);
  void handle(Milliseconds now, const std::string& from, const RangeRequest& message);
  void handle(Milliseconds now, const std::string& from, const Changes& message);
  void handle(Milliseconds now, const std::string& from, const RangeContents& message);
  void handle(Milliseconds now, const std::string& from, const Rejection& message);
  void handle(Milliseconds now, const std::string& from, const Prepare& message);
  void handle(Milliseconds now, const std::string& from, const Promise& message);
  void handle(Milliseconds now, const std::string& from, const Append& message);
  void handle(Milliseconds now, const std::string& from, const AppendResponse& message);
  void handle(Milliseconds now, const std::string& from, const Fetch& message);

  bool isPeer(const std::string& name) const;
  // Returns whether a writer's message of this term is accepted. If so, the term is promised.
  bool acceptTerm(Term term);
  // Appends the records; returns whether the log then matches the writer's log up to the last of them.
  bool appendRecords(const Append& append);
  void commitTo(Milliseconds now, Version version);
  // Reports committed changes, and steps down if the writer found that the table differs from the log.
  void processWriterProgress(Milliseconds now);
  void repairTable(Milliseconds now);
  void reportCommitted();
  void compact() { state_.compact(limits_.maxRecords); }
  // Stops being the writer and drops the uncommitted requests.
  void stepDown(Milliseconds now, const char* reason);
  bool isWriterAlive(Milliseconds now) const;
  void fetchFromPeer(Milliseconds now);
  void requestRepair(Milliseconds now, const std::string& peer);
  void reportUnexpected(Milliseconds now, const std::string& from, const char* messageKind);

  const ReplicaLimits limits_;
  const std::string name_;
  const std::vector<std::string> peers_;
  Environment& environment_;
  std::mt19937_64 random_;
  LimitedLog log_;
  ReplicaState state_;
  SubscriberSessions sessions_;
  std::unique_ptr<Writer> writer_;
  std::map<std::string, Version>
      uncommittedRequests_;  // by request id: published at this replica, not yet committed
  std::unique_ptr<TransferReceiver> repair_;
  std::string repairPeer_;
  Milliseconds lastRepairProgressAt_ = 0;
  Milliseconds lastWriterMessageAt_ = 0;
  Milliseconds nextFetchAt_ = 0;
  std::string pendingFetchPeer_;
  ReplicaCounts counts_;
};

}  // namespace wingslip::distribution
