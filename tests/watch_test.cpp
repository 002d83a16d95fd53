// The watch on the list of workers in virtual time: agents of one's own and one discovery for all, silence,
// resets, downtime and refusals by seed; and what of a list that is old, cut or malformed holds.
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "endpoint_watch/endpoint_list.hpp"
#include "endpoint_watch/endpoint_watch.hpp"
#include "endpoint_watch/start_times.hpp"
#include "gatekeeper/name_index.hpp"
#include "growth.hpp"

namespace wingslip {
namespace {

using Time = Watch::Time;
constexpr Time kStep = 5, kStop = 2000, kBeat = 2000, kToldAfterSilence = 6000;

// A gatekeeper and the agent on its machine. Whatever the agent was asked while it was down is never
// answered.
struct Machine {
  enum class Agent { up, silent, refusing, full };

  Machine(unsigned gatekeepers, std::uint64_t seed)
      : watch(Watch::limitsFor(kStop, gatekeepers), seed), random(seed) {}

  Watch watch;
  std::mt19937_64 random;
  Agent agent = Agent::up;
  bool open = false, deaf = false;
  Time now = 0, beat = 0, toldAt = 0, deafSince = 0;
  long version = 0, has = 0;
  std::vector<Time> callTimes;

  double chance() { return std::uniform_real_distribution<>(0, 1)(random); }

  void act(Watch::Act what) {
    while (what != Watch::Act::none) {
      open = what == Watch::Act::ask && agent != Agent::refusing;
      if (what == Watch::Act::connect) {
        callTimes.push_back(now);
        what = agent == Agent::refusing ? watch.lost(now) : watch.up(now);
        continue;
      }
      if (what == Watch::Act::ask && agent == Agent::full) {
        what = watch.turnedAway(now);
        continue;
      }
      deaf = open && agent != Agent::up;
      if (open && !deaf) hear();
      return;
    }
  }
  void hear() {
    has = version;
    watch.line(now);
    beat = now + kBeat;
  }
  // The agent has something new, which counts as told now, or later where the open watch is deaf by itself.
  void change() {
    if (agent == Agent::up)
      ++version, toldAt = open && deaf ? std::max(now, deafSince + kToldAfterSilence) : now;
  }
  void step() {
    now += kStep;
    act(watch.look(now));
    if (open && !deaf && agent == Agent::up && (has < version || now >= beat)) hear();
  }
  void become(Agent to) {
    if (to == Agent::refusing && open) open = false, agent = to, act(watch.lost(now));
    if (to == Agent::full && open) open = false, agent = to, act(watch.lost(now));
    if (to == Agent::silent && open) deaf = true;
    agent = to;
    if (to == Agent::up) ++version, toldAt = now;
  }
  void deafen() {
    if (open && !deaf) deaf = true, deafSince = now;
  }
};

// Whatever happens to the watch, what counts as told is had before nothing may be sent any more, at every
// size of the fleet; and the agents are not called more often than they have to be.
TEST(OwnAgent, WhatCountsAsToldIsHadInTimeWhateverTheFleetsSize) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    const unsigned gatekeepers = seed % 3 == 0 ? 1 : seed % 3 == 1 ? 300 : 350;
    Machine m(gatekeepers, seed);
    m.act(m.watch.open(0));
    Time fault = 3000, undo = -1, change = 1000;
    while (m.now < 60000) {
      if (undo >= 0 && m.now >= undo)
        m.become(Machine::Agent::up), undo = -1, fault = m.now + kStop + 9000 * m.chance();
      if (undo < 0 && m.now >= fault) {
        const double which = m.chance();
        if (which < 0.25 && m.open) {
          m.open = false;
          m.act(m.watch.lost(m.now));  // reset
          fault = m.now + kStop + 4000 * m.chance();
        } else if (which < 0.5) {
          m.deafen();
          fault = m.now + 12000;
        } else {
          m.become(which < 0.75 ? Machine::Agent::silent : Machine::Agent::refusing);
          undo = m.now + 1200 + 8000 * m.chance();
        }
      }
      if (m.now >= change) m.change(), change = m.now + 3000 * m.chance();
      m.step();
      ASSERT_TRUE(m.has == m.version || m.now <= m.toldAt + kStop)
          << "seed " << seed << " of " << gatekeepers << " at " << m.now << ", told at " << m.toldAt;
    }
    // At most one call in the shortest wait; while the agent says nothing, fewer than two a second.
    EXPECT_LT(m.callTimes.size(), 60u * 5) << "seed " << seed;
  }
}

