// The bound of the time since a request's last byte, in virtual time.
#include "gatekeeper/body_lag.hpp"

#include <gtest/gtest.h>

namespace wingslip::test {
namespace {

using namespace std::chrono_literals;

class BodyLagTest : public ::testing::Test {
 protected:
  BodyLagTest() { lag.start(now, 0ms); }
  // The gatekeeper does not read, or has not read everything that has arrived.
  void holdUp(BodyLag::Duration time) {
    lag.stopAwaitingClient(now);
    now += time;
  }
  void waitForClient(BodyLag::Duration time) {
    lag.awaitClient(now);
    now += time;
  }
  BodyLag::TimePoint now{1h};
  BodyLag lag;
};

TEST_F(BodyLagTest, GrowsWhileTheClientIsNotAwaited) {
  EXPECT_EQ(lag.at(now), 0ms);
  holdUp(700ms);
  EXPECT_EQ(lag.at(now), 700ms);
  holdUp(300ms);
  EXPECT_EQ(lag.at(now), 1000ms);
}

TEST_F(BodyLagTest, IncludesTheTimeForWhichTheFirstBytesWereUnread) {
  lag.start(now, 250ms);
  holdUp(100ms);
  EXPECT_EQ(lag.at(now), 350ms);
  lag.start(now, 0ms);
  EXPECT_EQ(lag.at(now), 0ms);
}

TEST_F(BodyLagTest, FallsToZeroAndNoFurtherWhileTheClientIsAwaited) {
  holdUp(400ms);
  waitForClient(300ms);
  EXPECT_EQ(lag.at(now), 100ms);
  waitForClient(10s);
  EXPECT_EQ(lag.at(now), 0ms);
  holdUp(50ms);
  EXPECT_EQ(lag.at(now), 50ms);
}

// Guards against a slow client of a healthy worker that is cut off because its upload takes longer than its
// deadline.
TEST_F(BodyLagTest, StaysSmallWhileASlowClientIsRead) {
  for (int i = 0; i < 1000; ++i) {
    waitForClient(250ms);
    holdUp(5ms);
    ASSERT_LE(lag.at(now), 5ms);
  }
}

// Guards against a worker that takes a little now and then and thereby keeps a request for longer than its
// deadline: the short waits until the client's kernel has sent on must not end the lag.
TEST_F(BodyLagTest, GrowsWhileTheGatekeeperWaitsForTheClientOnlyNowAndThen) {
  const auto start = now;
  for (int i = 0; i < 30; ++i) {
    holdUp(95ms);
    waitForClient(5ms);
  }
  EXPECT_EQ(lag.at(now), now - start - 2 * 30 * 5ms);
}

}  // namespace
}  // namespace wingslip::test
