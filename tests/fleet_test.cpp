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
  Settings settings = testSettings();
  settings.gatewayCount = 100;
  settings.plans[0].rate = 1.4;
  settings.plans[0].burst = 16;
  return settings;
}

std::vector<Endpoint> workers(WorkerId count) {
  std::vector<Endpoint> out;
  for (WorkerId worker = 1; worker <= count; ++worker) out.push_back(endpoint(worker));
  return out;
}

// Burst over the gateways is less than one request here. The quota of a customer that nobody has seen is
// full, so its first request of the usual size is admitted at every gateway; larger ones wait until the
// bucket has filled.
TEST(Fleet, ABucketStartsWithOneUsualRequestAtLeast) {
  GatewayHarness harness(manyGateways());
  harness.updateEndpoints(workers(60));
  unsigned admitted = 0;
  for (CustomerId customer = 1; customer <= 40; ++customer) {
    harness.now += 10;
    const RequestId id = harness.sendRequest(0, 0, customer, 2, 80);
    if (!harness.wasForwarded(id)) continue;
    ++admitted;
    harness.endAttempt(id, AttemptResult::ok, 50);
  }
  EXPECT_EQ(admitted, 40u);
  EXPECT_TRUE(harness.wasRejected(harness.sendRequest(0, 0, 100, 8, 80)));
  EXPECT_TRUE(
      harness.wasRejected(harness.sendRequest(0, 0, 1, 2, 80)));  // it was one request, not one each time
}

// A worker that has just started answers several times slower than a warm one, whatever it is sent. That says
// nothing of how much the warm ones bear.
TEST(Fleet, LateAnswersOfAWarmingWorkerLeaveTheGatewaysLimit) {
  Settings settings = testSettings();
  settings.gatewayCount = 1;
  settings.plans[0].rate = 1000;
  settings.plans[0].burst = 100000;
  GatewayHarness harness(settings, 100000);
  harness.updateEndpoints({endpoint(1), endpoint(2, 0, harness.now)});
  harness.gateway.seedWarmWorkerRate(harness.now, 0.1);
  const RequestId held[] = {harness.sendRequest(2, 0, 900),
                            harness.sendRequest(2, 0, 901)};  // the warm one is busy for a while
  unsigned late = 0;
  for (int i = 0; i < 100; ++i) {
    harness.now += 50;
    const RequestId id = harness.sendRequest(2, 0, harness.lastRequest);
    if (!harness.wasForwarded(id)) continue;
    const bool warmingUp = harness.lastWorker() == 2;
    late += warmingUp;
    harness.endAttempt(id, AttemptResult::ok, warmingUp ? 900 : 100);
  }
  ASSERT_GE(late, 20u);
  for (const RequestId id : held) harness.endAttempt(id, AttemptResult::ok, 100);
  unsigned out = 0;
  while (harness.wasForwarded(harness.sendRequest(2, 0, harness.lastRequest))) ++out;
  EXPECT_GE(out, 10u);
}

// Of a hundred gateways with few requests each, every one keeps to a part of the workers, and every worker
// has as many gateways as any other; a worker that leaves the list moves few. A few gateways use all workers.
TEST(Fleet, SubsetsCoverTheWorkersEvenly) {
  const auto used = [](unsigned gateways, unsigned gatewayIndex, const std::vector<Endpoint>& list) {
    Settings settings = testSettings();
    settings.gatewayCount = gateways;
    settings.gatewayIndex = gatewayIndex;
    settings.plans[0].rate = 1000;
    settings.plans[0].burst = 100000;
    GatewayHarness harness(settings);
    harness.updateEndpoints(list);
    std::set<WorkerId> out;
    for (int i = 0; i < 200; ++i) {
      harness.now += 100;
      const RequestId id = harness.sendRequest(2, 0, harness.lastRequest, 1, gateways);
      if (!harness.wasForwarded(id)) continue;
      out.insert(harness.lastWorker());
      harness.endAttempt(id, AttemptResult::ok, 50);
    }
    return out;
  };
  const std::vector<Endpoint> all = workers(60);
  std::map<WorkerId, unsigned> gatewaysOfWorker;
  unsigned movedWorkers = 0;
  for (unsigned gatewayIndex = 0; gatewayIndex < 100; ++gatewayIndex) {
    const std::set<WorkerId> subset = used(100, gatewayIndex, all);
    EXPECT_LE(subset.size(), 13u);
    for (const WorkerId worker : subset) ++gatewaysOfWorker[worker];
    if (gatewayIndex >= 10) continue;
    std::set<WorkerId> then = used(100, gatewayIndex, {all.begin(), all.end() - 1});
    for (const WorkerId worker : subset)
      movedWorkers += worker != all.back().worker && !then.contains(worker);
  }
  EXPECT_EQ(gatewaysOfWorker.size(), 60u);
  for (const auto& [worker, count] : gatewaysOfWorker) {
    EXPECT_GE(count, 16u);
    EXPECT_LE(count, 20u);
  }
  EXPECT_LE(movedWorkers, 10u);  // one for each of the ten that were looked at
  EXPECT_EQ(used(3, 1, workers(9)).size(), 9u);
}

