#include "replication/membership.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace wingslip::replication {
namespace {

constexpr std::size_t kMaxUpdatesPerMessage = 16;
constexpr double kTransmissionFactor = 3;  // gossip transmissions of a change per log2 of the fleet size
constexpr double kSuspicionFactor = 3;     // suspicion timeout in probe periods per log2 of the fleet size

}  // namespace

Membership::Membership(MemberRecord self, std::map<std::string, std::string> seeds, Environment& environment)
    : self_(std::move(self)), seeds_(std::move(seeds)), environment_(environment) {}

void Membership::restore(const std::vector<MemberRecord>& records) {
  for (const MemberRecord& record : records) {
    if (record.name == self_.name || members_.size() >= kMaxMembers) continue;
    members_[record.name].record = record;
  }
}

// --- Merging ---------------------------------------------------------------------------------------------

void Membership::merge(Time now, const MemberRecord& record) {
  if (record.name == self_.name) return mergeSelf(record);
  const Member* known = find(record.name);
  if (known && !supersedes(record, known->record)) return;
  if (!known && members_.size() >= kMaxMembers && !evictLongestDeparted()) return;
  const bool wasLive = known && isLive(known->record.state);
  const bool stateChanges = !known || known->record.state != record.state;
  Member& member = members_[record.name];
  member.record = record;
  if (stateChanges) member.stateSince = now;
  member.transmissionsLeft = transmissionLimit();
  if (wasLive && record.state == MemberState::dead) ++counts_.deaths;
  if (stateChanges) environment_.log("member " + record.name + " is " + nameOf(record.state));
}

void Membership::mergeSelf(const MemberRecord& record) {
  if (record.generation > self_.generation) {
    if (!std::exchange(superseded_, true))
      environment_.log("superseded: another process of " + self_.name +
                       " has a higher generation; sending no requests");
    return;
  }
  const bool reportsThisProcessNotAlive = record.generation == self_.generation &&
                                          record.state != MemberState::alive &&
                                          record.incarnation >= self_.incarnation;
  if (reportsThisProcessNotAlive && self_.state != MemberState::left) refute(record.incarnation);
}

void Membership::refute(std::uint64_t suspectedIncarnation) {
  self_.incarnation = suspectedIncarnation + 1;
  announceSelf();
  ++counts_.refutations;
}

// Removes the member that has been dead or departed for the longest time. Returns false if all
// members are live; the new member is then not added.
bool Membership::evictLongestDeparted() {
  auto longestDeparted = members_.end();
  for (auto member = members_.begin(); member != members_.end(); ++member) {
    if (isLive(member->second.record.state)) continue;
    if (longestDeparted == members_.end() || member->second.stateSince < longestDeparted->second.stateSince)
      longestDeparted = member;
  }
  if (longestDeparted == members_.end()) return false;
  members_.erase(longestDeparted);
  return true;
}

// --- Suspicion -------------------------------------------------------------------------------------------

void Membership::suspect(Time now, const std::string& name) {
  const Member* known = find(name);
  if (!known || known->record.state != MemberState::alive) return;
  ++counts_.suspicions;
  MemberRecord record = known->record;
  record.state = MemberState::suspect;
  merge(now, record);
}

void Membership::expireSuspects(Time now, Time probePeriodMs) {
  std::vector<MemberRecord> dead;
  const Time timeoutMs = suspicionTimeoutMs(probePeriodMs);
  for (const auto& [name, member] : members_)
    if (member.record.state == MemberState::suspect && now >= member.stateSince + timeoutMs)
      dead.push_back(member.record);
  for (MemberRecord& record : dead) {
    record.state = MemberState::dead;
    merge(now, record);
  }
}

void Membership::leave() {
  ++self_.incarnation;
  self_.state = MemberState::left;
  selfTransmissionsLeft_ = 1;
}

double Membership::logOfFleetSize() const { return std::log2(static_cast<double>(liveCount()) + 2); }

Time Membership::suspicionTimeoutMs(Time probePeriodMs) const {
  return probePeriodMs * kSuspicionFactor * std::ceil(logOfFleetSize());
}

// --- Gossip ----------------------------------------------------------------------------------------------

unsigned Membership::transmissionLimit() const {
  return static_cast<unsigned>(std::ceil(kTransmissionFactor * logOfFleetSize()));
}

std::vector<MemberRecord> Membership::takeUpdates(const std::string& recipient) {
  if (selfTransmissionsLeft_ > 0) --selfTransmissionsLeft_;
  std::vector<Member*> updates;
  for (auto& [name, member] : members_) {
    // A record that reports the recipient as not alive is always included, so that the recipient can refute
    // it.
    const bool reportsRecipientNotAlive = name == recipient && member.record.state != MemberState::alive;
    if (member.transmissionsLeft > 0 || reportsRecipientNotAlive) updates.push_back(&member);
  }
  std::sort(updates.begin(), updates.end(), [&](const Member* left, const Member* right) {
    return std::tuple(left->record.name != recipient, right->transmissionsLeft) <
           std::tuple(right->record.name != recipient, left->transmissionsLeft);
  });
  if (updates.size() > kMaxUpdatesPerMessage) updates.resize(kMaxUpdatesPerMessage);
  std::vector<MemberRecord> out;
  for (Member* member : updates) {
    out.push_back(member->record);
    if (member->transmissionsLeft > 0) --member->transmissionsLeft;
  }
  return out;
}

bool Membership::hasUpdates() const {
  return selfTransmissionsLeft_ > 0 || std::any_of(members_.begin(), members_.end(), [](const auto& entry) {
           return entry.second.transmissionsLeft > 0;
         });
}

// --- Queries ---------------------------------------------------------------------------------------------

const Membership::Member* Membership::find(const std::string& name) const {
  const auto found = members_.find(name);
  return found == members_.end() ? nullptr : &found->second;
}

bool Membership::isStale(const MemberRecord& record) const {
  const Member* known = find(record.name);
  return known && record.generation < known->record.generation;
}

std::size_t Membership::liveCount() const {
  return static_cast<std::size_t>(std::count_if(
      members_.begin(), members_.end(), [](const auto& entry) { return isLive(entry.second.record.state); }));
}

std::string Membership::addressOf(const std::string& name) const {
  if (const auto seed = seeds_.find(name); seed != seeds_.end()) return seed->second;
  const Member* known = find(name);
  return known ? known->record.address : "";
}

std::vector<std::string> Membership::randomLive(std::size_t count, std::mt19937_64& random,
                                                const std::string& except) const {
  std::vector<std::string> out;
  for (const auto& [name, member] : members_)
    if (isLive(member.record.state) && name != except) out.push_back(name);
  std::shuffle(out.begin(), out.end(), random);
  if (out.size() > count) out.resize(count);
  return out;
}

std::vector<std::string> Membership::lostMembers() const {
  std::vector<std::string> out;
  for (const auto& [name, address] : seeds_)
    if (name != self_.name && !members_.contains(name)) out.push_back(name);
  for (const auto& [name, member] : members_)
    if (member.record.state == MemberState::dead) out.push_back(name);
  return out;
}

}  // namespace wingslip::replication
