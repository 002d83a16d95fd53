// A control replica: holds the log, follows the writer or is it, copies from other replicas while no writer
// reaches it, and serves subscribers. Without I/O, clock or threads: messages and time in, messages out. What
// is in `state()` must be on disk before anything that a call sent goes out.
#pragma once

#include <random>

#include "distribution/limited_log.hpp"
#include "distribution/subscriber_sessions.hpp"
#include "distribution/writer.hpp"

namespace wingslip::distribution {

struct ReplicaLimits {
  SessionLimits sessions;
  std::size_t maxUncommitted = 64;     // changes under way at the writer; fewer than maxRecords
  std::size_t maxRecords = 65'536;     // the horizon: committed records kept in the log
  Milliseconds writerSilence = 2'000;  // no word from a writer for so long: other replicas are asked
  Milliseconds fetchInterval = 1'000;  // of that
  Milliseconds repairTimeout = 5'000;  // a repair without progress is begun anew
};

struct ReplicaCounts {
  std::uint64_t oldTerms = 0;              // messages of a writer with an older term, refused
  std::uint64_t conflictingHistories = 0;  // committed here with another term than said: never taken
  std::uint64_t malformed = 0;             // bytes that were no message
  std::uint64_t unexpected = 0;            // messages that nobody asked for, or from the wrong side
  std::uint64_t fetches = 0, repairs = 0, repairsDone = 0, repairsDamaged = 0, tableDiffers = 0;
};

class ControlReplica {
 public:
  class Outside {
   public:
    virtual ~Outside() = default;
    virtual void send(const std::string& to, Message message) = 0;
    // A change that was published here is committed.
    virtual void published(const std::string& requestId, Version version) = 0;
    // A subscriber does not accept a change; told once for each session.
    virtual void refused(const std::string& subscriber, const Refusal& refusal) = 0;
    virtual void log(const std::string& line) = 0;
    virtual Milliseconds unixTime() = 0;
  };

  // `peers`: the other replicas. All replicas must agree on the set.
  ControlReplica(const ReplicaLimits& limits, const std::string& name, const std::vector<std::string>& peers,
                 std::uint64_t seed, Outside& outside);

  // What was on disk, before anything else. A table that does not fit its log is repaired before it is
  // served.
  void restore(const Snapshot& snapshot);
  const ReplicaState& state() const { return state_; }

  // This replica is the writer of `term` from now on. False: a later or the same term was promised already.
  bool becomeWriter(Milliseconds now, Term term);
  bool isWriter() const { return writer_ && writer_->ready(); }
  PublishResult publish(Milliseconds now, const std::string& requestId, const std::vector<Edit>& edits);

  void receiveBytes(Milliseconds now, const std::string& from, const std::uint8_t* bytes, std::size_t size);
  void receive(Milliseconds now, const std::string& from, const Message& message);
  // To be called some ten times a second.
  void tick(Milliseconds now);

  const ReplicaCounts& counts() const { return counts_; }
  const SubscriberSessions& sessions() const { return sessions_; }

 private:
  void handle(Milliseconds now, const std::string& from, const Subscribe& message);
  void handle(Milliseconds now, const std::string& from, const Acknowledge& message);
  void handle(Milliseconds now, const std::string& from, const RangeRequest& message);
  void handle(Milliseconds now, const std::string& from, const Changes& message);
  void handle(Milliseconds now, const std::string& from, const RangeContents& message);
  void handle(Milliseconds now, const std::string& from, const Refused& message);
  void handle(Milliseconds now, const std::string& from, const Claim& message);
  void handle(Milliseconds now, const std::string& from, const Promise& message);
  void handle(Milliseconds now, const std::string& from, const Append& message);
  void handle(Milliseconds now, const std::string& from, const Appended& message);
  void handle(Milliseconds now, const std::string& from, const Fetch& message);

  bool isPeer(const std::string& name) const;
  // Whether a message of a writer's term may be heeded; takes the term as promised.
  bool acceptTerm(Term term);
  bool takeRecords(const Append& append);
  void commitTo(Milliseconds now, Version version);
  void afterWriter(Milliseconds now);
  void repairOwnTable(Milliseconds now);
  void tellPublished();
  void compact() { state_.compact(limits_.maxRecords); }
  void stepDown(Milliseconds now, const char* why);
  bool hearsWriter(Milliseconds now) const;
  void fetchFromPeer(Milliseconds now);
  void requestRepair(Milliseconds now, const std::string& peer);
  void unexpected(Milliseconds now, const std::string& from, const char* what);

  const ReplicaLimits limits_;
  const std::string name_;
  const std::vector<std::string> peers_;
  Outside& outside_;
  std::mt19937_64 random_;
  LimitedLog log_;
  ReplicaState state_;
  SubscriberSessions sessions_;
  std::unique_ptr<Writer> writer_;
  std::map<std::string, Version> unpublished_;  // requests written here and not yet committed
  std::unique_ptr<TransferReceiver> repair_;
  std::string repairFrom_;
  Milliseconds repairProgressAt_ = 0;
  Milliseconds writerHeardAt_ = 0;
  Milliseconds fetchAt_ = 0;
  std::string fetchedFrom_;
  ReplicaCounts counts_;
};

}  // namespace wingslip::distribution
