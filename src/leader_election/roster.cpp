#include "leader_election/roster.hpp"

#include <algorithm>
#include <array>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>
#include <string_view>
#include <utility>
#include <vector>

namespace wingslip::leader_election {
namespace {

using nlohmann::json;
using RowState = RosterRow::State;

constexpr std::array<const char*, 4> kStates{"here", "draining", "left", "missing"};
constexpr std::size_t kRowBytes = 96;  // of a row's text without its name and build, at most

RowState stateOf(const std::string& name) {
  const auto found = std::find(kStates.begin(), kStates.end(), name);
  if (found == kStates.end()) throw std::runtime_error("roster: no state " + name.substr(0, 40));
  return static_cast<RowState>(found - kStates.begin());
}

}  // namespace

const char* nameOf(RowState state) { return kStates[static_cast<std::size_t>(state)]; }

std::map<std::string, RosterRow> Roster::rowsOf(const std::vector<Member>& members) {
  std::map<std::string, RosterRow> out;
  for (const Member& m : members) {
    RosterRow& row = out[m.name];
    // Of two processes in an upgrade the one that stays counts.
    if (++row.processes == 1 || m.started > row.started) row.build = m.build, row.started = m.started;
    if (row.processes == 1)
      row.state = m.draining ? RowState::draining : RowState::here;
    else if (!m.draining)
      row.state = RowState::here;
  }
  return out;
}

void Roster::trim() {
  std::size_t bytes = 0;
  for (const auto& [name, row] : rows_) bytes += name.size() + row.build.size() + kRowBytes;
  if (rows_.size() <= kMostRows && bytes <= kMostBytes) return;
  using At = std::map<std::string, RosterRow>::iterator;
  std::vector<At> order;
  for (At at = rows_.begin(); at != rows_.end(); ++at) order.push_back(at);
  // Those who are there fall out last.
  std::stable_sort(order.begin(), order.end(), [](const At& a, const At& b) {
    const bool aThere = a->second.processes > 0, bThere = b->second.processes > 0;
    return aThere != bThere ? bThere : a->second.since < b->second.since;
  });
  for (const At& worst : order) {
    if (rows_.size() <= kMostRows && bytes <= kMostBytes) return;
    bytes -= worst->first.size() + worst->second.build.size() + kRowBytes;
    rows_.erase(worst);
  }
}

std::map<RowState, std::size_t> Roster::counts() const {
  std::map<RowState, std::size_t> out;
  for (const auto& [name, row] : rows_) ++out[row.state];
  return out;
}

std::string Roster::text() const {
  json rows = json::object();
  for (const auto& [name, row] : rows_)
    rows[name] = {kStates[static_cast<std::size_t>(row.state)], row.processes, row.build, row.started,
                  row.since};
  return json{{"version", version_}, {"rows", rows}}.dump(-1, ' ', false, json::error_handler_t::replace);
}

Roster Roster::parse(const std::string& text) {
  try {
    const json j = json::parse(text);
    Roster out;
    out.version_ = j.at("version").get<std::uint64_t>();
    for (const auto& [name, row] : j.at("rows").items())
      out.rows_[name] = {stateOf(row.at(0).get<std::string>()), row.at(1).get<unsigned>(),
                         row.at(2).get<std::string>(), row.at(3).get<std::int64_t>(),
                         row.at(4).get<std::uint64_t>()};
    out.trim();
    return out;
  } catch (const json::exception& error) {
    throw std::runtime_error(std::string("roster: ") + error.what());
  }
}

// --- The duty --------------------------------------------------------------------------------------------

void RosterDuty::take(const std::string& data, Roster& into) {
  if (data.empty()) return;
  try {
    into = Roster::parse(data);
  } catch (const std::runtime_error&) {
    ++unreadable_;  // a holder writes it anew
  }
}

void RosterDuty::begun(Time now, Token token, const std::string& data) {
  holding_ = true, known_ = due_ = changed_ = false;
  token_ = token;
  kept_ = {};
  take(data, kept_);
  goneAt_.clear();
  writeAt_ = now;
}

void RosterDuty::ended(Time) { holding_ = known_ = due_ = false; }

void RosterDuty::recorded(Time, Token token, const std::string&, const std::string& data) {
  token_ = token;
  take(data, roster_);
}

void RosterDuty::members(Time now, const std::vector<Member>& all) {
  members_ = all;
  known_ = true;
  if (!due_) due_ = true, writeAt_ = std::max(writeAt_, now + kGather);
  std::set<std::string_view> there;
  for (const Member& m : all) there.insert(m.name);
  std::map<std::string, Time> gone;
  for (const auto& [name, row] : kept_.rows()) {
    if (row.processes == 0 || there.contains(name)) continue;
    const auto before = goneAt_.find(name);
    gone[name] = before == goneAt_.end() ? now : before->second;
  }
  goneAt_ = std::move(gone);
  look(now);
}

// At every change, so that a state is seen however short it was; written when it is due.
void RosterDuty::look(Time now) {
  changed_ |= kept_.update(members_, [&](const std::string& name) {
    const auto gone = goneAt_.find(name);
    return gone != goneAt_.end() && now < gone->second + grace_;
  });
}

void RosterDuty::tick(Time now) {
  if (!holding_ || !known_ || !due_ || now < writeAt_) return;
  due_ = false;
  look(now);
  if (std::exchange(changed_, false)) duties_.write(now, name_, kept_.text());
  // Those spared are looked at again when their time is over.
  std::erase_if(goneAt_, [&](const auto& item) {
    const auto row = kept_.rows().find(item.first);
    return row == kept_.rows().end() || row->second.processes == 0;
  });
  writeAt_ = now + kGather;
  for (const auto& [name, at] : goneAt_)
    if (!due_ || at + grace_ < writeAt_) due_ = true, writeAt_ = std::max(now + kGather, at + grace_);
}

Time RosterDuty::nextAt() const {
  return holding_ && known_ && due_ ? writeAt_ : std::numeric_limits<Time>::infinity();
}

}  // namespace wingslip::leader_election
