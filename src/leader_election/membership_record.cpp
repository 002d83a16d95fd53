#include "leader_election/membership_record.hpp"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace wingslip::leader_election {
namespace {

using nlohmann::json;

constexpr std::array<const char*, 4> kStateNames{"here", "draining", "left", "missing"};
// Upper bound of a member's text without its name and build.
constexpr std::size_t kMaxEntryOverheadBytes = 96;

MemberState parseState(const std::string& name) {
  const auto found = std::find(kStateNames.begin(), kStateNames.end(), name);
  if (found == kStateNames.end())
    throw std::runtime_error("invalid membership record: unknown state " + name.substr(0, 40));
  return static_cast<MemberState>(found - kStateNames.begin());
}

// Upper bound of the size of a member in the record's text.
std::size_t maxTextBytesOf(const std::string& name, const Member& member) {
  return name.size() + member.build.size() + kMaxEntryOverheadBytes;
}

}  // namespace

const char* stateName(MemberState state) { return kStateNames[static_cast<std::size_t>(state)]; }

std::map<std::string, Member> MembershipRecord::groupByMember(
    const std::vector<Registration>& registrations) {
  std::map<std::string, Member> out;
  for (const Registration& registration : registrations) {
    Member& member = out[registration.name];
    ++member.processes;
    const bool isFirst = member.processes == 1;
    // During an upgrade, the newer process determines the build and the start time.
    if (isFirst || registration.startedUnixS > member.startedUnixS) {
      member.build = registration.build;
      member.startedUnixS = registration.startedUnixS;
    }
    if (isFirst)
      member.state = registration.draining ? MemberState::draining : MemberState::present;
    else if (!registration.draining)
      member.state = MemberState::present;
  }
  return out;
}

bool MembershipRecord::update(const std::vector<Registration>& registrations,
                              const InGracePeriod& inGracePeriod) {
  std::map<std::string, Member> next = groupByMember(registrations);
  for (const auto& [name, previous] : members_) {
    const auto registered = next.find(name);
    if (registered == next.end())
      next[name] = unregisteredMember(name, previous, inGracePeriod);
    else if (registered->second.state == previous.state)
      registered->second.sinceVersion = previous.sinceVersion;
  }
  for (auto& [name, member] : next)
    if (member.sinceVersion == 0) member.sinceVersion = version_ + 1;
  if (next == members_ && version_ > 0) return false;
  members_ = std::move(next);
  ++version_;
  trim();
  return true;
}

Member MembershipRecord::unregisteredMember(const std::string& name, Member member,
                                            const InGracePeriod& inGracePeriod) const {
  const bool hadProcesses = member.processes > 0;
  if (!hadProcesses) return member;
  const bool wasDraining = member.state == MemberState::draining;
  if (!wasDraining && inGracePeriod(name)) return member;
  member.state = wasDraining ? MemberState::departed : MemberState::missing;
  member.processes = 0;
  member.sinceVersion = version_ + 1;
  return member;
}

// Enforces the limits. Evicts departed and missing members first, then present and draining members; within
// each group, those first that have been in their state for the longest time.
void MembershipRecord::trim() {
  std::size_t bytes = 0;
  for (const auto& [name, member] : members_) bytes += maxTextBytesOf(name, member);
  if (members_.size() <= kMaxMembers && bytes <= kMaxBytes) return;
  using Position = std::map<std::string, Member>::iterator;
  std::vector<Position> order;
  for (Position at = members_.begin(); at != members_.end(); ++at) order.push_back(at);
  std::stable_sort(order.begin(), order.end(), [](const Position& left, const Position& right) {
    const bool leftHasProcesses = left->second.processes > 0;
    const bool rightHasProcesses = right->second.processes > 0;
    return leftHasProcesses != rightHasProcesses ? rightHasProcesses
                                                 : left->second.sinceVersion < right->second.sinceVersion;
  });
  for (const Position& first : order) {
    if (members_.size() <= kMaxMembers && bytes <= kMaxBytes) return;
    bytes -= maxTextBytesOf(first->first, first->second);
    members_.erase(first);
  }
}

std::map<MemberState, std::size_t> MembershipRecord::counts() const {
  std::map<MemberState, std::size_t> out;
  for (const auto& [name, member] : members_) ++out[member.state];
  return out;
}

std::string MembershipRecord::text() const {
  json rows = json::object();
  for (const auto& [name, member] : members_)
    rows[name] = {stateName(member.state), member.processes, member.build, member.startedUnixS,
                  member.sinceVersion};
  return json{{"version", version_}, {"rows", rows}}.dump(-1, ' ', false, json::error_handler_t::replace);
}

MembershipRecord MembershipRecord::parse(const std::string& text) {
  try {
    const json fields = json::parse(text);
    MembershipRecord out;
    out.version_ = fields.at("version").get<std::uint64_t>();
    for (const auto& [name, row] : fields.at("rows").items()) {
      Member& member = out.members_[name];
      member.state = parseState(row.at(0).get<std::string>());
      member.processes = row.at(1).get<unsigned>();
      member.build = row.at(2).get<std::string>();
      member.startedUnixS = row.at(3).get<std::int64_t>();
      member.sinceVersion = row.at(4).get<std::uint64_t>();
    }
    out.trim();
    return out;
  } catch (const json::exception& error) {
    throw std::runtime_error(std::string("invalid membership record: ") + error.what());
  }
}

}  // namespace wingslip::leader_election
