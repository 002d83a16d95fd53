#include "recorder.hpp"

namespace wingslip::decision::test {
namespace {

// Sends a request and, when it is forwarded, answers at once. Returns whether it was admitted.
bool isServed(GatewayHarness& harness, unsigned plan = 0, CustomerId customer = 1, int percent = -1,
              double units = 1, unsigned customerGateways = 2) {
  const RequestId id = harness.sendRequest(0, plan, customer, units, customerGateways);
  if (!harness.wasForwarded(id)) return false;
  harness.endAttempt(id, AttemptResult::ok, 50, percent);
  return true;
}

std::vector<Endpoint> fleet() {
  std::vector<Endpoint> all;
  for (WorkerId worker = 1; worker <= 50; ++worker) all.push_back(endpoint(worker));
  return all;
}

TEST(Quota, NewCustomerStartsAtBurstOverItsGateways) {
  GatewayHarness harness;
  harness.updateEndpoints({endpoint(1)});
  int admittedCount = 0;
  while (isServed(harness)) ++admittedCount;
  EXPECT_EQ(admittedCount, 10);
}

TEST(Quota, FillsTowardTheWholeRateAndBurst) {
  Settings settings = testSettings();
  settings.gatewayCount = 1;
  GatewayHarness harness(settings);
  harness.updateEndpoints({endpoint(1)});
  while (isServed(harness, 0, 1, -1, 1, 1)) {
  }
  harness.now += 500;
  int admittedCount = 0;
  while (isServed(harness, 0, 1, -1, 1, 1)) ++admittedCount;
  EXPECT_EQ(admittedCount, 5);
  harness.now += 60000;
  admittedCount = 0;
  while (isServed(harness, 0, 1, -1, 1, 1)) ++admittedCount;
  EXPECT_EQ(admittedCount, 20);
}

TEST(Quota, EmptyBucketRejectsAtOnceWithItsRefillTimeAsRetryAfter) {
  GatewayHarness harness;
  harness.updateEndpoints({endpoint(1)});
  while (isServed(harness)) {
  }
  EXPECT_TRUE(harness.wasRejected(harness.lastRequest));
  EXPECT_NEAR(harness.recorder.rejected[harness.lastRequest], 100, 1);  // one unit at ten a second
  EXPECT_TRUE(harness.recorder.timers.empty());
}

TEST(Quota, ActualUnitsCorrectTheEstimate) {
  Settings settings = testSettings();
  settings.gatewayCount = 1;
  settings.correctsUnits = true;
  GatewayHarness harness(settings);
  harness.updateEndpoints({endpoint(1)});
  const RequestId id = harness.sendRequest(0, 0, 1, 8, 1);
  harness.endAttempt(id, AttemptResult::ok, 50, -1, true, 3);  // five come back
  int admittedCount = 0;
  while (isServed(harness, 0, 1, -1, 1, 1)) ++admittedCount;
  EXPECT_EQ(admittedCount, 17);
}

// A reading counts once, however many answers of its period it rides on.
TEST(Quota, RepeatedReadingCountsOnce) {
  Settings settings = testSettings();
  settings.gatewayCount = 1;
  const auto admitted = [&](int repeats) {
    GatewayHarness harness(settings);
    harness.updateEndpoints({endpoint(1)});
    for (int i = 0; i < 20; ++i) isServed(harness, 0, 1, -1, 1, 1);
    harness.now += 1100;
    for (int i = 0; i < repeats; ++i) isServed(harness, 0, 1, 200, 1, 1);
    int admittedCount = 0;
    for (int i = 0; i < 400; ++i) {
      harness.now += 100;
      admittedCount += isServed(harness, 0, 1, -1, 1, 1);
    }
    return admittedCount;
  };
  EXPECT_NEAR(admitted(1), admitted(6), 12);
}

// Two gateways' worth of traffic: readings well above the quota reduce what is admitted past it.
TEST(Quota, ReadingsAboveTheQuotaReduceAdmission) {
  const auto admitted = [](int percent) {
    GatewayHarness harness;
    harness.updateEndpoints({endpoint(1)});
    int admittedCount = 0;
    for (int i = 0; i < 600; ++i) {
      harness.now += 50;
      admittedCount += isServed(harness, 0, 1, percent);
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
    isServed(harness, 0, 1, 400);
  }
  harness.now += 60000;
  int admittedCount = 0;
  for (int i = 0; i < 40; ++i) {
    harness.now += 500;  // two a second against ten
    admittedCount += isServed(harness);
  }
  EXPECT_EQ(admittedCount, 40);
}

// A gateway that rejects gets no readings; its estimate of the others lasts for a while, not for ever.
TEST(Quota, EstimateOfOtherGatewaysFadesWithoutReadings) {
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
  int soon = 0, late = 0;
  for (int i = 0; i < 20; ++i) soon += harness.wasForwarded(harness.sendRequest(0, 1));
  EXPECT_EQ(soon, 0);
  harness.now += 300000;
  for (int i = 0; i < 20; ++i) late += harness.wasForwarded(harness.sendRequest(0, 1));
  EXPECT_EQ(late, 2);
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

TEST(Quota, EvictionDoesNotRefillAHeavyCustomer) {
  Settings settings = testSettings();
  settings.plans[0].rate = 0.001;
  GatewayHarness harness(settings);
  harness.updateEndpoints({endpoint(1)});
  while (isServed(harness)) {
  }
  for (CustomerId customer = 100; customer < 9000; ++customer) {
    harness.gateway.onRequest(harness.now, {++harness.lastRequest, 0, 0, customer, harness.now + 3000, 100000,
                                            2});  // never admitted: loses nothing
  }
  EXPECT_LE(harness.gateway.trackedCustomers(), 4096u);
  EXPECT_FALSE(isServed(harness));
}

// A trickle past the fraction's floor, for a customer that asks many times its quota, adds up to a good part
// of it.
TEST(Quota, NoTrickleWhileTheEstimateIsInDebt) {
  GatewayHarness harness;
  harness.updateEndpoints({endpoint(1)});
  int admittedCount = 0;
  for (int i = 0; i < 4000; ++i) {
    harness.now += 5;  // 200 a second against ten, and readings of twice the rate
    admittedCount += isServed(harness, 0, 1, 200);
  }
  EXPECT_LT(admittedCount, 20 * 10 / 2 + 20);  // half the rate, and the first burst
}

// Many gateways: each meets a customer rarely, and its part of a small burst is under one request. A gateway
// that has long been up lets the first one in.
TEST(Quota, FirstRequestOfACustomerAtAGatewayLongUpIsAdmitted) {
  Settings settings = testSettings();
  settings.gatewayCount = 200;
  settings.plans[0].rate = 1;
  settings.plans[0].burst = 4;
  GatewayHarness harness(settings);
  harness.updateEndpoints(fleet());
  harness.now += 20000;
  EXPECT_TRUE(isServed(harness, 0, 1, -1, 1, 30));
}

// Its own rare requests and readings of little use say nothing against a light customer among thirty
// gateways; readings of three times the quota reduce what it is admitted.
TEST(Quota, RareRequestsGoByTheReadings) {
  const auto admitted = [](int percent) {
    Settings settings = testSettings();
    settings.gatewayCount = 200;
    settings.plans[0].rate = 1;
    settings.plans[0].burst = 4;
    GatewayHarness harness(settings);
    harness.updateEndpoints(fleet());
    int admittedCount = 0;
    for (int i = 0; i < 40; ++i) {
      harness.now += 5000;
      admittedCount += isServed(harness, 0, 1, percent, 1, 30);
    }
    return admittedCount;
  };
  EXPECT_EQ(admitted(0), 40);
  EXPECT_LT(admitted(300), 25);
}

// A customer far past its quota, spread evenly over ten gateways: each admits about its tenth of the rate,
// whatever it makes of the demand. Together they would else go past the quota by what they misjudge.
TEST(Quota, WhileTheFleetQuotaIsUsedUpAGatewayAdmitsItsShareOfTheRate) {
  Settings settings = testSettings();
  settings.gatewayCount = 10;
  GatewayHarness harness(settings);
  harness.updateEndpoints({endpoint(1)});
  int admittedCount = 0;
  for (int i = 0; i < 1200; ++i) {
    harness.now += 50;  // twenty a second here, two hundred in all, against ten; readings of 100%
    const bool let = isServed(harness, 0, 1, 100, 1, 10);
    if (i >= 200) admittedCount += let;
  }
  EXPECT_GT(admittedCount, 25);
  EXPECT_LT(admittedCount, 75);  // of 50 seconds at one a second
}

TEST(Quota, ZeroRatesAndAbsentReadingsAreLegal) {
  Settings settings = testSettings();
  settings.quotaReadingPeriodMs = 0;
  settings.plans = {PlanSettings{}};
  GatewayHarness harness(settings);
  harness.updateEndpoints({endpoint(1)});
  for (int i = 0; i < 50; ++i) EXPECT_TRUE(isServed(harness, 0, 1, i % 2 ? 0 : -1));
}

// A customer that comes under another plan has that plan's quota from then on, and going to and fro fills
// nothing.
TEST(Quota, FollowsTheCustomersPlan) {
  Settings settings = testSettings();
  settings.gatewayCount = 1;
  settings.plans[2] = settings.plans[0];
  settings.plans[2].name = "large", settings.plans[2].rate = 1000, settings.plans[2].burst = 1000;
  GatewayHarness harness(settings);
  harness.updateEndpoints({endpoint(1)});
  while (isServed(harness, 0, 1, -1, 1, 1)) {
  }
  harness.now += 1000;
  int admittedCount = 0;
  while (admittedCount < 500 && isServed(harness, 2, 1, -1, 1, 1)) ++admittedCount;
  EXPECT_EQ(admittedCount, 10);  // what the small plan has filled in a second
  harness.now += 500;
  admittedCount = 0;
  while (admittedCount < 500 && isServed(harness, 2, 1, -1, 1, 1)) ++admittedCount;
  EXPECT_EQ(admittedCount, 500);
  harness.now += 1000;
  admittedCount = 0;
  while (admittedCount < 500 && isServed(harness, 0, 1, -1, 1, 1)) ++admittedCount;
  EXPECT_EQ(admittedCount, 20);  // the small plan's burst, not what the large one had filled
}

}  // namespace
}  // namespace wingslip::decision::test
