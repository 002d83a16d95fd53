// The cores of back-pressure in virtual time: the ledger of memory, the stages, the figures of the places,
// and whom the module sheds.
#include <cmath>
#include <fstream>
#include <random>
#include <set>
#include <sstream>

#include "overload/memory_budget.hpp"
#include "overload/overload_state.hpp"
#include "overload/wait_queues.hpp"
#include "recorder.hpp"

namespace wingslip {
namespace {

constexpr auto kNoOne = Account::clients;

MemoryBudget::Shares shares(std::size_t total, std::size_t clients = 0, std::size_t workers = 0) {
  return {total, {clients, workers, 0, 0}};
}

TEST(MemoryBudget, RefusesRatherThanOverdraws) {
  MemoryBudget ledger(shares(100));
  auto a = ledger.open(Account::clients), b = ledger.open(Account::workers);
  EXPECT_TRUE(a.resize(60));
  EXPECT_FALSE(b.resize(41));
  EXPECT_EQ(b.bytes(), 0u);
  EXPECT_TRUE(b.resize(40));
  EXPECT_FALSE(a.resize(61));
  EXPECT_EQ(a.bytes(), 60u);  // as it was
  EXPECT_EQ(ledger.refused(Account::clients), 1u);
  EXPECT_TRUE(a.resize(10));  // less is always granted
  EXPECT_EQ(ledger.held(), 50u);
  EXPECT_EQ(ledger.most(), 100u);
  MemoryBudget::Charge nobodys;
  EXPECT_FALSE(nobodys.resize(1));
  EXPECT_THROW(MemoryBudget(shares(100, 60, 41)), std::invalid_argument);
}

TEST(MemoryBudget, KeepsTheOthersPartApartAndTheOwnAtHand) {
  MemoryBudget ledger(shares(100, 30, 30));
  auto clients = ledger.open(Account::clients), workers = ledger.open(Account::workers);
  EXPECT_EQ(ledger.room(Account::clients), 70u);
  EXPECT_FALSE(clients.resize(71));
  EXPECT_TRUE(clients.resize(70));
  EXPECT_EQ(ledger.room(Account::discovery), 0u);
  EXPECT_FALSE(workers.resize(31));
  EXPECT_TRUE(workers.resize(30));
}

// An account at its own end is pressed though others have room that is kept for them.
TEST(MemoryBudget, TellsOfTheAccountThatIsNearestToItsEnd) {
  MemoryBudget ledger(shares(100, 20, 50));
  std::size_t crossed = 0;
  ledger.watch(
      0.5, 0.8, [&] { ++crossed; }, [] {});
  auto clients = ledger.open(Account::clients);
  ASSERT_TRUE(clients.resize(39));  // of the 50 that it could have
  EXPECT_EQ(crossed, 0u);
  ASSERT_TRUE(clients.resize(40));
  EXPECT_EQ(crossed, 1u);
  EXPECT_EQ(ledger.fullest().held, 40u);
  EXPECT_EQ(ledger.fullest().reach, 50u);
  ASSERT_TRUE(clients.resize(45));
  ASSERT_TRUE(clients.resize(26));
  EXPECT_EQ(crossed, 1u);
  ASSERT_TRUE(clients.resize(25));
  EXPECT_EQ(crossed, 2u);
}

// What stands as long as its owner is no pressure: no request that is shed would give it back.
TEST(MemoryBudget, WhatStandsIsHeldButPressesNobody) {
  MemoryBudget ledger(shares(100));
  auto standing = ledger.open(Account::clients), other = ledger.open(Account::clients);
  ASSERT_TRUE(standing.resize(90));
  EXPECT_GT(ledger.fullest().part(), 0.8);
  standing.fix();
  EXPECT_EQ(ledger.fullest().part(), 0);
  EXPECT_FALSE(other.resize(11));
  ASSERT_TRUE(other.resize(5));
  EXPECT_EQ(ledger.fullest().part(), 0.5);
  EXPECT_TRUE(ledger.staysUnder(0.75, Account::clients, 2));
  EXPECT_FALSE(ledger.staysUnder(0.75, Account::clients, 3));
  ASSERT_TRUE(standing.resize(92));
  EXPECT_EQ(ledger.fullest().held, 7u);
  EXPECT_EQ(standing.split(50).bytes(), 2u);  // and is gone
  auto moved = std::move(standing);
  moved.shrinkTo(40);
  EXPECT_EQ(ledger.fullest().held, 5u);
  moved.release();
  EXPECT_EQ(ledger.held(), 5u);
  EXPECT_EQ(ledger.fullest().reach, 100u);
}

TEST(MemoryBudget, GivesAChargeBackOnceHoweverItIsMoved) {
  MemoryBudget ledger(shares(100));
  {
    auto a = ledger.open(kNoOne);
    ASSERT_TRUE(a.resize(50));
    MemoryBudget::Charge b = std::move(a);
    // NOLINTNEXTLINE(bugprone-use-after-move): the test is of what is left of it
    EXPECT_EQ(a.bytes(), 0u);
    b = std::move(b);
    EXPECT_EQ(ledger.held(), 50u);
    // NOLINTNEXTLINE(bugprone-use-after-move): moved to itself, it still holds its bytes
    auto part = b.split(20);
    EXPECT_EQ(part.bytes() + b.bytes(), 50u);
    EXPECT_EQ(b.split(1000).bytes(), 30u);  // and is gone at once
    EXPECT_EQ(ledger.held(), 20u);
    auto c = ledger.open(kNoOne);
    ASSERT_TRUE(c.resize(10));
    c = std::move(part);
    EXPECT_EQ(ledger.held(), 20u);
    c.release();
    c.release();
    EXPECT_EQ(ledger.held(), 0u);
  }
  EXPECT_EQ(ledger.held(), 0u);
}

TEST(MemoryBudget, HoldsWhatItsChargesHoldOverAnySequence) {
  for (unsigned seed = 0; seed < 200; ++seed) {
    std::mt19937 random(seed);
    const auto below = [&](std::size_t n) {
      return std::uniform_int_distribution<std::size_t>(0, n - 1)(random);
    };
    MemoryBudget::Shares given{1000, {}};
    for (auto& part : given.kept) part = below(250);
    MemoryBudget ledger(given);
    std::vector<std::pair<Account, MemoryBudget::Charge>> all;
    std::size_t crossings = 0, above = 0;
    bool high = false;
    ledger.watch(
        0.4, 0.7, [&] { ++crossings; }, [] {});
    for (int step = 0; step < 400; ++step) {
      const auto account = static_cast<Account>(below(kAccounts));
      switch (below(7)) {
        case 0:
          all.emplace_back(account, ledger.open(account));
          break;
        case 1:
          if (!all.empty()) all.erase(all.begin() + static_cast<long>(below(all.size())));
          break;
        case 2:
          if (!all.empty()) {
            auto& [of, from] = all[below(all.size())];
            auto part = from.split(below(100));
            all.emplace_back(Account(of), std::move(part));
          }
          break;
        case 3:
          if (!all.empty() && below(4) == 0) all[below(all.size())].second.fix();
          break;
        default:
          if (!all.empty()) {
            auto& [of, charge] = all[below(all.size())];
            const std::size_t before = charge.bytes(), to = below(400), room = ledger.room(of);
            const bool granted = charge.resize(to);
            EXPECT_EQ(granted, to <= before + room);
            EXPECT_EQ(charge.bytes(), granted ? to : before);
          }
      }
      std::array<std::size_t, kAccounts> sums{};
      std::size_t sum = 0;
      for (const auto& [of, charge] : all)
        sums[static_cast<std::size_t>(of)] += charge.bytes(), sum += charge.bytes();
      ASSERT_EQ(ledger.held(), sum) << "seed " << seed << " step " << step;
      ASSERT_LE(sum, 1000u);
      for (std::size_t i = 0; i < kAccounts; ++i) {
        ASSERT_EQ(ledger.held(static_cast<Account>(i)), sums[i]);
        // Its own part is always within reach.
        ASSERT_GE(ledger.room(static_cast<Account>(i)) + sums[i], given.kept[i]) << "seed " << seed;
      }
      above = std::max(above, sum);
      const double part = ledger.fullest().part();
      if (part >= 0.7) high = true;
      if (high) {
        ASSERT_GT(crossings, 0u);
      }
      ASSERT_LE(part, 1);
    }
    EXPECT_EQ(high, crossings > 0) << seed;
    EXPECT_EQ(ledger.most(), above) << seed;
    all.clear();
    EXPECT_EQ(ledger.held(), 0u);
  }
}

TEST(MemoryBudget, TheBudgetLeavesRoomForTheProcessForBothOfAnUpgradeAndForFiles) {
  constexpr std::size_t mib = std::size_t{1} << 20;
  const auto total = [](std::size_t limit, bool two, bool files) {
    return sharesOf({limit * mib, two, files}).total;
  };
  EXPECT_EQ(total(32, false, false), 15 * mib);
  EXPECT_LT(total(32, false, true), 15 * mib);
  EXPECT_LT(2 * total(64, true, true), total(64, false, true));
  for (const bool two : {false, true})
    for (const bool files : {false, true}) {
      const std::size_t least = leastLimit(two, files);
      EXPECT_EQ(sharesOf({least - 1, two, files}).total, 0u);
      EXPECT_GE(sharesOf({least, two, files}).total, mib * 99 / 100);
      EXPECT_LE(least, 32 * mib);  // the least that the platform grants
      std::size_t kept = 0;
      for (const std::size_t part : sharesOf({least, two, files}).kept) kept += part;
      EXPECT_LT(kept, sharesOf({least, two, files}).total);
    }
}

struct Pressed {
  Pressure::Limits limits = Pressure::limitsFor(1000);
  Pressure pressure{limits};
  double now = 5000;

