// Attempts and retries, outlier detection, concurrency limits and settings updates of the decision module.
#include <limits>
#include <random>
#include <set>

#include "recorder.hpp"

namespace wingslip::decision::test {
namespace {

// A settings update applies to requests received after it. For a request in flight the request class does not
// change, but its maximum number of attempts is reduced to the new one. Invalid settings are refused and
// change nothing.
TEST(SettingsUpdate, AppliesToRequestsReceivedAfterIt) {
  Settings settings = testSettings();
  settings.classes[0].name = "a";
  settings.classes[2].name = "b";
  GatewayHarness harness(settings);
  harness.updateEndpoints({endpoint(1), endpoint(2), endpoint(3)});
  const RequestId open = harness.sendRequest(0), capped = harness.sendRequest(0);
  Settings next = settings;
  next.classes[0].idempotency = Idempotency::notIdempotent;
  next.maxAttempts = 2;
  harness.gateway.onSettings(harness.now, next);
  harness.endAttempt(open, AttemptResult::reset);
  EXPECT_EQ(harness.attemptCount(open), 2u);  // the request's class is still idempotent
  harness.endAttempt(capped, AttemptResult::connectFailed);
  harness.endAttempt(capped, AttemptResult::connectFailed);
  EXPECT_EQ(harness.attemptCount(capped), 2u);
  const RequestId later = harness.sendRequest(0);
  harness.endAttempt(later, AttemptResult::reset);
  EXPECT_TRUE(harness.hasFailed(later));
  next.maxAttempts = 4;
  next.gatewayCount = 0;
  EXPECT_THROW(harness.gateway.onSettings(harness.now, next), std::invalid_argument);
  EXPECT_TRUE(harness.wasForwarded(harness.sendRequest(0)));
}

// Guards against a further attempt for an upload whose deadline has passed before its body was complete.
TEST(Attempts, AnAttemptThatEndsAfterAChangedDeadlineIsNotRepeated) {
  GatewayHarness harness;
  harness.updateEndpoints({endpoint(1), endpoint(2)});
  const RequestId changed = harness.sendRequest(0), unchanged = harness.sendRequest(0);
  harness.gateway.onDeadlineChange(changed, harness.now);
  harness.endAttempt(changed, AttemptResult::connectFailed);
  harness.endAttempt(unchanged, AttemptResult::connectFailed);
  EXPECT_TRUE(harness.wasRejected(changed));
  EXPECT_EQ(harness.attemptCount(changed), 1u);
  EXPECT_EQ(harness.attemptCount(unchanged), 2u);
  harness.gateway.onDeadlineChange(changed, harness.now);  // an ended request: no effect
  EXPECT_EQ(harness.gateway.requestsInFlight(), 1u);
}

TEST(Attempts, NonIdempotentRequestThatMayHaveRunFailsWithoutRetry) {
  for (const AttemptResult result :
       {AttemptResult::error, AttemptResult::timeout, AttemptResult::reset, AttemptResult::cancelled}) {
    GatewayHarness harness;
    harness.updateEndpoints({endpoint(1), endpoint(2)});
    const RequestId id = harness.sendRequest(2);
    // An early timeout would end the request without a retry.
    EXPECT_EQ(harness.recorder.startedAttempts.back().timeoutMs, 0);
    harness.endAttempt(id, result);
    EXPECT_TRUE(harness.hasFailed(id));
    EXPECT_EQ(harness.attemptCount(id), 1u);
  }
}

TEST(Attempts, NonIdempotentRequestThatHasNotRunIsRetriedOnAnotherWorker) {
  for (const AttemptResult result : {AttemptResult::overloaded, AttemptResult::connectFailed}) {
    GatewayHarness harness;
    harness.updateEndpoints({endpoint(1), endpoint(2)});
    const RequestId id = harness.sendRequest(2);
    const WorkerId first = harness.lastWorker();
    harness.endAttempt(id, result);
    EXPECT_EQ(harness.attemptCount(id), 2u);
    EXPECT_NE(harness.lastWorker(), first);
  }
}

TEST(Attempts, KeyedRequestIsRetriedOnlyWithinItsZoneAndIdempotencyWindow) {
  GatewayHarness harness;
  harness.updateEndpoints({endpoint(1, 0), endpoint(2, 0), endpoint(3, 1), endpoint(4, 1)});
  const RequestId id = harness.sendRequest(1);
  const unsigned zone = harness.lastWorker() > 2;
  harness.endAttempt(id, AttemptResult::reset);
  ASSERT_EQ(harness.attemptCount(id), 2u);
  EXPECT_EQ(harness.lastWorker() > 2, zone != 0);
  harness.now += 2500;  // past the idempotency window of 2000 ms
  harness.endAttempt(id, AttemptResult::reset);
  EXPECT_EQ(harness.attemptCount(id), 2u);
  EXPECT_TRUE(harness.hasFailed(id));
}

TEST(Attempts, TimeoutAtTheDeadlineGivesAFinalAnswer) {
  for (unsigned requestClass = 0; requestClass < 3; ++requestClass) {
    GatewayHarness harness;
    harness.updateEndpoints({endpoint(1)});
    const RequestId id = harness.sendRequest(requestClass, 0, 1, 1, 2, 500);
    harness.now += 500;
    harness.endAttempt(id, AttemptResult::timeout, 500);
    EXPECT_EQ(harness.recorder.finalAnswers[id], 1u);
    EXPECT_EQ(harness.gateway.requestsInFlight(), 0u);
  }
}

TEST(Attempts, RequestWaitingForAWorkerIsAnsweredByItsDeadline) {
  GatewayHarness harness;
  harness.updateEndpoints({endpoint(1)});
  const RequestId id = harness.sendRequest(1);
  Endpoint removed = endpoint(1);
  removed.phase = WorkerPhase::removed;
  harness.updateEndpoints({removed}, EndpointUpdate::delta);
  harness.endAttempt(id, AttemptResult::reset);
  ASSERT_FALSE(harness.recorder.timers.empty());
  for (int i = 0; i < 200 && harness.recorder.finalAnswers[id] == 0; ++i) {
    harness.now += harness.recorder.timers.back().first;
    harness.gateway.onTimer(harness.now, id);
  }
  EXPECT_EQ(harness.recorder.finalAnswers[id], 1u);
  EXPECT_LE(harness.now, 3000);
}

TEST(Attempts, NoRetryOrAnswerAfterTheClientDisconnects) {
  GatewayHarness harness;
  harness.updateEndpoints({endpoint(1), endpoint(2)});
  const RequestId id = harness.sendRequest();
  harness.gateway.onClientDisconnect(harness.now, id);
  harness.endAttempt(id, AttemptResult::reset, 10, -1, true);
  EXPECT_EQ(harness.attemptCount(id), 1u);
  EXPECT_EQ(harness.recorder.finalAnswers[id], 0u);
}

TEST(Attempts, RetriesAreNotChargedToTheQuota) {
  GatewayHarness harness;
  harness.updateEndpoints({endpoint(1), endpoint(2)});
  const RequestId id = harness.sendRequest();
  harness.endAttempt(id, AttemptResult::overloaded);
  ASSERT_EQ(harness.attemptCount(id), 2u);
  harness.endAttempt(id, AttemptResult::ok);
  int admitted = 0;
  for (;;) {
    const RequestId next = harness.sendRequest();
    if (!harness.wasForwarded(next)) break;
    harness.endAttempt(next, AttemptResult::ok);
    ++admitted;
  }
  EXPECT_EQ(admitted, 9);
}

TEST(OutlierDetection, WorkerWithConsecutiveFailuresIsEjectedAndUsedAgainAfterRecovery) {
  GatewayHarness harness;
  harness.updateEndpoints({endpoint(1), endpoint(2)});
  int attemptsAtFailingWorker = 0;
  CustomerId customer = 0;
  const auto sendRequests = [&](Time durationMs, bool isFailing) {
    for (Time end = harness.now + durationMs; harness.now < end; harness.now += 20) {
      const RequestId id = harness.sendRequest(0, 0, ++customer);
      while (harness.recorder.startedAttempts.back().id == id && harness.recorder.finalAnswers[id] == 0) {
        const bool isFirstWorker = harness.lastWorker() == 1;
        attemptsAtFailingWorker += isFirstWorker;
        const unsigned attemptsBefore = harness.attemptCount(id);
        harness.endAttempt(id, isFirstWorker && isFailing ? AttemptResult::connectFailed : AttemptResult::ok,
                           50);
        if (harness.attemptCount(id) == attemptsBefore) break;
      }
    }
  };
  sendRequests(3000, true);
  EXPECT_LT(attemptsAtFailingWorker, 12);
  attemptsAtFailingWorker = 0;
  sendRequests(15000, false);
  EXPECT_GT(attemptsAtFailingWorker, 100);
}

// Workers that immediately reject attempts as overloaded appear idle, so a choice by least load alone would
// send them all attempts.
TEST(OutlierDetection, OverloadedWorkersGetFewAttempts) {
  GatewayHarness harness;
  std::vector<Endpoint> endpoints;
  for (WorkerId worker = 1; worker <= 6; ++worker) endpoints.push_back(endpoint(worker));
  harness.updateEndpoints(endpoints);
  CustomerId customer = 0;
  for (int i = 0; i < 300; ++i) {
    harness.now += 10;
    const RequestId id = harness.sendRequest(0, 0, ++customer);
    while (harness.wasForwarded(id) && harness.recorder.finalAnswers[id] == 0)
      harness.endAttempt(id, AttemptResult::overloaded, 2);
  }
  EXPECT_LT(harness.recorder.startedAttempts.size(), 60u);
}

// Latencies above half of the objective reduce the limit on attempts in flight, so that a start or a slow
// period does not overload the workers.
TEST(ConcurrencyLimit, LateAnswersReduceTheLimit) {
  const auto maxInFlight = [](Time latencyMs) {
    GatewayHarness harness;
    harness.updateEndpoints({endpoint(1)});
    CustomerId customer = 0;
    for (int i = 0; i < 60; ++i) {
      harness.now += 250;
      const RequestId id = harness.sendRequest(2, 0, ++customer);
      if (harness.wasForwarded(id)) harness.endAttempt(id, AttemptResult::ok, latencyMs);
    }
    int inFlight = 0;
    while (harness.wasForwarded(harness.sendRequest(2, 0, ++customer))) ++inFlight;
    return inFlight;
  };
  EXPECT_GE(maxInFlight(100), 6);
  EXPECT_LE(maxInFlight(700), 2);
}

// A worker behind a network partition never answers its attempts in flight. It is avoided long before they
// time out.
TEST(OutlierDetection, UnresponsiveWorkerIsAvoidedBeforeItsAttemptsTimeOut) {
  GatewayHarness harness;
  harness.updateEndpoints({endpoint(1), endpoint(2)});
  CustomerId customer = 0;
  const auto sendRequests = [&](Time durationMs, bool isUnresponsive) {
    int attemptsAtUnresponsive = 0;
    for (Time end = harness.now + durationMs; harness.now < end; harness.now += 25) {
      const RequestId id = harness.sendRequest(2, 0, ++customer);
      if (!harness.wasForwarded(id)) continue;
      attemptsAtUnresponsive += harness.lastWorker() == 1;
      if (!isUnresponsive || harness.lastWorker() != 1) harness.endAttempt(id, AttemptResult::ok, 50);
    }
    return attemptsAtUnresponsive;
  };
  sendRequests(2000, false);
  const int beforeDetection = sendRequests(500, true);
  EXPECT_LE(beforeDetection, 3);
  EXPECT_EQ(sendRequests(1500, true), 0);
}

TEST(Settings, InvalidSettingsThrowAtConstruction) {
  Recorder recorder;
  const auto expectInvalid = [&](auto change) {
    Settings settings = testSettings();
    change(settings);
    EXPECT_THROW(Gateway(settings, 1, 0, recorder), std::invalid_argument);
  };
  expectInvalid([](Settings& settings) { settings.plans[0].rate = -1; });
  expectInvalid(
      [](Settings& settings) { settings.plans[0].burst = std::numeric_limits<double>::quiet_NaN(); });
  expectInvalid([](Settings& settings) { settings.slowStartMs = std::numeric_limits<double>::infinity(); });
  expectInvalid([](Settings& settings) { settings.gatewayIndex = 2; });
  expectInvalid([](Settings& settings) { settings.gatewayCount = 0; });
  expectInvalid([](Settings& settings) { settings.classes.clear(); });
}

// For random sequences of legal events, every request gets one final answer by its deadline, and its attempts
// comply with its request class.
TEST(Invariants, HoldForRandomSequencesOfLegalEvents) {
  for (unsigned seed = 1; seed <= 12; ++seed) {
    std::mt19937 random(seed);
    GatewayHarness harness;
    std::vector<Endpoint> endpoints;
    for (WorkerId worker = 1; worker <= 6; ++worker) endpoints.push_back(endpoint(worker, worker > 3));
    harness.updateEndpoints(endpoints);
    struct TrackedRequest {
      unsigned requestClass;
      Time expiresAt, firstRunAt = -1;
      bool hasAttemptInFlight = false, isFinished = false, mayHaveRun = false;
      unsigned firstRunZone = 0;
    };
    std::map<RequestId, TrackedRequest> requests;
    std::set<WorkerId> notReady;
    std::vector<std::pair<Time, std::uint64_t>> timers;
    std::size_t checkedAttempts = 0, scheduledTimers = 0;
    const auto check = [&] {
      for (; checkedAttempts < harness.recorder.startedAttempts.size(); ++checkedAttempts) {
        const StartedAttempt& attempt = harness.recorder.startedAttempts[checkedAttempts];
        TrackedRequest& request = requests.at(attempt.id);
        EXPECT_FALSE(request.hasAttemptInFlight) << "two attempts of a request in flight";
        EXPECT_FALSE(request.isFinished);
        EXPECT_FALSE(notReady.contains(attempt.worker));
        if (request.mayHaveRun && request.requestClass == 2)
          ADD_FAILURE() << "a non-idempotent request that may have run was retried";
        if (request.mayHaveRun && request.requestClass == 1) {
          EXPECT_EQ(request.firstRunZone, static_cast<unsigned>(attempt.worker > 3));
          EXPECT_LE(harness.now, request.firstRunAt + 2000);
        }
        request.hasAttemptInFlight = true;
      }
      for (auto& [id, request] : requests) {
        if (harness.recorder.rejected.contains(id) &&
            (request.mayHaveRun ||
             request.hasAttemptInFlight)) {  // rejected by load shedding after an attempt was started
          EXPECT_EQ(request.requestClass, 0u);
        }
        if (harness.recorder.finalAnswers[id]) request.isFinished = true;
      }
      for (; scheduledTimers < harness.recorder.timers.size(); ++scheduledTimers)
        timers.emplace_back(harness.now + harness.recorder.timers[scheduledTimers].first,
                            harness.recorder.timers[scheduledTimers].second);
    };
    for (int step = 0; step < 4000; ++step) {
      harness.now += random() % 8;
      for (std::size_t i = 0; i < timers.size();) {
        if (timers[i].first > harness.now) {
          ++i;
          continue;
        }
        const auto tag = timers[i].second;
        timers.erase(timers.begin() + static_cast<long>(i));
        harness.gateway.onTimer(harness.now, tag);
        check();
      }
      if (step < 3400 && random() % 3 == 0) {
        const unsigned requestClass = random() % 3;
        const Time deadlineMs = 200 + random() % 2500;
        requests.emplace(harness.lastRequest + 1, TrackedRequest{requestClass, harness.now + deadlineMs});
        harness.sendRequest(requestClass, random() % 3, random() % 40, 1 + random() % 3, 2, deadlineMs);
        check();
      }
      if (random() % 150 == 0) {
        harness.gateway.onOverload(harness.now, {random() % 2 == 0, random() % 2 == 0, 0.3 * (random() % 2),
                                                 20000.0 * (random() % 3), 500});
        check();
      }
      for (auto& [id, request] : requests) {
        if (!request.hasAttemptInFlight || (harness.now < request.expiresAt && random() % 12)) continue;
        constexpr AttemptResult results[] = {
            AttemptResult::ok,    AttemptResult::error, AttemptResult::overloaded,   AttemptResult::timeout,
            AttemptResult::reset, AttemptResult::ok,    AttemptResult::connectFailed};
        const AttemptResult result =
            harness.now >= request.expiresAt ? AttemptResult::timeout : results[random() % 7];
        WorkerId worker = 0;
        for (const StartedAttempt& attempt : harness.recorder.startedAttempts)
          if (attempt.id == id) worker = attempt.worker;
        request.hasAttemptInFlight = false;
        if (result != AttemptResult::overloaded && result != AttemptResult::connectFailed &&
            !request.mayHaveRun) {
          request.mayHaveRun = true;
          request.firstRunZone = worker > 3;
          request.firstRunAt = harness.now;
        }
        if (result == AttemptResult::ok) request.isFinished = true;
        harness.endAttempt(id, result, 30, random() % 2 ? static_cast<int>(random() % 300) : -1,
                           request.isFinished);
        check();
      }
      if (random() % 60 == 0) {
        Endpoint changed = endpoints[random() % endpoints.size()];
        changed.phase = random() % 2   ? WorkerPhase::ready
                        : random() % 2 ? WorkerPhase::draining
                                       : WorkerPhase::removed;
        if (changed.phase == WorkerPhase::ready)
          notReady.erase(changed.worker);
        else
          notReady.insert(changed.worker);
        harness.updateEndpoints({changed}, EndpointUpdate::delta);
      }
    }
    for (auto& [id, request] : requests)
      EXPECT_TRUE(request.isFinished || harness.now < request.expiresAt + 8)
          << "request " << id << " has no final answer after its deadline";
  }
}

// A client disconnect also ends the attempt, but is no answer of the worker: it must not reset the detection
// of an unresponsive worker.
TEST(OutlierDetection, UnresponsiveWorkerIsAvoidedDespiteClientDisconnects) {
  GatewayHarness harness;
  harness.updateEndpoints({endpoint(1), endpoint(2)});
  CustomerId customer = 0;
  // Attempts in flight at worker 2, with the step of the loop that started them. There are more of them than
  // at the unresponsive worker 1.
  std::vector<std::pair<int, RequestId>> inFlightAtOther;
  int attemptsAtUnresponsive = 0;
  for (int i = 0; i < 400; ++i) {
    harness.now += 25;
    while (!inFlightAtOther.empty() && i - inFlightAtOther.front().first >= 6) {
      harness.endAttempt(inFlightAtOther.front().second, AttemptResult::ok, 150);
      inFlightAtOther.erase(inFlightAtOther.begin());
    }
    const RequestId id = harness.sendRequest(2, 0, ++customer);
    if (!harness.wasForwarded(id)) continue;
    if (harness.lastWorker() == 2) {
      inFlightAtOther.emplace_back(i, id);
    } else if (i < 80) {
      harness.endAttempt(id, AttemptResult::ok, 50);
    } else if (++attemptsAtUnresponsive > 2) {
      harness.gateway.onClientDisconnect(harness.now, id);
      harness.endAttempt(id, AttemptResult::cancelled, 2, -1, true);
    }
  }
  EXPECT_LE(attemptsAtUnresponsive, 8);
}

// A late answer to an expensive request that was the only one in flight is no evidence of too much
// concurrency. The next burst must still be sent to the idle workers.
TEST(ConcurrencyLimit, LateAnswerToASingleRequestLeavesCapacityForTheNextBurst) {
  Settings settings = testSettings();
  settings.gatewayCount = 1;
  GatewayHarness harness(settings);
  std::vector<Endpoint> endpoints;
  for (WorkerId worker = 1; worker <= 9; ++worker) endpoints.push_back(endpoint(worker));
  harness.updateEndpoints(endpoints);
  CustomerId customer = 0;
  const auto burst = [&] {
    std::vector<RequestId> sent;
    for (int i = 0; i < 10; ++i)
      if (const RequestId id = harness.sendRequest(2, 0, ++customer); harness.wasForwarded(id))
        sent.push_back(id);
    harness.now += 100;
    for (const RequestId id : sent) harness.endAttempt(id, AttemptResult::ok, 100);
    return sent.size();
  };
  EXPECT_EQ(burst(), 10u);
  const RequestId expensive = harness.sendRequest(2, 0, ++customer);
  harness.now += 900;
  harness.endAttempt(expensive, AttemptResult::ok, 900);
  EXPECT_GE(burst(), 9u);
}

// A single slow worker must not reduce the number of attempts sent to the other workers.
TEST(ConcurrencyLimit, LateAnswersOfOneSlowWorkerDoNotReduceTheGatewayLimit) {
  Settings settings = testSettings();
  settings.gatewayCount = 1;
  GatewayHarness harness(settings);
  harness.updateEndpoints({endpoint(1), endpoint(2)});
  CustomerId customer = 0;
  std::vector<RequestId> atSlow, atOther;
  for (int i = 0; i < 20; ++i)
    if (const RequestId id = harness.sendRequest(2, 0, ++customer); harness.wasForwarded(id))
      (harness.lastWorker() == 1 ? atSlow : atOther).push_back(id);
  ASSERT_GE(atSlow.size(), 8u);
  harness.now += 100;
  for (const RequestId id : atOther) harness.endAttempt(id, AttemptResult::ok, 100);
  for (const RequestId id : atSlow) {
    harness.now += 250;
    harness.endAttempt(id, AttemptResult::ok, 900);
  }
  int inFlight = 0;
  while (harness.wasForwarded(harness.sendRequest(2, 0, ++customer))) ++inFlight;
  EXPECT_GE(inFlight, 9);
}

// With two hundred gateways and twenty workers, one attempt of each gateway at every worker would be ten
// times the workers' capacity. Late answers reduce a gateway's limit far below one attempt per worker, and
// early answers raise it again.
TEST(ConcurrencyLimit, GatewayLimitFallsBelowOneAttemptPerWorkerAndRecovers) {
  Settings settings = testSettings();
  settings.gatewayCount = 200;
  settings.plans[0].rate = 1000;
  settings.plans[0].burst = 100000;
  GatewayHarness harness(settings);
  std::vector<Endpoint> endpoints;
  for (WorkerId worker = 1; worker <= 20; ++worker) endpoints.push_back(endpoint(worker));
  harness.updateEndpoints(endpoints);
  const auto countAdmitted = [&](Time latencyMs) {
    int admitted = 0;
    for (int i = 0; i < 40; ++i) {
      harness.now += 250;
      const RequestId id = harness.sendRequest(0, 0, harness.lastRequest, 1, 200);
      if (!harness.wasForwarded(id)) continue;
      ++admitted;
      harness.now += 10;
      harness.endAttempt(id, AttemptResult::ok, latencyMs);
    }
    return admitted;
  };
  EXPECT_EQ(countAdmitted(100), 40);
  countAdmitted(900);
  EXPECT_LT(countAdmitted(900), 20);
  countAdmitted(100);
  countAdmitted(100);
  EXPECT_GT(countAdmitted(100), 30);
}

// If a settings update removes the plan of a request in flight, load shedding still evaluates the request by
// that plan.
TEST(SettingsUpdate, RequestInFlightKeepsItsPlan) {
  Settings settings = testSettings();
  for (std::size_t i = 0; i < settings.plans.size(); ++i)
    settings.plans[i].name = "plan-" + std::to_string(i);
  GatewayHarness harness(settings);
  harness.updateEndpoints({endpoint(1)});
  const RequestId id = harness.sendRequest(0, 1);
  ASSERT_TRUE(harness.wasForwarded(id));
  settings.plans.resize(1);
  harness.gateway.onSettings(harness.now, settings);
  harness.gateway.onOverload(harness.now, {true, true, 0, 1e9, 100});
  EXPECT_TRUE(harness.wasRejected(id));
}

}  // namespace
}  // namespace wingslip::decision::test
