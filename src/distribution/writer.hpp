/// The writer's part of a control replica. Who is the writer, and its term, is decided outside (a lease
/// with a fencing token). The writer first takes the newest log of a majority of the replicas, each of which
/// promises to reject older terms; a change counts as made once a majority holds it and a record of the
/// writer's term.
#pragma once

#include <functional>
#include <map>
#include <set>

#include "distribution/replica_state.hpp"

namespace wingslip::distribution {

enum class PublishStatus {
  committed,  ///< a majority holds the change
  pending,    ///< appended; `onChangeCommitted` reports when it is committed
  notWriter,  ///< this replica is not the writer, or no majority has answered yet
  invalid,    ///< the edits are no valid change
  busy,       ///< too many changes are not yet committed, or no majority answers
};

struct PublishResult {
  PublishStatus status = PublishStatus::notWriter;
  Version version = 0;
  std::string reason;
};

class Writer {
 public:
  using Send = std::function<void(const std::string& replica, Message message)>;

  static constexpr Milliseconds kHeartbeatInterval = 500;
  /// Without responses of a majority for so long, changes are rejected as busy.
  static constexpr Milliseconds kMajorityTimeout = 10'000;
  static constexpr std::size_t kMaxAppendBytes = 128 * 1024;
  /// Of the entries of a range, so that it fits in a message.
  static constexpr std::size_t kMaxRangeBytes = 256 * 1024;

  /// `peers`: all replicas but this one. `maxUncommitted`: records under way, more are rejected as busy.
  Writer(Milliseconds now, Term term, const std::vector<std::string>& peers, std::size_t maxUncommitted,
         ReplicaState& state, Send send);

  Term term() const { return term_; }
  bool ready() const { return ready_; }
  Milliseconds majorityRespondedAt() const { return majorityRespondedAt_; }
  /// A committed record does not fit this replica's table: the copy must be repaired, the term is over.
  bool tableDiffers() const { return tableDiffers_; }

  PublishResult publish(Milliseconds now, Milliseconds unixTime, const std::string& requestId,
                        const std::vector<Edit>& edits);
  void tick(Milliseconds now, Milliseconds unixTime);
  void receivePromise(Milliseconds now, Milliseconds unixTime, const std::string& from,
                      const Promise& promise);
  void receiveAppendResponse(Milliseconds now, Milliseconds unixTime, const std::string& from,
                             const AppendResponse& appended);

 private:
  struct Progress {
    Version matched = 0;  // the peer's log agrees up to here
    Version sent = 0;
    Milliseconds answeredRound = 0;  // `sentAt` of the newest Append it answered
  };

  void sendPrepare();
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
  Milliseconds majorityRespondedAt_ = 0;
};

}  // namespace wingslip::distribution