// Sixteen times the workers, each a sixteenth as large, and the same traffic at each gateway: it goes on
// using few of them, within the bound on connections made (2.5 times and 40), and every worker keeps its
// number of gateways.
TEST(Fleet, ALongerListMakesAGatewayUseFewMoreWorkers) {
  const auto used = [](unsigned gateways, unsigned gatewayIndex, WorkerId count) {
    Settings settings = testSettings();
    settings.gatewayCount = gateways;
    settings.gatewayIndex = gatewayIndex;
    settings.plans[0].rate = 1000;
    settings.plans[0].burst = 100000;
    GatewayHarness harness(settings);
    harness.updateEndpoints(workers(count));
    std::set<WorkerId> out;
    for (int i = 0; i < 800; ++i) {
      harness.now += 50;
      const RequestId id = harness.sendRequest(2, 0, harness.lastRequest, 1, gateways);
      if (!harness.wasForwarded(id)) continue;
      out.insert(harness.lastWorker());
      harness.endAttempt(id, AttemptResult::ok, 50);
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
  std::map<WorkerId, unsigned> gatewaysOfWorker;
  for (unsigned gatewayIndex = 0; gatewayIndex < 40; ++gatewayIndex)
    for (const WorkerId worker : used(40, gatewayIndex, 416)) ++gatewaysOfWorker[worker];
  EXPECT_EQ(gatewaysOfWorker.size(), 416u);
  for (const auto& [worker, count] : gatewaysOfWorker) EXPECT_GE(count, 3u) << worker;
}

// Workers that drain for a while leave the others in their subsets: no gateway has to open connections to
// workers that it did not use before.
TEST(Fleet, DrainingWorkersLeaveTheSubsetAsItIs) {
  Settings settings = testSettings();
  settings.gatewayCount = 40;
  settings.gatewayIndex = 37;
  settings.plans[0].rate = 1000;
  settings.plans[0].burst = 100000;
  GatewayHarness harness(settings);
  std::vector<Endpoint> list = workers(416);
  harness.updateEndpoints(list);
  const auto used = [&] {
    std::set<WorkerId> out;
    for (int i = 0; i < 800; ++i) {
      harness.now += 50;
      const RequestId id = harness.sendRequest(2, 0, harness.lastRequest, 1, settings.gatewayCount);
      if (!harness.wasForwarded(id)) continue;
      out.insert(harness.lastWorker());
      harness.endAttempt(id, AttemptResult::ok, 50);
    }
    return out;
  };
  const std::set<WorkerId> before = used();
  for (std::size_t i = 0; i < list.size(); i += 8) list[i].phase = WorkerPhase::draining;
  harness.updateEndpoints(list);
  for (const WorkerId worker : used()) EXPECT_TRUE(before.contains(worker)) << worker;
}

// The budget of a warming worker holds over all gateways together, though only some of them use it, and is
// used.
TEST(Fleet, GatewaysTogetherKeepToAWarmingWorkersBudgetAndUseIt) {
  Settings settings = testSettings();
  settings.gatewayCount = 100;
  settings.plans[0].rate = 1000;
  settings.plans[0].burst = 100000;
  std::vector<std::unique_ptr<GatewayHarness>> all;
  for (unsigned gatewayIndex = 0; gatewayIndex < settings.gatewayCount; ++gatewayIndex) {
    settings.gatewayIndex = gatewayIndex;
    all.push_back(std::make_unique<GatewayHarness>(settings, 100000, 1 + gatewayIndex));
    all.back()->updateEndpoints(workers(60));
  }
  const double perMs = 0.7;
  std::vector<Time> sends;  // to the worker that restarts at 110,000
  for (Time now = 100000; now < 118000; now += 1 / perMs) {
    if (now >= 110000 && now < 110000 + 1 / perMs)
      for (const auto& harness : all) {
        harness->now = now;
        harness->updateEndpoints({endpoint(60, 0, 110000)}, EndpointUpdate::delta);
      }
    GatewayHarness& harness = *all[static_cast<std::size_t>(now * 7919) % all.size()];
    harness.now = now;
    const RequestId id = harness.sendRequest(2, 0, harness.lastRequest, 1, 100);
    if (!harness.wasForwarded(id)) continue;
    if (harness.lastWorker() == 60 && now > 110000) sends.push_back(now);
    harness.endAttempt(id, AttemptResult::ok, 100);
  }
  const double warm = perMs / 60;  // what a warm worker gets
  for (const Time from : sends) {
    const auto within = std::count_if(sends.begin(), sends.end(), [&](Time t) {
      return t >= from && t < from + settings.overloadWindowMs;
    });
    const double capacityShare =
        settings.slowStartShare + (1 - settings.slowStartShare) * (from - 110000) / settings.slowStartMs;
    EXPECT_LE(static_cast<double>(within),
              settings.overloadMultiple * capacityShare * warm * settings.overloadWindowMs + 4)
        << from;
  }
  EXPECT_GE(sends.size(), 20u);  // of 8,000 ms at 0.2 to 0.84 of a warm one's 11.7 a second
}

// The same for fleets of every size with uneven traffic that shifts, when half of the gateways have just
// started: beyond the budget of N requests only 2 x root of N + 2 are put down to chance.
TEST(Fleet, AWarmingWorkersBudgetHoldsForFleetsOfEverySize) {
  for (const unsigned gateways : {1u, 5u, 20u, 30u, 300u, 350u}) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
      Settings settings = testSettings();
      settings.gatewayCount = gateways;
      settings.plans[0].rate = 1000;
      settings.plans[0].burst = 100000;
      std::mt19937_64 random(seed);
      const auto chance = [&] { return std::uniform_real_distribution<>(0, 1)(random); };
      const unsigned count = gateways < 100 ? 10 : 60;
      std::vector<std::unique_ptr<GatewayHarness>> all;
      for (settings.gatewayIndex = 0; settings.gatewayIndex < gateways; ++settings.gatewayIndex) {
        all.push_back(
            std::make_unique<GatewayHarness>(settings, 100000, seed * 1000 + settings.gatewayIndex));
        all.back()->updateEndpoints(workers(count));
      }
      const double perMs = 0.02 * count, warm = perMs / count;  // twenty a second at each worker
      std::vector<Time> sends;
      Time now = 100000;
      const auto drive = [&](Time until, double lean) {
        for (; now < until; now += 1 / perMs) {
          GatewayHarness& harness = *all[static_cast<std::size_t>(std::pow(chance(), lean) * gateways)];
          harness.now = now;
          const RequestId id = harness.sendRequest(2, 0, harness.lastRequest, 1, gateways);
          if (!harness.wasForwarded(id)) continue;
          if (harness.lastWorker() == count && now >= 112000) sends.push_back(now);
          harness.endAttempt(id, AttemptResult::ok, 50);
        }
      };
      drive(112000, 2);  // most comes to the first ones
      for (settings.gatewayIndex = 0; settings.gatewayIndex < gateways; ++settings.gatewayIndex) {
        if (settings.gatewayIndex % 2 == 1) {
          all[settings.gatewayIndex] =
              std::make_unique<GatewayHarness>(settings, now, seed * 7000 + settings.gatewayIndex);
          all[settings.gatewayIndex]->updateEndpoints(workers(count));
        }
        all[settings.gatewayIndex]->now = now;
        all[settings.gatewayIndex]->updateEndpoints({endpoint(count, 0, now)}, EndpointUpdate::delta);
      }
      drive(120000, 0.5);  // and now to the last
      for (const Time from : sends) {
        const auto within = std::count_if(sends.begin(), sends.end(), [&](Time t) {
          return t >= from && t < from + settings.overloadWindowMs;
        });
        const double budget = settings.overloadMultiple *
                              (settings.slowStartShare +
                               (1 - settings.slowStartShare) * (from - 112000) / settings.slowStartMs) *
                              warm * settings.overloadWindowMs;
        ASSERT_LE(static_cast<double>(within), budget + 2 * std::sqrt(budget) + 2)
            << gateways << " gateways, seed " << seed << ", " << from - 112000 << " ms after the start";
      }
      EXPECT_GE(sends.size(), 10u) << gateways;
    }
  }
}

