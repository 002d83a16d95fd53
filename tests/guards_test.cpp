// Limits of the decision module: hard ceilings, draining and excluded workers, slow start and bounded memory.
#include <cmath>
#include <deque>

#include "recorder.hpp"

namespace wingslip::decision::test {
namespace {

// Sends requests under the plan with a hard ceiling for `durationMs`. Returns the units admitted.
double countAdmittedUnits(GatewayHarness& harness, Time durationMs, CustomerId customer = 1) {
  double units = 0;
  for (Time end = harness.now + durationMs; harness.now < end; harness.now += 10) {
    const RequestId id = harness.sendRequest(0, 2, customer, 2);
    if (!harness.wasForwarded(id)) continue;
    units += 2;
    harness.endAttempt(id, AttemptResult::ok, 10, 0);
  }
  return units;
}

// A gateway must not exceed its share of the hard ceiling, even if it receives all of the customer's traffic.
TEST(HardCeiling, GatewayStaysWithinItsShareUnderUnevenTraffic) {
  Settings settings = testSettings();
  settings.plans[2].rate = 1000, settings.plans[2].burst = 1000;  // so that the quota does not limit
  GatewayHarness harness(settings);
  harness.updateEndpoints({endpoint(1)});
  harness.now += 60000;
  EXPECT_LE(countAdmittedUnits(harness, 10000), 20 + 10 * 10);
}

TEST(HardCeiling, RestartOfAGatewayDoesNotRefillIt) {
  Settings settings = testSettings();
  settings.plans[2].rate = 1000;
  settings.plans[2].burst = 1000;
  GatewayHarness harness(settings, 50000);
  harness.updateEndpoints({endpoint(1)});
  EXPECT_LE(countAdmittedUnits(harness, 1000), 10);
}

TEST(HardCeiling, EvictionOfACustomerDoesNotRefillIt) {
  Settings settings = testSettings();
  settings.plans[2].rate = 1000;
  settings.plans[2].burst = 1000;
  GatewayHarness harness(settings);
  harness.updateEndpoints({endpoint(1)});
  harness.now += 60000;
  countAdmittedUnits(harness, 5000);
  for (CustomerId customer = 100; customer < 9000; ++customer) {
    const RequestId id = harness.sendRequest(0, 2, customer, 2);
    if (harness.wasForwarded(id)) harness.endAttempt(id, AttemptResult::ok, 10);
  }
  EXPECT_LE(countAdmittedUnits(harness, 1000), 12);
}

TEST(Drain, NoAttemptsAtDrainingRemovedOrUnlistedWorkers) {
  GatewayHarness harness;
  harness.updateEndpoints({endpoint(1), endpoint(2), endpoint(3), endpoint(4)});
  Endpoint draining = endpoint(1), removed = endpoint(2);
  draining.phase = WorkerPhase::draining;
  removed.phase = WorkerPhase::removed;
  harness.updateEndpoints({draining, removed}, EndpointUpdate::delta);
  harness.updateEndpoints({draining, endpoint(4)});  // worker 3 is missing from the new snapshot
  for (CustomerId customer = 0; customer < 40; ++customer) {
    const RequestId id = harness.sendRequest(0, 0, customer);
    ASSERT_TRUE(harness.wasForwarded(id));
    EXPECT_EQ(harness.lastWorker(), 4u);
    harness.endAttempt(id, AttemptResult::ok);
  }
}

TEST(Drain, RequestIsRejectedWhileTheEndpointListIsEmpty) {
  GatewayHarness harness;
  const RequestId id = harness.sendRequest();
  EXPECT_TRUE(harness.wasRejected(id));
}

TEST(SlowStart, AttemptsAtAWarmingWorkerStayWithinItsShareWithoutABurst) {
  Settings settings = testSettings();
  GatewayHarness harness(settings, 100000);
  harness.updateEndpoints({endpoint(1), endpoint(2), endpoint(3)});
  std::map<WorkerId, int> beforeStart, afterStart;
  std::deque<RequestId> inFlight;
  const auto sendRequests = [&](Time durationMs, std::map<WorkerId, int>& attempts) {
    for (Time end = harness.now + durationMs; harness.now < end; harness.now += 10) {
      const RequestId id = harness.sendRequest(0, 0, harness.lastRequest);
      if (!harness.wasForwarded(id)) continue;
      ++attempts[harness.lastWorker()];
      inFlight.push_back(id);
      if (inFlight.size() > 8) {
        harness.endAttempt(inFlight.front(), AttemptResult::ok, 50);
        inFlight.pop_front();
      }
    }
  };
  sendRequests(5000, beforeStart);
  harness.updateEndpoints({endpoint(4, 0, harness.now)}, EndpointUpdate::delta);
  std::map<WorkerId, int> directlyAfterStart;
  sendRequests(100, directlyAfterStart);
  EXPECT_LE(directlyAfterStart[4], 1);
  sendRequests(2000, afterStart);
  const double warmMean = (afterStart[1] + afterStart[2] + afterStart[3]) / 3.0;
  EXPECT_GT(afterStart[4], 0);
  EXPECT_LE(afterStart[4], 0.36 * warmMean + 1);
}

// All gateways have just restarted and all workers are warming up. Together the gateways stay within the load
// allowed for workers with a capacity of one request per overload window, instead of each sending a request
// immediately.
TEST(SlowStart, RestartedGatewaysTogetherLimitTheInitialLoadOnWarmingWorkers) {
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
  // The limit for one overload window: overloadMultiple times one request for each of the two workers.
  EXPECT_LE(sent, 2 * settings.overloadMultiple);
}

// When the requests of a customer come through more gateways, this gateway's share of the customer's hard
// ceiling shrinks immediately.
TEST(HardCeiling, ShareShrinksWhenACustomerUsesMoreGateways) {
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
  EXPECT_LE(admitted, 2);  // a twentieth of the forty units of the ceiling's burst
}

// A worker that is listed twice, or listed again with a new start time, is still one worker. An attempt that
// was in flight over the update ends as usual.
TEST(WorkerTable, DuplicateOrRestartedEndpointIsOneWorker) {
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

TEST(Clock, ForwardJumpOfAnHourIsHandled) {
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

// An exclusion is independent of the endpoint list and of the worker's health: neither ends it. A worker that
// is included again goes through slow start, since it may have restarted while it was excluded.
TEST(Exclusion, NoAttemptsUntilInclusionAndThenSlowStart) {
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
  EXPECT_EQ(harness.gateway.workerCounts(harness.now).unavailable, 1u);
  harness.gateway.exclude(harness.now, 1);
  harness.gateway.include(harness.now, 1);
  EXPECT_EQ(harness.gateway.workerCounts(harness.now).unavailable, 0u);
  unsigned sent = 0;
  for (int i = 0; i < 200; ++i) {  // for 5 s
    harness.now += 25;
    const RequestId id = harness.sendRequest(0, 0, 1000 + static_cast<CustomerId>(i));
    if (!harness.wasForwarded(id)) continue;
    sent += harness.lastWorker() == 1;
    harness.endAttempt(id, AttemptResult::ok);
  }
  EXPECT_GT(sent, 0u);
  EXPECT_LT(sent, 80u);  // an equally idle warm worker would get half of the 200 requests
}

// The learned rate of a warm worker is retained while a release restarts all workers, and can be passed to a
// new process of the gateway.
TEST(SlowStart, BudgetUsesTheLearnedOrSeededRateOfAWarmWorker) {
  const auto attemptsDuringWarmUp = [](double seededRate, bool learnsRate) {
    GatewayHarness harness(testSettings(), 50000);
    harness.updateEndpoints({endpoint(1)});
    if (seededRate > 0) harness.gateway.seedWarmWorkerRate(harness.now, seededRate);
    for (CustomerId customer = 0; learnsRate && customer < 400; ++customer) {
      harness.now += 20;
      const RequestId id = harness.sendRequest(0, 0, customer);
      if (harness.wasForwarded(id)) harness.endAttempt(id, AttemptResult::ok, 20);
    }
    EXPECT_LT(harness.gateway.warmWorkerRate(harness.now), 0.1);
    harness.now += 20000;  // no answer of a warm worker for 20 s
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
  const int withoutRate = attemptsDuringWarmUp(0, false);
  EXPECT_GT(attemptsDuringWarmUp(0, true), withoutRate + 10);
  EXPECT_GT(attemptsDuringWarmUp(0.05, false), withoutRate + 10);
  EXPECT_EQ(attemptsDuringWarmUp(std::nan(""), false), withoutRate);
  EXPECT_LT(attemptsDuringWarmUp(0.05, false), 0.05 * 4000);
}

// Memory must not grow with a long stream of new customers, including requests that are never answered and
// end by a timeout.
TEST(Memory, IsBoundedForALongStreamOfNewCustomers) {
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
