/// A gatekeeper's copy of the replicated state of the fleet: SWIM membership and last-writer-wins tables,
/// disseminated by gossip and repaired by anti-entropy. A state machine without I/O: its inputs are events
/// and monotonic time, its outputs are requests and merged rows. The values of rows are opaque to it.
/// `docs/design.md` lists its limits.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "replication/anti_entropy.hpp"
#include "replication/environment.hpp"
#include "replication/failure_detector.hpp"
#include "replication/membership.hpp"
#include "replication/message.hpp"
#include "replication/replicated_table.hpp"

namespace wingslip::replication {

/// Periods of the protocol, and the number of members contacted per period.
struct Timing {
  Time probePeriodMs = 1000;         ///< one member is probed per period
  Time gossipPeriodMs = 200;         ///< between rounds of gossip while updates remain
  Time antiEntropyPeriodMs = 10000;  ///< this copy is compared with that of one member per period
  unsigned fanout = 3;               ///< members to which updates are gossiped per period
  unsigned indirectProbes = 3;       ///< members requested to probe a member that did not answer
  /// Timeout of all requests except sync and push.
  [[nodiscard]] Time probeTimeoutMs() const { return probePeriodMs / 3; }
};

/// Not thread-safe: all calls must come from one thread, on which `Environment` is called too.
class Replica {
 public:
  /// Events since the start of the process.
  struct Counts {
    std::uint64_t sent = 0;           ///< requests
    std::uint64_t received = 0;       ///< accepted requests and responses
    std::uint64_t failed = 0;         ///< requests without a valid response
    std::uint64_t rejectedStale = 0;  ///< messages from a superseded process; responses from a wrong member
    /// Messages from another fleet, requests under this member's own name, and requests while not running.
    std::uint64_t rejectedForeign = 0;
    std::uint64_t rejectedRows = 0;  ///< rows with a timestamp too far ahead
    std::uint64_t merged = 0;        ///< rows received from other members and stored
    std::uint64_t repaired = 0;      ///< sync exchanges that found differing ranges
  };

  /// @param fleet name of the fleet; messages from other fleets are rejected.
  /// @param self record of this process; its generation must exceed that of its predecessors.
  /// @param seeds names and addresses of some members, through which the fleet is discovered.
  /// @param seed of the random number generator.
  /// @param environment outlives the replica.
  Replica(const Timing& timing, const std::string& fleet, const MemberRecord& self,
          const std::map<std::string, std::string>& seeds, std::uint64_t seed, Environment& environment);

  /// Adds the members and rows of a snapshot. Call it before `start`.
  void restore(const std::vector<MemberRecord>& members, const std::vector<Row>& rows);
  /// Joins the fleet: starts sending and accepting requests.
  void start(Time now);
  /// Performs all actions that are due. Call it at `nextTickAt`.
  void tick(Time now);
  /// Returns when `tick` is next due; infinity if the replica is not running or superseded.
  [[nodiscard]] Time nextTickAt() const;

  /// Handles a request from another member. Returns the response, or nullopt if the request is rejected.
  std::optional<Message> onRequest(Time now, const Message& request);
  /// Completes request `id` with its response, or with nullopt if the request failed or timed out.
  void onResponse(Time now, std::uint64_t id, const std::optional<Message>& response);

  /// Writes a row and schedules it for gossip.
  void set(Time now, const std::string& table, const std::string& key, const std::string& value);
  /// Replaces the row by a tombstone and schedules that for gossip.
  void remove(Time now, const std::string& table, const std::string& key);
  /// Returns the row, which is a tombstone if it was removed, or null if there is none.
  [[nodiscard]] const Row* find(const std::string& table, const std::string& key) const {
    return table_.find(table, key);
  }

  /// Announces to `Timing::fanout` random members that this member leaves the fleet. The replica sends no
  /// further messages.
  void leave();

  /// Known members of the fleet by name, without this one.
  [[nodiscard]] const std::map<std::string, Membership::Member>& members() const {
    return membership_.members();
  }
  [[nodiscard]] const MemberRecord& self() const { return membership_.self(); }
  [[nodiscard]] const Membership::Counts& membershipCounts() const { return membership_.counts(); }
  /// Number of other members that are alive or suspect.
  [[nodiscard]] std::size_t liveCount() const { return membership_.liveCount(); }
  /// Returns a copy of all rows, including tombstones.
  [[nodiscard]] std::vector<Row> rows() const { return table_.rows(); }
  [[nodiscard]] Digest digest() const { return digestOf(table_, membership_); }
  /// Whether, since the start, this copy has received every row of some other member's copy.
  [[nodiscard]] bool caughtUp() const { return caughtUp_; }
  /// Whether another process has this member's name and a higher generation. A superseded replica sends no
  /// requests, but still responds to requests.
  [[nodiscard]] bool isSuperseded() const { return membership_.isSuperseded(); }
  [[nodiscard]] const Counts& counts() const { return counts_; }
  /// Time of the last comparison with another copy; negative if there was none.
  [[nodiscard]] Time lastSyncAt() const { return lastSyncAt_; }

 private:
  struct PendingRequest {
    std::string recipient;
    MessageKind kind = MessageKind::probe;
    std::string target;  // see Message::target
  };
  enum class RowSource { local, remote };

  Message composeMessage(MessageKind kind, const std::string& recipient);
  void send(const std::string& recipient, MessageKind kind, const std::string& target = "");
  void sendMessage(const std::string& recipient, Message&& message);
  Time timeoutMs(MessageKind kind) const;
  bool isRunning() const { return started_ && !hasLeft_; }
  bool accepts(const PendingRequest& request, const Message& response);
  void merge(Time now, const Message& message);
  void mergeRow(const Row& row, RowSource source);
  void onRequestFailed(const PendingRequest& request);
  void onAcknowledgement(const std::string& member);
  void onSyncResponse(Time now, const std::string& member, const Message& response);
  void addRangeContents(const std::vector<unsigned>& ranges, Message& message);
  void probeNext(Time now);
  void gossip();
  void contactLostMember();
  bool hasUpdates() const { return membership_.hasUpdates() || table_.hasUpdates(); }
  Time randomBetween(Time low, Time high) { return std::uniform_real_distribution<Time>(low, high)(random_); }

  const Timing timing_;
  const std::string fleet_;
  Environment& environment_;
  std::mt19937_64 random_;
  Membership membership_;
  FailureDetector failureDetector_;
  ReplicatedTable table_;
  std::unordered_map<std::uint64_t, PendingRequest> pendingRequests_;  // by request id
  std::uint64_t lastRequestId_ = 0;
  Time nextProbeAt_ = 0;
  Time nextGossipAt_ = 0;
  Time nextAntiEntropyAt_ = 0;
  Time nextLostMemberContactAt_ = 0;
  Time lastSyncAt_ = -1;
  unsigned consecutiveSyncs_ = 0;
  bool started_ = false;
  bool caughtUp_ = false;
  bool hasLeft_ = false;
  Counts counts_;
};

}  // namespace wingslip::replication
