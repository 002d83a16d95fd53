#include "replication/replica.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>
#include <utility>
#include <vector>

namespace wingslip::replication {
namespace {

constexpr std::size_t kMembersTold = 16;  // in a message that is no answer to sync
constexpr unsigned kRepairsInRow = 8;     // while a comparison says that there is more
constexpr double kTellings = 3;           // times the logarithm of the members: each change is told so often
constexpr double kSuspicion = 3;          // likewise, in probes: how long a suspect may answer

std::uint64_t hashOf(const std::string& text, std::uint64_t seed = 0) {
  return XXH64(text.data(), text.size(), seed);
}

std::size_t bytesOf(const Row& row) {
  return row.table.size() + row.key.size() + row.value.size() + row.stamp.origin.size() + 32;
}

}  // namespace

Replica::Replica(const Timing& timing, const std::string& fleet, const MemberRow& self,
                 const std::map<std::string, std::string>& peers, std::uint64_t seed, Outside& outside)
    : timing_(timing), fleet_(fleet), self_(self), peers_(peers), outside_(outside), random_(seed) {}

void Replica::restore(const std::vector<MemberRow>& members, const std::vector<Row>& rows) {
  for (const MemberRow& m : members)
    if (m.name != self_.name && members_.size() < kMostMembers) members_[m.name].row = m;
  for (const Row& row : rows) {
    clock_.hear(row.stamp);
    rows_[{row.table, row.key}] = {row, 0};
  }
  trim();
  for (const auto& [key, held] : rows_) outside_.changed(held.row);
}

void Replica::start(Time now) {
  started_ = true;
  selfTellings_ = tellings();
  const auto chance = [&](Time most) { return std::uniform_real_distribution<Time>(0, most)(random_); };
  findAt_ = now + chance(timing_.gossipEvery);
  probeAt_ = now + chance(timing_.probeEvery);
  repairAt_ = now + chance(timing_.probeEvery);
  gossipAt_ = now;
  tick(now);
}

// --- Who is there ----------------------------------------------------------------------------------------

std::size_t Replica::alive() const {
  return static_cast<std::size_t>(std::count_if(members_.begin(), members_.end(), [](const auto& m) {
    return m.second.row.health <= Health::suspect;
  }));
}

unsigned Replica::tellings() const {
  return static_cast<unsigned>(std::ceil(kTellings * std::log2(static_cast<double>(alive()) + 2)));
}

Time Replica::suspicion() const {
  return timing_.probeEvery * kSuspicion * std::ceil(std::log2(static_cast<double>(alive()) + 2));
}

std::string Replica::addressOf(const std::string& name) const {
  if (const auto peer = peers_.find(name); peer != peers_.end()) return peer->second;
  const auto member = members_.find(name);
  return member == members_.end() ? "" : member->second.row.address;
}

std::vector<std::string> Replica::some(std::size_t n, const std::string& but) {
  std::vector<std::string> out;
  for (const auto& [name, m] : members_)
    if (m.row.health <= Health::suspect && name != but) out.push_back(name);
  std::shuffle(out.begin(), out.end(), random_);
  if (out.size() > n) out.resize(n);
  return out;
}

void Replica::refute(std::uint64_t incarnation) {
  self_.incarnation = incarnation + 1;
  selfTellings_ = tellings();
  ++counts_.refuted;
}

void Replica::mergeMember(Time now, const MemberRow& row) {
  if (row.name == self_.name) {
    if (row.generation > self_.generation) {
      if (!std::exchange(superseded_, true))
        outside_.told("another process of " + self_.name + " has taken over the name");
    } else if (row.generation == self_.generation && row.health != Health::alive &&
               row.incarnation >= self_.incarnation && !left_) {
      refute(row.incarnation);
    }
    return;
  }
  const auto found = members_.find(row.name);
  if (found != members_.end() && !newer(row, found->second.row)) return;
  if (found == members_.end() && members_.size() >= kMostMembers) {
    // One that is gone makes room, the oldest first; else the newcomer is not taken.
    auto worst = members_.end();
    for (auto at = members_.begin(); at != members_.end(); ++at)
      if (at->second.row.health >= Health::dead &&
          (worst == members_.end() || at->second.since < worst->second.since))
        worst = at;
    if (worst == members_.end()) return;
    members_.erase(worst);
  }
  const bool wasThere = found != members_.end() && found->second.row.health <= Health::suspect;
  const bool changes = found == members_.end() || found->second.row.health != row.health;
  Member& m = members_[row.name];
  m.row = row;
  if (changes) m.since = now;
  m.tellings = tellings();
  if (wasThere && row.health == Health::dead) ++counts_.deaths;
  if (changes) outside_.told("member " + row.name + " is " + nameOf(row.health));
}

void Replica::suspect(Time now, const std::string& name) {
  const auto found = members_.find(name);
  if (found == members_.end() || found->second.row.health != Health::alive) return;
  ++counts_.suspicions;
  MemberRow row = found->second.row;
  row.health = Health::suspect;
  mergeMember(now, row);
}

// Suspects whose time is over.
void Replica::bury(Time now) {
  std::vector<MemberRow> dead;
  const Time within = suspicion();
  for (const auto& [name, m] : members_)
    if (m.row.health == Health::suspect && now >= m.since + within) dead.push_back(m.row);
  for (MemberRow& row : dead) {
    row.health = Health::dead;
    mergeMember(now, row);
  }
}

// --- Messages --------------------------------------------------------------------------------------------

// With news as far as it goes: what has been told least often first.
Message Replica::compose(Kind kind, const std::string& to) {
  Message out;
  out.fleet = fleet_, out.kind = kind, out.self = self_;
  if (selfTellings_ > 0) --selfTellings_;
  std::vector<Member*> news;
  for (auto& [name, m] : members_)
    if (m.tellings > 0 || (name == to && m.row.health != Health::alive)) news.push_back(&m);
  std::sort(news.begin(), news.end(), [&](const Member* a, const Member* b) {
    return std::tuple(a->row.name != to, b->tellings) < std::tuple(b->row.name != to, a->tellings);
  });
  for (Member* m : news) {
    if (out.members.size() >= kMembersTold) break;
    out.members.push_back(m->row);
    if (m->tellings > 0) --m->tellings;
  }
  std::vector<Held*> rows;
  for (auto& [key, held] : rows_)
    if (held.tellings > 0) rows.push_back(&held);
  std::sort(rows.begin(), rows.end(), [](const Held* a, const Held* b) { return a->tellings > b->tellings; });
  std::size_t bytes = 0;
  for (Held* held : rows) {
    bytes += bytesOf(held->row);
    if (bytes > kMostRowBytes) break;
    out.rows.push_back(held->row);
    --held->tellings;
  }
  return out;
}

void Replica::send(Time, const std::string& to, Kind kind, const std::string& target) {
  Message message = compose(kind, to);
  message.target = target;
  if (kind == Kind::sync) message.digest = digest();
  sendMessage(to, std::move(message));
}

void Replica::sendMessage(const std::string& to, Message&& message) {
  if (superseded_) return;
  Send out;
  out.id = ++lastSend_, out.name = to, out.address = addressOf(to);
  out.within = message.kind == Kind::sync || message.kind == Kind::push ? 2 * timing_.probeEvery
                                                                        : timing_.answerWithin();
  if (out.address.empty()) return;
  out_[out.id] = {to, message.kind, message.target};
  out.message = std::move(message);
  ++counts_.sent;
  outside_.send(out);
}

void Replica::hear(Time now, const Message& m) {
  ++counts_.received;
  mergeMember(now, m.self);
  for (const MemberRow& row : m.members) mergeMember(now, row);
  for (const Row& row : m.rows) mergeRow(row, false);
}

std::optional<Message> Replica::received(Time now, const Message& m) {
  if (!started_ || left_ || m.fleet != fleet_ || m.self.name == self_.name) {
    ++counts_.refusedOther;
    return std::nullopt;
  }
  const auto known = members_.find(m.self.name);
  if (known != members_.end() && m.self.generation < known->second.row.generation) {
    ++counts_.refusedOld;
    return std::nullopt;
  }
  hear(now, m);
  if (m.kind == Kind::reach && members_.contains(m.target)) {
    reaching_[m.target] = m.self.name;
    send(now, m.target, Kind::ping, m.target);
  }
  if (m.kind == Kind::vouch && m.target == probed_) probeAnswered_ = true;
  Message answer = compose(m.kind, m.self.name);
  if (m.kind == Kind::sync) answerSync(m, answer);
  return answer;
}

void Replica::answered(Time now, std::uint64_t id, const std::optional<Message>& answer) {
  const auto found = out_.find(id);
  if (found == out_.end()) return;
  const Out out = found->second;
  out_.erase(found);
  if (!started_ || left_) return;
  const auto known = members_.find(out.to);
  const bool heard = answer && answer->fleet == fleet_ && answer->self.name == out.to &&
                     (known == members_.end() || answer->self.generation >= known->second.row.generation);
  if (answer && !heard) ++(answer->fleet == fleet_ ? counts_.refusedOld : counts_.refusedOther);
  if (!heard) {
    ++counts_.failed;
    if (out.kind == Kind::ping && out.to == probed_ && !probeAnswered_ && out.target.empty())
      for (const std::string& name : some(timing_.indirect, out.to)) send(now, name, Kind::reach, out.to);
    return tick(now);
  }
  hear(now, *answer);
  if (out.kind == Kind::ping) {
    if (out.to == probed_) probeAnswered_ = true;
    if (const auto asked = reaching_.find(out.to); asked != reaching_.end()) {
      const std::string who = asked->second;
      reaching_.erase(asked);
      send(now, who, Kind::vouch, out.to);
    }
  }
  if (out.kind == Kind::sync) {
    lastRepair_ = now;
    if (answer->differ.empty()) {
      caughtUp_ = true, repairsInRow_ = 0;
    } else {
      ++counts_.repaired;
      Message push = compose(Kind::push, out.to);
      takeRange(answer->differ, push);
      const bool moreToPush = push.more;
      sendMessage(out.to, std::move(push));
      if (!answer->more) caughtUp_ = true;
      if ((answer->more || moreToPush) && ++repairsInRow_ < kRepairsInRow)
        repair(now, out.to);
      else
        repairsInRow_ = 0;
    }
  }
  tick(now);
}

// --- Tables ----------------------------------------------------------------------------------------------

bool Replica::mergeRow(const Row& row, bool own) {
  if (row.stamp.ms > outside_.unixMs() + kMostAhead) {
    ++counts_.refusedRows;
    return false;
  }
  const Key key{row.table, row.key};
  const auto found = rows_.find(key);
  if (found != rows_.end() && found->second.row.stamp >= row.stamp) return false;
  clock_.hear(row.stamp);
  rows_[key] = {row, tellings()};
  if (rows_.size() > kMostRows) dropOldest();
  if (!rows_.contains(key)) return false;
  if (!own) {
    ++counts_.merged;
    outside_.changed(row);
  }
  return true;
}

// The newest kMostRows stay: the same of all copies, whatever the order in which rows came.
void Replica::dropOldest() {
  rows_.erase(std::min_element(rows_.begin(), rows_.end(), [](const auto& a, const auto& b) {
    return a.second.row.stamp < b.second.row.stamp;
  }));
}

// The same where many are too many: one sort instead of a walk for each.
void Replica::trim() {
  if (rows_.size() <= kMostRows) return;
  using At = std::map<Key, Held>::iterator;
  std::vector<At> oldest;
  for (At at = rows_.begin(); at != rows_.end(); ++at) oldest.push_back(at);
  std::stable_sort(oldest.begin(), oldest.end(),
                   [](const At& a, const At& b) { return a->second.row.stamp < b->second.row.stamp; });
  oldest.resize(rows_.size() - kMostRows);
  for (const At& at : oldest) rows_.erase(at);
}

void Replica::set(Time now, const std::string& table, const std::string& key, const std::string& value) {
  mergeRow({table, key, value, clock_.next(outside_.unixMs(), self_.name), false}, true);
  tick(now);
}

void Replica::remove(Time now, const std::string& table, const std::string& key) {
  mergeRow({table, key, "", clock_.next(outside_.unixMs(), self_.name), true}, true);
  tick(now);
}

const Row* Replica::find(const std::string& table, const std::string& key) const {
  const auto found = rows_.find({table, key});
  return found == rows_.end() ? nullptr : &found->second.row;
}

std::vector<Row> Replica::rows() const {
  std::vector<Row> out;
  for (const auto& [key, held] : rows_) out.push_back(held.row);
  return out;
}

unsigned Replica::rangeOf(const Row& row) {
  return static_cast<unsigned>(hashOf(row.key, hashOf(row.table)) % kRanges);
}

// The sum of hashes, so that the order is nothing and a change of one row a small step.
std::vector<std::uint64_t> Replica::digest() const {
  std::vector<std::uint64_t> out(kRanges + 1);
  for (const auto& [key, held] : rows_) {
    const Row& r = held.row;
    out[rangeOf(r)] += hashOf(r.table + '\n' + r.key + '\n' + std::to_string(r.stamp.ms) + '\n' +
                              std::to_string(r.stamp.count) + '\n' + r.stamp.origin);
  }
  const auto add = [&](const MemberRow& m) {
    if (m.health <= Health::suspect) out[kRanges] += hashOf(m.name + '\n' + std::to_string(m.generation));
  };
  add(self_);
  for (const auto& [name, m] : members_) add(m.row);
  return out;
}

void Replica::answerSync(const Message& asked, Message& answer) {
  const std::vector<std::uint64_t> mine = digest();
  if (asked.digest.size() != mine.size()) return;
  for (unsigned i = 0; i < mine.size(); ++i)
    if (mine[i] != asked.digest[i]) answer.differ.push_back(i);
  takeRange(answer.differ, answer);
}

// The rows of these ranges, as many as a message holds, from a place by chance so that all come in the end.
void Replica::takeRange(const std::vector<unsigned>& ranges, Message& into) {
  const std::set<unsigned> wanted(ranges.begin(), ranges.end());
  if (wanted.contains(kRanges)) {
    into.members.clear();
    for (const auto& [name, m] : members_) into.members.push_back(m.row);
  }
  std::vector<const Row*> all;
  for (const auto& [key, held] : rows_)
    if (wanted.contains(rangeOf(held.row))) all.push_back(&held.row);
  if (all.empty()) return;
  std::rotate(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(random_() % all.size()), all.end());
  std::size_t bytes = 0;
  for (const Row* row : all) {
    bytes += bytesOf(*row);
    if (bytes > kMostRowBytes) {
      into.more = true;
      break;
    }
    into.rows.push_back(*row);
  }
}

// --- Time ------------------------------------------------------------------------------------------------

void Replica::probe(Time now) {
  if (!probed_.empty() && !probeAnswered_) suspect(now, probed_);
  probed_.clear();
  while (!order_.empty()) {
    const std::string next = order_.back();
    order_.pop_back();
    const auto found = members_.find(next);
    if (found == members_.end() || found->second.row.health > Health::suspect) continue;
    probed_ = next, probeAnswered_ = false;
    return send(now, next, Kind::ping);
  }
  order_ = some(members_.size());
}

bool Replica::news() const {
  return selfTellings_ > 0 ||
         std::any_of(members_.begin(), members_.end(), [](const auto& m) { return m.second.tellings > 0; }) ||
         std::any_of(rows_.begin(), rows_.end(), [](const auto& r) { return r.second.tellings > 0; });
}

void Replica::gossip(Time now) {
  for (const std::string& name : some(timing_.fanout)) send(now, name, Kind::gossip);
}

void Replica::repair(Time now, const std::string& with) { send(now, with, Kind::sync); }

// Named peers that are not known, and members thought dead, one by chance: two halves find each other again.
void Replica::findSomebody(Time now) {
  std::vector<std::string> lost;
  for (const auto& [name, address] : peers_)
    if (name != self_.name && !members_.contains(name)) lost.push_back(name);
  for (const auto& [name, m] : members_)
    if (m.row.health == Health::dead) lost.push_back(name);
  if (!lost.empty()) send(now, lost[random_() % lost.size()], Kind::sync);
}

void Replica::tick(Time now) {
  if (!started_ || left_ || superseded_) return;
  bury(now);
  if (now >= findAt_) {
    // Often while nobody is known; then seldom, since it is for those who were lost.
    findAt_ = now + timing_.probeEvery * (alive() == 0 ? 1 : 3) *
                        std::uniform_real_distribution<Time>(0.5, 1.5)(random_);
    findSomebody(now);
  }
  if (now >= probeAt_) {
    probeAt_ = now + timing_.probeEvery;
    probe(now);
  }
  if (now >= repairAt_) {
    // Until this copy has been equal to another's once: as often as probes.
    repairAt_ = now + (caughtUp_ ? timing_.repairEvery : timing_.probeEvery) *
                          std::uniform_real_distribution<Time>(0.8, 1.2)(random_);
    repairsInRow_ = 0;
    for (const std::string& name : some(1)) repair(now, name);
  }
  if (now >= gossipAt_ && news()) {
    gossipAt_ = now + timing_.gossipEvery;
    gossip(now);
  }
}

Time Replica::nextAt() const {
  if (!started_ || left_ || superseded_) return std::numeric_limits<Time>::infinity();
  Time at = std::min({probeAt_, repairAt_, findAt_});
  if (news() && alive() > 0) at = std::min(at, gossipAt_);
  return at;
}

void Replica::leave(Time now) {
  if (!started_ || left_) return;
  ++self_.incarnation;
  self_.health = Health::left;
  selfTellings_ = 1;
  gossip(now);
  left_ = true;
}

}  // namespace wingslip::replication