// Customers' quotas as they truly are, and the readings that report them a period late.
struct Quotas {
  struct CustomerState {
    double tokens = 16;       // of the quota, as it truly is
    double idealTokens = 16;  // if only requests inside the quota were admitted
    double used = 0;          // units of this period
    double metered = -1;      // percent of the rate, of the period before
    Time at = 0;
  };
  const PlanSettings plan;
  std::map<CustomerId, CustomerState> all;
  double inside = 0, beyond = 0, offered = 0;

  // A request of this many units, admitted or not.
  void note(CustomerId id, Time now, double units, bool admitted) {
    CustomerState& customer = all[id];
    const double fill = plan.rate * (now - std::exchange(customer.at, now)) / 1000;
    customer.tokens = std::min(plan.burst, customer.tokens + fill);
    customer.idealTokens = std::min(plan.burst, customer.idealTokens + fill);
    if (customer.idealTokens >= units) {
      customer.idealTokens -= units;
      offered += units;
    }
    if (!admitted) return;
    customer.used += units;
    if (customer.tokens >= units) {
      customer.tokens -= units;
      inside += units;
    } else {
      beyond += units;
    }
  }
  void endPeriod() {
    for (auto& [id, customer] : all) customer.metered = 100 * std::exchange(customer.used, 0) / plan.rate;
  }
};

