// Tests overload levels, the reject share and the expected duration in simulated time.
#include "overload/overload_state.hpp"

#include <gtest/gtest.h>

#include <random>

namespace wingslip {
namespace {

struct OverloadStateFixture {
  OverloadState::Limits limits = OverloadState::limitsFor(1000);
  OverloadState state{limits};
  double now = 5000;

  OverloadLevel memory(double share, double after = 10) {
    now += after;
    state.onUsage(now, OverloadSource::memory, share * 1000, 1000);
    return state.level();
  }
  OverloadLevel delay(double ms, double after = 10) {
    now += after;
    state.onLoopDelay(now, ms);
    return state.level();
  }
};

TEST(OverloadState, TheLevelDoesNotChangeBetweenTheWatermarks) {
  OverloadStateFixture overload;
  EXPECT_EQ(overload.memory(0.74), OverloadLevel::none);
  EXPECT_EQ(overload.memory(0.75), OverloadLevel::throttling);
  for (int i = 0; i < 500; ++i) EXPECT_EQ(overload.memory(i % 2 ? 0.74 : 0.76), OverloadLevel::throttling);
  EXPECT_EQ(overload.memory(0.56), OverloadLevel::throttling);
  EXPECT_EQ(overload.memory(0.55), OverloadLevel::none);
  EXPECT_EQ(overload.memory(0.74), OverloadLevel::none);
  EXPECT_EQ(overload.state.enteredCount(OverloadLevel::throttling), 1u);
  EXPECT_EQ(overload.state.enteredCount(OverloadLevel::shedding), 0u);
}

TEST(OverloadState, SheddingLastsFromTheHighToTheLowWatermark) {
  OverloadStateFixture overload;
  EXPECT_EQ(overload.memory(0.8), OverloadLevel::throttling);
  EXPECT_EQ(overload.memory(0.8, 900), OverloadLevel::throttling);
  overload.now += 100;
  overload.state.onTime(overload.now);  // elapsed time without a new sample suffices
  EXPECT_EQ(overload.state.level(), OverloadLevel::shedding);
  EXPECT_NEAR(overload.state.takeExcessBytes(overload.now), 250, 1e-9);
  EXPECT_EQ(overload.memory(0.8, 900), OverloadLevel::shedding);
  EXPECT_EQ(overload.state.takeExcessBytes(overload.now), 0);  // shed memory is freed with a delay
  EXPECT_EQ(overload.memory(0.7, 100), OverloadLevel::shedding);
  EXPECT_NEAR(overload.state.takeExcessBytes(overload.now), 150, 1e-9);
  EXPECT_EQ(overload.memory(0.6), OverloadLevel::shedding);
  EXPECT_EQ(overload.memory(0.5, 2000), OverloadLevel::none);
  EXPECT_EQ(overload.state.takeExcessBytes(overload.now), 0);
  // A full budget alone does not cause shedding: it already refuses further charges.
  EXPECT_EQ(overload.memory(1), OverloadLevel::throttling);
}

TEST(OverloadState, ABurstOrOneLongHandlerIsNoOverload) {
  OverloadStateFixture overload;
  EXPECT_EQ(overload.delay(600), OverloadLevel::none);                             // a single long handler
  for (int i = 0; i < 5; ++i) EXPECT_EQ(overload.delay(60), OverloadLevel::none);  // a burst of 50 ms
  EXPECT_EQ(overload.delay(3), OverloadLevel::none);
  for (int round = 0; round < 20; ++round) {  // late for less than an interval
    for (int i = 0; i < 98; ++i) EXPECT_EQ(overload.delay(200), OverloadLevel::none);
    EXPECT_EQ(overload.delay(10), OverloadLevel::none);
  }
}

TEST(OverloadState, ALateEventLoopThrottlesAfterOneIntervalAndShedsAfterTwo) {
  OverloadStateFixture overload;
  std::array<double, 3> firstReachedAt{};
  for (int i = 0; i < 400; ++i) {
    const auto level = static_cast<std::size_t>(overload.delay(60));
    if (firstReachedAt[level] == 0) firstReachedAt[level] = overload.now;
  }
  EXPECT_NEAR(firstReachedAt[1] - firstReachedAt[0], 1000, 11);
  EXPECT_NEAR(firstReachedAt[2] - firstReachedAt[0], 2000, 11);
  EXPECT_EQ(overload.delay(40), OverloadLevel::shedding);  // below the target, but not below half of it
  EXPECT_EQ(overload.delay(20), OverloadLevel::none);
}

TEST(OverloadState, TheRejectShareRisesDuringAnOverloadAndFallsAfterIt) {
  OverloadStateFixture overload;
  for (int i = 0; i < 201; ++i) overload.delay(60);
  EXPECT_EQ(overload.state.level(), OverloadLevel::shedding);
  EXPECT_NEAR(overload.state.rejectShare(), 0.1, 1e-9);
  for (int i = 0; i < 100; ++i) overload.delay(60, 35);
  EXPECT_NEAR(overload.state.rejectShare(), 0.4, 1e-9);
  for (int i = 0; i < 1000; ++i) overload.delay(60, 35);
  EXPECT_NEAR(overload.state.rejectShare(), 0.9, 1e-9);  // some requests are always admitted
  EXPECT_EQ(overload.delay(1), OverloadLevel::none);
  EXPECT_FALSE(overload.state.isNormal());
  double previousShare = overload.state.rejectShare();
  for (int i = 0; i < 400; ++i) {
    overload.delay(1, 35);
    EXPECT_LE(overload.state.rejectShare(), previousShare);
    previousShare = overload.state.rejectShare();
  }
  EXPECT_TRUE(overload.state.isNormal());
}

TEST(OverloadState, TheExpectedDurationFollowsEarlierAndPresentOverloads) {
  OverloadStateFixture overload;
  EXPECT_EQ(overload.state.expectedDurationMs(overload.now), 0);
  overload.memory(0.8);
  EXPECT_NEAR(overload.state.expectedDurationMs(overload.now), 1000, 1e-9);  // at least one interval
  EXPECT_NEAR(overload.state.expectedDurationMs(overload.now + 6000), 6000, 1e-9);
  overload.memory(0.1, 8000);
  overload.memory(0.8, 8000);
  EXPECT_NEAR(overload.state.expectedDurationMs(overload.now), 8000, 1e-9);
  EXPECT_NEAR(overload.state.expectedDurationMs(overload.now + 1000), 7000, 1e-9);
}

TEST(OverloadState, LevelAndRejectShareStayWithinBoundsForRandomSequences) {
  for (unsigned seed = 0; seed < 200; ++seed) {
    std::mt19937 random(seed);
    std::uniform_real_distribution<> share(0, 1);
    OverloadStateFixture overload;
    for (int i = 0; i < 500; ++i) {
      const double memory = share(random);
      if (i % 3 == 0)
        overload.state.onUsage(overload.now, OverloadSource::descriptors, share(random), 1);
      else if (i % 3 == 1)
        overload.delay(100 * share(random), 300 * share(random));
      overload.memory(memory, 50 * share(random));
      ASSERT_GE(overload.state.rejectShare(), 0);
      ASSERT_LE(overload.state.rejectShare(), 0.9 + 1e-9);
      if (const double excess = overload.state.takeExcessBytes(overload.now); excess != 0) {
        ASSERT_GT(excess, 0);
        ASSERT_EQ(overload.state.level(OverloadSource::memory), OverloadLevel::shedding);
      }
      if (memory >= 0.75) {
        ASSERT_NE(overload.state.level(), OverloadLevel::none);
      }
      if (memory <= 0.55) {
        ASSERT_EQ(overload.state.level(OverloadSource::memory), OverloadLevel::none);
      }
      ASSERT_EQ(overload.state.expectedDurationMs(overload.now) > 0,
                overload.state.level() != OverloadLevel::none);
    }
    for (int i = 0; i < 40; ++i) {
      overload.state.onUsage(overload.now, OverloadSource::descriptors, 0, 1);
      overload.delay(0);
      overload.memory(0, 300);
    }
    EXPECT_TRUE(overload.state.isNormal()) << seed;
  }
}

}  // namespace
}  // namespace wingslip
