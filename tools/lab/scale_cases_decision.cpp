/// Scale cases of the decision module, called directly.
#include <algorithm>
#include <memory>
#include <optional>
#include <stdexcept>

#include "probe.hpp"
#include "scale_cases.hpp"

namespace wingslip::lab {
namespace {

using decision::Endpoint;
using decision::EndpointUpdate;
using decision::Gateway;
using decision::Time;
using decision::WorkerPhase;

constexpr int kRepeats = 5;
constexpr double kMinTimedSeconds = 0.02;  // a shorter call is timed over several repetitions
constexpr std::uint64_t kSalt = 7;
constexpr Time kStartMs = 1e6;  // later than the end of slow start for workers that started at 0
constexpr Time kDeadlineMs = 3000;
constexpr Time kRequestIntervalMs = 6;  // 167 requests per second
constexpr Time kLatencyMs = 20;
constexpr unsigned kGatekeepersPerCustomer = 32;  // gatekeepers that receive the requests of one customer
constexpr double kMinSentFraction = 0.5;          // below it, the run would mostly measure rejected requests
constexpr int kRequestsPerRound = 500;            // requests in one round of measurement
constexpr std::size_t kCustomers = 1000;

// Discards all actions, but records the last attempt and counts attempts.
class ActionRecorder : public decision::Actions {
 public:
  void startAttempt(decision::RequestId id, decision::WorkerId worker, Time) override {
    lastSentId = id;
    lastSentWorker = worker;
    ++attemptCount;
  }
  void reject(decision::RequestId, Time) override {}
  void fail(decision::RequestId) override {}
  void setTimer(Time, std::uint64_t) override {}
  void pollEndpoints() override {}
  void log(const std::string&) override {}

  decision::RequestId lastSentId = 0;
  decision::WorkerId lastSentWorker = 0;
  long attemptCount = 0;
};

// A gateway, the recorder of its actions and the virtual clock.
class GatewayHarness {
 public:
  explicit GatewayHarness(std::size_t classes = 3)
      : gateway(settingsWith(classes), kSalt, kStartMs, recorder) {}

  // Submits one request. Returns false if no attempt was started.
  bool submitRequest(decision::CustomerId customer) {
    now += kRequestIntervalMs;
    decision::Request request;
    request.id = ++lastRequestId;
    request.classIndex = 0;
    request.customer = customer;
    request.expiresAt = now + kDeadlineMs;
    request.customerGatewayCount = kGatekeepersPerCustomer;
    gateway.onRequest(now, request);
    return recorder.lastSentId == lastRequestId;
  }

  // Delivers a successful answer to the last request.
  void receiveAnswer() {
    decision::AttemptOutcome outcome;
    outcome.id = lastRequestId;
    outcome.result = decision::AttemptResult::ok;
    outcome.worker = recorder.lastSentWorker;
    outcome.latencyMs = kLatencyMs;
    outcome.requestFinished = true;
    gateway.onAttemptOutcome(now, outcome);
  }

