/// Test support for the decision module: a recorder of its actions, a harness that feeds it events, and
/// settings.
#pragma once

#include <gtest/gtest.h>

#include <map>

#include "wingslip/decision/gateway.hpp"

namespace wingslip::decision::test {

/// An attempt that the module has started.
struct StartedAttempt {
  RequestId id;
  WorkerId worker;
  Time timeoutMs;
  unsigned attempt;
};

/// Records all actions, and checks that no request gets a second final answer or an attempt after its final
/// answer.
class Recorder : public Actions {
 public:
  std::vector<StartedAttempt> startedAttempts;  ///< in the order of their start
  std::map<RequestId, Time> rejected;           ///< by request: the retry-after time, in ms
  std::map<RequestId, unsigned> failed, finalAnswers, attemptCounts;
  std::vector<std::pair<Time, std::uint64_t>> timers;  ///< wait in ms, and tag
  std::vector<std::string> logLines;
  unsigned polls = 0;  ///< requests to poll the endpoint list

  void startAttempt(RequestId id, WorkerId worker, Time timeoutMs) override {
    EXPECT_EQ(finalAnswers[id], 0u) << "attempt started after the final answer to request " << id;
    startedAttempts.push_back({id, worker, timeoutMs, attemptCounts[id]++});
  }
  void reject(RequestId id, Time retryAfterMs) override {
    rejected[id] = retryAfterMs;
    EXPECT_GT(retryAfterMs, 0);
    EXPECT_EQ(++finalAnswers[id], 1u);
  }
  void fail(RequestId id) override {
    ++failed[id];
    EXPECT_EQ(++finalAnswers[id], 1u);
  }
  void setTimer(Time waitMs, std::uint64_t tag) override { timers.emplace_back(waitMs, tag); }
  void pollEndpoints() override { ++polls; }
  void log(const std::string& line) override { logLines.push_back(line); }
};

/// Settings of a fleet of two gateways. Their request classes, by index: idempotent, with an idempotency key,
/// not idempotent. Their plans, by index: a rate, a concurrency cap, a rate with a hard ceiling.
inline Settings testSettings() {
  Settings out;
  out.gatewayCount = 2;
  out.maxAttempts = 4;
  out.maxRetryAfterMs = 2000;
  out.quotaReadingPeriodMs = 1000;
  out.slowStartInitialShare = 0.2;
  out.slowStartMs = 10000;
  out.overloadMultiple = 2;
  out.overloadWindowMs = 1000;
  out.drainGraceMs = 1000;
  ClassSettings idempotent;
  idempotent.latencyObjectiveMs = 1000;
  idempotent.deadlineMs = 3000;
  idempotent.idempotency = Idempotency::idempotent;
  ClassSettings withKey = idempotent;
  withKey.idempotency = Idempotency::withKey;
  withKey.deduplicationScope = DeduplicationScope::zone;
  withKey.idempotencyWindowMs = 2000;
  ClassSettings notIdempotent = idempotent;
  notIdempotent.idempotency = Idempotency::notIdempotent;
  out.classes = {idempotent, withKey, notIdempotent};
  PlanSettings rate;
  rate.rate = 10;
  rate.burst = 20;
  rate.overQuotaCost = 1;
  PlanSettings concurrencyCap;
  concurrencyCap.maxConcurrent = 2;
  PlanSettings ceiling = rate;
  ceiling.ceilingRate = 20;
  ceiling.ceilingBurst = 40;
  out.plans = {rate, concurrencyCap, ceiling};
  return out;
}

/// A worker in an endpoint list, in the default phase. `started`: start of its process, in ms.
inline Endpoint endpoint(WorkerId id, unsigned zone = 0, Time started = 0) {
  Endpoint out;
  out.worker = id;
  out.zone = zone;
  out.startedAt = started;
  return out;
}

/// A gateway with its recorder and a clock that the test sets.
class GatewayHarness {
 public:
  explicit GatewayHarness(const Settings& settings = testSettings(), Time start = 0, std::uint64_t salt = 7)
      : now(start), gateway(settings, salt, start, recorder) {}

  void updateEndpoints(const std::vector<Endpoint>& endpoints,
                       EndpointUpdate kind = EndpointUpdate::snapshot) {
    gateway.onEndpoints(now, kind, endpoints);
  }
  /// Sends a request with a deadline `deadlineMs` from now, and returns its id.
  RequestId sendRequest(unsigned requestClass = 0, unsigned planIndex = 0, CustomerId customer = 1,
                        double units = 1, unsigned customerGatewayCount = 2, Time deadlineMs = 3000) {
    gateway.onRequest(now, {++lastRequest, requestClass, planIndex, customer, now + deadlineMs, units,
                            customerGatewayCount});
    return lastRequest;
  }
  /// Reports the outcome of the request's newest attempt. A successful attempt finishes the request.
  void endAttempt(RequestId id, AttemptResult result, Time latencyMs = 100, int quotaUsePercent = -1,
                  bool finished = false, double actualUnits = 0) {
    for (auto it = recorder.startedAttempts.rbegin(); it != recorder.startedAttempts.rend(); ++it) {
      if (it->id != id) continue;
      AttemptOutcome out;
      out.id = id;
      out.result = result;
      out.attempt = it->attempt;
      out.worker = it->worker;
      out.latencyMs = latencyMs;
      out.quotaUsePercent = quotaUsePercent;
      out.actualUnits = actualUnits;
      out.requestFinished = finished || result == AttemptResult::ok;
      gateway.onAttemptOutcome(now, out);
      return;
    }
    FAIL() << "no attempt was started for request " << id;
  }
  bool wasForwarded(RequestId id) const { return recorder.attemptCounts.contains(id); }
  unsigned attemptCount(RequestId id) const { return wasForwarded(id) ? recorder.attemptCounts.at(id) : 0; }
  bool wasRejected(RequestId id) const { return recorder.rejected.contains(id); }
  bool hasFailed(RequestId id) const { return recorder.failed.contains(id); }
  WorkerId lastWorker() const { return recorder.startedAttempts.back().worker; }

  Time now;
  RequestId lastRequest = 0;
  Recorder recorder;
  Gateway gateway;
};

}  // namespace wingslip::decision::test