// CustomerState of ten customers asks for four times its rate, and each gateway sees a customer once or twice
// in all: work beyond quotas costs a tenth of what is asked inside, and most of what is inside is served.
TEST(Fleet, GatewaysTogetherHoldQuotasOfCustomersThatEachSeesOnce) {
  for (const std::uint64_t seed : {1u, 2u}) {
    Settings settings = testSettings();
    settings.gatewayCount = 200;
    settings.maxUnits = 8;
    settings.plans[0].rate = 2;
    settings.plans[0].burst = 16;
    std::mt19937_64 random(seed);
    const auto chance = [&] { return std::uniform_real_distribution<>(0, 1)(random); };
    std::vector<std::unique_ptr<GatewayHarness>> fleet;
    for (settings.gatewayIndex = 0; settings.gatewayIndex < settings.gatewayCount; ++settings.gatewayIndex) {
      fleet.push_back(
          std::make_unique<GatewayHarness>(settings, 100000, seed * 1000 + settings.gatewayIndex));
      fleet.back()->updateEndpoints(workers(60));
    }
    Quotas quotas{settings.plans[0], {}};
    for (Time now = 100000; now < 125000; now += 2) {
      if (std::fmod(now, settings.quotaReadingPeriodMs) < 2) quotas.endPeriod();
      if (chance() > 0.9) continue;
      const bool heavy = chance() < 0.56;  // 100 customers at 4 times the rate, 900 at 0.35
      const CustomerId id = 1 + static_cast<CustomerId>(chance() * (heavy ? 100 : 900)) + (heavy ? 0 : 100);
      static constexpr double kSizes[] = {1, 1, 1, 1, 2, 2, 4, 8};
      const double units = kSizes[static_cast<std::size_t>(chance() * 8)];
      GatewayHarness& harness = *fleet[static_cast<std::size_t>(chance() * settings.gatewayCount)];
      harness.now = now;
      const RequestId request = harness.sendRequest(0, 0, id, units, settings.gatewayCount);
      const bool admitted = harness.wasForwarded(request);
      quotas.note(id, now, units, admitted);
      if (admitted)
        harness.endAttempt(request, AttemptResult::ok, 50, static_cast<int>(quotas.all[id].metered));
    }
    EXPECT_LT(quotas.beyond / quotas.offered, 0.13) << seed;
    EXPECT_GT(quotas.inside / quotas.offered, 0.6) << seed;
  }
}

// Where gateways are few each has met its customers before long, and nobody is rejected for being new.
TEST(Fleet, FewGatewaysAdmitNewCustomers) {
  Settings settings = testSettings();
  settings.gatewayCount = 3;
  settings.maxUnits = 8;
  settings.plans[0].rate = 2;
  settings.plans[0].burst = 16;
  GatewayHarness harness(settings, 100000);
  harness.updateEndpoints(workers(8));
  harness.now += 20000;  // buckets of customers not seen yet have filled
  for (CustomerId customer = 1; customer <= 100; ++customer) {
    const RequestId id = harness.sendRequest(0, 0, customer, 8, 3);
    ASSERT_TRUE(harness.wasForwarded(id)) << customer;
    harness.endAttempt(id, AttemptResult::ok, 50, 400);
  }
}

}  // namespace
}  // namespace wingslip::decision::test
