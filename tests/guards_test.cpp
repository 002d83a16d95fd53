#include <cmath>
#include <deque>

#include "recorder.hpp"

namespace wingslip::decision::test {
namespace {

double ceilingUnits(GatewayHarness& harness, Time span, CustomerId customer = 1) {
  double units = 0;
  for (Time end = harness.now + span; harness.now < end; harness.now += 10) {
    const RequestId id = harness.sendRequest(0, 2, customer, 2);
    if (!harness.wasForwarded(id)) continue;
    units += 2;
    harness.endAttempt(id, AttemptResult::ok, 10, 0);
  }
  return units;
}

TEST(HardCeiling, OneGatewayKeepsToItsShareHoweverTheTrafficIsSplit) {
  Settings settings = testSettings();
  settings.plans[2].rate = 1000, settings.plans[2].burst = 1000;  // the quota is not what holds here
  GatewayHarness harness(settings);
  harness.updateEndpoints({endpoint(1)});
  harness.now += 60000;
  EXPECT_LE(ceilingUnits(harness, 10000), 20 + 10 * 10);
}

TEST(HardCeiling, ARestartDoesNotRefillIt) {
  Settings settings = testSettings();
  settings.plans[2].rate = 1000;
  settings.plans[2].burst = 1000;
  GatewayHarness harness(settings, 50000);
  harness.updateEndpoints({endpoint(1)});
  EXPECT_LE(ceilingUnits(harness, 1000), 10);
}

TEST(HardCeiling, AnEvictionDoesNotRefillIt) {
  Settings settings = testSettings();
  settings.plans[2].rate = 1000;
  settings.plans[2].burst = 1000;
  GatewayHarness harness(settings);
  harness.updateEndpoints({endpoint(1)});
  harness.now += 60000;
  ceilingUnits(harness, 5000);
  for (CustomerId customer = 100; customer < 9000; ++customer) {
    const RequestId id = harness.sendRequest(0, 2, customer, 2);
    if (harness.wasForwarded(id)) harness.endAttempt(id, AttemptResult::ok, 10);
  }
  EXPECT_LE(ceilingUnits(harness, 1000), 12);
}

TEST(Drain, NothingNewToADrainingRemovedOrUnlistedWorker) {
  GatewayHarness harness;
  harness.updateEndpoints({endpoint(1), endpoint(2), endpoint(3), endpoint(4)});
  Endpoint draining = endpoint(1), removed = endpoint(2);
  draining.phase = WorkerPhase::draining;
  removed.phase = WorkerPhase::removed;
  harness.updateEndpoints({draining, removed}, EndpointUpdate::delta);
  harness.updateEndpoints({draining, endpoint(4)});  // worker 3 is missing from the whole list
  for (CustomerId customer = 0; customer < 40; ++customer) {
    const RequestId id = harness.sendRequest(0, 0, customer);
    ASSERT_TRUE(harness.wasForwarded(id));
    EXPECT_EQ(harness.lastWorker(), 4u);
    harness.endAttempt(id, AttemptResult::ok);
  }
}

TEST(Drain, EmptyListRejects) {
  GatewayHarness harness;
  const RequestId id = harness.sendRequest();
  EXPECT_TRUE(harness.wasRejected(id));
}

TEST(SlowStart, AttemptsStayUnderTheWarmingWorkersShareAndAreSpreadOut) {
  Settings settings = testSettings();
  GatewayHarness harness(settings, 100000);
  harness.updateEndpoints({endpoint(1), endpoint(2), endpoint(3)});
  std::map<WorkerId, int> first, count;
  std::deque<RequestId> out;
  const auto drive = [&](Time span, std::map<WorkerId, int>& into) {
    for (Time end = harness.now + span; harness.now < end; harness.now += 10) {
      const RequestId id = harness.sendRequest(0, 0, harness.lastRequest);
      if (!harness.wasForwarded(id)) continue;
      ++into[harness.lastWorker()];
      out.push_back(id);
      if (out.size() > 8) {
        harness.endAttempt(out.front(), AttemptResult::ok, 50);
        out.pop_front();
      }
    }
  };
  drive(5000, first);
  harness.updateEndpoints({endpoint(4, 0, harness.now)}, EndpointUpdate::delta);
  std::map<WorkerId, int> burst;
  drive(100, burst);
  EXPECT_LE(burst[4], 1);
  drive(2000, count);
  const double warm = (count[1] + count[2] + count[3]) / 3.0;
  EXPECT_GT(count[4], 0);
  EXPECT_LE(count[4], 0.36 * warm + 1);
}

// Every gateway has just restarted and all workers are warming up: together they keep to what one request a
// span at every worker allows, instead of one each at once.
TEST(SlowStart, RestartedGatewaysSendLittleToAWarmingFleetAtFirst) {
  Settings settings = testSettings();
  settings.gatewayCount = 200;
  settings.plans[0].rate = 1000;
  settings.plans[0].burst = 100000;
  unsigned sent = 0;
  for (unsigned index = 0; index < settings.gatewayCount; ++index) {
    settings.gatewayIndex = index;
    Recorder recorder;
    Gateway gateway(settings, 1000 + index, 50000, recorder);
    gateway.onEndpoints(50000, EndpointUpdate::cached, {endpoint(1, 0, 50000), endpoint(2, 0, 50000)});
    for (RequestId i = 0; i < 20; ++i) gateway.onRequest(50000 + 50 * i, {i, 0, 0, 1, 60000, 1, 200});
    sent += static_cast<unsigned>(recorder.startedAttempts.size());
  }
  EXPECT_LE(sent, 2 * settings.overloadMultiple);  // a multiple of one for each of two workers in one span
}

// A customer whose set of gateways grows leaves this gateway a smaller part of its ceiling at once.
TEST(HardCeiling, FollowsTheCustomersSetOfGateways) {
  Settings settings = testSettings();
  settings.gatewayCount = 40;
  settings.plans[2].rate = 1000;
  settings.plans[2].burst = 1000;
  GatewayHarness harness(settings);
  harness.updateEndpoints({endpoint(1), endpoint(2), endpoint(3), endpoint(4)});
  harness.now += 60000;
  harness.endAttempt(harness.sendRequest(0, 2, 1, 1, 2), AttemptResult::ok);
  int admitted = 0;
  for (int i = 0; i < 20; ++i) {
    const RequestId id = harness.sendRequest(0, 2, 1, 1, 20);
    if (!harness.wasForwarded(id)) continue;
    ++admitted;
    harness.endAttempt(id, AttemptResult::ok);
  }
  EXPECT_LE(admitted, 2);  // a twentieth of forty units
}

TEST(Workers, ListedTwiceOrBackUnderANewStartAreOne) {
  GatewayHarness harness(testSettings(), 50000);
  harness.updateEndpoints({endpoint(1), endpoint(1), endpoint(2)});
  const RequestId id = harness.sendRequest();
  harness.updateEndpoints({endpoint(1, 0, 50000), endpoint(2, 0, 50000), endpoint(2, 0, 50000)},
                          EndpointUpdate::delta);
  harness.endAttempt(id, AttemptResult::reset);
  EXPECT_LE(harness.attemptCount(id), 2u);
  harness.now += 60000;
  EXPECT_TRUE(harness.wasForwarded(harness.sendRequest()));
}

TEST(Clock, AGapOfAnHourIsLegal) {
  GatewayHarness harness;
  harness.updateEndpoints({endpoint(1)});
  const RequestId id = harness.sendRequest(0, 0, 1, 1, 2, 5e6);
  harness.now += 3.6e6;
  harness.endAttempt(id, AttemptResult::ok, 3.6e6, 300);
  int admitted = 0;
  for (int i = 0; i < 10; ++i) {
    const RequestId next = harness.sendRequest();
    if (!harness.wasForwarded(next)) continue;
    ++admitted;
    harness.endAttempt(next, AttemptResult::ok);
  }
  EXPECT_GT(admitted, 0);
}

// An exclusion is apart from the list and from health: neither ends it, and a restart under it means slow
// start.
TEST(Exclusion, NothingNewUntilIncludedAndThenSlowStart) {
  GatewayHarness harness(testSettings(), 50000);
  harness.updateEndpoints({endpoint(1), endpoint(2)});
  harness.gateway.exclude(harness.now, 1);
  harness.updateEndpoints({endpoint(1), endpoint(2)});
  for (CustomerId customer = 0; customer < 40; ++customer) {
    const RequestId id = harness.sendRequest(0, 0, customer);
    ASSERT_TRUE(harness.wasForwarded(id));
    EXPECT_EQ(harness.lastWorker(), 2u);
    harness.endAttempt(id, AttemptResult::ok);
  }
  EXPECT_EQ(harness.gateway.workerCounts(harness.now).listed, 2u);
  EXPECT_EQ(harness.gateway.workerCounts(harness.now).avoided, 1u);
  harness.gateway.exclude(harness.now, 1);
  harness.gateway.include(harness.now, 1);
  EXPECT_EQ(harness.gateway.workerCounts(harness.now).avoided, 0u);
  unsigned sent = 0;
  for (int i = 0; i < 200; ++i) {  // 5 s
    harness.now += 25;
    const RequestId id = harness.sendRequest(0, 0, 1000 + static_cast<CustomerId>(i));
    if (!harness.wasForwarded(id)) continue;
    sent += harness.lastWorker() == 1;
    harness.endAttempt(id, AttemptResult::ok);
  }
  EXPECT_GT(sent, 0u);
  EXPECT_LT(sent, 80u);  // a warm one as idle as the other would have half
}

// The rate of a warm worker is known after a release has left none, and to a process that is given it.
TEST(SlowStart, BudgetFollowsTheRateOfAWarmWorker) {
  const auto sentTo = [](double seeded, bool learns) {
    GatewayHarness harness(testSettings(), 50000);
    harness.updateEndpoints({endpoint(1)});
    if (seeded > 0) harness.gateway.seedWarmWorkerRate(harness.now, seeded);
    for (CustomerId customer = 0; learns && customer < 400; ++customer) {
      harness.now += 20;
      const RequestId id = harness.sendRequest(0, 0, customer);
      if (harness.wasForwarded(id)) harness.endAttempt(id, AttemptResult::ok, 20);
    }
    EXPECT_LT(harness.gateway.warmWorkerRate(harness.now), 0.1);
    harness.now += 20000;  // nothing warm for long
    harness.updateEndpoints({endpoint(1, 0, harness.now)});
    int sent = 0;
    for (CustomerId customer = 1000; customer < 1400; ++customer) {
      harness.now += 10;
      const RequestId id = harness.sendRequest(0, 0, customer);
      if (!harness.wasForwarded(id)) continue;
      ++sent;
      harness.endAttempt(id, AttemptResult::ok, 20);
    }
    return sent;
  };
  const int unknown = sentTo(0, false);
  EXPECT_GT(sentTo(0, true), unknown + 10);
  EXPECT_GT(sentTo(0.05, false), unknown + 10);
  EXPECT_EQ(sentTo(std::nan(""), false), unknown);
  EXPECT_LT(sentTo(0.05, false), 0.05 * 4000);
}

// Memory over a long stream of new customers, with answers that never come but end by their time-outs.
TEST(Memory, StaysBoundedOverALongStreamOfNewCustomers) {
  GatewayHarness harness;
  harness.updateEndpoints({endpoint(1), endpoint(2)});
  for (int i = 0; i < 20000; ++i) {
    harness.now += 20;
    const RequestId id = harness.sendRequest(0, 0, 1000 + i);
    if (harness.wasForwarded(id))
      harness.endAttempt(id, i % 3 ? AttemptResult::ok : AttemptResult::timeout, 100, -1, true);
  }
  EXPECT_LE(harness.gateway.trackedCustomers(), 4096u);
  EXPECT_EQ(harness.gateway.requestsInFlight(), 0u);
}

}  // namespace
}  // namespace wingslip::decision::test
