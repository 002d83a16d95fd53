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
    ++unreadableRecords_;  // the leader's next write replaces the record
    return fallback;
  }
}

void MembershipTask::onElected(Time now, FencingToken token, const std::string& data) {
  isLeading_ = true;
  registrationsReceived_ = false;
  isWriteScheduled_ = false;
  draftChanged_ = false;
  token_ = token;
  draft_ = parseOr(data, {});
  unregisteredSince_.clear();
  writeAt_ = now;
}

void MembershipTask::onLeadershipLost(Time) {
  isLeading_ = false;
  registrationsReceived_ = false;
  isWriteScheduled_ = false;
}

void MembershipTask::onRecord(Time, FencingToken token, const std::string&, const std::string& data) {
  token_ = token;
  latestRecord_ = parseOr(data, latestRecord_);
}

void MembershipTask::onRegistrations(Time now, const std::vector<Registration>& all) {
  registrations_ = all;
  registrationsReceived_ = true;
  if (!isWriteScheduled_) {
    isWriteScheduled_ = true;
    writeAt_ = std::max(writeAt_, now + kWritePeriodMs);
  }
  std::set<std::string_view> registered;
  for (const Registration& registration : all) registered.insert(registration.name);
  std::map<std::string, Time> unregisteredSince;
  for (const auto& [name, member] : draft_.members()) {
    if (member.processes == 0 || registered.contains(name)) continue;
    const auto previous = unregisteredSince_.find(name);
    unregisteredSince[name] = previous == unregisteredSince_.end() ? now : previous->second;
  }
  unregisteredSince_ = std::move(unregisteredSince);
  updateDraft(now);
}

// Called at every change of the registrations, not only before a write, so that the draft also reflects
// states that last less than the write period.
void MembershipTask::updateDraft(Time now) {
  const bool changed = draft_.update(registrations_, [&](const std::string& name) {
    const auto found = unregisteredSince_.find(name);
    return found != unregisteredSince_.end() && now < found->second + gracePeriodMs_;
  });
  if (changed) draftChanged_ = true;
}

void MembershipTask::runDue(Time now) {
  if (!isLeading_ || !registrationsReceived_ || !isWriteScheduled_ || now < writeAt_) return;
  isWriteScheduled_ = false;
  updateDraft(now);
  if (std::exchange(draftChanged_, false)) election_.writeRecord(now, taskName_, draft_.text());
  std::erase_if(unregisteredSince_, [&](const auto& entry) {
    const auto member = draft_.members().find(entry.first);
    return member == draft_.members().end() || member->second.processes == 0;
  });
  scheduleWrite(now);
}

// Schedules the next write for the earliest end of a grace period, if any is running.
void MembershipTask::scheduleWrite(Time now) {
  writeAt_ = now + kWritePeriodMs;
  for (const auto& [name, since] : unregisteredSince_) {
    if (isWriteScheduled_ && since + gracePeriodMs_ >= writeAt_) continue;
    isWriteScheduled_ = true;
    writeAt_ = std::max(now + kWritePeriodMs, since + gracePeriodMs_);
  }
}

Time MembershipTask::nextDueAt() const {
  const bool mayWrite = isLeading_ && registrationsReceived_ && isWriteScheduled_;
  return mayWrite ? writeAt_ : std::numeric_limits<Time>::infinity();
}

}  // namespace wingslip::leader_election
