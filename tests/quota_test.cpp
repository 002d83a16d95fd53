// Quotas of customers: buckets, quota readings, concurrency caps and changes of plan.
#include "recorder.hpp"

namespace wingslip::decision::test {
namespace {

// Sends a request and, if it is forwarded, completes its attempt immediately. Returns whether the request was
// admitted.
bool sendAndComplete(GatewayHarness& harness, unsigned plan = 0, CustomerId customer = 1, int percent = -1,
                     double units = 1, unsigned customerGatewayCount = 2) {
  const RequestId id = harness.sendRequest(0, plan, customer, units, customerGatewayCount);
  if (!harness.wasForwarded(id)) return false;
  harness.endAttempt(id, AttemptResult::ok, 50, percent);
  return true;
}

std::vector<Endpoint> fiftyEndpoints() {
  std::vector<Endpoint> endpoints;
  for (WorkerId worker = 1; worker <= 50; ++worker) endpoints.push_back(endpoint(worker));
  return endpoints;
}

TEST(Quota, NewCustomerStartsWithTheBurstDividedByItsGateways) {
  GatewayHarness harness;
  harness.updateEndpoints({endpoint(1)});
  int admittedCount = 0;
  while (sendAndComplete(harness)) ++admittedCount;
  EXPECT_EQ(admittedCount, 10);
}

TEST(Quota, RefillsAtTheFullRateUpToTheBurst) {
  Settings settings = testSettings();
  settings.gatewayCount = 1;
  GatewayHarness harness(settings);
  harness.updateEndpoints({endpoint(1)});
  while (sendAndComplete(harness, 0, 1, -1, 1, 1)) {
  }
  harness.now += 500;
  int admittedCount = 0;
  while (sendAndComplete(harness, 0, 1, -1, 1, 1)) ++admittedCount;
  EXPECT_EQ(admittedCount, 5);
  harness.now += 60000;
  admittedCount = 0;
  while (sendAndComplete(harness, 0, 1, -1, 1, 1)) ++admittedCount;
  EXPECT_EQ(admittedCount, 20);
}

TEST(Quota, EmptyBucketRejectsImmediatelyWithItsRefillTimeAsRetryAfter) {
  GatewayHarness harness;
  harness.updateEndpoints({endpoint(1)});
  while (sendAndComplete(harness)) {
  }
  EXPECT_TRUE(harness.wasRejected(harness.lastRequest));
  // The refill time of one unit at ten units per second.
  EXPECT_NEAR(harness.recorder.rejected[harness.lastRequest], 100, 1);
  EXPECT_TRUE(harness.recorder.timers.empty());
}

TEST(Quota, ActualUnitsCorrectTheEstimate) {
  Settings settings = testSettings();
  settings.gatewayCount = 1;
  settings.correctsUnits = true;
  GatewayHarness harness(settings);
  harness.updateEndpoints({endpoint(1)});
  const RequestId id = harness.sendRequest(0, 0, 1, 8, 1);
  harness.endAttempt(id, AttemptResult::ok, 50, -1, true, 3);  // five units are credited back
  int admittedCount = 0;
  while (sendAndComplete(harness, 0, 1, -1, 1, 1)) ++admittedCount;
  EXPECT_EQ(admittedCount, 17);
}

// A reading is applied once, although every answer within its period carries it.
TEST(Quota, RepeatedReadingIsAppliedOnce) {
  Settings settings = testSettings();
  settings.gatewayCount = 1;
  const auto admitted = [&](int repeats) {
    GatewayHarness harness(settings);
    harness.updateEndpoints({endpoint(1)});
    for (int i = 0; i < 20; ++i) sendAndComplete(harness, 0, 1, -1, 1, 1);
    harness.now += 1100;
    for (int i = 0; i < repeats; ++i) sendAndComplete(harness, 0, 1, 200, 1, 1);
    int admittedCount = 0;
    for (int i = 0; i < 400; ++i) {
      harness.now += 100;
      admittedCount += sendAndComplete(harness, 0, 1, -1, 1, 1);
    }
    return admittedCount;
  };
  EXPECT_NEAR(admitted(1), admitted(6), 12);
}

// The customer's requests come through two gateways. Readings far above its quota reduce the number of
// requests that this gateway admits over the quota.
TEST(Quota, ReadingsAboveTheQuotaReduceAdmission) {
  const auto admitted = [](int percent) {
    GatewayHarness harness;
    harness.updateEndpoints({endpoint(1)});
    int admittedCount = 0;
    for (int i = 0; i < 600; ++i) {
      harness.now += 50;
      admittedCount += sendAndComplete(harness, 0, 1, percent);
    }
    return admittedCount;
  };
  EXPECT_LT(admitted(200), 0.75 * admitted(100));
}

TEST(Quota, AdmitFractionRecoversWithoutReadings) {
  GatewayHarness harness;
  harness.updateEndpoints({endpoint(1)});
  for (int i = 0; i < 200; ++i) {
    harness.now += 50;
    sendAndComplete(harness, 0, 1, 400);
  }
  harness.now += 60000;
  int admittedCount = 0;
  for (int i = 0; i < 40; ++i) {
    harness.now += 500;  // two requests per second, at a quota of ten
    admittedCount += sendAndComplete(harness);
  }
  EXPECT_EQ(admittedCount, 40);
}

// A gateway that rejects all requests receives no readings. Its estimate of the other gateways' use
// remains valid for a while and then decays, since it would otherwise reject forever.
TEST(Quota, EstimateOfOtherGatewaysDecaysWithoutReadings) {
  Settings settings = testSettings();
  settings.plans[1].overQuotaCost = 1.2;
  GatewayHarness harness(settings);
  harness.updateEndpoints({endpoint(1)});
  for (int i = 0; i < 40; ++i) {
    harness.now += 500;
    const RequestId id = harness.sendRequest(0, 1);
    if (harness.wasForwarded(id)) harness.endAttempt(id, AttemptResult::ok, 50, 400);
  }
  harness.now += 3000;
  int admittedSoon = 0, admittedLater = 0;
  for (int i = 0; i < 20; ++i) admittedSoon += harness.wasForwarded(harness.sendRequest(0, 1));
  EXPECT_EQ(admittedSoon, 0);
  harness.now += 300000;
  for (int i = 0; i < 20; ++i) admittedLater += harness.wasForwarded(harness.sendRequest(0, 1));
  EXPECT_EQ(admittedLater, 2);
}

TEST(Quota, ConcurrencyCapLimitsAttemptsInFlight) {
  GatewayHarness harness;
  harness.updateEndpoints({endpoint(1)});
  const RequestId first = harness.sendRequest(0, 1), second = harness.sendRequest(0, 1),
                  third = harness.sendRequest(0, 1);
  EXPECT_TRUE(harness.wasForwarded(first));
  EXPECT_TRUE(harness.wasForwarded(second));
  EXPECT_TRUE(harness.wasRejected(third));
  harness.endAttempt(first, AttemptResult::ok);
  EXPECT_TRUE(harness.wasForwarded(harness.sendRequest(0, 1)));
}

TEST(Quota, EvictionDoesNotRefillTheBucketOfAHeavyCustomer) {
  Settings settings = testSettings();
  settings.plans[0].rate = 0.001;
  GatewayHarness harness(settings);
  harness.updateEndpoints({endpoint(1)});
  while (sendAndComplete(harness)) {
  }
  for (CustomerId customer = 100; customer < 9000; ++customer) {
    harness.gateway.onRequest(harness.now, {++harness.lastRequest, 0, 0, customer, harness.now + 3000, 100000,
                                            2});  // never admitted, so its eviction loses no state
  }
  EXPECT_LE(harness.gateway.trackedCustomers(), 4096u);
  EXPECT_FALSE(sendAndComplete(harness));
}

// The admit fraction has a minimum above zero. For a customer that sends many times its quota, requests
// admitted by that minimum would add up to a large part of the quota, so none are admitted while the estimate
// of the fleet's remaining tokens is negative.
TEST(Quota, CustomerFarOverQuotaIsNotAdmittedWhileTheEstimateIsNegative) {
  GatewayHarness harness;
  harness.updateEndpoints({endpoint(1)});
  int admittedCount = 0;
  for (int i = 0; i < 4000; ++i) {
    harness.now += 5;  // 200 requests per second at a quota of ten, and readings of twice the rate
    admittedCount += sendAndComplete(harness, 0, 1, 200);
  }
  EXPECT_LT(admittedCount, 20 * 10 / 2 + 20);  // half the rate over 20 s, and the initial burst
}

// With many gateways, each rarely receives a request of a customer, and its share of a small burst is less
// than one request. A gateway that has run for long enough still admits the customer's first request.
TEST(Quota, LongRunningGatewayAdmitsTheFirstRequestOfACustomer) {
  Settings settings = testSettings();
  settings.gatewayCount = 200;
  settings.plans[0].rate = 1;
  settings.plans[0].burst = 4;
  GatewayHarness harness(settings);
  harness.updateEndpoints(fiftyEndpoints());
  harness.now += 20000;
  EXPECT_TRUE(sendAndComplete(harness, 0, 1, -1, 1, 30));
}

// A customer whose requests come through thirty gateways sends few of them to this one. Readings of zero
// use must not cause rejections; readings of three times the quota reduce admission.
TEST(Quota, AdmissionOfRareRequestsFollowsTheReadings) {
  const auto admitted = [](int percent) {
    Settings settings = testSettings();
    settings.gatewayCount = 200;
    settings.plans[0].rate = 1;
    settings.plans[0].burst = 4;
    GatewayHarness harness(settings);
    harness.updateEndpoints(fiftyEndpoints());
    int admittedCount = 0;
    for (int i = 0; i < 40; ++i) {
      harness.now += 5000;
      admittedCount += sendAndComplete(harness, 0, 1, percent, 1, 30);
    }
    return admittedCount;
  };
  EXPECT_EQ(admitted(0), 40);
  EXPECT_LT(admitted(300), 25);
}

// The requests of a customer far over its quota are spread evenly over ten gateways. Each gateway admits
// about a tenth of the rate, independently of its estimate of the demand. Otherwise the errors of these
// estimates would add up to use over the quota.
TEST(Quota, GatewayAdmitsItsShareOfTheRateWhileTheFleetQuotaIsUsedUp) {
  Settings settings = testSettings();
  settings.gatewayCount = 10;
  GatewayHarness harness(settings);
  harness.updateEndpoints({endpoint(1)});
  int admittedCount = 0;
  for (int i = 0; i < 1200; ++i) {
    // Twenty requests per second here and two hundred in all, at a quota of ten, and readings of 100%.
    harness.now += 50;
    const bool admitted = sendAndComplete(harness, 0, 1, 100, 1, 10);
    if (i >= 200) admittedCount += admitted;
  }
  EXPECT_GT(admittedCount, 25);
  EXPECT_LT(admittedCount, 75);  // expected: 50, in 50 seconds at one request per second
}

TEST(Quota, ZeroRatesAndMissingReadingsAreAccepted) {
  Settings settings = testSettings();
  settings.quotaReadingPeriodMs = 0;
  settings.plans = {PlanSettings{}};
  GatewayHarness harness(settings);
  harness.updateEndpoints({endpoint(1)});
  for (int i = 0; i < 50; ++i) EXPECT_TRUE(sendAndComplete(harness, 0, 1, i % 2 ? 0 : -1));
}

// A customer whose plan changes has the new plan's quota from then on. Changing back and forth between plans
// does not refill its bucket.
TEST(Quota, FollowsChangesOfTheCustomersPlan) {
  Settings settings = testSettings();
  settings.gatewayCount = 1;
  settings.plans[2] = settings.plans[0];
  settings.plans[2].name = "large", settings.plans[2].rate = 1000, settings.plans[2].burst = 1000;
  GatewayHarness harness(settings);
  harness.updateEndpoints({endpoint(1)});
  while (sendAndComplete(harness, 0, 1, -1, 1, 1)) {
  }
  harness.now += 1000;
  int admittedCount = 0;
  while (admittedCount < 500 && sendAndComplete(harness, 2, 1, -1, 1, 1)) ++admittedCount;
  EXPECT_EQ(admittedCount, 10);  // refilled by the small plan within a second
  harness.now += 500;
  admittedCount = 0;
  while (admittedCount < 500 && sendAndComplete(harness, 2, 1, -1, 1, 1)) ++admittedCount;
  EXPECT_EQ(admittedCount, 500);
  harness.now += 1000;
  admittedCount = 0;
  while (admittedCount < 500 && sendAndComplete(harness, 0, 1, -1, 1, 1)) ++admittedCount;
  EXPECT_EQ(admittedCount, 20);  // the small plan's burst, not the tokens refilled by the large plan
}

}  // namespace
}  // namespace wingslip::decision::test
