// Which requests the decision module sheds and rejects under overload.
#include <algorithm>
#include <vector>

#include "recorder.hpp"

namespace wingslip::decision::test {
namespace {

// Enough workers and quota that only overload rejects.
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
  RequestId request(double bytes, unsigned klass = 0, unsigned plan = 0, CustomerId customer = 1) {
    gateway.onRequest(now, {++lastRequest, klass, plan, customer, now + 3000, 1, 2, bytes});
    return lastRequest;
  }
  void overload(double share, double excess = 0, Time lasts = 1000) {
    gateway.onOverload(now, {true, excess > 0, share, excess, lasts});
  }
};

TEST(LoadShedding, WithoutOverloadNothingChanges) {
  OverloadedGateway plain, notified;
  notified.gateway.onOverload(0, {});
  for (int i = 0; i < 200; ++i) {
    for (OverloadedGateway* bench : {&plain, &notified}) {
      bench->now += 7;
      const RequestId id =
          bench->request(bench == &notified ? 1e6 : 0, static_cast<unsigned>(i % 3), 0, 1 + i % 5);
      if (i % 2 && bench->wasForwarded(id)) bench->endAttempt(id, AttemptResult::ok, 50, 30);
    }
  }
  EXPECT_EQ(plain.recorder.startedAttempts.size(), notified.recorder.startedAttempts.size());
  EXPECT_EQ(plain.recorder.rejected, notified.recorder.rejected);
  for (std::size_t i = 0; i < plain.recorder.startedAttempts.size(); ++i)
    EXPECT_EQ(plain.recorder.startedAttempts[i].worker, notified.recorder.startedAttempts[i].worker);
}

TEST(LoadShedding, CustomersBeyondTheirQuotaAreRejectedFirst) {
  Settings settings = OverloadedGateway::unlimitedPlans();
  settings.plans[1].rate = 1;
  settings.plans[1].burst = 4;
  OverloadedGateway bench(settings);
  bench.overload(0);  // overloaded, but nothing has to be shed
  unsigned refused = 0;
  for (int i = 0; i < 12; ++i) {
    EXPECT_TRUE(bench.wasForwarded(bench.request(1000, 0, 0, 1))) << "within its quota";
    refused += bench.wasRejected(bench.request(1000, 0, 1, 2));
  }
  EXPECT_GE(refused, 8u);
}

TEST(LoadShedding, RequestsOfTheLeastValuePerByteAreShedFirst) {
  OverloadedGateway bench;
  const RequestId small = bench.request(2000), large = bench.request(200000),
                  dear = bench.request(200000, 0, 1);
  bench.overload(0, 1000);
  EXPECT_TRUE(bench.wasRejected(large));
  EXPECT_FALSE(bench.wasRejected(small) || bench.wasRejected(dear));
  bench.overload(0, 1000);
  EXPECT_TRUE(bench.wasRejected(dear));
  bench.overload(0, 0);
  EXPECT_FALSE(bench.wasRejected(small));
  EXPECT_EQ(bench.gateway.requestsInFlight(), 1u);
  bench.endAttempt(large, AttemptResult::cancelled);  // what comes of it later changes nothing
  EXPECT_EQ(bench.recorder.finalAnswers[large], 1u);
}

TEST(LoadShedding, RequestsWithAStartedResponseAreShedLastAndFail) {
  OverloadedGateway bench;
  const RequestId answered = bench.request(400000), other = bench.request(2000);
  bench.gateway.onResponseStarted(bench.now, answered);
  bench.overload(0, 1500);
  EXPECT_TRUE(bench.wasRejected(other));
  EXPECT_FALSE(bench.hasFailed(answered) || bench.wasRejected(answered));
  bench.overload(0, 1500);
  EXPECT_TRUE(bench.hasFailed(answered));
  EXPECT_EQ(bench.gateway.requestsInFlight(), 0u);
}

// A rejection would say that a retry is harmless.
TEST(LoadShedding, AnAttemptThatMayHaveRunIsRejectedOnlyIfIdempotent) {
  OverloadedGateway bench;
  const RequestId safe = bench.request(1e6, 0), unsafe = bench.request(1e6, 2);
  bench.overload(0, 1e9);
  EXPECT_TRUE(bench.wasRejected(safe));
  EXPECT_TRUE(bench.hasFailed(unsafe));
}

TEST(LoadShedding, AShareOfNewRequestsIsRejectedTheLeastValuableFirst) {
  OverloadedGateway bench;
  bench.overload(0.3);
  unsigned refusedCheap = 0, refusedDear = 0, n = 2000;
  for (unsigned i = 0; i < n; ++i) {
    bench.now += 5;
    const bool cheap = i % 2;
    const RequestId id = bench.request(1000, 0, cheap ? 0 : 1, 1 + i % 50);
    (cheap ? refusedCheap : refusedDear) += bench.wasRejected(id);
    if (bench.wasForwarded(id)) bench.endAttempt(id, AttemptResult::ok, 50);
  }
  EXPECT_NEAR(refusedCheap + refusedDear, 0.3 * n, 0.06 * n);
  EXPECT_GT(refusedCheap, 20 * refusedDear);
}

// Gatekeepers that shed at the same moment must not bring all clients back at the same moment.
TEST(LoadShedding, RetryAfterIsSpreadOverTheSecondHalfOfTheExpectedDuration) {
  std::vector<Time> waits;
  for (std::uint64_t salt = 0; salt < 300; ++salt) {
    OverloadedGateway bench(OverloadedGateway::unlimitedPlans(), salt);
    const RequestId id = bench.request(1e6);
    bench.overload(0, 1, 2000);
    waits.push_back(bench.recorder.rejected.at(id));
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
  OverloadedGateway bench;
  const RequestId id = bench.request(1e6);
  bench.overload(0, 1, 1e9);
  EXPECT_LE(bench.recorder.rejected.at(id), 4000);  // the settings' most
}

}  // namespace
}  // namespace wingslip::decision::test
