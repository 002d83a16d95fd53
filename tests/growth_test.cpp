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
  for (WorkerId id = 1; id <= n; ++id) out.push_back(member(id * 0x9e3779b97f4a7c15ULL));
  return out;
}

Settings withClasses(std::size_t n) {
  Settings out = settings();
  const ClassSettings klass = out.classes[0];
  out.classes.clear();
  for (std::size_t i = 0; i < n; ++i) {
    out.classes.push_back(klass);
    out.classes.back().name = "class-" + std::to_string(i);
  }
  return out;
}

double timeOf(const std::function<void()>& work) {
  const double before = growth::processorTime();
  work();
  return growth::processorTime() - before;
}

TEST(Growth, AWholeListOfWorkersIsNoWalkOfAllForEach) {
  const double factor = growth::between(2000, [](std::size_t n) {
    Bench b;
    const auto list = workers(n);
    return timeOf([&] {
      b.list(list);
      b.list(list);
    });
  });
  EXPECT_LT(factor, growth::kMost);
}

TEST(Growth, ChangedSettingsAreNoWalkOfAllClassesForEach) {
  const double factor = growth::between(1000, [](std::size_t n) {
    const Settings to = withClasses(n);
    Bench b(to);
    return timeOf([&] { b.gateway.onSettings(1, to); });
  });
  EXPECT_LT(factor, growth::kMost);
}

// Each worker has several attempts out, so that whether it is silent is looked at for each.
TEST(Growth, AChoiceAmongBusyWorkersIsNoWalkOfAllClassesForEach) {
  const double factor = growth::between(50, [](std::size_t n) {
    Settings s = withClasses(n);
    s.gatewayCount = 1;
    s.plans = {PlanSettings{}};
    Bench b(s);
    b.list(workers(n));
    for (std::size_t i = 0; i < 3 * n; ++i) b.ask(0, 0, i);
    EXPECT_EQ(b.recorder.sends.size(), 3 * n);
    return timeOf([&] {
      for (CustomerId i = 0; i < 100; ++i) b.ask(0, 0, i);
    });
  });
  EXPECT_LT(factor, growth::kMost);
}

// Of classes that share a name the last one's latency goes on, of plans the first one's number.
TEST(Growth, NamesThatAreThereTwiceMeanWhatTheyMeant) {
  Settings s = settings();
  s.plans = {s.plans[1], s.plans[1]};
  s.plans[0].name = s.plans[1].name = "open";
  s.plans[0].maxConcurrent = 1;
  s.plans[1].maxConcurrent = 2;
  Bench b(s);
  b.list(workers(4));
  b.ask(0, 1, 7);
  ASSERT_EQ(b.recorder.sends.size(), 1u);
  b.gateway.onSettings(b.now, s);
  EXPECT_TRUE(b.wasRefused(b.ask(0, 0, 7))) << "one is out, and the first of the name allows one";
}

}  // namespace
}  // namespace wingslip::decision::test
