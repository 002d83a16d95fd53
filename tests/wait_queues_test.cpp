// Tests the statistics of the wait queues.
#include "overload/wait_queues.hpp"

#include <gtest/gtest.h>

#include <fstream>
#include <set>
#include <sstream>

namespace wingslip {
namespace {

TEST(WaitQueues, DestroyedEntriesLeaveTheQueueAndTheFirstIsTheOldest) {
  WaitQueues queues;
  {
    WaitQueues::QueueEntry first, second;
    first.enter(queues, WaitQueue::inFlight, 100);
    second.enter(queues, WaitQueue::inFlight, 300);
    EXPECT_EQ(queues.statistics(WaitQueue::inFlight, 1000).waiting, 2u);
    EXPECT_EQ(queues.statistics(WaitQueue::inFlight, 1000).oldestMs, 900);
    first.enter(queues, WaitQueue::responseWrite, 1000);  // moves from one queue to another
    EXPECT_EQ(queues.statistics(WaitQueue::inFlight, 1000).oldestMs, 700);
    EXPECT_EQ(queues.statistics(WaitQueue::inFlight, 1000).peak, 2u);
    second.leave();
    second.leave();
    EXPECT_EQ(queues.waiting(WaitQueue::inFlight), 0u);
    EXPECT_EQ(queues.waiting(WaitQueue::responseWrite), 1u);
  }
  EXPECT_EQ(queues.waiting(WaitQueue::responseWrite), 0u);
  queues.countRejection(WaitQueue::freeConnection, 3);
  EXPECT_EQ(queues.statistics(WaitQueue::freeConnection, 1000).rejections, 3u);
  EXPECT_NE(queues.logLine(1000).find("wait.no_room=0/0/0/3"), std::string::npos) << queues.logLine(1000);
}

// Guards against a queue without a name, without its four metrics or without a row in docs/design.md.
TEST(WaitQueues, EveryQueueIsNamedReportedAndDocumented) {
  std::ifstream designPage(std::string(WINGSLIP_ROOT) + "/docs/design.md");
  std::stringstream design;
  design << designPage.rdbuf();
  const std::string text = WaitQueues().telemetry(0);
  std::set<std::string_view> names;
  for (const std::string_view name : kWaitQueueNames) {
    ASSERT_FALSE(name.empty());
    EXPECT_TRUE(names.insert(name).second) << name;
    for (const char* metric : {".now:0|g\n", ".most:0|g\n", ".oldest_ms:0|g\n", ".turned_away:0|c\n"})
      EXPECT_NE(text.find("svc.wait." + std::string(name) + metric), std::string::npos) << name << metric;
    EXPECT_NE(design.str().find("\n| `" + std::string(name) + "` |"), std::string::npos) << name;
  }
}

}  // namespace
}  // namespace wingslip
