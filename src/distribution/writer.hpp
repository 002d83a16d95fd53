/// Writer role of a control replica. The writer and its term are determined externally, by a lease with a
/// fencing token. The writer first adopts the newest log among a majority of the replicas, each of which
/// promises to reject older terms. A change is committed once a majority has appended it and a record of the
/// writer's term.
#pragma once

#include <functional>
#include <map>
#include <set>

#include "distribution/replica_state.hpp"

namespace wingslip::distribution {

/// Outcome of a publish request.
enum class PublishStatus {
  committed,  ///< a majority has appended the change
  pending,    ///< appended at the writer; `onChangeCommitted` reports the commit
  notWriter,  ///< not the writer, or no majority has promised its term yet
  invalid,    ///< the edits do not form a valid change
  busy,       ///< too many uncommitted changes, or no majority responds
};

/// `version` is 0 and `reason` is set if the change was not accepted.
struct PublishResult {
  PublishStatus status = PublishStatus::notWriter;
  Version version = 0;
  std::string reason;
};

/// Owned by ControlReplica, for one term. Not thread-safe.
class Writer {
 public:
  using Send = std::function<void(const std::string& replica, Message message)>;

  /// Between two rounds of Append messages, or of Prepare messages until the writer is ready.
  static constexpr Milliseconds kHeartbeatInterval = 500;
  /// Changes are rejected as busy if no majority has responded for this time.
  static constexpr Milliseconds kMajorityTimeout = 10'000;
  /// Approximate size of the records in an Append or a Promise.
  static constexpr std::size_t kMaxAppendBytes = 128 * 1024;
  /// Approximate size of the entries of a range, so that a range fits into a message.
  static constexpr std::size_t kMaxRangeBytes = 256 * 1024;

  /// `peers` are all replicas except this one. At `maxUncommitted` uncommitted records, further changes are
  /// rejected as busy.
  Writer(Milliseconds now, Term term, const std::vector<std::string>& peers, std::size_t maxUncommitted,
         ReplicaState& state, Send send);

  Term term() const { return term_; }
  /// Whether a majority has promised the term, so that changes can be published.
  bool ready() const { return ready_; }
  /// When a majority last responded to an append round.
  Milliseconds majorityRespondedAt() const { return majorityRespondedAt_; }
  /// Whether a record that a majority has appended would not give this replica's table the recorded root
  /// hash. The owner must then step down and repair the table.
  bool tableDiffers() const { return tableDiffers_; }

  /// Appends the change and sends it to the peers. If the log has a record of this request id, returns its
  /// version and status instead.
  PublishResult publish(Milliseconds now, Milliseconds unixTime, const std::string& requestId,
                        const std::vector<Edit>& edits);
  /// Sends prepares until the writer is ready, then appends as heartbeats, once per kHeartbeatInterval.
  void tick(Milliseconds now, Milliseconds unixTime);
  void receivePromise(Milliseconds now, Milliseconds unixTime, const std::string& from,
                      const Promise& promise);
  void receiveAppendResponse(Milliseconds now, Milliseconds unixTime, const std::string& from,
                             const AppendResponse& response);

 private:
  struct Progress {
    Version matched = 0;              // the peer's log matches up to this version
    Version sent = 0;                 // last version sent
    Milliseconds respondedRound = 0;  // `sentAt` of the newest Append that the peer has responded to
  };

  void sendPrepare();
  // Adopts newer records of the promise; returns whether this log is now at least as new as the peer's.
  bool adoptLog(const Promise& promise);
  void becomeReady(Milliseconds now, Milliseconds unixTime);
  void sendAppend(const std::string& peer, Progress& progress, Milliseconds unixTime);
  void broadcast(Milliseconds unixTime);
  void advanceCommit(Milliseconds unixTime);
  void advanceWriterTime(Milliseconds now);
  // Returns a reason if the edits could make a range too large for a message; empty otherwise.
  std::optional<std::string> findOversizedRange(const std::vector<Edit>& edits) const;
  // Highest value that a majority of the replicas has reached; `own` is the value of this replica.
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
