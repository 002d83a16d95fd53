#include "leader_election/leader_election.hpp"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace wingslip::leader_election {
namespace {

using nlohmann::json;

constexpr Time kNever = std::numeric_limits<Time>::infinity();
constexpr Time kBackoffFirst = 100;
constexpr std::size_t kMostName = 128;

Time doubled(Time& backoff, Time first, Time most) {
  backoff = std::min(most, std::max(first, 2 * backoff));
  return backoff;
}

}  // namespace

Timing timingFor(Time ttl, Time lockDelay, unsigned candidates) {
  Timing out;
  out.ttl = ttl, out.lockDelay = lockDelay, out.candidates = candidates;
  out.callWithin = std::min(1000.0, ttl / 5);
  out.blockFor = std::clamp(2 * ttl, 2000.0, 30000.0);
  return out;
}

const char* nameOf(State state) {
  static constexpr const char* kNames[] = {"standby", "waiting",   "acquiring", "proving",
                                           "holding", "uncertain", "releasing", "resting"};
  return kNames[static_cast<std::size_t>(state)];
}

std::string memberText(const Member& m) {
  return json{{"name", m.name},       {"instance", m.instance}, {"build", m.build},
              {"started", m.started}, {"draining", m.draining}, {"seen", m.seen}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

Member parseMember(const std::string& text) {
  try {
    const json j = json::parse(text);
    Member m;
    m.name = j.at("name").get<std::string>();
    m.instance = j.at("instance").get<std::string>();
    m.build = j.value("build", "");
    m.started = j.value("started", std::int64_t{0});
    m.draining = j.at("draining").get<bool>();
    m.seen = j.value("seen", std::map<std::string, Token>{});
    if (m.name.empty() || m.name.size() > kMostName || m.instance.size() > kMostName ||
        m.build.size() > kMostName)
      throw std::runtime_error("a name that is empty or too long");
    return m;
  } catch (const json::exception& error) {
    throw std::runtime_error(std::string("registration: ") + error.what());
  }
}

LeaderElection::LeaderElection(const Timing& timing, const Self& self, std::uint64_t seed, Outside& outside)
    : timing_(timing), self_(self), outside_(outside), random_(seed) {}

void LeaderElection::add(const std::string& name, Duty& duty) {
  Held held;
  held.name = name, held.work = &duty;
  duties_.push_back(std::move(held));
}

void LeaderElection::start(Time now) {
  started_ = true;
  sessionAt_ = now + chance(timing_.spread());
  for (Held& d : duties_) d.since = now, d.watchAt = sessionAt_;
  tick(now);
}

// --- Asks ------------------------------------------------------------------------------------------------

std::uint64_t LeaderElection::send(Time now, Ask ask, For what, std::size_t duty) {
  ask.id = ++lastAsk_;
  ask.within = timing_.callWithin;
  if (ask.call == Call::read && ask.index > 0) {
    ask.blockFor = timing_.blockFor;
    ask.within += timing_.blockFor * 1.1;  // the store adds up to a sixteenth
  }
  pending_[ask.id] = {what, duty, now};
  outside_.ask(ask);
  return ask.id;
}

void LeaderElection::ask(Time now, Held& d, Step step, Ask ask) {
  d.doing = step;
  d.step = send(now, std::move(ask), For::step, indexOf(d));
}

void LeaderElection::drop(std::uint64_t& id) {
  if (id == 0) return;
  pending_.erase(id);
  outside_.drop(std::exchange(id, 0));
}

Time LeaderElection::chance(Time most) { return std::uniform_real_distribution<Time>(0, most)(random_); }

std::string LeaderElection::key(const Held& d, const char* what) const {
  return self_.prefix + "/duties/" + d.name + "/" + what;
}

void LeaderElection::replied(Time now, std::uint64_t id, const Reply& reply) {
  const auto found = pending_.find(id);
  if (found == pending_.end()) return;
  const Pending pending = found->second;
  pending_.erase(found);
  if (!reply.ok) ++counts_.callsFailed;
  Held* d = pending.duty < duties_.size() ? &duties_[pending.duty] : nullptr;
  switch (pending.what) {
    case For::session:
      if (id == std::exchange(sessionAsk_, 0)) onSession(now, reply, pending.sent);
      break;
    case For::member:
      if (id == std::exchange(memberAsk_, 0)) onMember(now, reply);
      break;
    case For::watch:
      if (d->watch != id) break;
      d->watch = 0;
      onWatch(now, *d, reply, pending.sent);
      break;
    case For::members:
      if (d->membersAsk != id) break;
      d->membersAsk = 0;
      onMembers(now, *d, reply);
      break;
    case For::step:
      if (d->step != id) break;
      d->step = 0;
      onStep(now, *d, reply);
      break;
    case For::end:
      break;
  }
  tick(now);
}

// --- The session and the registration --------------------------------------------------------------------

void LeaderElection::onSession(Time now, const Reply& reply, Time sent) {
  const Time most = alive_ ? timing_.ttl / 6 : std::max(timing_.ttl, 2 * timing_.spread());
  const Time retry = chance(doubled(sessionBackoff_, kBackoffFirst, most));
  if (!alive_) {
    sessionAt_ = now + std::max(kBackoffFirst, retry);
    if (!reply.ok || reply.session.empty()) return;
    session_ = reply.session;
    alive_ = true, dirty_ = true;
    createdAt_ = renewedAt_ = sent;
    memberAt_ = now;
  } else if (!reply.ok) {
    ++counts_.renewalsFailed;
    sessionAt_ = now + std::max(kBackoffFirst / 2, retry);
    return;
  } else if (!reply.yes) {
    return sessionLost(now);
  } else {
    renewedAt_ = sent;
  }
  sessionBackoff_ = 0;
  sessionAt_ = sent + timing_.ttl / 3 * (0.9 + chance(0.1));
  for (Held& d : duties_)
    if (d.state == State::standby || d.state == State::uncertain) look(now, d);
}

// The lease of a holder ran out. Its renewals may still come in and only their answers be lost: renewed for
// ever, the lock would be held by one that may not act. So the session is asked to end, and renewed no more.
void LeaderElection::abandonSession(Time now) {
  Ask end;
  end.call = Call::destroySession, end.session = session_;
  send(now, std::move(end), For::end);
  drop(sessionAsk_);
  drop(memberAsk_);
  alive_ = false;
  dirty_ = true;
  session_.clear();
  sessionAt_ = now + chance(timing_.spread());
}

void LeaderElection::sessionLost(Time now) {
  ++counts_.sessionsLost;
  alive_ = false;
  session_.clear();
  sessionAt_ = now + chance(timing_.spread());
  for (Held& d : duties_) {
    if (d.state == State::releasing)
      rest(now, d);
    else if (d.state != State::standby && d.state != State::resting)
      lose(now, d, "the session ended");
  }
}

std::string LeaderElection::registration() const {
  Member m{self_.name, self_.instance, self_.build, self_.started, draining_, {}};
  for (const Held& d : duties_)
    if (d.seen > 0) m.seen[d.name] = d.seen;
  return memberText(m);
}

void LeaderElection::onMember(Time now, const Reply& reply) {
  if (reply.ok && reply.yes) return;
  dirty_ = true;
  memberAt_ = now + std::max(kBackoffFirst, chance(timing_.ttl / 6));
}

std::vector<Member> LeaderElection::membersOf(const std::vector<Entry>& entries) {
  std::vector<Member> out;
  for (const Entry& entry : entries) {
    if (entry.session.empty()) continue;  // left behind; nobody is behind it
    try {
      out.push_back(parseMember(entry.value));
    } catch (const std::runtime_error&) {
      ++counts_.malformed;
    }
  }
  return out;
}

// --- What the store tells of a duty ----------------------------------------------------------------------

const Entry* LeaderElection::entryOf(const std::vector<Entry>& entries, const std::string& name) const {
  const auto found =
      std::find_if(entries.begin(), entries.end(), [&](const Entry& e) { return e.key == name; });
  return found == entries.end() ? nullptr : &*found;
}

LeaderElection::Record LeaderElection::recordOf(const Held& d, const std::vector<Entry>& entries) {
  Record out;
  const Entry* entry = entryOf(entries, key(d, "record"));
  if (!entry) return out;
  out.there = true, out.index = entry->index;
  try {
    const json j = json::parse(entry->value);
    out.token = j.at("token").get<Token>();
    out.holder = j.at("holder").get<std::string>();
    out.data = j.at("data").get<std::string>();
    out.readable = true;
  } catch (const json::exception&) {
    ++counts_.malformed;
    out.token = 0;
  }
  return out;
}

void LeaderElection::see(Time now, Held& d, const Record& record) {
  if (!record.there && d.seen > 0) {
    if (!std::exchange(d.gone, true)) goneBack(now, d.name + ": its record is gone");
    return;
  }
  if (!record.readable) return;
  if (record.token < d.seen) {
    const std::string what = record.holder + "/" + std::to_string(record.token);
    if (what == d.refused) return;
    d.refused = what;
    ++counts_.staleRecords;
    outside_.told(d.name + ": a record under token " + std::to_string(record.token) + " of " + record.holder +
                  " is refused: " + std::to_string(d.seen) + " was seen");
    return goneBack(now, d.name + ": its record is older than one seen");
  }
  if (record.token > d.seen) d.seen = record.token, dirty_ = true;
  d.refused.clear(), d.gone = false;
  d.data = record.data;
  d.work->recorded(now, record.token, record.holder, record.data);
}

// The store may have forgotten tokens: everybody registers what it has seen, and nobody claims for a TTL.
void LeaderElection::goneBack(Time now, const std::string& what) {
  dirty_ = true, memberAt_ = now;
  if (now < quietUntil_) return;
  ++counts_.wentBack;
  quietUntil_ = now + timing_.ttl;
  outside_.told("the store went back: " + what);
}

void LeaderElection::onWatch(Time now, Held& d, const Reply& reply, Time sent) {
  if (!reply.ok || reply.index == 0) {
    const Time most = std::max(timing_.ttl, 2 * timing_.spread());
    d.watchAt = now + std::max(kBackoffFirst, chance(doubled(d.watchBackoff, kBackoffFirst, most)));
    d.watchIndex = 0;
    return failed(d, "the store does not answer");
  }
  d.watchBackoff = 0;
  d.watchAt = now;
  if (reply.index < d.watchIndex) goneBack(now, d.name + ": its index fell");
  d.watchIndex = reply.index;
  const Entry* lock = entryOf(reply.entries, key(d, "lock"));
  d.lockSession = lock ? lock->session : "";
  d.holder = lock && !lock->session.empty() ? lock->value : "";
  const Record record = recordOf(d, reply.entries);
  see(now, d, record);
  const bool mine = alive_ && d.lockSession == session_;
  switch (d.state) {
    case State::standby:
    case State::resting:
    case State::uncertain:
      look(now, d);
      break;
    case State::waiting:
      if (mine || !d.lockSession.empty()) look(now, d);
      break;
    case State::acquiring:
      break;  // its answer tells, or the next look
    case State::proving:
    case State::holding:
      if (mine) break;
      // Told before the lock was ours? Then it is looked at anew.
      if (d.lockSession.empty() && sent < d.acquiredAt)
        d.watchIndex = 0;
      else
        lose(now, d, "the lock is another's");
      break;
    case State::releasing:
      break;
  }
}

void LeaderElection::look(Time now, Held& d) {
  if (d.state == State::resting && now < d.at) return;
  if (draining_ || !alive_ || d.watchIndex == 0) {
    if (!draining_ && d.state != State::standby) setState(now, d, State::standby);
    return;
  }
  if (d.lockSession == session_) {
    setState(now, d, State::proving);
    d.acquiredAt = d.at = now;
  } else if (d.lockSession.empty()) {
    d.backoff = 0;
    wait(now, d, timing_.spread());
  } else if (d.state != State::standby) {
    setState(now, d, State::standby);
  }
}

void LeaderElection::wait(Time now, Held& d, Time most) {
  if (d.state != State::waiting) setState(now, d, State::waiting);
  d.at = now + chance(most);
}

void LeaderElection::setState(Time now, Held& d, State state) {
  d.state = state, d.since = now;
  if (state != State::holding) drop(d.membersAsk);
}

void LeaderElection::lookAnew(Time now, Held& d) {
  drop(d.watch);
  d.watchIndex = 0, d.watchAt = now;
}

void LeaderElection::rest(Time now, Held& d) {
  setState(now, d, State::resting);
  lookAnew(now, d);
  d.at = d.backToRest ? now + 2 * timing_.ttl : kNever;
}

// --- Holding ---------------------------------------------------------------------------------------------

void LeaderElection::begin(Time now, Held& d) {
  d.token = d.claim;
  if (d.token > d.seen) d.seen = d.token, dirty_ = true;
  ++counts_.acquired;
  setState(now, d, State::holding);
  d.writes = false;
  d.membersIndex = 0, d.membersAt = now;
  d.holder = self_.name;
  outside_.told(d.name + ": held from now on, token " + std::to_string(d.token));
  d.work->begun(now, d.token, d.data);
}

void LeaderElection::stopActs(Time now, Held& d, State next) {
  const bool held = d.state == State::holding;
  setState(now, d, next);
  d.writes = false;
  d.claim = 0;  // whoever begins again does so under a new token
  if (d.doing != Step::act) d.step = 0, d.doing = Step::none;
  if (held) {
    outside_.told(d.name + ": not held any more, now " + std::string(nameOf(next)));
    d.work->ended(now);
  }
}

void LeaderElection::lose(Time now, Held& d, const std::string& why) {
  if (d.state == State::holding) ++counts_.lost;
  failed(d, why);
  d.step = 0, d.doing = Step::none;
  stopActs(now, d, draining_ ? State::resting : State::standby);
  if (draining_) d.at = kNever;
  lookAnew(now, d);
}

void LeaderElection::failed(Held& d, const std::string& what) { d.lastError = what; }

bool LeaderElection::mayAct(Time now, const std::string& name) const {
  return std::any_of(duties_.begin(), duties_.end(), [&](const Held& d) {
    return d.name == name && d.state == State::holding && leased(now);
  });
}

bool LeaderElection::write(Time now, const std::string& name, const std::string& data) {
  for (Held& d : duties_) {
    if (d.name != name || d.state != State::holding) continue;
    if (!d.writes && d.doing != Step::act) d.writesSince = now;
    d.writes = true, d.next = data;
    tick(now);
    return true;
  }
  return false;
}

void LeaderElection::onMembers(Time now, Held& d, const Reply& reply) {
  if (d.state != State::holding) return;
  if (!reply.ok || reply.index == 0) {
    d.membersIndex = 0;
    d.membersAt = now + std::max(kBackoffFirst, chance(timing_.ttl / 3));
    return;
  }
  d.membersIndex = reply.index < d.membersIndex ? 0 : reply.index;
  d.membersAt = now;
  const std::vector<Member> all = membersOf(reply.entries);
  for (const Member& m : all) {
    const auto seen = m.seen.find(d.name);
    if (seen == m.seen.end() || seen->second <= d.token) continue;
    // Somebody knows a higher token than ours: the store had forgotten it.
    ++counts_.refusedByFence;
    d.seen = seen->second;
    failed(d, m.name + " has seen a higher token");
    stopActs(now, d, State::proving);
    d.at = now;
    return;
  }
  d.work->members(now, all);
}

void LeaderElection::onClaimRead(Time now, Held& d, const Reply& reply) {
  const Entry* lock = entryOf(reply.entries, key(d, "lock"));
  if (!lock || lock->session != session_) return lose(now, d, "the lock is another's");
  const Record record = recordOf(d, reply.entries);
  see(now, d, record);
  if (record.readable && record.token == d.claim && d.claim > 0 && record.holder == self_.instance) {
    if (leased(now)) begin(now, d);  // the answer to the claim was lost
    return;
  }
  // A store that may have forgotten: those who know register first.
  const Time quiet = record.there ? quietUntil_ : std::max(quietUntil_, createdAt_ + timing_.ttl);
  if (now < quiet) {
    d.at = quiet;
    return;
  }
  d.data = record.data;
  d.claim = std::max({d.seen, record.token, d.membersSeen}) + 1;
  if (!leased(now)) return;
  Ask claim;
  claim.call = Call::compareAndSet, claim.key = key(d, "record"), claim.index = record.index;
  claim.value = json{{"token", d.claim}, {"holder", self_.instance}, {"data", d.data}}.dump(
      -1, ' ', false, json::error_handler_t::replace);
  ask(now, d, Step::claim, std::move(claim));
}

// The fence: an act is made only on the record as it was read under our own token.
void LeaderElection::onActRead(Time now, Held& d, const Reply& reply) {
  const Entry* lock = entryOf(reply.entries, key(d, "lock"));
  const Record record = recordOf(d, reply.entries);
  if (!lock || lock->session != session_ || record.token != d.token || record.holder != self_.instance) {
    ++counts_.refusedByFence;
    see(now, d, record);
    return lose(now, d, "refused by the fence: the record is under token " + std::to_string(record.token));
  }
  if (!mayAct(now, d.name)) return;  // the check just before the act
  Ask act;
  act.call = Call::compareAndSet, act.key = key(d, "record"), act.index = record.index;
  act.value = json{{"token", d.token}, {"holder", self_.instance}, {"data", d.next}}.dump(
      -1, ' ', false, json::error_handler_t::replace);
  d.data = d.next;
  d.writes = false;
  ask(now, d, Step::act, std::move(act));
}

void LeaderElection::onStep(Time now, Held& d, const Reply& reply) {
  const Step done = std::exchange(d.doing, Step::none);
  if (reply.ok)
    d.stepBackoff = 0;
  else
    doubled(d.stepBackoff, kBackoffFirst, timing_.ttl / 3), failed(d, "the store does not answer");
  const Time soon = now + std::max(kBackoffFirst / 2, chance(std::max(2 * kBackoffFirst, d.stepBackoff)));
  switch (done) {
    case Step::none:
      return;
    case Step::acquire:
      if (d.state == State::releasing) return giveBack(now, d);  // it may be ours
      if (d.state != State::acquiring) return;
      if (!reply.ok || !reply.yes) {
        if (!reply.ok) lookAnew(now, d);  // it may be ours
        return wait(
            now, d,
            doubled(d.backoff, timing_.spread(), std::max({timing_.spread(), timing_.lockDelay, 1000.0})));
      }
      setState(now, d, State::proving);
      d.acquiredAt = d.at = now;
      return;
    case Step::readMembers:
      if (d.state != State::proving) return;
      d.at = soon;
      if (!reply.ok) return;
      d.membersSeen = 0;
      for (const Member& m : membersOf(reply.entries))
        if (const auto seen = m.seen.find(d.name); seen != m.seen.end())
          d.membersSeen = std::max(d.membersSeen, seen->second);
      {
        Ask read;
        read.key = key(d, ""), read.recurse = true;
        ask(now, d, Step::readRecord, std::move(read));
      }
      return;
    case Step::readRecord:
      if (d.state != State::proving) return;
      d.at = soon;
      if (reply.ok) onClaimRead(now, d, reply);
      return;
    case Step::claim:
      if (d.state != State::proving) return;
      d.at = soon;
      if (reply.ok && reply.yes && leased(now)) begin(now, d);
      return;
    case Step::readAct:
      if (d.state != State::holding) return;
      d.at = soon;
      if (reply.ok) onActRead(now, d, reply);
      return;
    case Step::act:
      if (d.state == State::releasing) return giveBack(now, d);
      if (d.state != State::holding) return;
      d.at = now;
      if (reply.ok && reply.yes) {
        ++counts_.acts;
        d.writesSince = now;
        d.work->recorded(now, d.token, self_.instance, d.data);
      } else if (!d.writes) {
        d.writes = true, d.next = d.data, d.at = soon;  // read again: what came of it, and whose it is
      }
      return;
    case Step::release:
      if (d.state == State::releasing) rest(now, d);
      return;
  }
}

// --- Giving up -------------------------------------------------------------------------------------------

void LeaderElection::giveBack(Time now, Held& d) {
  if (!alive_) return rest(now, d);
  Ask release;
  release.call = Call::release, release.key = key(d, "lock"), release.session = session_;
  ask(now, d, Step::release, std::move(release));
}

void LeaderElection::unfit(Time now, const std::string& name, const std::string& why) {
  for (Held& d : duties_) {
    if (d.name != name || d.state != State::holding) continue;
    ++counts_.givenUp;
    failed(d, why);
    d.backToRest = true;
    stopActs(now, d, State::releasing);
    if (d.doing != Step::act) giveBack(now, d);
  }
}

void LeaderElection::drain(Time now) {
  if (!started_ || std::exchange(draining_, true)) return;
  dirty_ = true, memberAt_ = now;
  for (Held& d : duties_) {
    d.backToRest = false;
    const bool mayBeOurs = d.state == State::acquiring || d.state == State::proving ||
                           d.state == State::holding || d.state == State::uncertain;
    if (d.state == State::releasing) continue;
    if (!mayBeOurs) {
      setState(now, d, State::resting);
      d.at = kNever;
      continue;
    }
    // What is under way and could still take effect is waited for; then the lock goes back.
    const bool underWay = d.doing == Step::acquire || d.doing == Step::act;
    const std::uint64_t step = d.step;
    const Step doing = d.doing;
    stopActs(now, d, State::releasing);
    if (underWay)
      d.step = step, d.doing = doing;
    else
      giveBack(now, d);
  }
  tick(now);
}

void LeaderElection::leave(Time now) {
  if (!started_ || std::exchange(left_, true) || !alive_) return;
  Ask end;
  end.call = Call::destroySession, end.session = session_;
  send(now, std::move(end), For::end);
}

bool LeaderElection::settled() const {
  return std::all_of(duties_.begin(), duties_.end(),
                     [](const Held& d) { return d.state == State::resting; }) &&
         memberAsk_ == 0 && !(dirty_ && alive_);
}

// --- Time ------------------------------------------------------------------------------------------------

void LeaderElection::tick(Time now) {
  if (!started_ || left_) return;
  if (sessionAsk_ == 0 && now >= sessionAt_ && !(draining_ && !alive_)) {
    Ask ask;
    ask.call = alive_ ? Call::renewSession : Call::createSession;
    ask.session = session_, ask.ttl = timing_.ttl, ask.lockDelay = timing_.lockDelay;
    ask.value = self_.name;
    sessionAsk_ = send(now, std::move(ask), For::session);
  }
  if (alive_ && dirty_ && memberAsk_ == 0 && now >= memberAt_) {
    dirty_ = false;
    Ask ask;
    ask.call = Call::acquire, ask.session = session_, ask.value = registration();
    ask.key = self_.prefix + "/members/" + self_.name + "/" + self_.instance;
    memberAsk_ = send(now, std::move(ask), For::member);
  }
  for (Held& d : duties_) run(now, d);
}

void LeaderElection::run(Time now, Held& d) {
  if (d.watch == 0 && now >= d.watchAt && !(draining_ && d.state == State::resting)) {
    Ask read;
    read.key = key(d, ""), read.recurse = true, read.index = d.watchIndex;
    d.watch = send(now, std::move(read), For::watch, indexOf(d));
  }
  if ((d.state == State::holding || d.state == State::proving) && !leased(now)) {
    if (d.state == State::holding) ++counts_.lapsed;
    failed(d, "the lease ran out");
    stopActs(now, d, State::uncertain);
    lookAnew(now, d);
    if (alive_) abandonSession(now);
  }
  if (d.state == State::holding && d.writes && now >= d.writesSince + 2 * timing_.ttl)
    unfit(now, d.name, "nothing that it writes takes effect");
  if (d.state == State::resting && now >= d.at) look(now, d);
  if (d.state == State::holding && d.membersAsk == 0 && now >= d.membersAt) {
    Ask read;
    read.key = self_.prefix + "/members/", read.recurse = true, read.index = d.membersIndex;
    d.membersAsk = send(now, std::move(read), For::members, indexOf(d));
  }
  if (d.step != 0 || now < d.at) return;
  Ask next;
  switch (d.state) {
    case State::waiting:
      if (!leased(now)) {
        d.at = now + kBackoffFirst + chance(timing_.spread());
        return;
      }
      setState(now, d, State::acquiring);
      next.call = Call::acquire, next.key = key(d, "lock"), next.session = session_, next.value = self_.name;
      return ask(now, d, Step::acquire, std::move(next));
    case State::proving:
      next.key = self_.prefix + "/members/", next.recurse = true;
      return ask(now, d, Step::readMembers, std::move(next));
    case State::holding:
      if (!d.writes) return;
      next.key = key(d, ""), next.recurse = true;
      return ask(now, d, Step::readAct, std::move(next));
    default:
      return;
  }
}

Time LeaderElection::nextAt() const {
  if (!started_ || left_) return kNever;
  Time at = kNever;
  const auto also = [&](Time one) { at = std::min(at, one); };
  if (sessionAsk_ == 0 && !(draining_ && !alive_)) also(sessionAt_);
  if (alive_ && dirty_ && memberAsk_ == 0) also(memberAt_);
  for (const Held& d : duties_) {
    if (d.watch == 0 && !(draining_ && d.state == State::resting)) also(d.watchAt);
    if (d.state == State::holding || d.state == State::proving) also(renewedAt_ + timing_.lease());
    if (d.state == State::resting) also(d.at);
    if (d.state == State::holding && d.membersAsk == 0) also(d.membersAt);
    if (d.step == 0 &&
        (d.state == State::waiting || d.state == State::proving || (d.state == State::holding && d.writes)))
      also(d.at);
  }
  return at;
}

std::vector<LeaderElection::Status> LeaderElection::status() const {
  std::vector<Status> out;
  for (const Held& d : duties_)
    out.push_back(
        {d.name, d.holder, d.lastError, d.state, d.state == State::holding ? d.token : d.seen, d.since});
  return out;
}

}  // namespace wingslip::leader_election
