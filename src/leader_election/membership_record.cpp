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
constexpr std::size_t kMaxBytesBesidesNameAndBuild = 96;  // of a member's text

MemberState parseState(const std::string& name) {
  const auto found = std::find(kStateNames.begin(), kStateNames.end(), name);
  if (found == kStateNames.end()) throw std::runtime_error("roster: no state " + name.substr(0, 40));
  return static_cast<MemberState>(found - kStateNames.begin());
}

std::size_t bytesOf(const std::string& name, const Member& member) {
  return name.size() + member.build.size() + kMaxBytesBesidesNameAndBuild;
}

}  // namespace

const char* operatorsNameOf(MemberState state) { return kStateNames[static_cast<std::size_t>(state)]; }

std::map<std::string, Member> MembershipRecord::membersOf(const std::vector<Registration>& registrations) {
  std::map<std::string, Member> out;
  for (const Registration& registration : registrations) {
    Member& member = out[registration.name];
    ++member.processes;
    const bool isFirst = member.processes == 1;
    // Of two processes in an upgrade the one that stays counts.
    if (isFirst || registration.startedUnixS > member.startedUnixS) {
      member.build = registration.build;
      member.startedUnixS = registration.startedUnixS;
    }
    if (isFirst)
      member.state = registration.draining ? MemberState::draining : MemberState::here;
    else if (!registration.draining)
      member.state = MemberState::here;
  }
  return out;
}

bool MembershipRecord::update(const std::vector<Registration>& registrations,
                              const InGracePeriod& inGracePeriod) {
  std::map<std::string, Member> next = membersOf(registrations);
  for (const auto& [name, before] : members_) {
    const auto now = next.find(name);
    if (now == next.end())
      next[name] = withoutRegistration(name, before, inGracePeriod);
    else if (now->second.state == before.state)
      now->second.sinceVersion = before.sinceVersion;
  }
  for (auto& [name, member] : next)
    if (member.sinceVersion == 0) member.sinceVersion = version_ + 1;
  if (next == members_ && version_ > 0) return false;
  members_ = std::move(next);
  ++version_;
  trim();
  return true;
}

Member MembershipRecord::withoutRegistration(const std::string& name, Member member,
                                             const InGracePeriod& inGracePeriod) const {
  const bool wasThere = member.processes > 0;
  if (!wasThere) return member;
  const bool wasDraining = member.state == MemberState::draining;
  if (!wasDraining && inGracePeriod(name)) return member;
  member.state = wasDraining ? MemberState::left : MemberState::missing;
  member.processes = 0;
  member.sinceVersion = version_ + 1;
  return member;
}

// What left or is missing for longest falls out first; those that are there last.
void MembershipRecord::trim() {
  std::size_t bytes = 0;
  for (const auto& [name, member] : members_) bytes += bytesOf(name, member);
  if (members_.size() <= kMaxMembers && bytes <= kMaxBytes) return;
  using Position = std::map<std::string, Member>::iterator;
  std::vector<Position> order;
  for (Position at = members_.begin(); at != members_.end(); ++at) order.push_back(at);
  std::stable_sort(order.begin(), order.end(), [](const Position& left, const Position& right) {
    const bool leftIsThere = left->second.processes > 0;
    const bool rightIsThere = right->second.processes > 0;
    return leftIsThere != rightIsThere ? rightIsThere
                                       : left->second.sinceVersion < right->second.sinceVersion;
  });
  for (const Position& first : order) {
    if (members_.size() <= kMaxMembers && bytes <= kMaxBytes) return;
    bytes -= bytesOf(first->first, first->second);
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
    rows[name] = {operatorsNameOf(member.state), member.processes, member.build, member.startedUnixS,
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
    throw std::runtime_error(std::string("roster: ") + error.what());
  }
}

}  // namespace wingslip::leader_election
