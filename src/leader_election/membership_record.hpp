/// The membership record: which gatekeepers of the fleet are there, which left and which are missing. Written
/// by the leader of the membership task, read by every gatekeeper. Operators call it the roster, and so does
/// its text.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "leader_election/election_types.hpp"

namespace wingslip::leader_election {

enum class MemberState { here, draining, left, missing };

/// The word in the record, in operators' answers and in figures: it stays as it is.
[[nodiscard]] const char* operatorsNameOf(MemberState state);

struct Member {
  MemberState state = MemberState::here;
  unsigned processes = 0;  ///< more than one during an upgrade
  std::string build;
  std::int64_t startedUnixS = 0;   ///< of the newest process
  std::uint64_t sinceVersion = 0;  ///< the record's version at which the state began
  bool operator==(const Member&) const = default;
};

class MembershipRecord {
 public:
  static constexpr std::size_t kMaxMembers = 4096;
  static constexpr std::size_t kMaxBytes = 400 * 1024;  ///< the store takes 512 KB a value

  /// Whether a member that has no registration stays as it was for now.
  using InGracePeriod = std::function<bool(const std::string& name)>;

  /// Takes the registrations as they are now. A member without one has left if it last drained, else it is
  /// missing. Returns whether something changed, and so the version has risen.
  bool update(const std::vector<Registration>& registrations, const InGracePeriod& inGracePeriod);

  [[nodiscard]] const std::map<std::string, Member>& members() const { return members_; }
  [[nodiscard]] std::uint64_t version() const { return version_; }
  [[nodiscard]] std::map<MemberState, std::size_t> counts() const;

  /// JSON; other versions of the program read it.
  [[nodiscard]] std::string text() const;
  /// Throws std::runtime_error with one line.
  [[nodiscard]] static MembershipRecord parse(const std::string& text);

 private:
  static std::map<std::string, Member> membersOf(const std::vector<Registration>& registrations);
  [[nodiscard]] Member withoutRegistration(const std::string& name, Member member,
                                           const InGracePeriod& inGracePeriod) const;
  void trim();

  std::map<std::string, Member> members_;
  std::uint64_t version_ = 0;
};

}  // namespace wingslip::leader_election
