// What only shows where gateways are many and each has few requests.
#include <algorithm>
#include <cmath>
#include <memory>
#include <random>
#include <set>
#include <utility>

#include "recorder.hpp"

namespace wingslip::decision::test {
namespace {

Settings manyGateways() {
  Settings s = settings();
  s.gatewayCount = 100;
  s.plans[0].rate = 1.4, s.plans[0].burst = 16;
  return s;
}

std::vector<Endpoint> workers(WorkerId count) {
  std::vector<Endpoint> out;
  for (WorkerId w = 1; w <= count; ++w) out.push_back(member(w));
  return out;
}

// Burst over the gateways is less than one request here. The store of a customer that nobody has seen is
// full, so its first request of the usual size is let in at every gateway; larger ones wait until the bucket
// has filled.
TEST(Fleet, ABucketStartsWithOneUsualRequestAtLeast) {
  Bench b(manyGateways());
  b.list(workers(60));
  unsigned in = 0;
  for (CustomerId c = 1; c <= 40; ++c) {
    b.now += 10;
    const RequestId id = b.ask(0, 0, c, 2, 80);
    if (!b.wasSent(id)) continue;
    ++in;
    b.end(id, AttemptResult::ok, 50);
  }
  EXPECT_EQ(in, 40u);
  EXPECT_TRUE(b.wasRefused(b.ask(0, 0, 100, 8, 80)));
  EXPECT_TRUE(b.wasRefused(b.ask(0, 0, 1, 2, 80)));  // it was one request, not one each time
}

// A worker that has just started answers several times slower than a warm one, whatever it is sent. That says
// nothing of how much the warm ones bear.
TEST(Fleet, LateAnswersOfAColdWorkerLeaveTheGatewaysLimit) {
  Settings s = settings();
  s.gatewayCount = 1;
  s.plans[0].rate = 1000, s.plans[0].burst = 100000;
  Bench b(s, 100000);
  b.list({member(1), member(2, 0, b.now)});
  b.gateway.seedWarmWorkerRate(b.now, 0.1);
  const RequestId held[] = {b.ask(2, 0, 900), b.ask(2, 0, 901)};  // the warm one is busy for a while
  unsigned late = 0;
  for (int i = 0; i < 100; ++i) {
    b.now += 50;
    const RequestId id = b.ask(2, 0, b.last);
    if (!b.wasSent(id)) continue;
    const bool cold = b.lastWorker() == 2;
    late += cold;
    b.end(id, AttemptResult::ok, cold ? 900 : 100);
  }
  ASSERT_GE(late, 20u);
  for (const RequestId id : held) b.end(id, AttemptResult::ok, 100);
  unsigned out = 0;
  while (b.wasSent(b.ask(2, 0, b.last))) ++out;
  EXPECT_GE(out, 10u);
}

// Of a hundred gateways with few requests each, every one keeps to a part of the workers, and every worker
// has as many gateways as any other; a worker that leaves the list moves few. A few gateways use all workers.
TEST(Fleet, GatewaysShareOutTheWorkersEvenly) {
  const auto used = [](unsigned gateways, unsigned self, const std::vector<Endpoint>& list) {
    Settings s = settings();
    s.gatewayCount = gateways, s.gatewayIndex = self;
    s.plans[0].rate = 1000, s.plans[0].burst = 100000;
    Bench b(s);
    b.list(list);
    std::set<WorkerId> out;
    for (int i = 0; i < 200; ++i) {
      b.now += 100;
      const RequestId id = b.ask(2, 0, b.last, 1, gateways);
      if (!b.wasSent(id)) continue;
      out.insert(b.lastWorker());
      b.end(id, AttemptResult::ok, 50);
    }
    return out;
  };
  const std::vector<Endpoint> all = workers(60);
  std::map<WorkerId, unsigned> sharers;
  unsigned moved = 0;
  for (unsigned self = 0; self < 100; ++self) {
    const std::set<WorkerId> own = used(100, self, all);
    EXPECT_LE(own.size(), 13u);
    for (const WorkerId w : own) ++sharers[w];
    if (self >= 10) continue;
    std::set<WorkerId> then = used(100, self, {all.begin(), all.end() - 1});
    for (const WorkerId w : own) moved += w != all.back().worker && !then.contains(w);
  }
  EXPECT_EQ(sharers.size(), 60u);
  for (const auto& [worker, count] : sharers) {
    EXPECT_GE(count, 16u);
    EXPECT_LE(count, 20u);
  }
  EXPECT_LE(moved, 10u);  // one for each of the ten that were looked at
  EXPECT_EQ(used(3, 1, workers(9)).size(), 9u);
}

// Sixteen times the workers, each a sixteenth as large, and the same traffic at each gateway: it goes on
// using few of them, within the bound on connections made (2.5 times and 40), and every worker keeps its
// sharers.
TEST(Fleet, ALongerListMakesAGatewayUseFewMoreWorkers) {
  const auto used = [](unsigned gateways, unsigned self, WorkerId count) {
    Settings s = settings();
    s.gatewayCount = gateways, s.gatewayIndex = self;
    s.plans[0].rate = 1000, s.plans[0].burst = 100000;
    Bench b(s);
    b.list(workers(count));
    std::set<WorkerId> out;
    for (int i = 0; i < 800; ++i) {
      b.now += 50;
      const RequestId id = b.ask(2, 0, b.last, 1, gateways);
      if (!b.wasSent(id)) continue;
      out.insert(b.lastWorker());
      b.end(id, AttemptResult::ok, 50);
    }
    return out;
  };
  struct Growth {
    unsigned gatewayCount, gatewaysThen;
    WorkerId workers;
  };
  for (const Growth& g : {Growth{40, 40, 26}, Growth{300, 300, 200}, Growth{300, 900, 200}}) {
    const std::size_t before = used(g.gatewayCount, 7, g.workers).size();
    const std::size_t then = used(g.gatewaysThen, 7, 16 * g.workers).size();
    EXPECT_LE(then, 2.5 * static_cast<double>(before) + 40) << g.gatewaysThen << " gateways";
  }
  std::map<WorkerId, unsigned> sharers;
  for (unsigned self = 0; self < 40; ++self)
    for (const WorkerId w : used(40, self, 416)) ++sharers[w];
  EXPECT_EQ(sharers.size(), 416u);
  for (const auto& [worker, count] : sharers) EXPECT_GE(count, 3u) << worker;
}

// Workers that drain for a while leave the others where they are: no gateway has to open connections to
// workers that it did not use before.
TEST(Fleet, WorkersThatDrainMoveNoOthers) {
  Settings s = settings();
  s.gatewayCount = 40, s.gatewayIndex = 37;
  s.plans[0].rate = 1000, s.plans[0].burst = 100000;
  Bench b(s);
  std::vector<Endpoint> list = workers(416);
  b.list(list);
  const auto used = [&] {
    std::set<WorkerId> out;
    for (int i = 0; i < 800; ++i) {
      b.now += 50;
      const RequestId id = b.ask(2, 0, b.last, 1, s.gatewayCount);
      if (!b.wasSent(id)) continue;
      out.insert(b.lastWorker());
      b.end(id, AttemptResult::ok, 50);
    }
    return out;
  };
  const std::set<WorkerId> before = used();
  for (std::size_t i = 0; i < list.size(); i += 8) list[i].phase = WorkerPhase::draining;
  b.list(list);
  for (const WorkerId worker : used()) EXPECT_TRUE(before.contains(worker)) << worker;
}

// The budget of a cold worker holds over all gateways together, though only some of them use it, and is used.
TEST(Fleet, TogetherGatewaysKeepToAColdWorkersBudgetAndUseIt) {
  Settings s = settings();
  s.gatewayCount = 100;
  s.plans[0].rate = 1000, s.plans[0].burst = 100000;
  std::vector<std::unique_ptr<Bench>> all;
  for (unsigned self = 0; self < s.gatewayCount; ++self) {
    s.gatewayIndex = self;
    all.push_back(std::make_unique<Bench>(s, 100000, 1 + self));
    all.back()->list(workers(60));
  }
  const double perMs = 0.7;
  std::vector<Time> sends;  // to the worker that restarts at 110,000
  for (Time now = 100000; now < 118000; now += 1 / perMs) {
    if (now >= 110000 && now < 110000 + 1 / perMs)
      for (const auto& b : all) {
        b->now = now;
        b->list({member(60, 0, 110000)}, EndpointUpdate::delta);
      }
    Bench& b = *all[static_cast<std::size_t>(now * 7919) % all.size()];
    b.now = now;
    const RequestId id = b.ask(2, 0, b.last, 1, 100);
    if (!b.wasSent(id)) continue;
    if (b.lastWorker() == 60 && now > 110000) sends.push_back(now);
    b.end(id, AttemptResult::ok, 100);
  }
  const double warm = perMs / 60;  // what a warm worker gets
  for (const Time from : sends) {
    const auto within = std::count_if(sends.begin(), sends.end(),
                                      [&](Time t) { return t >= from && t < from + s.overloadWindowMs; });
    const double warmth = s.slowStartShare + (1 - s.slowStartShare) * (from - 110000) / s.slowStartMs;
    EXPECT_LE(static_cast<double>(within), s.overloadMultiple * warmth * warm * s.overloadWindowMs + 4)
        << from;
  }
  EXPECT_GE(sends.size(), 20u);  // of 8,000 ms at 0.2 to 0.84 of a warm one's 11.7 a second
}

// The same for fleets of every size with uneven traffic that shifts, when half of the gateways have just
// started: beyond the budget of N requests only 2 x root of N + 2 are put down to chance.
TEST(Fleet, AColdWorkersBudgetHoldsForFleetsOfEverySize) {
  for (const unsigned gateways : {1u, 5u, 20u, 30u, 300u, 350u}) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
      Settings s = settings();
      s.gatewayCount = gateways;
      s.plans[0].rate = 1000, s.plans[0].burst = 100000;
      std::mt19937_64 random(seed);
      const auto chance = [&] { return std::uniform_real_distribution<>(0, 1)(random); };
      const unsigned count = gateways < 100 ? 10 : 60;
      std::vector<std::unique_ptr<Bench>> all;
      for (s.gatewayIndex = 0; s.gatewayIndex < gateways; ++s.gatewayIndex) {
        all.push_back(std::make_unique<Bench>(s, 100000, seed * 1000 + s.gatewayIndex));
        all.back()->list(workers(count));
      }
      const double perMs = 0.02 * count, warm = perMs / count;  // twenty a second at each worker
      std::vector<Time> sends;
      Time now = 100000;
      const auto drive = [&](Time until, double lean) {
        for (; now < until; now += 1 / perMs) {
          Bench& b = *all[static_cast<std::size_t>(std::pow(chance(), lean) * gateways)];
          b.now = now;
          const RequestId id = b.ask(2, 0, b.last, 1, gateways);
          if (!b.wasSent(id)) continue;
          if (b.lastWorker() == count && now >= 112000) sends.push_back(now);
          b.end(id, AttemptResult::ok, 50);
        }
      };
      drive(112000, 2);  // most comes to the first ones
      for (s.gatewayIndex = 0; s.gatewayIndex < gateways; ++s.gatewayIndex) {
        if (s.gatewayIndex % 2 == 1) {
          all[s.gatewayIndex] = std::make_unique<Bench>(s, now, seed * 7000 + s.gatewayIndex);
          all[s.gatewayIndex]->list(workers(count));
        }
        all[s.gatewayIndex]->now = now;
        all[s.gatewayIndex]->list({member(count, 0, now)}, EndpointUpdate::delta);
      }
      drive(120000, 0.5);  // and now to the last
      for (const Time from : sends) {
        const auto within = std::count_if(sends.begin(), sends.end(),
                                          [&](Time t) { return t >= from && t < from + s.overloadWindowMs; });
        const double budget = s.overloadMultiple *
                              (s.slowStartShare + (1 - s.slowStartShare) * (from - 112000) / s.slowStartMs) *
                              warm * s.overloadWindowMs;
        ASSERT_LE(static_cast<double>(within), budget + 2 * std::sqrt(budget) + 2)
            << gateways << " gateways, seed " << seed << ", " << from - 112000 << " ms after the start";
      }
      EXPECT_GE(sends.size(), 10u) << gateways;
    }
  }
}

