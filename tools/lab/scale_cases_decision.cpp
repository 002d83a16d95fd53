// Scale cases of the decision module, called directly.
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
constexpr double kLeastTimedS = 0.02;  // a call shorter than this is repeated and divided
constexpr std::uint64_t kSalt = 7;
constexpr Time kStart = 1e6;          // ms; workers that started at 0 are warm by then
constexpr Time kDeadline = 3000;      // ms
constexpr Time kBetweenRequests = 6;  // ms: 167 a second
constexpr Time kAnswerTime = 20;      // ms
constexpr unsigned kSpread = 32;      // gatekeepers that a customer's requests come through
constexpr double kLeastSent = 0.5;    // of the requests; fewer: it measures refusals
constexpr int kChoices = 500;         // requests of one measurement
constexpr std::size_t kSetsOfCustomers = 1000;

// Carries nothing out; keeps the last attempt.
class Sink : public decision::Actions {
 public:
  void startAttempt(decision::RequestId id, decision::WorkerId worker, Time) override {
    sentId = id;
    sentWorker = worker;
    ++sends;
  }
  void reject(decision::RequestId, Time) override {}
  void fail(decision::RequestId) override {}
  void setTimer(Time, std::uint64_t) override {}
  void pollEndpoints() override {}
  void log(const std::string&) override {}

  decision::RequestId sentId = 0;
  decision::WorkerId sentWorker = 0;
  long sends = 0;
};

// One module with its sink and clock.
class Module {
 public:
  explicit Module(std::size_t classes = 3) : gateway(settingsWith(classes), kSalt, kStart, sink) {}

  // Asks for one request. False: it was sent nowhere.
  bool ask(decision::CustomerId customer) {
    now += kBetweenRequests;
    decision::Request request;
    request.id = ++last;
    request.classIndex = 0;
    request.customer = customer;
    request.expiresAt = now + kDeadline;
    request.customerGateways = kSpread;
    gateway.onRequest(now, request);
    return sink.sentId == last;
  }

  // The last request's answer, a good one.
  void answer() {
    decision::AttemptOutcome outcome;
    outcome.id = last;
    outcome.result = decision::AttemptResult::ok;
    outcome.worker = sink.sentWorker;
    outcome.latencyMs = kAnswerTime;
    outcome.requestFinished = true;
    gateway.onAttemptOutcome(now, outcome);
  }

  Time now = kStart;
  decision::RequestId last = 0;
  Sink sink;
  Gateway gateway;
};

// Processor time of some requests' choices of a worker, and of taking in their answers.
struct ServedRound {
  int sent = 0;
  double choice = 0, answer = 0;  // seconds a request that was sent
};

ServedRound serveRound(Module& module) {
  ServedRound out;
  for (int i = 0; i < kChoices; ++i) {
    const double start = processorSeconds();
    const bool sent = module.ask(1 + module.last % kSetsOfCustomers);
    const double between = processorSeconds();
    if (!sent) continue;
    module.answer();
    ++out.sent;
    out.choice += between - start;
    out.answer += processorSeconds() - between;
  }
  if (out.sent < kLeastSent * kChoices) throw std::runtime_error("many requests found no worker");
  out.choice /= out.sent;
  out.answer /= out.sent;
  return out;
}

std::vector<Figure> measureChoice(std::size_t workers, const CaseLimits&) {
  Module module;
  module.gateway.onEndpoints(module.now, EndpointUpdate::snapshot, workersFor(workers));
  ServedRound least = serveRound(module);
  for (int i = 1; i < kRepeats; ++i) {
    const ServedRound round = serveRound(module);
    least.choice = std::min(least.choice, round.choice);
    least.answer = std::min(least.answer, round.answer);
  }
  return {{"processor", "s", least.choice}, {"answer_processor", "s", least.answer}};
}

