// Uses the installed library from outside the source tree: passes one request through a gateway and exits
// with 0 if it was sent to the only worker and finished.
#include <cstdio>
#include <wingslip/decision/gateway.hpp>

namespace decision = wingslip::decision;

namespace {

struct Printer : decision::Actions {
  decision::WorkerId sentTo = 0;
  void startAttempt(decision::RequestId id, decision::WorkerId worker, decision::Time) override {
    std::printf("request %u goes to worker %llu\n", id, static_cast<unsigned long long>(worker));
    sentTo = worker;
  }
  void reject(decision::RequestId, decision::Time) override {}
  void fail(decision::RequestId) override {}
  void setTimer(decision::Time, std::uint64_t) override {}
  void pollEndpoints() override {}
  void log(const std::string&) override {}
};

}  // namespace

int main() {
  decision::Settings settings;
  decision::ClassSettings klass;
  klass.latencyObjectiveMs = 500, klass.deadlineMs = 2000,
  klass.idempotency = decision::Idempotency::idempotent;
  decision::PlanSettings plan;
  plan.rate = 5, plan.burst = 10;
  settings.classes = {klass};
  settings.plans = {plan};
  Printer actions;
  decision::Gateway gateway(settings, 1, 0, actions);
  decision::Endpoint worker;
  worker.worker = 42;
  gateway.onEndpoints(0, decision::EndpointUpdate::snapshot, {worker});
  gateway.onRequest(1, {7, 0, 0, 99, 2001, 1, 1});
  decision::AttemptOutcome outcome;
  outcome.id = 7, outcome.worker = 42, outcome.latencyMs = 20, outcome.requestFinished = true;
  gateway.onAttemptOutcome(21, outcome);
  return actions.sentTo == 42 && gateway.requestsInFlight() == 0 ? 0 : 1;
}
