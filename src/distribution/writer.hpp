// The writer's part of a control replica. Who is the writer, and its term, is decided outside (a lease with a
// fencing token). The writer first takes the newest log of a majority of the replicas, each of which promises
// to refuse older terms; a change counts as made once a majority holds it and a record of the writer's term.
#pragma once

#include <functional>
#include <map>
#include <set>

#include "distribution/replica_state.hpp"

namespace wingslip::distribution {

enum class PublishStatus {
  committed,   // a majority holds the change
  pending,     // written; `published` tells when it is committed
  not_writer,  // this replica is not the writer, or has not yet heard a majority
  invalid,     // no change by itself
  busy,        // too many changes are not yet committed, or no majority answers
};

struct PublishResult {
  PublishStatus status = PublishStatus::not_writer;
  Version version = 0;
  std::string reason;
};

class Writer {
 public:
  using Send = std::function<void(const std::string& replica, Message message)>;

  static constexpr Milliseconds kHeartbeatInterval = 500;
  static constexpr Milliseconds kMajorityTimeout = 10'000;  // no publishing when none answered for so long
  static constexpr std::size_t kMaxAppendBytes = 128 * 1024;
  static constexpr std::size_t kMaxRangeBytes = 256 * 1024;  // of the entries of a range, to fit in a message

  // `peers`: all replicas but this one. `maxUncommitted`: records under way, more are refused as busy.
  Writer(Milliseconds now, Term term, const std::vector<std::string>& peers, std::size_t maxUncommitted,
         ReplicaState& state, Send send);

  Term term() const { return term_; }
  bool ready() const { return ready_; }
  Milliseconds majorityHeardAt() const { return majorityHeardAt_; }
  // A committed record does not fit this replica's table: the copy must be repaired, the term is over.
  bool tableDiffers() const { return tableDiffers_; }

  PublishResult publish(Milliseconds now, Milliseconds unixTime, const std::string& requestId,
                        const std::vector<Edit>& edits);
  void tick(Milliseconds now, Milliseconds unixTime);
  void receivePromise(Milliseconds now, Milliseconds unixTime, const std::string& from,
                      const Promise& promise);
  void receiveAppended(Milliseconds now, Milliseconds unixTime, const std::string& from,
                       const Appended& appended);

 private:
  struct Progress {
    Version matched = 0;  // the peer's log agrees up to here
    Version sent = 0;
    Milliseconds answeredRound = 0;  // `sentAt` of the newest Append it answered
  };

  void claim();
  bool adoptLog(const Promise& promise);
  void becomeReady(Milliseconds now, Milliseconds unixTime);
  void sendAppend(const std::string& peer, Progress& progress, Milliseconds unixTime);
  void broadcast(Milliseconds unixTime);
  void advanceCommit(Milliseconds unixTime);
  void advanceWriterTime(Milliseconds now);
  std::optional<std::string> findOversizedRange(const std::vector<Edit>& edits) const;
  // The value that a majority of the replicas has reached; `own` is this replica's.
  template <class Value>
  Value reachedByMajority(Value own, Value Progress::*member) const;

  Term term_;
  std::size_t maxUncommitted_;
  ReplicaState& state_;
  Send send_;
  std::map<std::string, Progress> peers_;
  std::set<std::string> promised_;
  bool ready_ = false;
  bool tableDiffers_ = false;
  Milliseconds nextHeartbeat_ = 0;
  Milliseconds majorityHeardAt_ = 0;
};

}  // namespace wingslip::distribution
