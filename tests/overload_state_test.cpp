// Overload levels, the reject share and the expected duration in virtual time.
#include "overload/overload_state.hpp"

#include <gtest/gtest.h>

#include <random>

namespace wingslip {
namespace {

struct OverloadFixture {
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

TEST(OverloadState, DoesNotChangeBetweenTheWatermarks) {
  OverloadFixture overload;
  EXPECT_EQ(overload.memory(0.74), OverloadLevel::none);
  EXPECT_EQ(overload.memory(0.75), OverloadLevel::throttling);
  for (int i = 0; i < 500; ++i) EXPECT_EQ(overload.memory(i % 2 ? 0.74 : 0.76), OverloadLevel::throttling);
  EXPECT_EQ(overload.memory(0.56), OverloadLevel::throttling);
  EXPECT_EQ(overload.memory(0.55), OverloadLevel::none);
  EXPECT_EQ(overload.memory(0.74), OverloadLevel::none);
  EXPECT_EQ(overload.state.enteredCount(OverloadLevel::throttling), 1u);
  EXPECT_EQ(overload.state.enteredCount(OverloadLevel::shedding), 0u);
}

TEST(OverloadState, ShedsFromTheHighMarkDownToTheLowMark) {
  OverloadFixture overload;
  EXPECT_EQ(overload.memory(0.8), OverloadLevel::throttling);
  EXPECT_EQ(overload.memory(0.8, 900), OverloadLevel::throttling);
  overload.now += 100;
  overload.state.onTime(overload.now);  // time alone is enough
  EXPECT_EQ(overload.state.level(), OverloadLevel::shedding);
  EXPECT_NEAR(overload.state.takeExcessBytes(overload.now), 250, 1e-9);
  EXPECT_EQ(overload.memory(0.8, 900), OverloadLevel::shedding);
  EXPECT_EQ(overload.state.takeExcessBytes(overload.now), 0);  // what was shed needs a while
  EXPECT_EQ(overload.memory(0.7, 100), OverloadLevel::shedding);
  EXPECT_NEAR(overload.state.takeExcessBytes(overload.now), 150, 1e-9);
  EXPECT_EQ(overload.memory(0.6), OverloadLevel::shedding);
  EXPECT_EQ(overload.memory(0.5, 2000), OverloadLevel::none);
  EXPECT_EQ(overload.state.takeExcessBytes(overload.now), 0);
  EXPECT_EQ(overload.memory(1), OverloadLevel::throttling);  // reads are refused by now: there is no hurry
}

TEST(OverloadState, ABurstOrOneLongHandlerIsNoOverload) {
  OverloadFixture overload;
  EXPECT_EQ(overload.delay(600), OverloadLevel::none);                             // one long handler
  for (int i = 0; i < 5; ++i) EXPECT_EQ(overload.delay(60), OverloadLevel::none);  // 50 ms of a burst
  EXPECT_EQ(overload.delay(3), OverloadLevel::none);
  for (int round = 0; round < 20; ++round) {  // never a whole interval
    for (int i = 0; i < 98; ++i) EXPECT_EQ(overload.delay(200), OverloadLevel::none);
    EXPECT_EQ(overload.delay(10), OverloadLevel::none);
  }
}

TEST(OverloadState, ALoopThatIsLateForAnIntervalThrottlesAndForTwoSheds) {
  OverloadFixture overload;
  std::array<double, 3> first{};
  for (int i = 0; i < 400; ++i) {
    const auto level = static_cast<std::size_t>(overload.delay(60));
    if (first[level] == 0) first[level] = overload.now;
  }
  EXPECT_NEAR(first[1] - first[0], 1000, 11);
  EXPECT_NEAR(first[2] - first[0], 2000, 11);
  EXPECT_EQ(overload.delay(40), OverloadLevel::shedding);  // under the target, but not well under it
  EXPECT_EQ(overload.delay(20), OverloadLevel::none);
}

TEST(OverloadState, TheRejectShareRisesDuringTheOverloadAndFallsAfter) {
  OverloadFixture overload;
  for (int i = 0; i < 201; ++i) overload.delay(60);
  EXPECT_EQ(overload.state.level(), OverloadLevel::shedding);
  EXPECT_NEAR(overload.state.rejectShare(), 0.1, 1e-9);
  for (int i = 0; i < 100; ++i) overload.delay(60, 35);
  EXPECT_NEAR(overload.state.rejectShare(), 0.4, 1e-9);
  for (int i = 0; i < 1000; ++i) overload.delay(60, 35);
  EXPECT_NEAR(overload.state.rejectShare(), 0.9, 1e-9);  // never all
  EXPECT_EQ(overload.delay(1), OverloadLevel::none);
  EXPECT_FALSE(overload.state.isNormal());
  double last = overload.state.rejectShare();
  for (int i = 0; i < 400; ++i) {
    overload.delay(1, 35);
    EXPECT_LE(overload.state.rejectShare(), last);
    last = overload.state.rejectShare();
  }
  EXPECT_TRUE(overload.state.isNormal());
}

TEST(OverloadState, ExpectsTheUsualDurationOrAsLongAgain) {
  OverloadFixture overload;
  EXPECT_EQ(overload.state.expectedDurationMs(overload.now), 0);
  overload.memory(0.8);
  EXPECT_NEAR(overload.state.expectedDurationMs(overload.now), 1000, 1e-9);  // an interval at least
  EXPECT_NEAR(overload.state.expectedDurationMs(overload.now + 6000), 6000, 1e-9);
  overload.memory(0.1, 8000);
  overload.memory(0.8, 8000);
  EXPECT_NEAR(overload.state.expectedDurationMs(overload.now), 8000, 1e-9);
  EXPECT_NEAR(overload.state.expectedDurationMs(overload.now + 1000), 7000, 1e-9);
}

TEST(OverloadState, StaysWithinBoundsOverAnySequence) {
  for (unsigned seed = 0; seed < 200; ++seed) {
    std::mt19937 random(seed);
    std::uniform_real_distribution<> share(0, 1);
    OverloadFixture overload;
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
