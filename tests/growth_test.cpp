// The module's work for one event at the fleet's target size: in proportion to what the event names, or to
// one walk over the workers or classes, never to a walk within a walk.
#include "growth.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <vector>

#include "recorder.hpp"

namespace wingslip::decision::test {
namespace {

std::vector<Endpoint> workers(std::size_t n) {
  std::vector<Endpoint> out;
  for (WorkerId id = 1; id <= n; ++id) out.push_back(endpoint(id * 0x9e3779b97f4a7c15ULL));
  return out;
}

Settings withClasses(std::size_t n) {
  Settings out = testSettings();
  const ClassSettings requestClass = out.classes[0];
  out.classes.clear();
  for (std::size_t i = 0; i < n; ++i) {
    out.classes.push_back(requestClass);
    out.classes.back().name = "class-" + std::to_string(i);
  }
  return out;
}

double timeOf(const std::function<void()>& work) {
  const double before = growth::processorTime();
  work();
  return growth::processorTime() - before;
}

TEST(Growth, AListOfWorkersTakesNoQuadraticTime) {
  const double factor = growth::between(2000, [](std::size_t n) {
    GatewayHarness harness;
    const auto list = workers(n);
    return timeOf([&] {
      harness.updateEndpoints(list);
      harness.updateEndpoints(list);
    });
  });
  EXPECT_LT(factor, growth::kMost);
}

TEST(Growth, ChangedSettingsTakeNoQuadraticTime) {
  const double factor = growth::between(1000, [](std::size_t n) {
    const Settings to = withClasses(n);
    GatewayHarness harness(to);
    return timeOf([&] { harness.gateway.onSettings(1, to); });
  });
  EXPECT_LT(factor, growth::kMost);
}

// Each worker has several attempts out, so that whether it is silent is looked at for each.
TEST(Growth, AChoiceAmongBusyWorkersTakesNoQuadraticTime) {
  const double factor = growth::between(50, [](std::size_t n) {
    Settings settings = withClasses(n);
    settings.gatewayCount = 1;
    settings.plans = {PlanSettings{}};
    GatewayHarness harness(settings);
    harness.updateEndpoints(workers(n));
    for (std::size_t i = 0; i < 3 * n; ++i) harness.sendRequest(0, 0, i);
    EXPECT_EQ(harness.recorder.startedAttempts.size(), 3 * n);
    return timeOf([&] {
      for (CustomerId i = 0; i < 100; ++i) harness.sendRequest(0, 0, i);
    });
  });
  EXPECT_LT(factor, growth::kMost);
}

// Of classes that share a name the last one's latency goes on, of plans the first one's number.
TEST(Growth, OfEqualPlanNamesTheFirstCounts) {
  Settings settings = testSettings();
  settings.plans = {settings.plans[1], settings.plans[1]};
  settings.plans[0].name = settings.plans[1].name = "open";
  settings.plans[0].maxConcurrent = 1;
  settings.plans[1].maxConcurrent = 2;
  GatewayHarness harness(settings);
  harness.updateEndpoints(workers(4));
  harness.sendRequest(0, 1, 7);
  ASSERT_EQ(harness.recorder.startedAttempts.size(), 1u);
  harness.gateway.onSettings(harness.now, settings);
  EXPECT_TRUE(harness.wasRejected(harness.sendRequest(0, 0, 7)))
      << "one is out, and the first of the name allows one";
}

}  // namespace
}  // namespace wingslip::decision::test
