#include "hollow_duty.hpp"

#include <algorithm>
#include <cmath>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace wingslip::lab {

using wingslip::leader_election::Ask;
using wingslip::leader_election::Call;
using wingslip::leader_election::Duty;
using wingslip::leader_election::LeaderElection;
using wingslip::leader_election::Reply;
using wingslip::leader_election::Timing;
using wingslip::leader_election::Token;

namespace {

constexpr double kTtlMs = 10000, kLockDelayMs = 1000;  // the configuration's own values
constexpr double kLeastDelay = 0.2, kMostDelay = 2;    // ms, one way
constexpr const char* kDuty = "roster";
constexpr const char* kPrefix = "p";

std::size_t bytesOf(const Ask& ask) { return ask.key.size() + ask.value.size() + ask.session.size(); }

std::size_t bytesOf(const Reply& reply) {
  std::size_t out = reply.session.size();
  for (const auto& entry : reply.entries) out += entry.key.size() + entry.value.size() + entry.session.size();
  return out;
}

}  // namespace

struct HollowCandidates::Candidate : wingslip::leader_election::Outside, Duty {
  Candidate(HollowCandidates& f, std::size_t i, const Timing& timing) : fleet(f) {
    const std::string number = std::to_string(i);
    core = std::make_unique<LeaderElection>(
        timing, LeaderElection::Self{kPrefix, "gatekeeper-" + number, "instance-" + number, "1", 0},
        fleet.random_(), *this);
    core->add(kDuty, *this);
  }
  void begin() {
    core->start(fleet.events_.now());
    arm();
  }
  void arm() {
    const Time next = core->nextAt();
    if (!std::isfinite(next)) return;
    const std::uint64_t mine = ++armed;
    fleet.at(next, [this, mine] {
      if (mine != armed || dead) return;
      core->tick(fleet.events_.now());
      arm();
    });
  }
  bool holds() const { return !dead && core->mayAct(fleet.events_.now(), kDuty); }
  void ask(const Ask& what) override { fleet.call(*this, what); }
  void drop(std::uint64_t id) override { waiting.erase(id); }
  void told(const std::string&) override {}
  void begun(Time, Token, const std::string&) override {}
  void ended(Time) override {}
  void recorded(Time, Token, const std::string&, const std::string&) override {}
  void members(Time, const std::vector<wingslip::leader_election::Member>&) override {}

  HollowCandidates& fleet;
  bool dead = false;
  std::uint64_t armed = 0;
  std::set<std::uint64_t> waiting;  // asks without a reply
  std::unique_ptr<LeaderElection> core;
};

HollowCandidates::HollowCandidates(std::size_t candidates, std::uint64_t seed) : random_(seed) {
  store_.onChange = [this](const std::string& key) { wake(key); };
  const Timing timing =
      wingslip::leader_election::timingFor(kTtlMs, kLockDelayMs, static_cast<unsigned>(candidates));
  for (std::size_t i = 0; i < candidates; ++i)
    candidates_.push_back(std::make_unique<Candidate>(*this, i, timing));
  for (const auto& candidate : candidates_) candidate->begin();
}

HollowCandidates::~HollowCandidates() = default;

void HollowCandidates::at(Time when, std::function<void()> what) { events_.at(when, std::move(what)); }

HollowCandidates::Time HollowCandidates::delay() {
  return std::uniform_real_distribution<Time>(kLeastDelay, kMostDelay)(random_);
}

void HollowCandidates::run(Time milliseconds) {
  const Time until = events_.now() + milliseconds;
  while (const auto action = events_.next(until)) {
    store_.expire(events_.now());
    (*action)();
  }
}

void HollowCandidates::call(Candidate& from, const Ask& ask) {
  ++traffic_.calls;
  traffic_.bytes += bytesOf(ask);
  from.waiting.insert(ask.id);
  // Exactly one reply: the answer, or a failure at its time.
  at(events_.now() + ask.within, [this, &from, id = ask.id] { answer(from, id, {}); });
  at(events_.now() + delay(), [this, &from, ask] { arrive(from, ask); });
}

