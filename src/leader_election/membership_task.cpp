#include "leader_election/membership_task.hpp"

#include <algorithm>
#include <limits>
#include <set>
#include <stdexcept>
#include <string_view>

namespace wingslip::leader_election {

MembershipRecord MembershipTask::parseOr(const std::string& data, const MembershipRecord& fallback) {
  if (data.empty()) return fallback;
  try {
    return MembershipRecord::parse(data);
  } catch (const std::runtime_error&) {
    ++unreadableRecords_;  // the next write replaces it
    return fallback;
  }
}

void MembershipTask::onElected(Time now, FencingToken token, const std::string& data) {
  isLeading_ = true;
  hasRegistrations_ = false;
  isWriteDue_ = false;
  draftChanged_ = false;
  token_ = token;
  draft_ = parseOr(data, {});
  goneAt_.clear();
  writeAt_ = now;
}

void MembershipTask::onDeposed(Time) {
  isLeading_ = false;
  hasRegistrations_ = false;
  isWriteDue_ = false;
}

void MembershipTask::onRecord(Time, FencingToken token, const std::string&, const std::string& data) {
  token_ = token;
  recorded_ = parseOr(data, recorded_);
}

void MembershipTask::onRegistrations(Time now, const std::vector<Registration>& all) {
  registrations_ = all;
  hasRegistrations_ = true;
  if (!isWriteDue_) {
    isWriteDue_ = true;
    writeAt_ = std::max(writeAt_, now + kWritePeriodMs);
  }
  std::set<std::string_view> registered;
  for (const Registration& registration : all) registered.insert(registration.name);
  std::map<std::string, Time> goneAt;
  for (const auto& [name, member] : draft_.members()) {
    if (member.processes == 0 || registered.contains(name)) continue;
    const auto before = goneAt_.find(name);
    goneAt[name] = before == goneAt_.end() ? now : before->second;
  }
  goneAt_ = std::move(goneAt);
  updateDraft(now);
}

// At every change, so that a state is noticed however short it was; written when that is due.
void MembershipTask::updateDraft(Time now) {
  const bool changed = draft_.update(registrations_, [&](const std::string& name) {
    const auto gone = goneAt_.find(name);
    return gone != goneAt_.end() && now < gone->second + gracePeriodMs_;
  });
  if (changed) draftChanged_ = true;
}

void MembershipTask::runDue(Time now) {
  if (!isLeading_ || !hasRegistrations_ || !isWriteDue_ || now < writeAt_) return;
  isWriteDue_ = false;
  updateDraft(now);
  if (std::exchange(draftChanged_, false)) election_.writeRecord(now, taskName_, draft_.text());
  std::erase_if(goneAt_, [&](const auto& gone) {
    const auto member = draft_.members().find(gone.first);
    return member == draft_.members().end() || member->second.processes == 0;
  });
  scheduleWrite(now);
}

// The next one is due when the first grace period ends.
void MembershipTask::scheduleWrite(Time now) {
  writeAt_ = now + kWritePeriodMs;
  for (const auto& [name, goneAt] : goneAt_) {
    if (isWriteDue_ && goneAt + gracePeriodMs_ >= writeAt_) continue;
    isWriteDue_ = true;
    writeAt_ = std::max(now + kWritePeriodMs, goneAt + gracePeriodMs_);
  }
}

Time MembershipTask::nextDueAt() const {
  const bool mayWrite = isLeading_ && hasRegistrations_ && isWriteDue_;
  return mayWrite ? writeAt_ : std::numeric_limits<Time>::infinity();
}

}  // namespace wingslip::leader_election