  Time now = kStartMs;
  decision::RequestId lastRequestId = 0;
  ActionRecorder recorder;
  Gateway gateway;
};

// Processor time of one round of requests: `choice` for choosing the worker, `answer` for processing the
// answer.
struct ServedRound {
  int sent = 0;
  double choice = 0, answer = 0;  // seconds per request that was sent
};

ServedRound serveRound(GatewayHarness& harness) {
  ServedRound out;
  for (int i = 0; i < kRequestsPerRound; ++i) {
    const double start = processorSeconds();
    const bool sent = harness.submitRequest(1 + harness.lastRequestId % kCustomers);
    const double choiceEnd = processorSeconds();
    if (!sent) continue;
    harness.receiveAnswer();
    ++out.sent;
    out.choice += choiceEnd - start;
    out.answer += processorSeconds() - choiceEnd;
  }
  if (out.sent < kMinSentFraction * kRequestsPerRound)
    throw std::runtime_error("fewer than half of the requests were sent to a worker");
  out.choice /= out.sent;
  out.answer /= out.sent;
  return out;
}

std::vector<Figure> measureChoice(std::size_t workers, const CaseLimits&) {
  GatewayHarness harness;
  harness.gateway.onEndpoints(harness.now, EndpointUpdate::snapshot, workersFor(workers));
  ServedRound best = serveRound(harness);
  for (int i = 1; i < kRepeats; ++i) {
    const ServedRound round = serveRound(harness);
    best.choice = std::min(best.choice, round.choice);
    best.answer = std::min(best.answer, round.answer);
  }
  return {{"processor", "s", best.choice}, {"answer_processor", "s", best.answer}};
}

std::vector<Figure> measureOneChange(std::size_t workers, const CaseLimits&) {
  GatewayHarness harness;
  std::vector<Endpoint> list = workersFor(workers);
  harness.gateway.onEndpoints(harness.now, EndpointUpdate::snapshot, list);
  std::size_t nextIndex = 0;
  const auto change = [&] {
    Endpoint& member = list[nextIndex++ % list.size()];
    member.phase = member.phase == WorkerPhase::ready ? WorkerPhase::draining : WorkerPhase::ready;
    harness.now += 1;
    harness.gateway.onEndpoints(harness.now, EndpointUpdate::delta, {member});
  };
  const double singleCallSeconds = std::max(minProcessorSeconds(1, change), 1e-9);
  const int repeats = static_cast<int>(std::clamp(kMinTimedSeconds / singleCallSeconds, 1.0, 1000.0));
  const double seconds = minProcessorSeconds(kRepeats, [&] {
    for (int i = 0; i < repeats; ++i) change();
  });
  return {{"processor", "s", seconds / repeats}};
}

// Measures the removal of all workers of a zone in one message and their return in another.
std::vector<Figure> measureZoneChange(std::size_t workers, const CaseLimits&) {
  GatewayHarness harness;
  harness.gateway.onEndpoints(harness.now, EndpointUpdate::snapshot, workersFor(workers));
  std::vector<Endpoint> zone;
  for (const Endpoint& member : workersFor(workers))
    if (member.zone == 0) zone.push_back(member);
  const auto setPhase = [&](WorkerPhase phase) {
    for (Endpoint& member : zone) member.phase = phase;
    harness.now += 1;
    harness.gateway.onEndpoints(harness.now, EndpointUpdate::delta, zone);
  };
  const double seconds = minProcessorSeconds(2, [&] {
    setPhase(WorkerPhase::removed);
    setPhase(WorkerPhase::ready);
  });
  return {{"processor", "s", seconds}};
}

std::vector<Figure> measureWholeList(std::size_t workers, const CaseLimits&) {
  const std::vector<Endpoint> list = workersFor(workers);
  double seconds = 0, held = 0;
  for (int i = 0; i < 2; ++i) {
    GatewayHarness harness;
    const double heapBefore = heapBytes();
    const double start = processorSeconds();
    harness.gateway.onEndpoints(harness.now, EndpointUpdate::snapshot, list);
    const double took = processorSeconds() - start;
    held = heapBytes() - heapBefore;
    seconds = i == 0 ? took : std::min(seconds, took);
  }
  return {{"processor", "s", seconds}, {"held", "B", std::max(held, 0.0)}};
}

std::vector<Figure> measureSettings(std::size_t classes, const CaseLimits&) {
  GatewayHarness harness(classes);
  decision::Settings changed = settingsWith(classes);
  const double seconds = minProcessorSeconds(2, [&] {
    changed.classes.back().priorityWeight += 1;
    harness.now += 1;
    harness.gateway.onSettings(harness.now, changed);
  });
  return {{"processor", "s", seconds}};
}

std::vector<Figure> measureCustomers(std::size_t customers, const CaseLimits&) {
  constexpr std::size_t kWorkers = 100;
  GatewayHarness harness;
  harness.gateway.onEndpoints(harness.now, EndpointUpdate::snapshot, workersFor(kWorkers));
  const double heapBefore = heapBytes();
  for (std::size_t c = 1; c <= customers; ++c)
    if (harness.submitRequest(c)) harness.receiveAnswer();
  const double held = heapBytes() - heapBefore;
  return {{"held", "B", std::max(held, 0.0)},
          {"rows", "rows", static_cast<double>(harness.gateway.trackedCustomers())}};
}

// Submits requests of more customers than the customer table can hold; the figure is the number of its rows.
std::vector<Figure> measureCustomerCap(std::size_t customers, const CaseLimits& limits) {
  return {{"rows", "rows", measureCustomers(customers, limits).back().value}};
}

}  // namespace

std::vector<Endpoint> workersFor(std::size_t count) {
  std::vector<Endpoint> out(count);
  for (std::size_t i = 0; i < count; ++i) {
    out[i].worker = i + 1;
    out[i].zone = static_cast<unsigned>(i % kZones);
  }
  return out;
}

decision::Settings settingsWith(std::size_t classes) {
  decision::Settings out;
  out.gatewayCount = kTargetGatekeepers;
  out.maxAttempts = 3;
  out.maxRetryAfterMs = 2000;
  out.quotaReadingPeriodMs = 1000;
  out.drainGraceMs = 2000;
  out.slowStartInitialShare = 0.2;
  out.slowStartMs = 10000;
  out.overloadMultiple = 2;
  out.overloadWindowMs = 1000;
  for (std::size_t i = 0; i < classes; ++i) {
    decision::ClassSettings requestClass;
    requestClass.name = "class" + std::to_string(i);
    requestClass.latencyObjectiveMs = 1000;
    requestClass.deadlineMs = kDeadlineMs;
    requestClass.idempotency = decision::Idempotency::idempotent;
    out.classes.push_back(requestClass);
  }
  decision::PlanSettings plan;
  plan.name = "plan";
  plan.rate = 1e6;
  plan.burst = 1e9;
  out.plans = {plan};
  return out;
}

std::vector<ScaleCase> decisionCases() {
  using Sizes = std::vector<std::size_t>;
  const Sizes listCheck{50, 100, 200, 400};
  // With fewer workers the gateway's concurrency limit rejects many requests.
  const Sizes choiceCheck{500, 1000, 1500, 2000};
  const Sizes listQuick{500, 1000, 2000, 4000, 8000};
  const Sizes listFull{500, 1000, 2000, 5000, 10000, 20000, 40000, 86000};
  const Sizes classFull{250, 500, 1000, 2000, 4000, 8000, 16000, 32000, 64000};
  return {
      {"choice", "workers listed", RunKind::core, choiceCheck, listQuick, listFull, measureChoice},
      {"worker_change", "workers listed", RunKind::core, listCheck, listQuick, listFull, measureOneChange},
      {"zone_change", "workers listed", RunKind::core, listCheck, listQuick, listFull, measureZoneChange},
      {"whole_list", "workers listed", RunKind::core, listCheck, listQuick, listFull, measureWholeList},
      {"settings",
       "classes",
       RunKind::core,
       {25, 50, 100, 200},
       {250, 500, 1000, 2000, 4000},
       classFull,
       measureSettings},
      {"customers",
       "customers met",
       RunKind::core,
       {50, 100, 200, 400},
       {500, 1000, 2000, 4000},
       {500, 1000, 2000, 3000, 4000},
       measureCustomers},
      {"customer_cap", "customers met", RunKind::core, {5000}, {20000}, {20000}, measureCustomerCap},
  };
}

}  // namespace wingslip::lab
