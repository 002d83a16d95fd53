/// Which gatekeepers of the fleet are there: the member list of SWIM, with suspicion and refutation.
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

/// Not thread-safe; owned by `Replica`. Random choices draw from the caller's generator.
class Membership {
 public:
  static constexpr std::size_t kMaxMembers = 1024;  ///< others; the longest departed makes room

  struct Member {
    MemberRecord record;
    Time stateSince = 0;
    unsigned transmissionsLeft = 0;  ///< of its last change, by gossip
  };
  struct Counts {
    std::uint64_t suspicions = 0;
    std::uint64_t refutations = 0;
    std::uint64_t deaths = 0;
  };

  /// `seeds`: names and addresses of configured members; these addresses go before gossiped ones.
  Membership(MemberRecord self, std::map<std::string, std::string> seeds, Environment& environment);

  /// Members of a snapshot.
  void restore(const std::vector<MemberRecord>& records);
  /// Takes a record that is newer than the known one. One about this process is refuted, or marks it
  /// superseded.
  void merge(Time now, const MemberRecord& record);
  /// A member that did not answer a probe: it has `suspicionTimeoutMs` to refute.
  void suspect(Time now, const std::string& name);
  /// Suspects that did not refute in time are dead.
  void expireSuspects(Time now, Time probePeriodMs);

  /// Gossips this process' own record anew.
  void announceSelf() { selfTransmissionsLeft_ = transmissionLimit(); }
  /// This process leaves: its last record, gossiped once.
  void leave();

  /// The updates for a message to `recipient`, those transmitted least often first; each counts as
  /// transmitted.
  [[nodiscard]] std::vector<MemberRecord> takeUpdates(const std::string& recipient);
  [[nodiscard]] bool hasUpdates() const;

  [[nodiscard]] const std::map<std::string, Member>& members() const { return members_; }  ///< without self
  [[nodiscard]] const MemberRecord& self() const { return self_; }
  [[nodiscard]] const Member* find(const std::string& name) const;
  /// Whether a process of the same name and a later generation is known.
  [[nodiscard]] bool isStale(const MemberRecord& record) const;
  /// Other members that are alive or suspect.
  [[nodiscard]] std::size_t liveCount() const;
  /// How often each change is gossiped: grows with the logarithm of the fleet.
  [[nodiscard]] unsigned transmissionLimit() const;
  /// host:port, or empty.
  [[nodiscard]] std::string addressOf(const std::string& name) const;
  /// At most `count` live members in random order, without `except`.
  [[nodiscard]] std::vector<std::string> randomLive(std::size_t count, std::mt19937_64& random,
                                                    const std::string& except = "") const;
  /// Configured members that are unknown, then the dead: both sides of a healed partition look for them.
  [[nodiscard]] std::vector<std::string> lostMembers() const;
  /// Another process has this name and a higher generation.
  [[nodiscard]] bool isSuperseded() const { return superseded_; }
  [[nodiscard]] const Counts& counts() const { return counts_; }

 private:
  void mergeSelf(const MemberRecord& record);
  void refute(std::uint64_t suspectedIncarnation);
  bool evictDeparted();
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
