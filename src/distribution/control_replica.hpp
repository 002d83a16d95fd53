/// A control replica: holds the log, follows the writer or is it, copies from other replicas while no writer
/// reaches it, and serves subscribers. Without I/O, clock or threads: messages and time in, messages out.
/// What is in `state()` must be on disk before anything that a call sent goes out.
#pragma once

#include <random>

#include "distribution/limited_log.hpp"
#include "distribution/subscriber_sessions.hpp"
#include "distribution/writer.hpp"

namespace wingslip::distribution {

struct ReplicaLimits {
  SessionLimits sessions;
  std::size_t maxUncommitted = 64;     ///< changes under way at the writer; fewer than maxRecords
  std::size_t maxRecords = 65'536;     ///< the horizon: committed records kept in the log
  Milliseconds writerSilence = 2'000;  ///< no message from a writer for so long: other replicas are asked
  Milliseconds fetchInterval = 1'000;  ///< between two such requests
  Milliseconds repairTimeout = 5'000;  ///< a repair without progress is restarted
};

struct ReplicaCounts {
  std::uint64_t oldTerms = 0;              ///< rejected messages of a writer with an older term
  std::uint64_t conflictingHistories = 0;  ///< committed here with another term than received: not taken
  std::uint64_t malformed = 0;             ///< bytes that were no message
  std::uint64_t unexpected = 0;            ///< messages that were not requested, or not from a peer
  std::uint64_t fetches = 0;
  std::uint64_t repairs = 0;
  std::uint64_t repairsDone = 0;
  std::uint64_t repairsDamaged = 0;
  std::uint64_t tableDiffers = 0;
};

class ControlReplica {
 public:
  class Environment {
   public:
    virtual ~Environment() = default;
    virtual void send(const std::string& to, Message message) = 0;
    /// A change that was published here is committed.
    virtual void onChangeCommitted(const std::string& requestId, Version version) = 0;
    /// A subscriber does not accept a change; reported once for each session.
    virtual void onChangeRejected(const std::string& subscriber, const RejectedChange& change) = 0;
    virtual void log(const std::string& line) = 0;
    virtual Milliseconds unixTime() = 0;
  };

  /// `peers`: the other replicas. All replicas must agree on the set.
  ControlReplica(const ReplicaLimits& limits, const std::string& name, const std::vector<std::string>& peers,
                 std::uint64_t seed, Environment& environment);

  /// What was on disk, before anything else. A table that does not fit its log is repaired before it is
  /// served.
  void restore(const Snapshot& snapshot);
  const ReplicaState& state() const { return state_; }

  /// This replica is the writer of `term` from now on. False: a later or the same term was promised already.
  bool becomeWriter(Milliseconds now, Term term);
  bool isWriter() const { return writer_ && writer_->ready(); }
  PublishResult publish(Milliseconds now, const std::string& requestId, const std::vector<Edit>& edits);

  void receiveBytes(Milliseconds now, const std::string& from, const std::uint8_t* bytes, std::size_t size);
  void receive(Milliseconds now, const std::string& from, const Message& message);
  /// To be called some ten times a second.
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
  // Whether a message of this term is accepted; the term is promised then.
  bool acceptTerm(Term term);
  bool appendRecords(const Append& append);
  void commitTo(Milliseconds now, Version version);
  void afterWriter(Milliseconds now);
  void repairOwnTable(Milliseconds now);
  void notifyCommitted();
  void compact() { state_.compact(limits_.maxRecords); }
  void stepDown(Milliseconds now, const char* why);
  bool isWriterAlive(Milliseconds now) const;
  void fetchFromPeer(Milliseconds now);
  void requestRepair(Milliseconds now, const std::string& peer);
  void unexpected(Milliseconds now, const std::string& from, const char* what);

  const ReplicaLimits limits_;
  const std::string name_;
  const std::vector<std::string> peers_;
  Environment& environment_;
  std::mt19937_64 random_;
  LimitedLog log_;
  ReplicaState state_;
  SubscriberSessions sessions_;
  std::unique_ptr<Writer> writer_;
  std::map<std::string, Version> uncommittedRequests_;  // requests written here and not yet committed
  std::unique_ptr<TransferReceiver> repair_;
  std::string repairFrom_;
  Milliseconds repairProgressAt_ = 0;
  Milliseconds writerReceivedAt_ = 0;
  Milliseconds fetchAt_ = 0;
  std::string fetchedFrom_;
  ReplicaCounts counts_;
};

}  // namespace wingslip::distribution
