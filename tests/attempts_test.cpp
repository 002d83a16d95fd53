#include <limits>
#include <random>
#include <set>

#include "recorder.hpp"

namespace wingslip::decision::test {
namespace {

// An open request keeps its class over changed settings and may lose attempts; the next one has the new ones.
TEST(ChangedSettings, ApplyFromTheNextRequestOn) {
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
  EXPECT_EQ(harness.attemptCount(open), 2u);  // idempotent as it came
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

TEST(Attempts, NotIdempotentThatMayHaveRunFails) {
  for (const AttemptResult result :
       {AttemptResult::error, AttemptResult::timeout, AttemptResult::reset, AttemptResult::cancelled}) {
    GatewayHarness harness;
    harness.updateEndpoints({endpoint(1), endpoint(2)});
    const RequestId id = harness.sendRequest(2);
    EXPECT_EQ(harness.recorder.startedAttempts.back().timeoutMs, 0);  // an early time-out would end it
    harness.endAttempt(id, result);
    EXPECT_TRUE(harness.hasFailed(id));
    EXPECT_EQ(harness.attemptCount(id), 1u);
  }
}

TEST(Attempts, NotIdempotentThatHasNotRunIsRetriedElsewhere) {
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

TEST(Attempts, WithKeyStaysInItsZoneAndWindowAndEndsInAFailure) {
  GatewayHarness harness;
  harness.updateEndpoints({endpoint(1, 0), endpoint(2, 0), endpoint(3, 1), endpoint(4, 1)});
  const RequestId id = harness.sendRequest(1);
  const unsigned zone = harness.lastWorker() > 2;
  harness.endAttempt(id, AttemptResult::reset);
  ASSERT_EQ(harness.attemptCount(id), 2u);
  EXPECT_EQ(harness.lastWorker() > 2, zone != 0);
  harness.now += 2500;  // past the window
  harness.endAttempt(id, AttemptResult::reset);
  EXPECT_EQ(harness.attemptCount(id), 2u);
  EXPECT_TRUE(harness.hasFailed(id));
}

TEST(Attempts, TimeoutAtTheDeadlineGetsAFinalAnswer) {
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

TEST(Attempts, WaitingRequestKeepsATimerAndIsAnswered) {
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

TEST(Attempts, NothingAfterTheClientDisconnects) {
  GatewayHarness harness;
  harness.updateEndpoints({endpoint(1), endpoint(2)});
  const RequestId id = harness.sendRequest();
  harness.gateway.onClientDisconnect(harness.now, id);
  harness.endAttempt(id, AttemptResult::reset, 10, -1, true);
  EXPECT_EQ(harness.attemptCount(id), 1u);
  EXPECT_EQ(harness.recorder.finalAnswers[id], 0u);
}

TEST(Attempts, RetriesTakeNoQuota) {
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

TEST(OutlierDetection, AWorkerThatKeepsFailingIsEjectedAndReturns) {
  GatewayHarness harness;
  harness.updateEndpoints({endpoint(1), endpoint(2)});
  int toBad = 0;
  CustomerId customer = 0;
  const auto drive = [&](Time span, bool bad) {
    for (Time end = harness.now + span; harness.now < end; harness.now += 20) {
      const RequestId id = harness.sendRequest(0, 0, ++customer);
      while (harness.recorder.startedAttempts.back().id == id && harness.recorder.finalAnswers[id] == 0) {
        const bool hit = harness.lastWorker() == 1;
        toBad += hit;
        const unsigned before = harness.attemptCount(id);
        harness.endAttempt(id, hit && bad ? AttemptResult::connectFailed : AttemptResult::ok, 50);
        if (harness.attemptCount(id) == before) break;
      }
    }
  };
  drive(3000, true);
  EXPECT_LT(toBad, 12);
  toBad = 0;
  drive(15000, false);
  EXPECT_GT(toBad, 100);
}

// Workers that reject as overloaded at once look idle, and would draw all attempts of a least-loaded choice.
TEST(OutlierDetection, OverloadedWorkersGetFewAttempts) {
  GatewayHarness harness;
  std::vector<Endpoint> all;
  for (WorkerId worker = 1; worker <= 6; ++worker) all.push_back(endpoint(worker));
  harness.updateEndpoints(all);
  CustomerId customer = 0;
  for (int i = 0; i < 300; ++i) {
    harness.now += 10;
    const RequestId id = harness.sendRequest(0, 0, ++customer);
    while (harness.wasForwarded(id) && harness.recorder.finalAnswers[id] == 0)
      harness.endAttempt(id, AttemptResult::overloaded, 2);
  }
  EXPECT_LT(harness.recorder.startedAttempts.size(), 60u);
}

// Latencies past half of the objective shrink what is sent, so that a start or a slow spell does not drive
// workers over.
TEST(ConcurrencyLimit, LateAnswersShrinkTheLimit) {
  const auto outAtOnce = [](Time elapsed) {
    GatewayHarness harness;
    harness.updateEndpoints({endpoint(1)});
    CustomerId customer = 0;
    for (int i = 0; i < 60; ++i) {
      harness.now += 250;
      const RequestId id = harness.sendRequest(2, 0, ++customer);
      if (harness.wasForwarded(id)) harness.endAttempt(id, AttemptResult::ok, elapsed);
    }
    int out = 0;
    while (harness.wasForwarded(harness.sendRequest(2, 0, ++customer))) ++out;
    return out;
  };
  EXPECT_GE(outAtOnce(100), 6);
  EXPECT_LE(outAtOnce(700), 2);
}

// A worker that is cut off keeps its attempts and answers nothing: passed over long before they time out.
TEST(OutlierDetection, ASilentWorkerIsPassedOver) {
  GatewayHarness harness;
  harness.updateEndpoints({endpoint(1), endpoint(2)});
  CustomerId customer = 0;
  const auto drive = [&](Time span, bool isSilent) {
    int toSilent = 0;
    for (Time end = harness.now + span; harness.now < end; harness.now += 25) {
      const RequestId id = harness.sendRequest(2, 0, ++customer);
      if (!harness.wasForwarded(id)) continue;
      toSilent += harness.lastWorker() == 1;
      if (!isSilent || harness.lastWorker() != 1) harness.endAttempt(id, AttemptResult::ok, 50);
    }
    return toSilent;
  };
  drive(2000, false);
  const int first = drive(500, true);
  EXPECT_LE(first, 3);
  EXPECT_EQ(drive(1500, true), 0);
}

TEST(Settings, InvalidSettingsThrowAtConstruction) {
  Recorder recorder;
  const auto broken = [&](auto change) {
    Settings settings = testSettings();
    change(settings);
    EXPECT_THROW(Gateway(settings, 1, 0, recorder), std::invalid_argument);
  };
  broken([](Settings& settings) { settings.plans[0].rate = -1; });
  broken([](Settings& settings) { settings.plans[0].burst = std::numeric_limits<double>::quiet_NaN(); });
  broken([](Settings& settings) { settings.slowStartMs = std::numeric_limits<double>::infinity(); });
  broken([](Settings& settings) { settings.gatewayIndex = 2; });
  broken([](Settings& settings) { settings.gatewayCount = 0; });
  broken([](Settings& settings) { settings.classes.clear(); });
}

// Arbitrary legal orders of events: every request gets one final answer in time, attempts obey its class.
TEST(Invariants, HoldUnderArbitraryLegalEvents) {
  for (unsigned seed = 1; seed <= 12; ++seed) {
    std::mt19937 random(seed);
    GatewayHarness harness;
    std::vector<Endpoint> all;
    for (WorkerId worker = 1; worker <= 6; ++worker) all.push_back(endpoint(worker, worker > 3));
    harness.updateEndpoints(all);
    struct Open {
      unsigned requestClass;
      Time expiresAt, ranAt = -1;
      bool out = false, done = false, mayHaveRun = false;
      unsigned zone = 0;
    };
    std::map<RequestId, Open> open;
    std::set<WorkerId> notReady;
    std::vector<std::pair<Time, std::uint64_t>> due;
    std::size_t seenSends = 0, seenTimers = 0;
    const auto check = [&] {
      for (; seenSends < harness.recorder.startedAttempts.size(); ++seenSends) {
        const StartedAttempt& settings = harness.recorder.startedAttempts[seenSends];
        Open& state = open.at(settings.id);
        EXPECT_FALSE(state.out) << "two attempts out at once";
        EXPECT_FALSE(state.done);
        EXPECT_FALSE(notReady.contains(settings.worker));
        if (state.mayHaveRun && state.requestClass == 2) ADD_FAILURE() << "an unsafe request was repeated";
        if (state.mayHaveRun && state.requestClass == 1) {
          EXPECT_EQ(state.zone, static_cast<unsigned>(settings.worker > 3));
          EXPECT_LE(harness.now, state.ranAt + 2000);
        }
        state.out = true;
      }
      for (auto& [id, state] : open) {
        if (harness.recorder.rejected.contains(id) &&
            (state.mayHaveRun || state.out)) {  // shed while an attempt is out
          EXPECT_EQ(state.requestClass, 0u);
        }
        if (harness.recorder.finalAnswers[id]) state.done = true;
      }
      for (; seenTimers < harness.recorder.timers.size(); ++seenTimers)
        due.emplace_back(harness.now + harness.recorder.timers[seenTimers].first,
                         harness.recorder.timers[seenTimers].second);
    };
    for (int step = 0; step < 4000; ++step) {
      harness.now += random() % 8;
      for (std::size_t i = 0; i < due.size();) {
        if (due[i].first > harness.now) {
          ++i;
          continue;
        }
        const auto tag = due[i].second;
        due.erase(due.begin() + static_cast<long>(i));
        harness.gateway.onTimer(harness.now, tag);
        check();
      }
      if (step < 3400 && random() % 3 == 0) {
        const unsigned requestClass = random() % 3;
        const Time deadlineMs = 200 + random() % 2500;
        open.emplace(harness.lastRequest + 1, Open{requestClass, harness.now + deadlineMs});
        harness.sendRequest(requestClass, random() % 3, random() % 40, 1 + random() % 3, 2, deadlineMs);
        check();
      }
      if (random() % 150 == 0) {
        harness.gateway.onOverload(harness.now, {random() % 2 == 0, random() % 2 == 0, 0.3 * (random() % 2),
                                                 20000.0 * (random() % 3), 500});
        check();
      }
      for (auto& [id, state] : open) {
        if (!state.out || (harness.now < state.expiresAt && random() % 12)) continue;
        constexpr AttemptResult results[] = {
            AttemptResult::ok,    AttemptResult::error, AttemptResult::overloaded,   AttemptResult::timeout,
            AttemptResult::reset, AttemptResult::ok,    AttemptResult::connectFailed};
        const AttemptResult result =
            harness.now >= state.expiresAt ? AttemptResult::timeout : results[random() % 7];
        WorkerId at = 0;
        for (const StartedAttempt& settings : harness.recorder.startedAttempts)
          if (settings.id == id) at = settings.worker;
        state.out = false;
        if (result != AttemptResult::overloaded && result != AttemptResult::connectFailed &&
            !state.mayHaveRun) {
          state.mayHaveRun = true;
          state.zone = at > 3;
          state.ranAt = harness.now;
        }
        if (result == AttemptResult::ok) state.done = true;
        harness.endAttempt(id, result, 30, random() % 2 ? static_cast<int>(random() % 300) : -1, state.done);
        check();
      }
      if (random() % 60 == 0) {
        Endpoint changed = all[random() % all.size()];
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
    for (auto& [id, state] : open)
      EXPECT_TRUE(state.done || harness.now < state.expiresAt + 8) << "request " << id << " is lost";
  }
}

// Clients that leave end attempts too, and are no sign of life of the worker.
TEST(OutlierDetection, ASilentWorkerIsPassedOverThoughClientsDisconnect) {
  GatewayHarness harness;
  harness.updateEndpoints({endpoint(1), endpoint(2)});
  CustomerId customer = 0;
  std::vector<std::pair<int, RequestId>> busy;  // at the other worker, more than at the silent one
  int toSilent = 0;
  for (int i = 0; i < 400; ++i) {
    harness.now += 25;
    while (!busy.empty() && i - busy.front().first >= 6) {
      harness.endAttempt(busy.front().second, AttemptResult::ok, 150);
      busy.erase(busy.begin());
    }
    const RequestId id = harness.sendRequest(2, 0, ++customer);
    if (!harness.wasForwarded(id)) continue;
    if (harness.lastWorker() == 2) {
      busy.emplace_back(i, id);
    } else if (i < 80) {
      harness.endAttempt(id, AttemptResult::ok, 50);
    } else if (++toSilent > 2) {
      harness.gateway.onClientDisconnect(harness.now, id);
      harness.endAttempt(id, AttemptResult::cancelled, 2, -1, true);
    }
  }
  EXPECT_LE(toSilent, 8);
}

// A costly request that is answered late while nothing else is out says nothing of how many at once are too
// many: the burst after it still finds its idle workers.
TEST(ConcurrencyLimit, OneLateAnswerInALullLeavesCapacityForTheNextBurst) {
  Settings settings = testSettings();
  settings.gatewayCount = 1;
  GatewayHarness harness(settings);
  std::vector<Endpoint> fleet;
  for (WorkerId worker = 1; worker <= 9; ++worker) fleet.push_back(endpoint(worker));
  harness.updateEndpoints(fleet);
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
  const RequestId costly = harness.sendRequest(2, 0, ++customer);
  harness.now += 900;
  harness.endAttempt(costly, AttemptResult::ok, 900);
  EXPECT_GE(burst(), 9u);
}

// One worker that is slow by itself must not limit what goes to the others.
TEST(ConcurrencyLimit, LateAnswersOfOneSlowWorkerLeaveTheGatewaysLimit) {
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
  int out = 0;
  while (harness.wasForwarded(harness.sendRequest(2, 0, ++customer))) ++out;
  EXPECT_GE(out, 9);
}

// Two hundred gateways before twenty workers: one attempt of each at every worker would be ten times what
// they bear. Late answers bring what a gateway has in flight far below one for each worker, and early ones
// bring it back.
TEST(ConcurrencyLimit, OfAGatewayFallsFarBelowOneForEachWorker) {
  Settings settings = testSettings();
  settings.gatewayCount = 200;
  settings.plans[0].rate = 1000;
  settings.plans[0].burst = 100000;
  GatewayHarness harness(settings);
  std::vector<Endpoint> fleet;
  for (WorkerId worker = 1; worker <= 20; ++worker) fleet.push_back(endpoint(worker));
  harness.updateEndpoints(fleet);
  const auto sent = [&](Time latency) {
    int admitted = 0;
    for (int i = 0; i < 40; ++i) {
      harness.now += 250;
      const RequestId id = harness.sendRequest(0, 0, harness.lastRequest, 1, 200);
      if (!harness.wasForwarded(id)) continue;
      ++admitted;
      harness.now += 10;
      harness.endAttempt(id, AttemptResult::ok, latency);
    }
    return admitted;
  };
  EXPECT_EQ(sent(100), 40);
  sent(900);
  EXPECT_LT(sent(900), 20);
  sent(100);
  sent(100);
  EXPECT_GT(sent(100), 30);
}

// A request that is out while changed settings drop its plan is judged by the plan that it came under.
TEST(ChangedSettings, ARequestKeepsThePlanThatItWasAdmittedUnder) {
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