std::vector<Figure> measureOneChange(std::size_t workers, const CaseLimits&) {
  Module module;
  std::vector<Endpoint> list = workersFor(workers);
  module.gateway.onEndpoints(module.now, EndpointUpdate::snapshot, list);
  std::size_t at = 0;
  const auto change = [&] {
    Endpoint& member = list[at++ % list.size()];
    member.phase = member.phase == WorkerPhase::ready ? WorkerPhase::draining : WorkerPhase::ready;
    module.now += 1;
    module.gateway.onEndpoints(module.now, EndpointUpdate::delta, {member});
  };
  const double once = std::max(leastProcessor(1, change), 1e-9);
  const int each = static_cast<int>(std::clamp(kLeastTimedS / once, 1.0, 1000.0));
  const double seconds = leastProcessor(kRepeats, [&] {
    for (int i = 0; i < each; ++i) change();
  });
  return {{"processor", "s", seconds / each}};
}

// A zone's part of the list leaves in one message, and comes back in another.
std::vector<Figure> measureZoneChange(std::size_t workers, const CaseLimits&) {
  Module module;
  module.gateway.onEndpoints(module.now, EndpointUpdate::snapshot, workersFor(workers));
  std::vector<Endpoint> zone;
  for (const Endpoint& member : workersFor(workers))
    if (member.zone == 0) zone.push_back(member);
  const auto tell = [&](WorkerPhase phase) {
    for (Endpoint& member : zone) member.phase = phase;
    module.now += 1;
    module.gateway.onEndpoints(module.now, EndpointUpdate::delta, zone);
  };
  const double seconds = leastProcessor(2, [&] {
    tell(WorkerPhase::removed);
    tell(WorkerPhase::ready);
  });
  return {{"processor", "s", seconds}};
}

std::vector<Figure> measureWholeList(std::size_t workers, const CaseLimits&) {
  const std::vector<Endpoint> list = workersFor(workers);
  double seconds = 0, held = 0;
  for (int i = 0; i < 2; ++i) {
    Module module;
    const double heapBefore = heapBytes();
    const double start = processorSeconds();
    module.gateway.onEndpoints(module.now, EndpointUpdate::snapshot, list);
    const double took = processorSeconds() - start;
    held = heapBytes() - heapBefore;
    seconds = i == 0 ? took : std::min(seconds, took);
  }
  return {{"processor", "s", seconds}, {"held", "B", std::max(held, 0.0)}};
}

std::vector<Figure> measureSettings(std::size_t classes, const CaseLimits&) {
  Module module(classes);
  decision::Settings changed = settingsWith(classes);
  const double seconds = leastProcessor(2, [&] {
    changed.classes.back().priorityWeight += 1;
    module.now += 1;
    module.gateway.onSettings(module.now, changed);
  });
  return {{"processor", "s", seconds}};
}

std::vector<Figure> measureCustomers(std::size_t customers, const CaseLimits&) {
  constexpr std::size_t kWorkers = 100;
  Module module;
  module.gateway.onEndpoints(module.now, EndpointUpdate::snapshot, workersFor(kWorkers));
  const double heapBefore = heapBytes();
  for (std::size_t c = 1; c <= customers; ++c)
    if (module.ask(c)) module.answer();
  const double held = heapBytes() - heapBefore;
  return {{"held", "B", std::max(held, 0.0)},
          {"rows", "rows", static_cast<double>(module.gateway.trackedCustomers())}};
}

// Far more customers than it holds: how many rows stay.
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
  out.slowStartShare = 0.2;
  out.slowStartMs = 10000;
  out.overloadMultiple = 2;
  out.overloadWindowMs = 1000;
  for (std::size_t i = 0; i < classes; ++i) {
    decision::ClassSettings one;
    one.name = "class" + std::to_string(i);
    one.latencyObjectiveMs = 1000;
    one.deadlineMs = kDeadline;
    one.idempotency = decision::Idempotency::idempotent;
    out.classes.push_back(one);
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
  const Sizes choiceCheck{500, 1000, 1500, 2000};  // with fewer the gatekeeper's own limit refuses many
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