  Stage memory(double part, double after = 10) {
    now += after;
    pressure.level(now, Source::memory, part * 1000, 1000);
    return pressure.stage();
  }
  Stage delay(double ms, double after = 10) {
    now += after;
    pressure.loopDelay(now, ms);
    return pressure.stage();
  }
};

TEST(PressureCore, StaysAsItIsBetweenTheMarks) {
  Pressed p;
  EXPECT_EQ(p.memory(0.74), Stage::none);
  EXPECT_EQ(p.memory(0.75), Stage::slow);
  for (int i = 0; i < 500; ++i)
    EXPECT_EQ(p.memory(i % 2 ? 0.74 : 0.76), Stage::slow);  // flaps, and never stands
  EXPECT_EQ(p.memory(0.56), Stage::slow);
  EXPECT_EQ(p.memory(0.55), Stage::none);
  EXPECT_EQ(p.memory(0.74), Stage::none);
  EXPECT_EQ(p.pressure.entered(Stage::slow), 1u);
  EXPECT_EQ(p.pressure.entered(Stage::shed), 0u);
}

TEST(PressureCore, ShedsWhatStandsAtTheHighMarkDownToTheLowMark) {
  Pressed p;
  EXPECT_EQ(p.memory(0.8), Stage::slow);
  EXPECT_EQ(p.memory(0.8, 900), Stage::slow);
  p.now += 100;
  p.pressure.look(p.now);  // time alone is enough
  EXPECT_EQ(p.pressure.stage(), Stage::shed);
  EXPECT_NEAR(p.pressure.takeExcess(p.now), 250, 1e-9);
  EXPECT_EQ(p.memory(0.8, 900), Stage::shed);
  EXPECT_EQ(p.pressure.takeExcess(p.now), 0);  // what was shed needs a while
  EXPECT_EQ(p.memory(0.7, 100), Stage::shed);
  EXPECT_NEAR(p.pressure.takeExcess(p.now), 150, 1e-9);
  EXPECT_EQ(p.memory(0.6), Stage::shed);
  EXPECT_EQ(p.memory(0.5, 2000), Stage::none);
  EXPECT_EQ(p.pressure.takeExcess(p.now), 0);
  EXPECT_EQ(p.memory(1), Stage::slow);  // reads are refused by now: there is no hurry
}

TEST(PressureCore, ABurstOrOneLongHandlerIsNoStandingQueue) {
  Pressed p;
  EXPECT_EQ(p.delay(600), Stage::none);                             // one long handler
  for (int i = 0; i < 5; ++i) EXPECT_EQ(p.delay(60), Stage::none);  // 50 ms of a burst
  EXPECT_EQ(p.delay(3), Stage::none);
  for (int round = 0; round < 20; ++round) {  // never a whole interval
    for (int i = 0; i < 98; ++i) EXPECT_EQ(p.delay(200), Stage::none);
    EXPECT_EQ(p.delay(10), Stage::none);
  }
}

TEST(PressureCore, AQueueThatStandsForAnIntervalIsPressureAndForTwoIsShed) {
  Pressed p;
  std::array<double, 3> first{};
  for (int i = 0; i < 400; ++i) {
    const auto stage = static_cast<std::size_t>(p.delay(60));
    if (first[stage] == 0) first[stage] = p.now;
  }
  EXPECT_NEAR(first[1] - first[0], 1000, 11);
  EXPECT_NEAR(first[2] - first[0], 2000, 11);
  EXPECT_EQ(p.delay(40), Stage::shed);  // under the target, but not well under it
  EXPECT_EQ(p.delay(20), Stage::none);
}

TEST(PressureCore, TheShareToShedRisesWhileItStandsAndFallsAfter) {
  Pressed p;
  for (int i = 0; i < 201; ++i) p.delay(60);
  EXPECT_EQ(p.pressure.stage(), Stage::shed);
  EXPECT_NEAR(p.pressure.share(), 0.1, 1e-9);
  for (int i = 0; i < 100; ++i) p.delay(60, 35);
  EXPECT_NEAR(p.pressure.share(), 0.4, 1e-9);
  for (int i = 0; i < 1000; ++i) p.delay(60, 35);
  EXPECT_NEAR(p.pressure.share(), 0.9, 1e-9);  // never all
  EXPECT_EQ(p.delay(1), Stage::none);
  EXPECT_FALSE(p.pressure.calm());
  double last = p.pressure.share();
  for (int i = 0; i < 400; ++i) {
    p.delay(1, 35);
    EXPECT_LE(p.pressure.share(), last);
    last = p.pressure.share();
  }
  EXPECT_TRUE(p.pressure.calm());
}

TEST(PressureCore, ExpectsASpellToLastAsUsualOrAsLongAgain) {
  Pressed p;
  EXPECT_EQ(p.pressure.lasts(p.now), 0);
  p.memory(0.8);
  EXPECT_NEAR(p.pressure.lasts(p.now), 1000, 1e-9);  // an interval at least
  EXPECT_NEAR(p.pressure.lasts(p.now + 6000), 6000, 1e-9);
  p.memory(0.1, 8000);
  p.memory(0.8, 8000);
  EXPECT_NEAR(p.pressure.lasts(p.now), 8000, 1e-9);
  EXPECT_NEAR(p.pressure.lasts(p.now + 1000), 7000, 1e-9);
}

TEST(PressureCore, KeepsItsBoundsOverAnySequence) {
  for (unsigned seed = 0; seed < 200; ++seed) {
    std::mt19937 random(seed);
    std::uniform_real_distribution<> part(0, 1);
    Pressed p;
    for (int i = 0; i < 500; ++i) {
      const double memory = part(random);
      if (i % 3 == 0)
        p.pressure.level(p.now, Source::descriptors, part(random), 1);
      else if (i % 3 == 1)
        p.delay(100 * part(random), 300 * part(random));
      p.memory(memory, 50 * part(random));
      ASSERT_GE(p.pressure.share(), 0);
      ASSERT_LE(p.pressure.share(), 0.9 + 1e-9);
      if (const double excess = p.pressure.takeExcess(p.now); excess != 0) {
        ASSERT_GT(excess, 0);
        ASSERT_EQ(p.pressure.stage(Source::memory), Stage::shed);
      }
      if (memory >= 0.75) {
        ASSERT_NE(p.pressure.stage(), Stage::none);
      }
      if (memory <= 0.55) {
        ASSERT_EQ(p.pressure.stage(Source::memory), Stage::none);
      }
      ASSERT_EQ(p.pressure.lasts(p.now) > 0, p.pressure.stage() != Stage::none);
    }
    for (int i = 0; i < 40; ++i) {
      p.pressure.level(p.now, Source::descriptors, 0, 1);
      p.delay(0);
      p.memory(0, 300);
    }
    EXPECT_TRUE(p.pressure.calm()) << seed;
  }
}

TEST(PlaceFigures, WhatWaitsLeavesByItselfAndTheFirstIsTheOldest) {
  WaitQueues places;
  {
    WaitQueues::Waiting a, b;
    a.enter(places, WaitAt::held, 100);
    b.enter(places, WaitAt::held, 300);
    EXPECT_EQ(places.figures(WaitAt::held, 1000).waiting, 2u);
    EXPECT_EQ(places.figures(WaitAt::held, 1000).oldest, 900);
    a.enter(places, WaitAt::answerWrite, 1000);  // from one place to the next
    EXPECT_EQ(places.figures(WaitAt::held, 1000).oldest, 700);
    EXPECT_EQ(places.figures(WaitAt::held, 1000).most, 2u);
    b.leave();
    b.leave();
    EXPECT_EQ(places.waiting(WaitAt::held), 0u);
    EXPECT_EQ(places.waiting(WaitAt::answerWrite), 1u);
  }
  EXPECT_EQ(places.waiting(WaitAt::answerWrite), 0u);
  places.turnAway(WaitAt::noRoom, 3);
  EXPECT_EQ(places.figures(WaitAt::noRoom, 1000).turnedAway, 3u);
  EXPECT_NE(places.logLine(1000).find("wait.no_room=0/0/0/3"), std::string::npos) << places.logLine(1000);
}

// A place without a name, without its four figures or without a row in the map is one that nobody looks
// after.
TEST(PlaceFigures, EveryPlaceIsNamedReportedAndOnTheMap) {
  std::ifstream page(std::string(WINGSLIP_ROOT) + "/docs/design.md");
  std::stringstream design;
  design << page.rdbuf();
  const std::string text = WaitQueues().telemetry(0);
  std::set<std::string_view> names;
  for (const std::string_view name : kPlaceNames) {
    ASSERT_FALSE(name.empty());
    EXPECT_TRUE(names.insert(name).second) << name;
    for (const char* figure : {".now:0|g\n", ".most:0|g\n", ".oldest_ms:0|g\n", ".turned_away:0|c\n"})
      EXPECT_NE(text.find("svc.wait." + std::string(name) + figure), std::string::npos) << name << figure;
    EXPECT_NE(design.str().find("\n| `" + std::string(name) + "` |"), std::string::npos) << name;
  }
}

}  // namespace
}  // namespace wingslip

