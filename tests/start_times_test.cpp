// Start times of workers on the monotonic clock, whatever the wall clock says.
#include "endpoint_watch/start_times.hpp"

#include <gtest/gtest.h>

namespace wingslip {
namespace {

// The true Unix time is `kUnix` more than the monotonic clock.
constexpr double kUnix = 1.7e12, kHour = 3600 * 1000;

TEST(StartTimes, AnUpdateCountsFromWhenItWasReceivedWhateverTheWallClock) {
  for (const double clockError : {0.0, 2000.0, -2000.0, kHour, -kHour}) {
    StartTimes starts(-kUnix - clockError);  // the wall clock is ahead
    starts.observe(kUnix + 5000, 5300);
    const WorkerStart start = starts.startOf(1, kUnix + 5000, 5300, true);
    EXPECT_EQ(start.slowStartFrom, 5300) << clockError;
    EXPECT_LE(start.processStartedAt, 5300) << clockError;
    EXPECT_GE(start.processStartedAt, 5300 - StartTimes::kMaxNotificationDelayMs) << clockError;
    EXPECT_EQ(starts.startOf(1, kUnix + 5000, 90000, true).slowStartFrom, 5300)
        << "the same start, received again";
  }
  StartTimes right(-kUnix);
  EXPECT_EQ(right.startOf(1, kUnix + 5000, 5300, true).processStartedAt, 5000);
}

TEST(StartTimes, TheFirstListUsesTheOffsetAndAStartInTheFutureCorrectsIt) {
  StartTimes right(-kUnix);
  EXPECT_EQ(right.startOf(1, kUnix - 4000, 100, false).slowStartFrom, -4000);
  EXPECT_EQ(right.startOf(2, 0, 100, false).slowStartFrom, 0);
  StartTimes behind(-kUnix + kHour);
  behind.observe(kUnix - 60000, 100);
  behind.observe(kUnix - 1000, 100);
  EXPECT_EQ(behind.startOf(1, kUnix - 1000, 100, false).slowStartFrom,
            100);  // the youngest: as if just started
  EXPECT_EQ(behind.startOf(2, kUnix - 60000, 100, false).slowStartFrom, 100 - 59000);
  EXPECT_EQ(behind.clockOffsetMs(), 100 - (kUnix - 1000));
}

TEST(StartTimes, UnlistedWorkersAreForgottenBeyondTheMaximum) {
  StartTimes starts(-kUnix);
  for (std::size_t i = 0; i <= StartTimes::kMaxWorkers; ++i) starts.startOf(i, kUnix, 0, false);
  starts.forgetUnlisted([](decision::WorkerId worker) { return worker < 10; });
  EXPECT_EQ(starts.size(), 10u);
}

}  // namespace
}  // namespace wingslip
