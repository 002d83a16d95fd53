// Tests that the processor time of the decision module for one event does not grow quadratically with the
// size of the event or with the number of workers or request classes. One pass over them is allowed.
#include "growth.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <vector>

#include "recorder.hpp"

namespace wingslip::decision::test {
namespace {

std::vector<Endpoint> endpoints(std::size_t n) {
  std::vector<Endpoint> out;
  for (WorkerId id = 1; id <= n; ++id) out.push_back(endpoint(id * 0x9e3779b97f4a7c15ULL));
  return out;
}

Settings settingsWithClasses(std::size_t n) {
  Settings out = testSettings();
  const ClassSettings requestClass = out.classes[0];
  out.classes.clear();
  for (std::size_t i = 0; i < n; ++i) {
    out.classes.push_back(requestClass);
    out.classes.back().name = "class-" + std::to_string(i);
  }
  return out;
}

double cpuTimeMs(const std::function<void()>& operation) {
  const double startMs = growth::threadCpuTimeMs();
  operation();
  return growth::threadCpuTimeMs() - startMs;
}

TEST(EventProcessingTime, EndpointListIsNotQuadraticInItsLength) {
  const double factor = growth::growthFactor(2000, [](std::size_t n) {
    GatewayHarness harness;
    const auto list = endpoints(n);
    return cpuTimeMs([&] {
      harness.updateEndpoints(list);
      harness.updateEndpoints(list);
    });
  });
  EXPECT_LT(factor, growth::kMaxFactor);
}

TEST(EventProcessingTime, SettingsUpdateIsNotQuadraticInTheNumberOfClasses) {
  const double factor = growth::growthFactor(1000, [](std::size_t n) {
    const Settings settings = settingsWithClasses(n);
    GatewayHarness harness(settings);
    return cpuTimeMs([&] { harness.gateway.onSettings(1, settings); });
  });
  EXPECT_LT(factor, growth::kMaxFactor);
}

// Each worker has several attempts in flight, because only such workers are checked for unresponsiveness.
TEST(EventProcessingTime, ChoiceAmongBusyWorkersIsNotQuadraticInTheirNumber) {
  const double factor = growth::growthFactor(50, [](std::size_t n) {
    Settings settings = settingsWithClasses(n);
    settings.gatewayCount = 1;
    settings.plans = {PlanSettings{}};
    GatewayHarness harness(settings);
    harness.updateEndpoints(endpoints(n));
    for (std::size_t i = 0; i < 3 * n; ++i) harness.sendRequest(0, 0, i);
    EXPECT_EQ(harness.recorder.startedAttempts.size(), 3 * n);
    return cpuTimeMs([&] {
      for (CustomerId i = 0; i < 100; ++i) harness.sendRequest(0, 0, i);
    });
  });
  EXPECT_LT(factor, growth::kMaxFactor);
}

// A settings update finds classes and plans by name. If several classes share a name, the learned latency of
// the last one is carried over; if several plans share a name, customers are assigned to the first one.
TEST(SettingsUpdate, CustomersOfADuplicatePlanNameGetTheFirstPlan) {
  Settings settings = testSettings();
  settings.plans = {settings.plans[1], settings.plans[1]};
  settings.plans[0].name = settings.plans[1].name = "open";
  settings.plans[0].maxConcurrent = 1;
  settings.plans[1].maxConcurrent = 2;
  GatewayHarness harness(settings);
  harness.updateEndpoints(endpoints(4));
  harness.sendRequest(0, 1, 7);
  ASSERT_EQ(harness.recorder.startedAttempts.size(), 1u);
  harness.gateway.onSettings(harness.now, settings);
  EXPECT_TRUE(harness.wasRejected(harness.sendRequest(0, 0, 7)))
      << "one attempt is in flight, and the first plan of that name allows one";
}

}  // namespace
}  // namespace wingslip::decision::test