namespace wingslip::decision::test {
namespace {

// Enough workers and quota that nothing but the pressure refuses.
struct Pressed : GatewayHarness {
  static Settings wide() {
    Settings s = testSettings();
    s.maxRetryAfterMs = 4000;
    for (PlanSettings& plan : s.plans)
      plan.rate = 1000, plan.burst = 2000, plan.maxConcurrent = 0, plan.ceilingRate = 0;
    s.plans.resize(2);
    s.plans[1].price = 2;
    return s;
  }
  explicit Pressed(const Settings& s = wide(), std::uint64_t salt = 7) : GatewayHarness(s, 0, salt) {
    std::vector<Endpoint> workers;
    for (WorkerId id = 1; id <= 40; ++id) workers.push_back(endpoint(id));
    updateEndpoints(workers);
  }
  RequestId askFor(double bytes, unsigned klass = 0, unsigned plan = 0, CustomerId customer = 1) {
    gateway.onRequest(now, {++lastRequest, klass, plan, customer, now + 3000, 1, 2, bytes});
    return lastRequest;
  }
  void press(double share, double excess = 0, Time lasts = 1000) {
    gateway.onOverload(now, {true, excess > 0, share, excess, lasts});
  }
};

TEST(Shedding, WithoutPressureNothingChanges) {
  Pressed plain, told;
  told.gateway.onOverload(0, {});
  for (int i = 0; i < 200; ++i) {
    for (Pressed* p : {&plain, &told}) {
      p->now += 7;
      const RequestId id = p->askFor(p == &told ? 1e6 : 0, static_cast<unsigned>(i % 3), 0, 1 + i % 5);
      if (i % 2 && p->wasForwarded(id)) p->endAttempt(id, AttemptResult::ok, 50, 30);
    }
  }
  EXPECT_EQ(plain.recorder.startedAttempts.size(), told.recorder.startedAttempts.size());
  EXPECT_EQ(plain.recorder.rejected, told.recorder.rejected);
  for (std::size_t i = 0; i < plain.recorder.startedAttempts.size(); ++i)
    EXPECT_EQ(plain.recorder.startedAttempts[i].worker, told.recorder.startedAttempts[i].worker);
}

TEST(Shedding, ThoseBeyondTheirQuotaAreRefusedFirst) {
  Settings s = Pressed::wide();
  s.plans[1].rate = 1, s.plans[1].burst = 4;
  Pressed p(s);
  p.press(0);  // pressed, but nothing has to be shed
  unsigned refused = 0;
  for (int i = 0; i < 12; ++i) {
    EXPECT_TRUE(p.wasForwarded(p.askFor(1000, 0, 0, 1))) << "within its quota";
    refused += p.wasRejected(p.askFor(1000, 0, 1, 2));
  }
  EXPECT_GE(refused, 8u);
}

TEST(Shedding, HeldRequestsGiveBackTheLeastWorthForWhatTheyHold) {
  Pressed p;
  const RequestId small = p.askFor(2000), large = p.askFor(200000), dear = p.askFor(200000, 0, 1);
  p.press(0, 1000);
  EXPECT_TRUE(p.wasRejected(large));
  EXPECT_FALSE(p.wasRejected(small) || p.wasRejected(dear));
  p.press(0, 1000);
  EXPECT_TRUE(p.wasRejected(dear));
  p.press(0, 0);
  EXPECT_FALSE(p.wasRejected(small));
  EXPECT_EQ(p.gateway.requestsInFlight(), 1u);
  p.endAttempt(large, AttemptResult::cancelled);  // what comes of it later changes nothing
  EXPECT_EQ(p.recorder.finalAnswers[large], 1u);
}

TEST(Shedding, WhatIsBeingAnsweredGoesLastAndFails) {
  Pressed p;
  const RequestId answered = p.askFor(400000), other = p.askFor(2000);
  p.gateway.onResponseStarted(p.now, answered);
  p.press(0, 1500);
  EXPECT_TRUE(p.wasRejected(other));
  EXPECT_FALSE(p.hasFailed(answered) || p.wasRejected(answered));
  p.press(0, 1500);
  EXPECT_TRUE(p.hasFailed(answered));
  EXPECT_EQ(p.gateway.requestsInFlight(), 0u);
}

// What is out may have run: a refusal would say that trying again is harmless.
TEST(Shedding, OneThatMayHaveRunIsRefusedOnlyWhereARepeatIsHarmless) {
  Pressed p;
  const RequestId safe = p.askFor(1e6, 0), unsafe = p.askFor(1e6, 2);
  p.press(0, 1e9);
  EXPECT_TRUE(p.wasRejected(safe));
  EXPECT_TRUE(p.hasFailed(unsafe));
}

TEST(Shedding, AShareOfNewRequestsIsRefusedThoseOfLeastWorth) {
  Pressed p;
  p.press(0.3);
  unsigned refusedCheap = 0, refusedDear = 0, n = 2000;
  for (unsigned i = 0; i < n; ++i) {
    p.now += 5;
    const bool cheap = i % 2;
    const RequestId id = p.askFor(1000, 0, cheap ? 0 : 1, 1 + i % 50);
    (cheap ? refusedCheap : refusedDear) += p.wasRejected(id);
    if (p.wasForwarded(id)) p.endAttempt(id, AttemptResult::ok, 50);
  }
  EXPECT_NEAR(refusedCheap + refusedDear, 0.3 * n, 0.06 * n);
  EXPECT_GT(refusedCheap, 20 * refusedDear);
}

// Gatekeepers that shed at the same moment must not bring all clients back at the same moment.
TEST(Shedding, TheAdviceIsSpreadOverTheSecondHalfOfTheExpectedTime) {
  std::vector<Time> waits;
  for (std::uint64_t salt = 0; salt < 300; ++salt) {
    Pressed p(Pressed::wide(), salt);
    const RequestId id = p.askFor(1e6);
    p.press(0, 1, 2000);
    waits.push_back(p.recorder.rejected.at(id));
  }
  std::sort(waits.begin(), waits.end());
  EXPECT_GE(waits.front(), 1000);
  EXPECT_LE(waits.back(), 2000);
  for (std::size_t i = 0; i < 10; ++i) {  // no tenth of the time gets more than a fifth of them
    const auto in = std::count_if(waits.begin(), waits.end(), [&](Time w) {
      return w >= 1000 + 100.0 * static_cast<double>(i) && w < 1100 + 100.0 * static_cast<double>(i);
    });
    EXPECT_LT(in, 60) << i;
  }
  Pressed p;
  const RequestId id = p.askFor(1e6);
  p.press(0, 1, 1e9);
  EXPECT_LE(p.recorder.rejected.at(id), 4000);  // the settings' most
}

}  // namespace
}  // namespace wingslip::decision::test
