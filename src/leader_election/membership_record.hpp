/// The membership record: the state of each gatekeeper of the fleet. The leader of the membership task writes
/// it, every gatekeeper reads it. In operators' calls and in the coordination store's keys, it is named
/// `roster`.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "leader_election/election_types.hpp"

namespace wingslip::leader_election {

/// State of a gatekeeper as derived from the registrations of its processes.
enum class MemberState {
  present,   ///< at least one process is registered and not draining
  draining,  ///< all registered processes are draining
  departed,  ///< no registration, and was draining before
  missing    ///< no registration, and was not draining before
};

/// Returns the state's name in the stored record, in operators' responses and in metrics. It must not change
/// when an enumerator is renamed.
[[nodiscard]] const char* stateName(MemberState state);

/// A gatekeeper in the record.
struct Member {
  MemberState state = MemberState::present;
  unsigned processes = 0;  ///< number of registered processes; more than one during an upgrade
  std::string build;
  std::int64_t startedUnixS = 0;   ///< start time of the newest process
  std::uint64_t sinceVersion = 0;  ///< version of the record in which the state was entered
  bool operator==(const Member&) const = default;
};

/// The members by name, with a version that increases with every change. Limited to `kMaxMembers` members and
/// `kMaxBytes` of text.
class MembershipRecord {
 public:
  static constexpr std::size_t kMaxMembers = 4096;
  static constexpr std::size_t kMaxBytes = 400 * 1024;  ///< the store limits a value to 512 KB

  /// Returns whether a member without a registration is still within its grace period, in which its state
  /// does not change.
  using InGracePeriod = std::function<bool(const std::string& name)>;

  /// Applies the current registrations. A member without one is departed if it was draining, else missing
  /// after its grace period. Returns whether the record changed, in which case its version has increased.
  bool update(const std::vector<Registration>& registrations, const InGracePeriod& inGracePeriod);

  [[nodiscard]] const std::map<std::string, Member>& members() const { return members_; }
  [[nodiscard]] std::uint64_t version() const { return version_; }
  /// Returns the number of members by state; states without members are omitted.
  [[nodiscard]] std::map<MemberState, std::size_t> counts() const;

  /// Returns the record as JSON. Other versions of the program read this format.
  [[nodiscard]] std::string text() const;
  /// Parses the JSON text of a record. Throws std::runtime_error with a one-line message if it is invalid.
  [[nodiscard]] static MembershipRecord parse(const std::string& text);

 private:
  static std::map<std::string, Member> groupByMember(const std::vector<Registration>& registrations);
  [[nodiscard]] Member unregisteredMember(const std::string& name, Member member,
                                          const InGracePeriod& inGracePeriod) const;
  void trim();

  std::map<std::string, Member> members_;
  std::uint64_t version_ = 0;
};

}  // namespace wingslip::leader_election
