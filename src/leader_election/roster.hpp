// The fleet's roster: who is there, who left and who is missing. Cores without I/O: the record itself, and
// the duty that keeps it while this process holds it.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "leader_election/leader_election.hpp"

namespace wingslip::leader_election {

struct RosterRow {
  enum class State { here, draining, left, missing };
  State state = State::here;
  unsigned processes = 0;  // more than one in an upgrade
  std::string build;
  std::int64_t started = 0;  // Unix seconds, of the newest process
  std::uint64_t since = 0;   // the roster's version at which the state began
  bool operator==(const RosterRow&) const = default;
};
const char* nameOf(RosterRow::State state);

class Roster {
 public:
  static constexpr std::size_t kMostRows = 4096, kMostBytes = 400 * 1024;

  // The registrations as they are now. A name gone from them has left if it last drained. Whoever `spared`
  // says so of is kept as it was. True: something changed, and the version has risen.
  template <class Spared>
  bool update(const std::vector<Member>& members, Spared spared);
  const std::map<std::string, RosterRow>& rows() const { return rows_; }
  std::uint64_t version() const { return version_; }
  std::map<RosterRow::State, std::size_t> counts() const;

  // JSON; within kMostRows and kMostBytes: what left or is missing for longest falls out first.
  std::string text() const;
  static Roster parse(const std::string& text);  // throws std::runtime_error with one plain line

 private:
  static std::map<std::string, RosterRow> rowsOf(const std::vector<Member>& members);
  void trim();

  std::map<std::string, RosterRow> rows_;
  std::uint64_t version_ = 0;
};

template <class Spared>
bool Roster::update(const std::vector<Member>& members, Spared spared) {
  std::map<std::string, RosterRow> next = rowsOf(members);
  for (const auto& [name, before] : rows_) {
    const auto now = next.find(name);
    if (now != next.end()) {
      if (now->second.state == before.state) now->second.since = before.since;
      continue;
    }
    RosterRow row = before;
    const bool wasThere = row.processes > 0;
    if (wasThere && row.state != RosterRow::State::draining && spared(name)) {
      next[name] = row;
      continue;
    }
    if (wasThere) {
      row.state =
          row.state == RosterRow::State::draining ? RosterRow::State::left : RosterRow::State::missing;
      row.processes = 0, row.since = version_ + 1;
    }
    next[name] = row;
  }
  for (auto& [name, row] : next)
    if (row.since == 0) row.since = version_ + 1;
  if (next == rows_ && version_ > 0) return false;
  rows_ = std::move(next);
  ++version_;
  trim();
  return true;
}

// The duty: gathers changes of the registrations and writes the roster, at most once per `kGather`.
class RosterDuty : public Duty {
 public:
  static constexpr Time kGather = 500;
  // `grace`: a name gone without a word is missing only after this, since sessions that the store lost come
  // back within it.
  RosterDuty(LeaderElection& duties, std::string name, Time grace)
      : duties_(duties), name_(std::move(name)), grace_(grace) {}

  void begun(Time now, Token token, const std::string& data) override;
  void ended(Time now) override;
  void recorded(Time now, Token token, const std::string& holder, const std::string& data) override;
  void members(Time now, const std::vector<Member>& all) override;
  void tick(Time now);
  Time nextAt() const;

  // As last recorded by whoever holds the duty.
  const Roster& roster() const { return roster_; }
  Token token() const { return token_; }
  std::uint64_t unreadable() const { return unreadable_; }

 private:
  void take(const std::string& data, Roster& into);
  void look(Time now);

  LeaderElection& duties_;
  const std::string name_;
  const Time grace_;
  Roster roster_, kept_;  // kept_: the holder's, ahead of what is recorded
  Token token_ = 0;
  std::uint64_t unreadable_ = 0;
  bool holding_ = false, known_ = false, changed_ = false;
  std::vector<Member> members_;
  std::map<std::string, Time> goneAt_;  // names of kept_ that are in no registration
  Time writeAt_ = 0;
  bool due_ = false;
};

}  // namespace wingslip::leader_election
