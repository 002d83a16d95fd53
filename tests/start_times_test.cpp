// Start times of workers on the monotonic clock, with a correct and a wrong wall clock.
#include "endpoint_watch/start_times.hpp"

#include <gtest/gtest.h>

namespace wingslip {
namespace {

// The true Unix time, in ms, is `kUnixOffset` ahead of the monotonic clock.
constexpr double kUnixOffset = 1.7e12, kHour = 3600 * 1000;

TEST(StartTimes, StartsInUpdatesCountFromTheirReceiptAtAnyWallClockError) {
  for (const double clockError : {0.0, 2000.0, -2000.0, kHour, -kHour}) {
    StartTimes starts(-kUnixOffset - clockError);  // the wall clock is ahead by clockError
    starts.correctClockOffset(kUnixOffset + 5000, 5300);
    const WorkerStart start = starts.startOf(1, kUnixOffset + 5000, 5300, true);
    EXPECT_EQ(start.slowStartFrom, 5300) << clockError;
    EXPECT_LE(start.processStartedAt, 5300) << clockError;
    EXPECT_GE(start.processStartedAt, 5300 - StartTimes::kMaxNotificationDelayMs) << clockError;
    EXPECT_EQ(starts.startOf(1, kUnixOffset + 5000, 90000, true).slowStartFrom, 5300)
        << "the same start, received again";
  }
  StartTimes correct(-kUnixOffset);
  EXPECT_EQ(correct.startOf(1, kUnixOffset + 5000, 5300, true).processStartedAt, 5000);
}

TEST(StartTimes, TheFirstListUsesTheOffsetAndAStartInTheFutureLowersIt) {
  StartTimes correct(-kUnixOffset);
  EXPECT_EQ(correct.startOf(1, kUnixOffset - 4000, 100, false).slowStartFrom, -4000);
  EXPECT_EQ(correct.startOf(2, 0, 100, false).slowStartFrom, 0);
  StartTimes behind(-kUnixOffset + kHour);
  behind.correctClockOffset(kUnixOffset - 60000, 100);
  behind.correctClockOffset(kUnixOffset - 1000, 100);
  EXPECT_EQ(behind.startOf(1, kUnixOffset - 1000, 100, false).slowStartFrom,
            100);  // the latest start: placed at the time of receipt
  EXPECT_EQ(behind.startOf(2, kUnixOffset - 60000, 100, false).slowStartFrom, 100 - 59000);
  EXPECT_EQ(behind.clockOffsetMs(), 100 - (kUnixOffset - 1000));
}

TEST(StartTimes, UnlistedWorkersAreRemovedBeyondTheMaximum) {
  StartTimes starts(-kUnixOffset);
  for (std::size_t i = 0; i <= StartTimes::kMaxWorkers; ++i) starts.startOf(i, kUnixOffset, 0, false);
  starts.removeUnlisted([](decision::WorkerId worker) { return worker < 10; });
  EXPECT_EQ(starts.size(), 10u);
}

}  // namespace
}  // namespace wingslip
