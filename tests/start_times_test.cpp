// Start times of workers on the monotonic clock, with a correct and a wrong wall clock.
#include "endpoint_watch/start_times.hpp"

#include <gtest/gtest.h>

namespace wingslip {
namespace {

// `kUnixOffsetMs`: how far the true Unix time is ahead of the monotonic clock.
constexpr double kUnixOffsetMs = 1.7e12, kHourMs = 3600 * 1000;

TEST(StartTimes, StartsInUpdatesCountFromTheirReceiptAtAnyWallClockError) {
  for (const double clockErrorMs : {0.0, 2000.0, -2000.0, kHourMs, -kHourMs}) {
    StartTimes starts(-kUnixOffsetMs - clockErrorMs);  // the wall clock is ahead by clockErrorMs
    starts.correctClockOffset(kUnixOffsetMs + 5000, 5300);
    const WorkerStart start = starts.startOf(1, kUnixOffsetMs + 5000, 5300, true);
    EXPECT_EQ(start.slowStartFrom, 5300) << clockErrorMs;
    EXPECT_LE(start.processStartedAt, 5300) << clockErrorMs;
    EXPECT_GE(start.processStartedAt, 5300 - StartTimes::kMaxNotificationDelayMs) << clockErrorMs;
    EXPECT_EQ(starts.startOf(1, kUnixOffsetMs + 5000, 90000, true).slowStartFrom, 5300)
        << "the same start, received again";
  }
  StartTimes correct(-kUnixOffsetMs);
  EXPECT_EQ(correct.startOf(1, kUnixOffsetMs + 5000, 5300, true).processStartedAt, 5000);
}

TEST(StartTimes, TheFirstListUsesTheOffsetAndAStartInTheFutureLowersIt) {
  StartTimes correct(-kUnixOffsetMs);
  EXPECT_EQ(correct.startOf(1, kUnixOffsetMs - 4000, 100, false).slowStartFrom, -4000);
  EXPECT_EQ(correct.startOf(2, 0, 100, false).slowStartFrom, 0);
  StartTimes behind(-kUnixOffsetMs + kHourMs);
  behind.correctClockOffset(kUnixOffsetMs - 60000, 100);
  behind.correctClockOffset(kUnixOffsetMs - 1000, 100);
  EXPECT_EQ(behind.startOf(1, kUnixOffsetMs - 1000, 100, false).slowStartFrom,
            100);  // the latest start: placed at the time of receipt
  EXPECT_EQ(behind.startOf(2, kUnixOffsetMs - 60000, 100, false).slowStartFrom, 100 - 59000);
  EXPECT_EQ(behind.clockOffsetMs(), 100 - (kUnixOffsetMs - 1000));
}

TEST(StartTimes, UnlistedWorkersAreRemovedBeyondTheMaximum) {
  StartTimes starts(-kUnixOffsetMs);
  for (std::size_t i = 0; i <= StartTimes::kMaxWorkers; ++i) starts.startOf(i, kUnixOffsetMs, 0, false);
  starts.removeUnlisted([](decision::WorkerId worker) { return worker < 10; });
  EXPECT_EQ(starts.size(), 10u);
}

}  // namespace
}  // namespace wingslip
