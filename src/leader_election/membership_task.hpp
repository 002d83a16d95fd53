/// The leader task that maintains the membership record: it collects changes of the registrations and writes
/// the record. Performs no I/O and reads no clock.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "leader_election/leader_election.hpp"
#include "leader_election/membership_record.hpp"

namespace wingslip::leader_election {

/// Used on the thread of its `LeaderElection`, which must outlive it.
class MembershipTask : public LeaderTask {
 public:
  static constexpr Time kWritePeriodMs = 500;  ///< minimum interval between two writes of the record

  /// `gracePeriodMs`: time for which a member without a registration does not count as missing, so that a
  /// process whose session the store lost can register again.
  MembershipTask(LeaderElection& election, std::string taskName, Time gracePeriodMs)
      : election_(election), taskName_(std::move(taskName)), gracePeriodMs_(gracePeriodMs) {}

  void onElected(Time now, FencingToken token, const std::string& data) override;
  void onLeadershipLost(Time now) override;
  void onRecord(Time now, FencingToken token, const std::string& leader, const std::string& data) override;
  void onRegistrations(Time now, const std::vector<Registration>& all) override;
  /// Writes the record if a write is due and it has changed.
  void runDue(Time now);
  /// Returns when `runDue` must be called next; infinity if no write is scheduled.
  [[nodiscard]] Time nextDueAt() const;

  /// The record as last read from the store, or written to it by this process.
  [[nodiscard]] const MembershipRecord& record() const { return latestRecord_; }
  /// The fencing token of `record()`, or of this process's leadership if that began later.
  [[nodiscard]] FencingToken token() const { return token_; }
  /// Number of records that could not be parsed.
  [[nodiscard]] std::uint64_t unreadableRecords() const { return unreadableRecords_; }

 private:
  [[nodiscard]] MembershipRecord parseOr(const std::string& data, const MembershipRecord& fallback);
  void updateDraft(Time now);
  void scheduleWrite(Time now);

  LeaderElection& election_;
  const std::string taskName_;
  const Time gracePeriodMs_;

  MembershipRecord latestRecord_;
  MembershipRecord draft_;  // the leader's next version, ahead of the stored record
  FencingToken token_ = 0;
  std::uint64_t unreadableRecords_ = 0;

  bool isLeading_ = false;
  bool registrationsReceived_ = false;  // since this process became the leader
  bool draftChanged_ = false;
  std::vector<Registration> registrations_;
  // Times since which members have had no registration, by name. Only members that draft_ still has as
  // present or draining.
  std::map<std::string, Time> unregisteredSince_;
  bool isWriteScheduled_ = false;
  Time writeAt_ = 0;
};

}  // namespace wingslip::leader_election
