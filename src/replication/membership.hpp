/// The SWIM member list of the fleet: merging of gossiped records, suspicion and refutation.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "replication/environment.hpp"
#include "replication/records.hpp"

namespace wingslip::replication {

/// The member list of one replica. Not thread-safe; owned by `Replica`. Random choices use the caller's
/// generator.
class Membership {
 public:
  static constexpr std::size_t kMaxMembers = 1024;  ///< limit on other members; see `merge`

  /// Another member, as known to this one.
  struct Member {
    MemberRecord record;
    Time stateSince = 0;             ///< when this copy recorded the current state
    unsigned transmissionsLeft = 0;  ///< remaining gossip transmissions of its last change
  };
  /// Events since the start of the process.
  struct Counts {
    std::uint64_t suspicions = 0;   ///< members suspected after a failed probe by this member
    std::uint64_t refutations = 0;  ///< records about this process that it refuted
    std::uint64_t deaths = 0;       ///< live members recorded as dead
  };

  /// @param seeds names and addresses of configured members; these addresses take precedence over gossiped
  /// ones.
  /// @param environment outlives this object.
  Membership(MemberRecord self, std::map<std::string, std::string> seeds, Environment& environment);

  /// Adds the members of a snapshot, up to `kMaxMembers`.
  void restore(const std::vector<MemberRecord>& records);
  /// Stores the record if it supersedes the known one, and schedules it for gossip. At `kMaxMembers`, a new
  /// member replaces the one that has been dead or departed for the longest time; if all are live, it is not
  /// added. A record about this member is refuted if it reports this process as not alive, and marks this
  /// process as superseded if the record's generation is higher.
  void merge(Time now, const MemberRecord& record);
  /// Marks an alive member as suspect after a failed probe. It is marked dead unless it refutes the suspicion
  /// within `suspicionTimeoutMs`.
  void suspect(Time now, const std::string& name);
  /// Marks suspects as dead whose suspicion timeout has expired.
  void expireSuspects(Time now, Time probePeriodMs);

  /// Schedules the record of this process for gossip.
  void announceSelf() { selfTransmissionsLeft_ = transmissionLimit(); }
  /// Sets the state of this member to `MemberState::left`; this final record is gossiped once.
  void leave();

  /// Returns the updates for a message to `recipient`, and counts each as transmitted once. A record about
  /// the recipient comes first, then the records with the most transmissions left.
  [[nodiscard]] std::vector<MemberRecord> takeUpdates(const std::string& recipient);
  /// Whether any update remains to be gossiped.
  [[nodiscard]] bool hasUpdates() const;

  /// Known members by name, without this one.
  [[nodiscard]] const std::map<std::string, Member>& members() const { return members_; }
  [[nodiscard]] const MemberRecord& self() const { return self_; }
  /// Returns another member, or null if it is unknown.
  [[nodiscard]] const Member* find(const std::string& name) const;
  /// Whether a process of the same member with a higher generation is known.
  [[nodiscard]] bool isStale(const MemberRecord& record) const;
  /// Number of other members that are alive or suspect.
  [[nodiscard]] std::size_t liveCount() const;
  /// Number of gossip transmissions of each change; grows with the logarithm of the fleet's size.
  [[nodiscard]] unsigned transmissionLimit() const;
  /// Returns the member's address as host:port, or an empty string if it is unknown.
  [[nodiscard]] std::string addressOf(const std::string& name) const;
  /// Returns the names of at most `count` live members in random order, excluding `except`.
  [[nodiscard]] std::vector<std::string> randomLive(std::size_t count, std::mt19937_64& random,
                                                    const std::string& except = "") const;
  /// Returns the configured members without a record, then the dead members. Both sides of a partition
  /// contact them, so that the fleet reunites once the partition has healed.
  [[nodiscard]] std::vector<std::string> lostMembers() const;
  /// Whether another process has this member's name and a higher generation.
  [[nodiscard]] bool isSuperseded() const { return superseded_; }
  [[nodiscard]] const Counts& counts() const { return counts_; }

 private:
  void mergeSelf(const MemberRecord& record);
  void refute(std::uint64_t suspectedIncarnation);
  bool evictLongestDeparted();
  Time suspicionTimeoutMs(Time probePeriodMs) const;
  double logOfFleetSize() const;

  MemberRecord self_;
  const std::map<std::string, std::string> seeds_;
  Environment& environment_;
  std::map<std::string, Member> members_;
  unsigned selfTransmissionsLeft_ = 0;
  bool superseded_ = false;
  Counts counts_;
};

}  // namespace wingslip::replication
