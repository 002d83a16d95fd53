// Unit tests of the parts of the decision module, including limits that the event sequences of
// decision_replay_test.cpp do not reach.
#include <gtest/gtest.h>

#include "decision/admission.hpp"
#include "decision/concurrency_limit.hpp"
#include "decision/customer_registry.hpp"
#include "decision/customer_table.hpp"
#include "decision/load_shedding.hpp"
#include "decision/outlier_detection.hpp"
#include "decision/retry_policy.hpp"
#include "decision/unknown_customers.hpp"
#include "recorder.hpp"

namespace wingslip::decision::test {
namespace {

const auto kNeverLossless = [](const Customer&) { return false; };
const auto kIgnoreEvicted = [](const Customer&) {};

PendingRequest pendingRequest(unsigned requestClass) {
  PendingRequest pending;
  pending.requestClass = std::make_shared<RequestClass>(RequestClass{testSettings().classes[requestClass]});
  pending.request.expiresAt = 1e6;
  pending.maxAttempts = 100;
  return pending;
}

TEST(CustomerTable, IsFullAtItsMaximumSize) {
  CustomerTable table;
  for (CustomerId id = 1; id < 4096; ++id) table.add(id);
  EXPECT_FALSE(table.isFull());
  table.add(4096);
  EXPECT_TRUE(table.isFull());
}

TEST(CustomerTable, EvictsTheLeastRecentlyUsedIfEveryEvictionLosesState) {
  CustomerTable table;
  for (CustomerId id = 1; id <= 3; ++id) table.add(id);
  table.findAndTouch(1);
  table.evictOne(kNeverLossless, kIgnoreEvicted);
  EXPECT_EQ(table.find(2), nullptr);
  EXPECT_NE(table.find(1), nullptr);
}

TEST(CustomerTable, PrefersALosslessEvictionAmongTheOldest32) {
  for (const CustomerId losslessId : {32u, 33u}) {
    CustomerTable table;
    for (CustomerId id = 1; id <= 40; ++id) table.add(id);
    table.evictOne([&](const Customer& customer) { return customer.id == losslessId; }, kIgnoreEvicted);
    EXPECT_EQ(table.find(losslessId) == nullptr, losslessId == 32);
    EXPECT_EQ(table.find(1) == nullptr, losslessId == 33);
  }
}

TEST(WorkerLimit, GrowsUpToItsMaximum) {
  UpstreamWorker worker;
  worker.inFlight = 1000;
  for (int i = 0; i < 100000; ++i) updateWorkerLimit(worker, i, {false, true});
  EXPECT_EQ(worker.limit, 200);
}

TEST(WorkerLimit, LateAnswersInQuickSuccessionReduceItOnce) {
  UpstreamWorker worker;
  worker.limit = 10;
  worker.inFlight = 100;
  for (int i = 0; i < 5; ++i) updateWorkerLimit(worker, 1000 + i, {true, false});
  EXPECT_EQ(worker.limit, 0.85 * 10);
}

TEST(OverloadPause, DoublesUpToItsMaximumAndIsResetByASuccess) {
  UpstreamWorker worker;
  for (const Time expectedMs : {150, 300, 600, 1200, 2000, 2000}) {
    pauseOverloaded(worker, 0);
    EXPECT_EQ(worker.pausedUntil, expectedMs);
  }
  resetOverloadPause(worker);
  pauseOverloaded(worker, 0);
  EXPECT_EQ(worker.pausedUntil, 150);
}

TEST(Ejection, TimeDoublesUpToItsMaximumAndASuccessEndsIt) {
  UpstreamWorker worker;
  EXPECT_FALSE(OutlierDetection::recordFailure(worker, 0));
  for (const Time expectedMs : {1000, 2000, 4000, 8000, 8000}) {
    EXPECT_TRUE(OutlierDetection::recordFailure(worker, 0));
    EXPECT_EQ(worker.ejectedUntil, expectedMs);
  }
  OutlierDetection::recordSuccess(worker);
  EXPECT_FALSE(worker.isEjected(0));
  EXPECT_FALSE(OutlierDetection::recordFailure(worker, 0));
}

TEST(OutlierDetection, BusyWorkerIsUnresponsiveAfterThreeUsualLatencies) {
  RequestClasses classes(testSettings().classes, 0);
  classes.recordLatency(*classes[0], 0, 100);
  OutlierDetection outliers(classes);
  UpstreamWorker worker;
  worker.inFlight = 2;
  EXPECT_FALSE(outliers.shouldAvoid(worker, 300));
  EXPECT_TRUE(outliers.shouldAvoid(worker, 301));
  worker.inFlight = 1;
  EXPECT_FALSE(outliers.shouldAvoid(worker, 301));
}

TEST(RetryPolicy, AllowsAtMostFourAttemptsEvenIfTheSettingsAllowMore) {
  const RetryPolicy policy;
  PendingRequest pending = pendingRequest(0);
  pending.attempts = 3;
  EXPECT_TRUE(policy.mayRetry(pending, 10));
  pending.attempts = 4;
  EXPECT_FALSE(policy.mayRetry(pending, 10));
}

TEST(RetryPolicy, RequestThatMayHaveRunIsRetriedOnlyIfItsClassAllowsIt) {
  const RetryPolicy policy;
  for (const unsigned requestClass : {0u, 1u, 2u}) {
    PendingRequest pending = pendingRequest(requestClass);
    pending.mayHaveRun = true;
    EXPECT_EQ(policy.mayRetry(pending, 10), requestClass != 2);
    EXPECT_EQ(isSafeToReject(pending), requestClass == 0);
  }
}

TEST(RetryPolicy, TimeoutsExhaustTheRetryBudget) {
  RetryPolicy policy;
  PendingRequest pending = pendingRequest(0);
  pending.mayHaveRun = true;
  for (int i = 0; i < 4; ++i) policy.recordResult(AttemptResult::timeout);
  EXPECT_TRUE(policy.mayRetry(pending, 10));
  policy.recordResult(AttemptResult::timeout);
  EXPECT_FALSE(policy.mayRetry(pending, 10));
  EXPECT_EQ(policy.attemptTimeoutMs(pending, 10), 0);
}

TEST(LoadShedding, ReleasesRequestsOverQuotaFirstAndStartedResponsesLast) {
  RequestTable requests;
  const auto add = [&](RequestId id, double bytes, bool responseStarted) {
    PendingRequest pending = pendingRequest(0);
    pending.request.id = id;
    pending.request.memoryBytes = bytes;
    pending.responseStarted = responseStarted;
    requests.add(std::move(pending));
  };
  add(1, 1e6, true);
  add(2, 20000, false);
  add(3, 1e6, false);
  add(4, 20000, false);
  std::vector<RequestId> order;
  for (const ReleaseCandidate& candidate : LoadShedding::releaseOrder(
           requests, [](const PendingRequest& pending) { return pending.request.id == 4; }))
    order.push_back(candidate.id);
  EXPECT_EQ(order, (std::vector<RequestId>{4, 3, 2, 1}));
}

TEST(Admission, ReturnsTheReasonOfARejection) {
  Settings settings = testSettings();
  settings.gatewayCount = 1;
  const CustomerQuota quota(settings);
  Random random(1);
  CustomerRegistry customers(settings, quota, random, 0);
  const UnknownCustomers unknownCustomers(settings, customers.meanRequestSize());
  Admission admission(settings, quota.fleet(), unknownCustomers, random);
  const auto reason = [&](unsigned planIndex, double units) -> std::optional<RejectionReason> {
    const Request request{1, 0, planIndex, 1 + planIndex, 3000, units};
    Customer& customer = customers.findOrAdd(0, request);
    const auto rejection = admission.decide(customer, request, 100, false);
    if (!rejection) {
      CustomerQuota::debit(customer, units);
      quota.recordAttemptStarted(customer, 0);
      return std::nullopt;
    }
    return rejection->reason;
  };
  EXPECT_EQ(reason(0, 20), std::nullopt);
  EXPECT_EQ(reason(0, 1), RejectionReason::localQuota);
  EXPECT_EQ(reason(1, 1), std::nullopt);
  EXPECT_EQ(reason(1, 1), std::nullopt);
  EXPECT_EQ(reason(1, 1), RejectionReason::concurrencyCap);
  // A newly started gateway has no tokens of the hard ceiling yet.
  EXPECT_EQ(reason(2, 1), RejectionReason::hardCeiling);
}

TEST(UnknownCustomers, AssumedBurstShareIsWithinItsMinimumAndMaximum) {
  Settings settings = testSettings();
  MeanRequestSize meanSize;
  meanSize.record(1);
  UnknownCustomers unknownCustomers(settings, meanSize);
  Request request;
  for (int i = 0; i < 2000; ++i) unknownCustomers.recordReading(request, settings.plans[0], 1, 0);
  EXPECT_EQ(unknownCustomers.assumedBurstShare(), 1.5);
  for (int i = 0; i < 2000; ++i) unknownCustomers.recordReading(request, settings.plans[0], 1, 10000);
  EXPECT_EQ(unknownCustomers.assumedBurstShare(), 0.08);
}

}  // namespace
}  // namespace wingslip::decision::test
