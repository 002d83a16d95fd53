// Decisions in fleets of many gateways, each of which receives few requests: first requests of customers,
// subsets of workers, slow start and quotas over all gateways.
#include <algorithm>
#include <cmath>
#include <memory>
#include <random>
#include <set>
#include <utility>

#include "recorder.hpp"

namespace wingslip::decision::test {
namespace {

Settings largeFleetSettings() {
  Settings settings = testSettings();
  settings.gatewayCount = 100;
  settings.plans[0].rate = 1.4;
  settings.plans[0].burst = 16;
  return settings;
}

std::vector<Endpoint> endpoints(WorkerId count) {
  std::vector<Endpoint> out;
  for (WorkerId worker = 1; worker <= count; ++worker) out.push_back(endpoint(worker));
  return out;
}

// The burst divided by the number of gateways is less than one request here. The bucket of a new customer
// still holds one request of the usual size, so the first such request is admitted at every gateway. Larger
// requests are rejected until the bucket has refilled.
TEST(Fleet, BucketOfANewCustomerHoldsAtLeastOneUsualRequest) {
  GatewayHarness harness(largeFleetSettings());
  harness.updateEndpoints(endpoints(60));
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
  EXPECT_TRUE(harness.wasRejected(
      harness.sendRequest(0, 0, 1, 2, 80)));  // its bucket held one request and has not refilled
}

// A worker that has just started answers several times slower than a warm one at any load. Its late answers
// are no evidence that the warm workers are overloaded.
TEST(Fleet, LateAnswersOfAWarmingWorkerDoNotReduceTheGatewayLimit) {
  Settings settings = testSettings();
  settings.gatewayCount = 1;
  settings.plans[0].rate = 1000;
  settings.plans[0].burst = 100000;
  GatewayHarness harness(settings, 100000);
  harness.updateEndpoints({endpoint(1), endpoint(2, 0, harness.now)});
  harness.gateway.seedWarmWorkerRate(harness.now, 0.1);
  // Attempts in flight at the warm worker, so that the warming one is used as well.
  const RequestId inFlightAtWarm[] = {harness.sendRequest(2, 0, 900), harness.sendRequest(2, 0, 901)};
  unsigned lateAnswers = 0;
  for (int i = 0; i < 100; ++i) {
    harness.now += 50;
    const RequestId id = harness.sendRequest(2, 0, harness.lastRequest);
    if (!harness.wasForwarded(id)) continue;
    const bool warmingUp = harness.lastWorker() == 2;
    lateAnswers += warmingUp;
    harness.endAttempt(id, AttemptResult::ok, warmingUp ? 900 : 100);
  }
  ASSERT_GE(lateAnswers, 20u);
  for (const RequestId id : inFlightAtWarm) harness.endAttempt(id, AttemptResult::ok, 100);
  unsigned inFlight = 0;
  while (harness.wasForwarded(harness.sendRequest(2, 0, harness.lastRequest))) ++inFlight;
  EXPECT_GE(inFlight, 10u);
}

// With a hundred gateways that receive few requests each, every gateway uses a subset of the workers, and
// every worker is in as many subsets as any other. Removing a worker from the list changes few subsets. A
// small number of gateways use all workers.
TEST(Fleet, SubsetsCoverTheWorkersEvenly) {
  const auto usedWorkers = [](unsigned gateways, unsigned gatewayIndex, const std::vector<Endpoint>& list) {
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
  const std::vector<Endpoint> allEndpoints = endpoints(60);
  std::map<WorkerId, unsigned> gatewaysOfWorker;
  unsigned movedWorkers = 0;
  for (unsigned gatewayIndex = 0; gatewayIndex < 100; ++gatewayIndex) {
    const std::set<WorkerId> subset = usedWorkers(100, gatewayIndex, allEndpoints);
    EXPECT_LE(subset.size(), 13u);
    for (const WorkerId worker : subset) ++gatewaysOfWorker[worker];
    if (gatewayIndex >= 10) continue;
    std::set<WorkerId> subsetAfterRemoval =
        usedWorkers(100, gatewayIndex, {allEndpoints.begin(), allEndpoints.end() - 1});
    for (const WorkerId worker : subset)
      movedWorkers += worker != allEndpoints.back().worker && !subsetAfterRemoval.contains(worker);
  }
  EXPECT_EQ(gatewaysOfWorker.size(), 60u);
  for (const auto& [worker, count] : gatewaysOfWorker) {
    EXPECT_GE(count, 16u);
    EXPECT_LE(count, 20u);
  }
  EXPECT_LE(movedWorkers, 10u);  // one for each of the ten gateways that were compared
  EXPECT_EQ(usedWorkers(3, 1, endpoints(9)).size(), 9u);
}

// With sixteen times the workers, each a sixteenth as large, and the same traffic at each gateway, a gateway
// still uses few workers, within the bound on its connections (2.5 times as many plus 40), and every worker
// is still used by at least three gateways.
TEST(Fleet, SubsetGrowsLittleWithTheEndpointList) {
  const auto usedWorkers = [](unsigned gateways, unsigned gatewayIndex, WorkerId count) {
    Settings settings = testSettings();
    settings.gatewayCount = gateways;
    settings.gatewayIndex = gatewayIndex;
    settings.plans[0].rate = 1000;
    settings.plans[0].burst = 100000;
    GatewayHarness harness(settings);
    harness.updateEndpoints(endpoints(count));
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
  struct FleetGrowth {
    unsigned gatewaysBefore, gatewaysAfter;
    WorkerId workersBefore;
  };
  for (const FleetGrowth& growth :
       {FleetGrowth{40, 40, 26}, FleetGrowth{300, 300, 200}, FleetGrowth{300, 900, 200}}) {
    const std::size_t before = usedWorkers(growth.gatewaysBefore, 7, growth.workersBefore).size();
    const std::size_t after = usedWorkers(growth.gatewaysAfter, 7, 16 * growth.workersBefore).size();
    EXPECT_LE(after, 2.5 * static_cast<double>(before) + 40) << growth.gatewaysAfter << " gateways";
  }
  std::map<WorkerId, unsigned> gatewaysOfWorker;
  for (unsigned gatewayIndex = 0; gatewayIndex < 40; ++gatewayIndex)
    for (const WorkerId worker : usedWorkers(40, gatewayIndex, 416)) ++gatewaysOfWorker[worker];
  EXPECT_EQ(gatewaysOfWorker.size(), 416u);
  for (const auto& [worker, count] : gatewaysOfWorker) EXPECT_GE(count, 3u) << worker;
}

// Draining workers stay in their subsets, so that the gateways need not open connections to workers that they
// did not use before.
TEST(Fleet, DrainingWorkersDoNotAddOtherWorkersToTheSubset) {
  Settings settings = testSettings();
  settings.gatewayCount = 40;
  settings.gatewayIndex = 37;
  settings.plans[0].rate = 1000;
  settings.plans[0].burst = 100000;
  GatewayHarness harness(settings);
  std::vector<Endpoint> list = endpoints(416);
  harness.updateEndpoints(list);
  const auto usedWorkers = [&] {
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
  const std::set<WorkerId> before = usedWorkers();
  for (std::size_t i = 0; i < list.size(); i += 8) list[i].phase = WorkerPhase::draining;
  harness.updateEndpoints(list);
  for (const WorkerId worker : usedWorkers()) EXPECT_TRUE(before.contains(worker)) << worker;
}

// All gateways together stay within the budget of a warming worker, although only some of them use the
// worker, and they do not leave the budget unused.
TEST(Fleet, GatewaysTogetherUseTheBudgetOfAWarmingWorkerWithoutExceedingIt) {
  Settings settings = testSettings();
  settings.gatewayCount = 100;
  settings.plans[0].rate = 1000;
  settings.plans[0].burst = 100000;
  std::vector<std::unique_ptr<GatewayHarness>> harnesses;
  for (unsigned gatewayIndex = 0; gatewayIndex < settings.gatewayCount; ++gatewayIndex) {
    settings.gatewayIndex = gatewayIndex;
    harnesses.push_back(std::make_unique<GatewayHarness>(settings, 100000, 1 + gatewayIndex));
    harnesses.back()->updateEndpoints(endpoints(60));
  }
  const double requestsPerMs = 0.7;
  std::vector<Time> attemptTimes;  // of attempts at the worker that restarts at 110,000 ms
  for (Time now = 100000; now < 118000; now += 1 / requestsPerMs) {
    if (now >= 110000 && now < 110000 + 1 / requestsPerMs)
      for (const auto& harness : harnesses) {
        harness->now = now;
        harness->updateEndpoints({endpoint(60, 0, 110000)}, EndpointUpdate::delta);
      }
    GatewayHarness& harness = *harnesses[static_cast<std::size_t>(now * 7919) % harnesses.size()];
    harness.now = now;
    const RequestId id = harness.sendRequest(2, 0, harness.lastRequest, 1, 100);
    if (!harness.wasForwarded(id)) continue;
    if (harness.lastWorker() == 60 && now > 110000) attemptTimes.push_back(now);
    harness.endAttempt(id, AttemptResult::ok, 100);
  }
  const double warmRatePerMs = requestsPerMs / 60;  // attempts at each warm worker
  for (const Time windowStart : attemptTimes) {
    const auto attemptsInWindow = std::count_if(attemptTimes.begin(), attemptTimes.end(), [&](Time time) {
      return time >= windowStart && time < windowStart + settings.overloadWindowMs;
    });
    const double capacityShare = settings.slowStartInitialShare + (1 - settings.slowStartInitialShare) *
                                                                      (windowStart - 110000) /
                                                                      settings.slowStartMs;
    EXPECT_LE(static_cast<double>(attemptsInWindow),
              settings.overloadMultiple * capacityShare * warmRatePerMs * settings.overloadWindowMs + 4)
        << windowStart;
  }
  // A warm worker gets 11.7 attempts per second. The warming worker's share of its capacity rises from 0.2 to
  // 0.84 in the 8,000 ms of the test after its restart.
  EXPECT_GE(attemptTimes.size(), 20u);
}

// The budget of a warming worker is also respected for other fleet sizes if the traffic is uneven and shifts
// between gateways, and half of the gateways have just started. For a budget of N requests, an excess of up
// to 2 * sqrt(N) + 2 is attributed to random variation.
TEST(Fleet, BudgetOfAWarmingWorkerHoldsForEveryFleetSize) {
  for (const unsigned gateways : {1u, 5u, 20u, 30u, 300u, 350u}) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
      Settings settings = testSettings();
      settings.gatewayCount = gateways;
      settings.plans[0].rate = 1000;
      settings.plans[0].burst = 100000;
      std::mt19937_64 random(seed);
      const auto uniform = [&] { return std::uniform_real_distribution<>(0, 1)(random); };
      const unsigned count = gateways < 100 ? 10 : 60;
      std::vector<std::unique_ptr<GatewayHarness>> harnesses;
      for (settings.gatewayIndex = 0; settings.gatewayIndex < gateways; ++settings.gatewayIndex) {
        harnesses.push_back(
            std::make_unique<GatewayHarness>(settings, 100000, seed * 1000 + settings.gatewayIndex));
        harnesses.back()->updateEndpoints(endpoints(count));
      }
      const double requestsPerMs = 0.02 * count,
                   warmRatePerMs = requestsPerMs / count;  // twenty requests per second for each worker
      std::vector<Time> attemptTimes;
      Time now = 100000;
      const auto sendRequests = [&](Time until, double skew) {
        for (; now < until; now += 1 / requestsPerMs) {
          GatewayHarness& harness =
              *harnesses[static_cast<std::size_t>(std::pow(uniform(), skew) * gateways)];
          harness.now = now;
          const RequestId id = harness.sendRequest(2, 0, harness.lastRequest, 1, gateways);
          if (!harness.wasForwarded(id)) continue;
          if (harness.lastWorker() == count && now >= 112000) attemptTimes.push_back(now);
          harness.endAttempt(id, AttemptResult::ok, 50);
        }
      };
      sendRequests(112000, 2);  // most requests go to the first gateways
      for (settings.gatewayIndex = 0; settings.gatewayIndex < gateways; ++settings.gatewayIndex) {
        if (settings.gatewayIndex % 2 == 1) {
          harnesses[settings.gatewayIndex] =
              std::make_unique<GatewayHarness>(settings, now, seed * 7000 + settings.gatewayIndex);
          harnesses[settings.gatewayIndex]->updateEndpoints(endpoints(count));
        }
        harnesses[settings.gatewayIndex]->now = now;
        harnesses[settings.gatewayIndex]->updateEndpoints({endpoint(count, 0, now)}, EndpointUpdate::delta);
      }
      sendRequests(120000, 0.5);  // most requests go to the last gateways
      for (const Time windowStart : attemptTimes) {
        const auto attemptsInWindow = std::count_if(attemptTimes.begin(), attemptTimes.end(), [&](Time time) {
          return time >= windowStart && time < windowStart + settings.overloadWindowMs;
        });
        const double budget =
            settings.overloadMultiple *
            (settings.slowStartInitialShare +
             (1 - settings.slowStartInitialShare) * (windowStart - 112000) / settings.slowStartMs) *
            warmRatePerMs * settings.overloadWindowMs;
        ASSERT_LE(static_cast<double>(attemptsInWindow), budget + 2 * std::sqrt(budget) + 2)
            << gateways << " gateways, seed " << seed << ", " << windowStart - 112000
            << " ms after the start";
      }
      EXPECT_GE(attemptTimes.size(), 10u) << gateways;
    }
  }
}

// Reference model of the customers' quotas over the fleet, with the quota readings of the last completed
// period.
struct QuotaModel {
  struct CustomerState {
    double tokens = 16;           // of the quota, after all admitted requests
    double idealTokens = 16;      // of the quota, if only requests within it were admitted
    double usedUnits = 0;         // in the current period
    double quotaUsePercent = -1;  // of the rate, in the last completed period
    Time refilledAt = 0;
  };
  const PlanSettings plan;
  std::map<CustomerId, CustomerState> customers;
  double admittedWithinQuota = 0, admittedOverQuota = 0, offeredWithinQuota = 0;  // units

  // Records a request, admitted or rejected.
  void recordRequest(CustomerId id, Time now, double units, bool admitted) {
    CustomerState& customer = customers[id];
    const double refill = plan.rate * (now - std::exchange(customer.refilledAt, now)) / 1000;
    customer.tokens = std::min(plan.burst, customer.tokens + refill);
    customer.idealTokens = std::min(plan.burst, customer.idealTokens + refill);
    if (customer.idealTokens >= units) {
      customer.idealTokens -= units;
      offeredWithinQuota += units;
    }
    if (!admitted) return;
    customer.usedUnits += units;
    if (customer.tokens >= units) {
      customer.tokens -= units;
      admittedWithinQuota += units;
    } else {
      admittedOverQuota += units;
    }
  }
  void endPeriod() {
    for (auto& [id, customer] : customers)
      customer.quotaUsePercent = 100 * std::exchange(customer.usedUnits, 0) / plan.rate;
  }
};

// A tenth of the customers send about three times their rate, and a gateway receives less than one request of
// a customer on average over the whole test. The units admitted over the quotas are about a tenth of the
// units offered within them, and most of the latter are admitted.
TEST(Fleet, QuotasHoldIfEachGatewayReceivesFewRequestsOfACustomer) {
  for (const std::uint64_t seed : {1u, 2u}) {
    Settings settings = testSettings();
    settings.gatewayCount = 200;
    settings.maxUnits = 8;
    settings.plans[0].rate = 2;
    settings.plans[0].burst = 16;
    std::mt19937_64 random(seed);
    const auto uniform = [&] { return std::uniform_real_distribution<>(0, 1)(random); };
    std::vector<std::unique_ptr<GatewayHarness>> fleet;
    for (settings.gatewayIndex = 0; settings.gatewayIndex < settings.gatewayCount; ++settings.gatewayIndex) {
      fleet.push_back(
          std::make_unique<GatewayHarness>(settings, 100000, seed * 1000 + settings.gatewayIndex));
      fleet.back()->updateEndpoints(endpoints(60));
    }
    QuotaModel quotas{settings.plans[0], {}};
    for (Time now = 100000; now < 125000; now += 2) {
      if (std::fmod(now, settings.quotaReadingPeriodMs) < 2) quotas.endPeriod();
      if (uniform() > 0.9) continue;
      const bool heavy = uniform() < 0.56;  // 100 customers at 3.2 times the rate, 900 at 0.28 times the rate
      const CustomerId id = 1 + static_cast<CustomerId>(uniform() * (heavy ? 100 : 900)) + (heavy ? 0 : 100);
      static constexpr double kSizes[] = {1, 1, 1, 1, 2, 2, 4, 8};
      const double units = kSizes[static_cast<std::size_t>(uniform() * 8)];
      GatewayHarness& harness = *fleet[static_cast<std::size_t>(uniform() * settings.gatewayCount)];
      harness.now = now;
      const RequestId request = harness.sendRequest(0, 0, id, units, settings.gatewayCount);
      const bool admitted = harness.wasForwarded(request);
      quotas.recordRequest(id, now, units, admitted);
      if (admitted)
        harness.endAttempt(request, AttemptResult::ok, 50,
                           static_cast<int>(quotas.customers[id].quotaUsePercent));
    }
    EXPECT_LT(quotas.admittedOverQuota / quotas.offeredWithinQuota, 0.13) << seed;
    EXPECT_GT(quotas.admittedWithinQuota / quotas.offeredWithinQuota, 0.6) << seed;
  }
}

// In a small fleet a gateway soon receives requests of all its customers, so that no request is rejected
// because its customer is unknown.
TEST(Fleet, SmallFleetAdmitsRequestsOfNewCustomers) {
  Settings settings = testSettings();
  settings.gatewayCount = 3;
  settings.maxUnits = 8;
  settings.plans[0].rate = 2;
  settings.plans[0].burst = 16;
  GatewayHarness harness(settings, 100000);
  harness.updateEndpoints(endpoints(8));
  harness.now += 20000;  // the buckets of new customers are full by now
  for (CustomerId customer = 1; customer <= 100; ++customer) {
    const RequestId id = harness.sendRequest(0, 0, customer, 8, 3);
    ASSERT_TRUE(harness.wasForwarded(id)) << customer;
    harness.endAttempt(id, AttemptResult::ok, 50, 400);
  }
}

}  // namespace
}  // namespace wingslip::decision::test