// An outage too short to be missed while it lasts leaves the open watch silent for ever. What the agent has
// at its return counts as told at once.
TEST(OwnAgent, WhatCountsAsToldAfterAShortOutageIsHadInTime) {
  constexpr Time kShortest = 450, kLongest = 1200;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    Machine m(seed % 2 == 0 ? 1 : 300, seed);
    m.act(m.watch.open(0));
    for (int outage = 0; outage < 10; ++outage) {
      for (const Time until = m.now + 3000 + 4000 * m.chance(); m.now < until;) m.step();
      m.become(Machine::Agent::silent);
      for (const Time until = m.now + kShortest + (kLongest - kShortest) * m.chance(); m.now < until;)
        m.step();
      m.become(Machine::Agent::up);
      for (const Time until = m.now + kStop + 100; m.now < until;) {
        m.step();
        ASSERT_TRUE(m.has == m.version || m.now <= m.toldAt + kStop)
            << "seed " << seed << " at " << m.now << ", told at " << m.toldAt;
      }
    }
  }
}

TEST(OwnAgent, ASilentAgentIsAskedLessThanTwiceASecondAndARefusingOneLessThanEightTimes) {
  for (const auto agent : {Machine::Agent::silent, Machine::Agent::refusing}) {
    Machine m(350, 7);
    m.agent = agent;
    m.act(m.watch.open(0));
    while (m.now < 60000) m.step();
    EXPECT_LT(m.callTimes.size(), agent == Machine::Agent::silent ? 120u : 480u);
    EXPECT_GT(m.callTimes.size(), 40u);
  }
}

// An agent that answers and ends each time is not called at the pace of the first wait.
TEST(OwnAgent, AWatchThatEndsAtOnceEachTimeIsOpenedMoreAndMoreSlowly) {
  Machine m(3, 1);
  m.act(m.watch.open(0));
  while (m.now < 10000) {
    m.step();
    if (m.open) m.open = false, m.act(m.watch.lost(m.now));
  }
  EXPECT_LT(m.callTimes.size(), 60u);
}

// Whatever calls were turned away, refused, left without an answer, in whatever order: what discovery has is
// had before nothing may be sent any more, counted from 6 s after it could be reached, at every size of the
// fleet.
TEST(OneForAll, IsHadWithinTheBoundWhateverBecameOfTheCallsBefore) {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    const unsigned gatekeepers = seed % 4 == 0 ? 1 : seed % 4 == 1 ? 300 : seed % 4 == 2 ? 350 : 1024;
    Machine m(gatekeepers, seed);
    m.act(m.watch.open(0));
    Time next = 2000, upSince = 0;
    while (m.now < 200000) {
      if (m.now >= next) {
        const double which = m.chance();
        const auto to = which < 0.5   ? Machine::Agent::full
                        : which < 0.7 ? Machine::Agent::silent
                        : which < 0.8 ? Machine::Agent::refusing
                                      : Machine::Agent::up;
        if (to == Machine::Agent::up && m.agent != to) upSince = m.now;
        m.become(to);
        next = m.now + (to == Machine::Agent::up ? 15000 : 500 + 9000 * m.chance());
      }
      m.step();
      ASSERT_TRUE(m.agent != Machine::Agent::up || m.has == m.version || m.now <= upSince + 6000 + kStop)
          << "seed " << seed << " of " << gatekeepers << " at " << m.now << ", up since " << upSince;
    }
    EXPECT_LE(Watch::hasWithinShared(Watch::limitsFor(kStop, gatekeepers)), 6000 + kStop);
  }
}