// Customers' stores as they truly are, and the meter that tells of them a period late.
struct Quotas {
  struct One {
    double store = 16, ideal = 16, used = 0, metered = -1;
    Time at = 0;
  };
  const PlanSettings plan;
  std::map<CustomerId, One> all;
  double inside = 0, beyond = 0, offered = 0;

  // A try for this many units, let in or not.
  void note(CustomerId id, Time now, double units, bool in) {
    One& c = all[id];
    const double fill = plan.rate * (now - std::exchange(c.at, now)) / 1000;
    c.store = std::min(plan.burst, c.store + fill), c.ideal = std::min(plan.burst, c.ideal + fill);
    if (c.ideal >= units) c.ideal -= units, offered += units;
    if (!in) return;
    c.used += units;
    if (c.store >= units)
      c.store -= units, inside += units;
    else
      beyond += units;
  }
  void endPeriod() {
    for (auto& [id, c] : all) c.metered = 100 * std::exchange(c.used, 0) / plan.rate;
  }
};

// One of ten customers asks for four times its rate, and each gateway sees a customer once or twice in all:
// work beyond quotas costs a tenth of what is asked inside, and most of what is inside is served.
TEST(Fleet, TogetherGatewaysHoldQuotasOfCustomersThatEachSeesOnce) {
  for (const std::uint64_t seed : {1u, 2u}) {
    Settings s = settings();
    s.gatewayCount = 200, s.maxUnits = 8;
    s.plans[0].rate = 2, s.plans[0].burst = 16;
    std::mt19937_64 random(seed);
    const auto chance = [&] { return std::uniform_real_distribution<>(0, 1)(random); };
    std::vector<std::unique_ptr<Bench>> fleet;
    for (s.gatewayIndex = 0; s.gatewayIndex < s.gatewayCount; ++s.gatewayIndex) {
      fleet.push_back(std::make_unique<Bench>(s, 100000, seed * 1000 + s.gatewayIndex));
      fleet.back()->list(workers(60));
    }
    Quotas quotas{s.plans[0], {}};
    for (Time now = 100000; now < 125000; now += 2) {
      if (std::fmod(now, s.quotaReadingPeriodMs) < 2) quotas.endPeriod();
      if (chance() > 0.9) continue;
      const bool heavy = chance() < 0.56;  // 100 customers at 4 times the rate, 900 at 0.35
      const CustomerId id = 1 + static_cast<CustomerId>(chance() * (heavy ? 100 : 900)) + (heavy ? 0 : 100);
      static constexpr double kSizes[] = {1, 1, 1, 1, 2, 2, 4, 8};
      const double units = kSizes[static_cast<std::size_t>(chance() * 8)];
      Bench& b = *fleet[static_cast<std::size_t>(chance() * s.gatewayCount)];
      b.now = now;
      const RequestId request = b.ask(0, 0, id, units, s.gatewayCount);
      const bool in = b.wasSent(request);
      quotas.note(id, now, units, in);
      if (in) b.end(request, AttemptResult::ok, 50, static_cast<int>(quotas.all[id].metered));
    }
    EXPECT_LT(quotas.beyond / quotas.offered, 0.13) << seed;
    EXPECT_GT(quotas.inside / quotas.offered, 0.6) << seed;
  }
}

// Where gateways are few each has met its customers before long, and nobody is refused for being new.
TEST(Fleet, AFewGatewaysLetNewCustomersIn) {
  Settings s = settings();
  s.gatewayCount = 3, s.maxUnits = 8;
  s.plans[0].rate = 2, s.plans[0].burst = 16;
  Bench b(s, 100000);
  b.list(workers(8));
  b.now += 20000;  // buckets of customers not seen yet have filled
  for (CustomerId c = 1; c <= 100; ++c) {
    const RequestId id = b.ask(0, 0, c, 8, 3);
    ASSERT_TRUE(b.wasSent(id)) << c;
    b.end(id, AttemptResult::ok, 50, 400);
  }
}

}  // namespace
}  // namespace wingslip::decision::test
