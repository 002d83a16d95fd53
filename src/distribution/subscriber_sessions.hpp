/// Sessions of a control replica with its subscribers, and with replicas that repair their table from it. A
/// session has no queue, only positions in the log: a slow subscriber is sent its missing records from the
/// log, and once it is behind the horizon it must request a transfer of ranges.
/// Each session is limited by a token bucket and by a window of unacknowledged records or parts.
#pragma once

#include <functional>
#include <unordered_map>

#include "distribution/replica_state.hpp"
#include "distribution/token_bucket.hpp"
#include "distribution/transfer.hpp"

namespace wingslip::distribution {

/// Limits of the sessions of a control replica; times in milliseconds.
struct SessionLimits {
  double bytesPerSecond = 15'500;           ///< rate limit of a session with a subscriber
  double burstBytes = 4 * 1024;             ///< capacity of the token bucket of a session
  double peerBytesPerSecond = 1'000'000;    ///< rate limit of a session with another replica
  std::size_t maxSessions = 8'400;          ///< further sessions are rejected as busy
  std::size_t maxTransfers = 500;           ///< concurrent transfers; further ones are rejected as busy
  Milliseconds batchInterval = 250;         ///< changes within this time are sent as a batch
  Milliseconds heartbeatInterval = 2'000;   ///< a heartbeat is sent after this time without another message
  Milliseconds resendTimeout = 1'000;       ///< unacknowledged data is resent after this time
  Milliseconds maxResendTimeout = 16'000;   ///< maximum of the timeout, which doubles with each resend
  Milliseconds sessionTimeout = 30'000;     ///< a session without a message for this time expires
  Milliseconds busyRetryDelay = 10'000;     ///< retry delay sent with a busy rejection
  std::size_t maxChangesBytes = 16 * 1024;  ///< approximate size of the records in a Changes message
  std::size_t maxRecordsInFlight = 256;     ///< records sent and not yet acknowledged, per session
  std::uint32_t maxPartsInFlight = 4;       ///< parts of a transfer sent and not yet acknowledged
};

/// Event counters of the sessions.
struct SessionCounts {
  std::uint64_t changesSent = 0;
  std::uint64_t heartbeatsSent = 0;
  std::uint64_t partsSent = 0;
  std::uint64_t resends = 0;  ///< expired resend timeouts
  std::uint64_t sessionsExpired = 0;
  // Requests rejected, by RejectionCode.
  std::uint64_t rejectedBusy = 0;
  std::uint64_t rejectedBehindHorizon = 0;
  std::uint64_t rejectedSubscriberAhead = 0;
  std::uint64_t rejectedDifferentHistory = 0;
  std::uint64_t rejectedNotServing = 0;
  std::uint64_t transfersStarted = 0;
  std::uint64_t transfersDone = 0;
  std::uint64_t rejectedChanges = 0;  ///< changes that subscribers reported as rejected
};

/// Owned by ControlReplica. Not thread-safe.
class SubscriberSessions {
 public:
  using Send = std::function<void(const std::string& subscriber, Message message)>;
  using RejectionCallback =
      std::function<void(const std::string& subscriber, const RejectedChange& rejection)>;

  SubscriberSessions(const SessionLimits& limits, const ReplicaState& state, Send send,
                     RejectionCallback onChangeRejected);

  /// Set to false while this replica's own copy is being repaired: requests are then rejected.
  void setServing(bool serving) { serving_ = serving; }
  bool serving() const { return serving_; }

  void receive(Milliseconds now, const std::string& from, const Subscribe& subscribe);
  void receive(Milliseconds now, const std::string& from, const Acknowledge& acknowledge);
  /// `fromReplica` selects the rate limit of sessions with replicas.
  void receive(Milliseconds now, const std::string& from, const RangeRequest& request, bool fromReplica);
  /// Responds to another replica, without a session.
  void receive(const std::string& from, const Fetch& fetch);
  /// Resends unacknowledged data, sends due changes, parts of transfers and heartbeats, and expires sessions.
  void tick(Milliseconds now);

  /// Number of sessions.
  std::size_t size() const { return sessions_.size(); }
  /// Number of transfers in progress.
  std::size_t transfers() const { return transfers_; }
  const SessionCounts& counts() const { return counts_; }

 private:
  struct Session {
    explicit Session(const TokenBucket& bytes) : bucket(bytes) {}
    TokenBucket bucket;
    Version sent = 0;
    Version acknowledged = 0;
    bool streaming = false;  // whether changes are sent; false for a session that only transfers ranges
    Milliseconds lastReceivedAt = 0;
    Milliseconds sentAt = 0;      // when the last message was sent
    Milliseconds progressAt = 0;  // of the last acknowledged progress or resend; start of the resend timeout
    Milliseconds resendTimeout = 0;
    std::vector<RejectedChange> rejectedChanges;
    std::unique_ptr<TransferSender> transfer;
    std::uint32_t sentParts = 0;
    std::uint32_t acknowledgedParts = 0;
  };

  // Reason why a copy at this position cannot be served; empty if it can.
  std::optional<RejectionCode> findRejection(Version version, Term term) const;
  void reject(const std::string& to, RejectionCode code);
  // Finds or creates the session; null if the limit of sessions is reached.
  Session* openSession(Milliseconds now, const std::string& name, double bytesPerSecond);
  void applyAcknowledgedVersion(Milliseconds now, Session& session, Version version);
  void reportRejectedChanges(const std::string& subscriber, Session& session,
                             const std::vector<RejectedChange>& changes);
  void applyAcknowledgedParts(Milliseconds now, Session& session, const Acknowledge& acknowledge);
  void endTransfer(Session& session);
  // Returns to the acknowledged position if there was no progress within the resend timeout.
  void resendIfStalled(Milliseconds now, Session& session);
  void sendParts(Milliseconds now, const std::string& name, Session& session);
  void sendChanges(Milliseconds now, const std::string& name, Session& session);
  void sendHeartbeat(Milliseconds now, const std::string& name, Session& session);
  // Changes without records, with this replica's position in the log.
  Changes changesWithoutRecords() const;

  const SessionLimits limits_;
  const ReplicaState& state_;
  Send send_;
  RejectionCallback onChangeRejected_;
  std::unordered_map<std::string, Session> sessions_;
  std::size_t transfers_ = 0;
  bool serving_ = true;
  Milliseconds nextFlushAt_ = 0;
  SessionCounts counts_;
};

}  // namespace wingslip::distribution