// One discovery for all: it serves a call in 50 ms, turns away what has waited for 2 s or finds forty
// waiting, and serves in turn also those who have given up.
struct Shared {
  Shared(unsigned n, std::uint64_t seed) {
    for (unsigned i = 0; i < n; ++i) all.emplace_back(Watch::limitsFor(kStop, n), seed * 1000 + i);
    state.resize(n);
  }
  struct One {
    std::uint64_t turn = 0;
    bool has = false;
  };
  struct Call {
    std::size_t of;
    std::uint64_t turn;
    Time at;
  };
  std::vector<Watch> all;
  std::vector<One> state;
  std::deque<Call> line;
  Time now = 0, freeAt = 0;
  unsigned calls = 0, had = 0;

  void act(std::size_t i, Watch::Act what) {
    if (what == Watch::Act::none) return;
    ++state[i].turn;
    if (what != Watch::Act::connect) return;
    ++calls;
    all[i].up(now);
    if (line.size() >= 40) return act(i, all[i].turnedAway(now));
    line.push_back({i, state[i].turn, now});
  }
  void step() {
    now += kStep;
    while (!line.empty() && now - line.front().at >= 2000) {
      const Call call = line.front();
      line.pop_front();
      if (state[call.of].turn == call.turn) act(call.of, all[call.of].turnedAway(now));
    }
    if (!line.empty() && now >= freeAt) {
      const Call call = line.front();
      line.pop_front();
      freeAt = now + 50;
      if (state[call.of].turn == call.turn) {
        all[call.of].line(now);
        had += !std::exchange(state[call.of].has, true);
      }
    }
    for (std::size_t i = 0; i < all.size(); ++i)
      if (!state[i].has) act(i, all[i].look(now));
  }
};

TEST(OneForAll, ADiscoveryThatTurnsCallsAwayIsCalledNoFasterThanItServes) {
  for (const unsigned n : {100u, 350u}) {
    Shared fleet(n, 1);
    for (std::size_t i = 0; i < n; ++i) fleet.act(i, fleet.all[i].open(0));
    while (fleet.now < 5000) fleet.step();
    const unsigned before = fleet.calls;
    Time done = 0;
    while (fleet.now < 120000 && fleet.had < n) fleet.step(), done = fleet.now;
    EXPECT_EQ(fleet.had, n);
    EXPECT_LT(done, 50.0 * n * 4) << n;  // a quarter of what it can serve, at least
    EXPECT_LT(1000.0 * (fleet.calls - before) / (done - 5000), 60.0) << n;  // calls a second, all together
  }
}

// --- Lists -----------------------------------------------------------------------------------------------

std::string entry(const std::string& id, const std::string& lifecycle, double started = 0) {
  return R"({"instanceId":")" + id + R"(","hostPort":"127.0.0.1:1","lifecycle":")" + lifecycle +
         R"(","startedAtMs":)" + std::to_string(started) + "}";
}

Roster list(long long generation, bool reset, const std::vector<std::string>& entries) {
  std::string all;
  for (const std::string& one : entries) all += (all.empty() ? "" : ",") + one;
  return parseRoster(R"({"generation":)" + std::to_string(generation) + R"(,"reset":)" +
                     (reset ? "true" : "false") + R"(,"instances":[)" + all + "]}");
}

TEST(Lists, AreReadIndentedOrNotHoweverTheyAreCut) {
  const std::string stream =
      "\r\n{\"a\":\"}{\\\"\",\r\n  \"b\": [ {\n } ]\n}\n\n \n{\"c\":1}{\"d\":2}\n{\"half\":";
  for (std::size_t piece = 1; piece <= stream.size(); ++piece) {
    ObjectReader reader;
    std::string held;
    std::vector<std::string> found;
    std::size_t beats = 0;
    for (std::size_t at = 0; at < stream.size(); at += piece) {
      held += stream.substr(at, piece);
      while (const auto object = reader.next(held)) found.emplace_back(*object);
      beats += reader.heartbeats();
      held.erase(0, reader.drop());
    }
    ASSERT_EQ(found, (std::vector<std::string>{"{\"a\":\"}{\\\"\",\r\n  \"b\": [ {\n } ]\n}", "{\"c\":1}",
                                               "{\"d\":2}"}));
    EXPECT_EQ(beats, 5u);
    EXPECT_EQ(held, "{\"half\":");
  }
  ObjectReader reader;
  EXPECT_THROW(reader.next("\n[1]"), std::runtime_error);
}

