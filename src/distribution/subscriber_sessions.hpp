// The subscribers of a control replica. A session holds no queue, only positions in the log: what a slow
// subscriber has not taken stays in the log, and past the horizon it is repaired by ranges. Each session
// sends within its token bucket and a window of bytes that are not yet acknowledged.
#pragma once

#include <functional>
#include <unordered_map>

#include "distribution/replica_state.hpp"
#include "distribution/token_bucket.hpp"
#include "distribution/transfer.hpp"

namespace wingslip::distribution {

struct SessionLimits {
  double bytesPerSecond = 15'500;  // to a subscriber
  double burstBytes = 4 * 1024;
  double peerBytesPerSecond = 1'000'000;  // to another replica
  std::size_t maxSessions = 8'400;
  std::size_t maxTransfers = 500;           // under way at once; others are told to come again
  Milliseconds gatherTime = 250;            // changes of so long are sent together
  Milliseconds heartbeatInterval = 2'000;   // when nothing else is sent
  Milliseconds resendTimeout = 1'000;       // no progress for so long: sent again
  Milliseconds maxResendTimeout = 16'000;   // it doubles up to this while nothing is acknowledged
  Milliseconds sessionTimeout = 30'000;     // nothing heard for so long: forgotten
  Milliseconds transferRetryTime = 10'000;  // said to those who are refused as busy
  std::size_t maxChangesBytes = 16 * 1024;  // of the records in a message
  std::size_t maxRecordsInFlight = 256;     // sent and not acknowledged
  std::uint32_t maxPartsInFlight = 4;
};

struct SessionCounts {
  std::uint64_t changesSent = 0, heartbeatsSent = 0, partsSent = 0, resends = 0, sessionsExpired = 0,
                refusedBusy = 0, refusedBehindHorizon = 0, refusedAhead = 0, refusedHistory = 0,
                refusedNotServing = 0, transfersStarted = 0, transfersDone = 0, refusalsHeard = 0;
};

class SubscriberSessions {
 public:
  using Send = std::function<void(const std::string& subscriber, Message message)>;
  using RefusalHeard = std::function<void(const std::string& subscriber, const Refusal& refusal)>;

  SubscriberSessions(const SessionLimits& limits, const ReplicaState& state, Send send, RefusalHeard heard);

  // While this replica's own copy is under repair nothing is served.
  void setServing(bool serving) { serving_ = serving; }
  bool serving() const { return serving_; }

  void receive(Milliseconds now, const std::string& from, const Subscribe& subscribe);
  void receive(Milliseconds now, const std::string& from, const Acknowledge& acknowledge);
  void receive(Milliseconds now, const std::string& from, const RangeRequest& request, bool fromReplica);
  // One answer without a session, to another replica.
  void receive(const std::string& from, const Fetch& fetch);
  // Sends what is due: changes, parts of transfers, heartbeats.
  void tick(Milliseconds now);

  std::size_t size() const { return sessions_.size(); }
  std::size_t transfers() const { return transfers_; }
  const SessionCounts& counts() const { return counts_; }

 private:
  struct Session {
    explicit Session(const TokenBucket& bytes) : bucket(bytes) {}
    TokenBucket bucket;
    Version sent = 0, acknowledged = 0;
    bool streaming = false;  // follows the log; a session that only repairs does not
    Milliseconds heardAt = 0, sentAt = 0, progressAt = 0, resendTimeout = 0;
    std::vector<Refusal> refusals;
    std::unique_ptr<TransferSender> transfer;
    std::uint32_t sentParts = 0, acknowledgedParts = 0;
  };

  // The reason for which a copy at this position cannot be served; nothing when it can.
  std::optional<RefusalCode> findRefusal(Version version, Term term) const;
  void refuse(const std::string& to, RefusalCode code);
  Session* openSession(Milliseconds now, const std::string& name, double bytesPerSecond);
  void endTransfer(Session& session);
  void resendIfStuck(Milliseconds now, Session& session);
  void sendParts(Milliseconds now, const std::string& name, Session& session);
  void sendChanges(Milliseconds now, const std::string& name, Session& session);
  void sendHeartbeat(Milliseconds now, const std::string& name, Session& session);
  Changes position() const;

  const SessionLimits limits_;
  const ReplicaState& state_;
  Send send_;
  RefusalHeard refusalHeard_;
  std::unordered_map<std::string, Session> sessions_;
  std::size_t transfers_ = 0;
  bool serving_ = true;
  Milliseconds nextFlush_ = 0;
  SessionCounts counts_;
};

}  // namespace wingslip::distribution
