/// The leader task that keeps the membership record: it gathers changes of the registrations and writes the
/// record. No I/O, no clock.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "leader_election/leader_election.hpp"
#include "leader_election/membership_record.hpp"

namespace wingslip::leader_election {

/// On the thread of its `LeaderElection`, which must outlive it.
class MembershipTask : public LeaderTask {
 public:
  static constexpr Time kWritePeriodMs = 500;  ///< at most one write in this

  /// `gracePeriodMs`: a member without a registration is missing only after this, since sessions that the
  /// store lost come back within it.
  MembershipTask(LeaderElection& election, std::string taskName, Time gracePeriodMs)
      : election_(election), taskName_(std::move(taskName)), gracePeriodMs_(gracePeriodMs) {}

  void onElected(Time now, FencingToken token, const std::string& data) override;
  void onDeposed(Time now) override;
  void onRecord(Time now, FencingToken token, const std::string& leader, const std::string& data) override;
  void onRegistrations(Time now, const std::vector<Registration>& all) override;
  void runDue(Time now);
  /// Infinity: never by time alone.
  [[nodiscard]] Time nextDueAt() const;

  /// As last recorded by whoever leads.
  [[nodiscard]] const MembershipRecord& record() const { return recorded_; }
  [[nodiscard]] FencingToken token() const { return token_; }
  [[nodiscard]] std::uint64_t unreadableRecords() const { return unreadableRecords_; }

 private:
  [[nodiscard]] MembershipRecord parseOr(const std::string& data, const MembershipRecord& fallback);
  void updateDraft(Time now);
  void scheduleWrite(Time now);

  LeaderElection& election_;
  const std::string taskName_;
  const Time gracePeriodMs_;

  MembershipRecord recorded_;
  MembershipRecord draft_;  // the leader's, ahead of what is recorded
  FencingToken token_ = 0;
  std::uint64_t unreadableRecords_ = 0;

  bool isLeading_ = false;
  bool hasRegistrations_ = false;  // since this leadership began
  bool draftChanged_ = false;
  std::vector<Registration> registrations_;
  std::map<std::string, Time> goneAt_;  // members of draft_ that are there and have no registration
  bool isWriteDue_ = false;
  Time writeAt_ = 0;
};

}  // namespace wingslip::leader_election