TEST(Lists, ThatSayNothingSensibleAreTurnedDownWhole) {
  const std::string good = entry("s-1", "Ready");
  for (const std::string& wrong :
       {entry("s-2", "Resting"), good, std::string("7"),
        std::string(R"({"instanceId":3,"lifecycle":"Ready"})"),
        std::string(R"({"instanceId":"s-3","lifecycle":"Ready","hostPort":"nowhere"})")})
    EXPECT_THROW(list(1, false, {good, wrong}), std::runtime_error) << wrong;
  EXPECT_THROW(parseRoster(R"({"generation":"x","instances":[]})"), std::runtime_error);
  EXPECT_THROW(parseRoster(R"({"generation":1})"), std::runtime_error);
}

// An agent that lags is asked for the whole list once; what was told to leave stays so until somebody newer,
// or a new start, says otherwise.
TEST(Lists, ThatAreOlderThanWhatIsKnownBringNoLeavingWorkerBack) {
  RosterHistory history;
  const auto phaseOf = [](const Roster& roster, std::size_t i) { return roster.instances.at(i).phase; };
  const auto take = [&](Roster roster, bool expected) {
    EXPECT_EQ(history.accept(roster), expected);
    return roster;
  };
  take(list(40, true, {entry("a", "Ready"), entry("b", "Ready"), entry("c", "Ready")}), true);
  take(list(41, false, {entry("a", "Terminating"), entry("c", "Gone")}), true);
  EXPECT_EQ(history.from(), 41);
  take(list(39, false, {entry("a", "Ready")}), false);
  EXPECT_EQ(history.from(), -1);
  Roster old = take(list(39, true, {entry("a", "Ready"), entry("b", "Ready"), entry("c", "Ready", 5)}), true);
  EXPECT_EQ(phaseOf(old, 0), decision::WorkerPhase::draining);
  EXPECT_EQ(phaseOf(old, 1), decision::WorkerPhase::ready);
  EXPECT_EQ(phaseOf(old, 2), decision::WorkerPhase::ready) << "started anew";
  old = take(list(40, false, {entry("a", "Ready")}), true);
  EXPECT_EQ(phaseOf(old, 0), decision::WorkerPhase::draining);
  EXPECT_EQ(phaseOf(take(list(42, false, {entry("a", "Ready")}), true), 0), decision::WorkerPhase::ready);
}

// Past the most that are remembered those of the oldest list go, and of one list the first by id.
TEST(Lists, ForgetWorkersThatLeftByTheOldestListFirst) {
  constexpr std::size_t kRemembered = 8192;
  RosterHistory history;
  Roster first = list(1, true, {entry("b", "Terminating"), entry("a", "Terminating")});
  ASSERT_TRUE(history.accept(first));
  std::vector<std::string> many;
  for (std::size_t i = 0; i + 1 < kRemembered; ++i)
    many.push_back(entry("w-" + std::to_string(i), "Terminating"));
  Roster second = list(2, false, many);
  ASSERT_TRUE(history.accept(second));
  Roster old = list(1, true, {entry("a", "Ready"), entry("b", "Ready"), entry("w-0", "Ready")});
  ASSERT_FALSE(history.accept(old));  // the whole list is asked for, and is as old
  ASSERT_TRUE(history.accept(old));
  EXPECT_EQ(old.instances[0].phase, decision::WorkerPhase::ready);
  EXPECT_EQ(old.instances[1].phase, decision::WorkerPhase::draining);
  EXPECT_EQ(old.instances[2].phase, decision::WorkerPhase::draining);
}

