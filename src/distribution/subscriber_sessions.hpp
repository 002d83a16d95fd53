/// The subscribers of a control replica. A session holds no queue, only positions in the log: what a slow
/// subscriber has not taken stays in the log, and past the horizon it is repaired by ranges. Each session
/// sends within its token bucket and a window of bytes that are not yet acknowledged.
#pragma once

#include <functional>
#include <unordered_map>

#include "distribution/replica_state.hpp"
#include "distribution/token_bucket.hpp"
#include "distribution/transfer.hpp"

namespace wingslip::distribution {

struct SessionLimits {
  double bytesPerSecond = 15'500;  ///< to a subscriber
  double burstBytes = 4 * 1024;
  double peerBytesPerSecond = 1'000'000;  ///< to another replica
  std::size_t maxSessions = 8'400;
  std::size_t maxTransfers = 500;           ///< under way at once; others are rejected as busy
  Milliseconds batchInterval = 250;         ///< changes of so long are sent together
  Milliseconds heartbeatInterval = 2'000;   ///< when nothing else is sent
  Milliseconds resendTimeout = 1'000;       ///< no progress for so long: sent again
  Milliseconds maxResendTimeout = 16'000;   ///< it doubles up to this while nothing is acknowledged
  Milliseconds sessionTimeout = 30'000;     ///< no message for so long: the session ends
  Milliseconds transferRetryTime = 10'000;  ///< sent to those who are rejected as busy
  std::size_t maxChangesBytes = 16 * 1024;  ///< of the records in a message
  std::size_t maxRecordsInFlight = 256;     ///< sent and not acknowledged
  std::uint32_t maxPartsInFlight = 4;
};

struct SessionCounts {
  std::uint64_t changesSent = 0;
  std::uint64_t heartbeatsSent = 0;
  std::uint64_t partsSent = 0;
  std::uint64_t resends = 0;
  std::uint64_t sessionsExpired = 0;
  std::uint64_t rejectedBusy = 0;
  std::uint64_t rejectedBehindHorizon = 0;
  std::uint64_t rejectedAhead = 0;
  std::uint64_t rejectedHistory = 0;
  std::uint64_t rejectedNotServing = 0;
  std::uint64_t transfersStarted = 0;
  std::uint64_t transfersDone = 0;
  std::uint64_t rejectedChanges = 0;
};

class SubscriberSessions {
 public:
  using Send = std::function<void(const std::string& subscriber, Message message)>;
  using RejectionCallback =
      std::function<void(const std::string& subscriber, const RejectedChange& rejection)>;

  SubscriberSessions(const SessionLimits& limits, const ReplicaState& state, Send send,
                     RejectionCallback onChangeRejected);

  /// While this replica's own copy is under repair nothing is served.
  void setServing(bool serving) { serving_ = serving; }
  bool serving() const { return serving_; }

  void receive(Milliseconds now, const std::string& from, const Subscribe& subscribe);
  void receive(Milliseconds now, const std::string& from, const Acknowledge& acknowledge);
  void receive(Milliseconds now, const std::string& from, const RangeRequest& request, bool fromReplica);
  /// One answer without a session, to another replica.
  void receive(const std::string& from, const Fetch& fetch);
  /// Sends what is due: changes, parts of transfers, heartbeats.
  void tick(Milliseconds now);

  std::size_t size() const { return sessions_.size(); }
  std::size_t transfers() const { return transfers_; }
  const SessionCounts& counts() const { return counts_; }

 private:
  struct Session {
    explicit Session(const TokenBucket& bytes) : bucket(bytes) {}
    TokenBucket bucket;
    Version sent = 0;
    Version acknowledged = 0;
    bool streaming = false;  // follows the log; a session that only repairs does not
    Milliseconds lastReceivedAt = 0;
    Milliseconds sentAt = 0;
    Milliseconds progressAt = 0;
    Milliseconds resendTimeout = 0;
    std::vector<RejectedChange> rejectedChanges;
    std::unique_ptr<TransferSender> transfer;
    std::uint32_t sentParts = 0;
    std::uint32_t acknowledgedParts = 0;
  };

  // The reason for which a copy at this position cannot be served; nothing when it can.
  std::optional<RejectionCode> findRejection(Version version, Term term) const;
  void reject(const std::string& to, RejectionCode code);
  Session* openSession(Milliseconds now, const std::string& name, double bytesPerSecond);
  void takeAcknowledgedVersion(Milliseconds now, Session& session, Version version);
  void takeRejectedChanges(const std::string& subscriber, Session& session,
                           const std::vector<RejectedChange>& changes);
  void takeAcknowledgedParts(Milliseconds now, Session& session, const Acknowledge& acknowledge);
  void endTransfer(Session& session);
  void resendIfStuck(Milliseconds now, Session& session);
  void sendParts(Milliseconds now, const std::string& name, Session& session);
  void sendChanges(Milliseconds now, const std::string& name, Session& session);
  void sendHeartbeat(Milliseconds now, const std::string& name, Session& session);
  Changes position() const;

  const SessionLimits limits_;
  const ReplicaState& state_;
  Send send_;
  RejectionCallback onChangeRejected_;
  std::unordered_map<std::string, Session> sessions_;
  std::size_t transfers_ = 0;
  bool serving_ = true;
  Milliseconds nextFlush_ = 0;
  SessionCounts counts_;
};

}  // namespace wingslip::distribution
