// Load shedding: the choice of requests that the decision module sheds or rejects under overload.
#include <algorithm>
#include <vector>

#include "recorder.hpp"

namespace wingslip::decision::test {
namespace {

// A gateway with enough workers and quota that requests are rejected only because of overload.
struct OverloadedGateway : GatewayHarness {
  static Settings unlimitedPlans() {
    Settings settings = test::testSettings();
    settings.maxRetryAfterMs = 4000;
    for (PlanSettings& plan : settings.plans) {
      plan.rate = 1000;
      plan.burst = 2000;
      plan.maxConcurrent = 0;
      plan.ceilingRate = 0;
    }
    settings.plans.resize(2);
    settings.plans[1].price = 2;
    return settings;
  }
  explicit OverloadedGateway(const Settings& settings = unlimitedPlans(), std::uint64_t salt = 7)
      : GatewayHarness(settings, 0, salt) {
    std::vector<Endpoint> workers;
    for (WorkerId id = 1; id <= 40; ++id) workers.push_back(endpoint(id));
    updateEndpoints(workers);
  }
  RequestId request(double bytes, unsigned requestClass = 0, unsigned plan = 0, CustomerId customer = 1) {
    gateway.onRequest(now, {++lastRequest, requestClass, plan, customer, now + 3000, 1, 2, bytes});
    return lastRequest;
  }
  void overload(double shedFraction, double excessBytes = 0, Time expectedDurationMs = 1000) {
    gateway.onOverload(now, {true, excessBytes > 0, shedFraction, excessBytes, expectedDurationMs});
  }
};

TEST(LoadShedding, InactiveOverloadSignalDoesNotChangeDecisions) {
  OverloadedGateway withoutSignal, withSignal;
  withSignal.gateway.onOverload(0, {});
  for (int i = 0; i < 200; ++i) {
    for (OverloadedGateway* harness : {&withoutSignal, &withSignal}) {
      harness->now += 7;
      const RequestId id =
          harness->request(harness == &withSignal ? 1e6 : 0, static_cast<unsigned>(i % 3), 0, 1 + i % 5);
      if (i % 2 && harness->wasForwarded(id)) harness->endAttempt(id, AttemptResult::ok, 50, 30);
    }
  }
  EXPECT_EQ(withoutSignal.recorder.startedAttempts.size(), withSignal.recorder.startedAttempts.size());
  EXPECT_EQ(withoutSignal.recorder.rejected, withSignal.recorder.rejected);
  for (std::size_t i = 0; i < withoutSignal.recorder.startedAttempts.size(); ++i)
    EXPECT_EQ(withoutSignal.recorder.startedAttempts[i].worker,
              withSignal.recorder.startedAttempts[i].worker);
}

TEST(LoadShedding, CustomersOverQuotaAreRejectedFirst) {
  Settings settings = OverloadedGateway::unlimitedPlans();
  settings.plans[1].rate = 1;
  settings.plans[1].burst = 4;
  OverloadedGateway harness(settings);
  harness.overload(0);  // overloaded, but without a need to shed requests
  unsigned rejected = 0;
  for (int i = 0; i < 12; ++i) {
    EXPECT_TRUE(harness.wasForwarded(harness.request(1000, 0, 0, 1))) << "within its quota";
    rejected += harness.wasRejected(harness.request(1000, 0, 1, 2));
  }
  EXPECT_GE(rejected, 8u);
}

TEST(LoadShedding, RequestsWithTheLeastValuePerByteAreShedFirst) {
  OverloadedGateway harness;
  const RequestId small = harness.request(2000), large = harness.request(200000),
                  expensive = harness.request(200000, 0, 1);
  harness.overload(0, 1000);
  EXPECT_TRUE(harness.wasRejected(large));
  EXPECT_FALSE(harness.wasRejected(small) || harness.wasRejected(expensive));
  harness.overload(0, 1000);
  EXPECT_TRUE(harness.wasRejected(expensive));
  harness.overload(0, 0);
  EXPECT_FALSE(harness.wasRejected(small));
  EXPECT_EQ(harness.gateway.requestsInFlight(), 1u);
  harness.endAttempt(large, AttemptResult::cancelled);  // the later outcome of a shed request is ignored
  EXPECT_EQ(harness.recorder.finalAnswers[large], 1u);
}

TEST(LoadShedding, RequestsWithAStartedResponseAreShedLastAndFail) {
  OverloadedGateway harness;
  const RequestId responding = harness.request(400000), other = harness.request(2000);
  harness.gateway.onResponseStarted(harness.now, responding);
  harness.overload(0, 1500);
  EXPECT_TRUE(harness.wasRejected(other));
  EXPECT_FALSE(harness.hasFailed(responding) || harness.wasRejected(responding));
  harness.overload(0, 1500);
  EXPECT_TRUE(harness.hasFailed(responding));
  EXPECT_EQ(harness.gateway.requestsInFlight(), 0u);
}

// A rejection signals to the client that a retry is harmless. A request that may have run is therefore
// rejected only if it is idempotent, and fails otherwise.
TEST(LoadShedding, RequestThatMayHaveRunIsRejectedOnlyIfIdempotent) {
  OverloadedGateway harness;
  const RequestId idempotent = harness.request(1e6, 0), nonIdempotent = harness.request(1e6, 2);
  harness.overload(0, 1e9);
  EXPECT_TRUE(harness.wasRejected(idempotent));
  EXPECT_TRUE(harness.hasFailed(nonIdempotent));
}

TEST(LoadShedding, ShedFractionOfNewRequestsIsRejectedLeastValuableFirst) {
  OverloadedGateway harness;
  harness.overload(0.3);
  unsigned rejectedLowValue = 0, rejectedHighValue = 0, n = 2000;
  for (unsigned i = 0; i < n; ++i) {
    harness.now += 5;
    const bool isLowValue = i % 2;
    const RequestId id = harness.request(1000, 0, isLowValue ? 0 : 1, 1 + i % 50);
    (isLowValue ? rejectedLowValue : rejectedHighValue) += harness.wasRejected(id);
    if (harness.wasForwarded(id)) harness.endAttempt(id, AttemptResult::ok, 50);
  }
  EXPECT_NEAR(rejectedLowValue + rejectedHighValue, 0.3 * n, 0.06 * n);
  EXPECT_GT(rejectedLowValue, 20 * rejectedHighValue);
}

// Gatekeepers that shed requests at the same time must not cause all clients to retry at the same time.
TEST(LoadShedding, RetryAfterIsSpreadOverTheSecondHalfOfTheExpectedDuration) {
  std::vector<Time> waits;
  for (std::uint64_t salt = 0; salt < 300; ++salt) {
    OverloadedGateway harness(OverloadedGateway::unlimitedPlans(), salt);
    const RequestId id = harness.request(1e6);
    harness.overload(0, 1, 2000);
    waits.push_back(harness.recorder.rejected.at(id));
  }
  std::sort(waits.begin(), waits.end());
  EXPECT_GE(waits.front(), 1000);
  EXPECT_LE(waits.back(), 2000);
  for (std::size_t i = 0; i < 10; ++i) {  // every tenth of the interval gets less than a fifth of the retries
    const auto count = std::count_if(waits.begin(), waits.end(), [&](Time waitMs) {
      return waitMs >= 1000 + 100.0 * static_cast<double>(i) &&
             waitMs < 1100 + 100.0 * static_cast<double>(i);
    });
    EXPECT_LT(count, 60) << i;
  }
  OverloadedGateway harness;
  const RequestId id = harness.request(1e6);
  harness.overload(0, 1, 1e9);
  EXPECT_LE(harness.recorder.rejected.at(id), 4000);  // limited to maxRetryAfterMs of the settings
}

}  // namespace
}  // namespace wingslip::decision::test