void HollowCandidates::answer(Candidate& to, std::uint64_t id, const Reply& reply) const {
  if (to.dead || to.waiting.erase(id) == 0) return;
  to.core->replied(events_.now(), id, reply);
  to.arm();
}

void HollowCandidates::arrive(Candidate& from, const Ask& ask) {
  Reply reply;
  reply.ok = true;
  switch (ask.call) {
    case Call::createSession:
      reply.session = store_.createSession(events_.now(), ask.value, ask.ttl, ask.lockDelay);
      break;
    case Call::renewSession:
      reply.yes = store_.renew(events_.now(), ask.session);
      break;
    case Call::destroySession:
      store_.destroy(events_.now(), ask.session);
      break;
    case Call::acquire: {
      const std::optional<bool> done = store_.acquire(events_.now(), ask.key, ask.session, ask.value);
      if (!done) return;  // an error at the store: the call fails at its time
      reply.yes = *done;
      break;
    }
    case Call::release:
      reply.yes = store_.release(events_.now(), ask.key, ask.session).value_or(false);
      break;
    case Call::compareAndSet:
      reply.yes = store_.compareAndSet(events_.now(), ask.key, ask.index, ask.value);
      break;
    case Call::read:
      if (ask.index > 0 && ask.index == store_.changedAt(ask.key, ask.recurse)) return wait(from, ask);
      reply = readOf(ask);
      break;
  }
  traffic_.bytes += bytesOf(reply);
  at(events_.now() + delay(), [this, &from, id = ask.id, reply] { answer(from, id, reply); });
}

void HollowCandidates::wait(Candidate& from, const Ask& ask) {
  reads_.push_back({&from, ask});
  at(events_.now() + ask.blockFor, [this, &from, ask] {
    const auto found = std::find_if(reads_.begin(), reads_.end(), [&](const Read& read) {
      return read.who == &from && read.ask.id == ask.id;
    });
    if (found == reads_.end()) return;
    reads_.erase(found);
    const Reply reply = readOf(ask);
    traffic_.bytes += bytesOf(reply);
    at(events_.now() + delay(), [this, &from, id = ask.id, reply] { answer(from, id, reply); });
  });
}

Reply HollowCandidates::readOf(const Ask& ask) const {
  Reply out;
  out.ok = true;
  out.index = store_.changedAt(ask.key, ask.recurse);
  for (const auto& [key, value] : store_.read(ask.key, ask.recurse))
    out.entries.push_back({key, value.value, value.session, value.modifyIndex});
  return out;
}

void HollowCandidates::wake(const std::string& key) {
  for (auto read = reads_.begin(); read != reads_.end();) {
    if (key.rfind(read->ask.key, 0) != 0) {
      ++read;
      continue;
    }
    Candidate* who = read->who;
    const Ask ask = read->ask;
    read = reads_.erase(read);
    at(events_.now(), [this, who, ask] {
      const Reply reply = readOf(ask);
      traffic_.bytes += bytesOf(reply);
      at(events_.now() + delay(), [this, who, id = ask.id, reply] { answer(*who, id, reply); });
    });
  }
}

bool HollowCandidates::crashHolder() {
  for (const auto& candidate : candidates_) {
    if (!candidate->holds()) continue;
    candidate->dead = true;
    return true;
  }
  return false;
}

std::size_t HollowCandidates::holders() const {
  return static_cast<std::size_t>(std::count_if(candidates_.begin(), candidates_.end(),
                                                [](const auto& candidate) { return candidate->holds(); }));
}

std::size_t HollowCandidates::registered() const {
  return store_.read(std::string(kPrefix) + "/members/", true).size();
}

std::size_t HollowCandidates::registeredBytes() const {
  std::size_t out = 0;
  for (const auto& [key, value] : store_.read(std::string(kPrefix) + "/members/", true))
    out += key.size() + value.value.size() + value.session.size();
  return out;
}

}  // namespace wingslip::lab
