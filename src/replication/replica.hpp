/// One gatekeeper's copy of the state that the fleet replicates: SWIM membership and last-writer-wins tables,
/// spread by gossip and repaired by anti-entropy. The state machine without I/O: events and monotonic time
/// in, requests and merged rows out. It carries rows; whoever reads them decides. `docs/design.md` has the
/// bounds.
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

struct Timing {
  Time probePeriodMs = 1000;         ///< one member is probed in each
  Time gossipPeriodMs = 200;         ///< while there are updates
  Time antiEntropyPeriodMs = 10000;  ///< one member's copy is compared with this one in each
  unsigned fanout = 3;               ///< members that an update is gossiped to in a period
  unsigned indirectProbes = 3;       ///< members asked to probe one that does not answer
  [[nodiscard]] Time probeTimeoutMs() const { return probePeriodMs / 3; }
};

/// Not thread-safe: all calls come from one thread, and `Environment` is called on it.
class Replica {
 public:
  struct Counts {
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    std::uint64_t failed = 0;         ///< requests without a valid response
    std::uint64_t rejectedStale = 0;  ///< messages of an earlier process, or of another than was asked
    std::uint64_t rejectedForeign =
        0;                           ///< messages of another fleet or under this name, or while not running
    std::uint64_t rejectedRows = 0;  ///< rows whose timestamp is too far ahead
    std::uint64_t merged = 0;        ///< rows taken from others
    std::uint64_t repaired = 0;      ///< comparisons that found a difference
  };

  /// @param seeds names and addresses of some members, by which the fleet is found.
  /// @param environment outlives the replica.
  Replica(const Timing& timing, const std::string& fleet, const MemberRecord& self,
          const std::map<std::string, std::string>& seeds, std::uint64_t seed, Environment& environment);

  /// What a snapshot had; before `start`.
  void restore(const std::vector<MemberRecord>& members, const std::vector<Row>& rows);
  void start(Time now);
  /// Does what is due. Call it at `nextTickAt`.
  void tick(Time now);
  /// Infinity: nothing is due any more.
  [[nodiscard]] Time nextTickAt() const;

  /// Another member's request. Returns the response; nothing where the request is rejected.
  std::optional<Message> onRequest(Time now, const Message& request);
  /// The end of request `id`: its response, or nothing where it failed or timed out.
  void onResponse(Time now, std::uint64_t id, const std::optional<Message>& response);

  void set(Time now, const std::string& table, const std::string& key, const std::string& value);
  /// Leaves a tombstone.
  void remove(Time now, const std::string& table, const std::string& key);
  /// Null: no such row. A removed one is found as a tombstone.
  [[nodiscard]] const Row* find(const std::string& table, const std::string& key) const {
    return table_.find(table, key);
  }

  /// Announces to some members that this one leaves; the replica sends nothing after it.
  void leave();

  /// Members of the fleet but this one.
  [[nodiscard]] const std::map<std::string, Membership::Member>& members() const {
    return membership_.members();
  }
  [[nodiscard]] const MemberRecord& self() const { return membership_.self(); }
  [[nodiscard]] const Membership::Counts& membershipCounts() const { return membership_.counts(); }
  /// Other members that are alive or suspect.
  [[nodiscard]] std::size_t liveCount() const { return membership_.liveCount(); }
  [[nodiscard]] std::vector<Row> rows() const { return table_.rows(); }
  [[nodiscard]] Digest digest() const { return digestOf(table_, membership_); }
  /// Whether this copy has had every row of another one since the start.
  [[nodiscard]] bool caughtUp() const { return caughtUp_; }
  /// Whether another process has this name and a higher generation; this one sends no
  /// requests of its own then, and still answers.
  [[nodiscard]] bool isSuperseded() const { return membership_.isSuperseded(); }
  [[nodiscard]] const Counts& counts() const { return counts_; }
  /// When this copy was last compared with another; negative: never.
  [[nodiscard]] Time lastSyncAt() const { return lastSyncAt_; }

 private:
  struct PendingRequest {
    std::string recipient;
    MessageKind kind = MessageKind::probe;
    std::string target;
  };
  enum class RowSource { local, remote };

  Message composeMessage(MessageKind kind, const std::string& recipient);
  void send(const std::string& recipient, MessageKind kind, const std::string& target = "");
  void sendMessage(const std::string& recipient, Message&& message);
  Time timeoutMs(MessageKind kind) const;
  bool isRunning() const { return started_ && !left_; }
  bool accepts(const PendingRequest& request, const Message& response);
  void merge(Time now, const Message& message);
  void mergeRow(const Row& row, RowSource source);
  void onRequestFailed(const PendingRequest& request);
  void onAcknowledgement(const std::string& member);
  void onSyncResponse(Time now, const std::string& member, const Message& response);
  void addContents(const std::vector<unsigned>& ranges, Message& message);
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
  std::unordered_map<std::uint64_t, PendingRequest> pending_;  // by id
  std::uint64_t lastRequestId_ = 0;
  Time probeAt_ = 0;
  Time gossipAt_ = 0;
  Time antiEntropyAt_ = 0;
  Time lostMemberAt_ = 0;
  Time lastSyncAt_ = -1;
  unsigned syncsInSequence_ = 0;
  bool started_ = false;
  bool caughtUp_ = false;
  bool left_ = false;
  Counts counts_;
};

}  // namespace wingslip::replication
