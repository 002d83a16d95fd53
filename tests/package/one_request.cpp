// A program outside the tree: drives one request through the installed library.
#include <cstdio>
#include <wingslip/decision/gateway.hpp>

namespace decision = wingslip::decision;

namespace {

struct Printer : decision::Actions {
  decision::WorkerId sentTo = 0;
  void send(decision::RequestId id, decision::WorkerId worker, decision::Time) override {
    std::printf("request %u goes to worker %llu\n", id, static_cast<unsigned long long>(worker));
    sentTo = worker;
  }
  void refuse(decision::RequestId, decision::Time) override {}
  void fail(decision::RequestId) override {}
  void setTimer(decision::Time, std::uint64_t) override {}
  void subscribe() override {}
  void log(const std::string&) override {}
};

}  // namespace

int main() {
  decision::Settings settings;
  decision::ClassSettings klass;
  klass.aim = 500, klass.deadline = 2000, klass.repeat = decision::Repeat::safe;
  decision::PlanSettings plan;
  plan.rate = 5, plan.burst = 10;
  settings.classes = {klass};
  settings.plans = {plan};
  Printer actions;
  decision::Gateway gateway(settings, 1, 0, actions);
  decision::Member worker;
  worker.worker = 42;
  gateway.members(0, decision::ListKind::full, {worker});
  gateway.request(1, {7, 0, 0, 99, 2001, 1, 1});
  decision::Outcome outcome;
  outcome.id = 7, outcome.worker = 42, outcome.elapsed = 20, outcome.finished = true;
  gateway.outcome(21, outcome);
  return actions.sentTo == 42 && gateway.requestsHeld() == 0 ? 0 : 1;
}