TEST(Lists, OfManyWorkersThatLeaveAreNoWalkOfAllForEach) {
  const double factor = growth::between(2000, [](std::size_t n) {
    std::vector<std::string> entries;
    for (std::size_t i = 0; i < n; ++i) entries.push_back(entry("w-" + std::to_string(i), "Terminating"));
    Roster roster = list(1, true, entries);
    RosterHistory history;
    const double before = growth::processorTime();
    history.accept(roster);
    return growth::processorTime() - before;
  });
  EXPECT_LT(factor, growth::kMost);
}

TEST(Names, AreFoundByTheirFirstPlaceAndJoinedOnce) {
  const std::vector<std::string> names{"a", "b", "a"};
  const NameIndex index(names);
  EXPECT_EQ(index.of("a"), 0u);
  EXPECT_EQ(index.of("b"), 1u);
  EXPECT_EQ(index.of("c"), NameIndex::kNone);
  EXPECT_EQ(joinedNames(names, {"c", "b", "c", "d"}), (std::vector<std::string>{"a", "b", "a", "c", "d"}));
}

TEST(Names, AreJoinedWithoutAWalkOfAllForEach) {
  const double factor = growth::between(1000, [](std::size_t n) {
    std::vector<std::string> names, added;
    for (std::size_t i = 0; i < n; ++i) names.push_back("zone-" + std::to_string(i));
    for (std::size_t i = 0; i < n; ++i) added.push_back("zone-" + std::to_string(n + i));
    const double before = growth::processorTime();
    EXPECT_EQ(joinedNames(names, added).size(), 2 * n);
    return growth::processorTime() - before;
  });
  EXPECT_LT(factor, growth::kMost);
}

// The monotonic clock stands at `told` when a list comes, and the true Unix time is `kUnix` more.
constexpr double kUnix = 1.7e12, kHour = 3600 * 1000;

TEST(Starts, AStartToldLiveCountsFromWhenItWasToldWhateverTheWallClockSaid) {
  for (const double wrong : {0.0, 2000.0, -2000.0, kHour, -kHour}) {
    StartTimes starts(-kUnix - wrong);  // the wall clock is ahead by `wrong`
    starts.hear(kUnix + 5000, 5300);
    const WorkerStart start = starts.startOf(1, kUnix + 5000, 5300, true);
    EXPECT_EQ(start.warmFrom, 5300) << wrong;
    EXPECT_LE(start.processFrom, 5300) << wrong;
    EXPECT_GE(start.processFrom, 5300 - StartTimes::kMostDelay) << wrong;
    EXPECT_EQ(starts.startOf(1, kUnix + 5000, 90000, true).warmFrom, 5300) << "the same start, told again";
  }
  StartTimes right(-kUnix);
  EXPECT_EQ(right.startOf(1, kUnix + 5000, 5300, true).processFrom, 5000);
}

TEST(Starts, OnTheFirstListTheHintHoldsAndAStartInTheFutureMovesItOn) {
  StartTimes right(-kUnix);
  EXPECT_EQ(right.startOf(1, kUnix - 4000, 100, false).warmFrom, -4000);
  EXPECT_EQ(right.startOf(2, 0, 100, false).warmFrom, 0);
  StartTimes behind(-kUnix + kHour);
  behind.hear(kUnix - 60000, 100);
  behind.hear(kUnix - 1000, 100);
  EXPECT_EQ(behind.startOf(1, kUnix - 1000, 100, false).warmFrom, 100);  // the youngest: as if just started
  EXPECT_EQ(behind.startOf(2, kUnix - 60000, 100, false).warmFrom, 100 - 59000);
  EXPECT_EQ(behind.offset(), 100 - (kUnix - 1000));
}

TEST(Starts, WorkersThatAreNoLongerListedAreForgottenPastTheMost) {
  StartTimes starts(-kUnix);
  for (std::size_t i = 0; i <= StartTimes::kMostHeld; ++i) starts.startOf(i, kUnix, 0, false);
  starts.trim([](decision::WorkerId worker) { return worker < 10; });
  EXPECT_EQ(starts.held(), 10u);
}

}  // namespace
}  // namespace wingslip
