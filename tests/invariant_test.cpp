// Tests the invariant monitor: each invariant is counted when it is violated, and only then.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "invariant/monitor.hpp"

namespace wingslip::invariant {
namespace {

using decision::AttemptResult;
using decision::Idempotency;
using decision::WorkerPhase;

constexpr decision::WorkerId kWorker = 7, kOther = 8;

class InvariantMonitor : public ::testing::Test {
 protected:
  InvariantMonitor()
      : monitor([this](const std::string& line) { lines.push_back(line); }, [this] { return workerRate; }) {
    monitor.setRules({1000, 2, 0.2, 1000, 10000});
    trace.requestId = "00000000000000a1";
    trace.deadline = 5000;
    trace.idempotency = Idempotency::notIdempotent;
    trace.maxAttempts = 2;
    monitor.workerReady(kWorker, 0);
    monitor.workerReady(kOther, 0);
    monitor.requestReceived(trace, 0);
  }
  // Checks that only this invariant has been violated, and how many times.
  void expectOnly(Invariant invariant, std::uint64_t times = 1) {
    EXPECT_EQ(monitor.count(invariant), times) << nameOf(invariant);
    EXPECT_EQ(monitor.total(), times);
  }
  void sendAndEnd(AttemptResult result, Time at) {
    monitor.attemptSending(trace, kWorker, at, 1000);
    monitor.attemptEnded(trace, kWorker, result, at + 10);
  }

  double workerRate = 0;
  std::vector<std::string> lines;
  Monitor monitor;
  RequestTrace trace;
};

TEST_F(InvariantMonitor, AnOrdinaryRequestViolatesNothing) {
  monitor.attemptConnecting(trace, kWorker, 1);
  sendAndEnd(AttemptResult::overloaded, 2);
  sendAndEnd(AttemptResult::ok, 20);
  monitor.requestAnswered(trace, RequestState::answered, 40);
  monitor.requestReleased(trace, 41);
  monitor.checkNoneRemaining(0, "", 42);
  EXPECT_EQ(monitor.total(), 0u);
  EXPECT_TRUE(lines.empty());
}

TEST_F(InvariantMonitor, ARequestHasOneFinalAnswer) {
  monitor.requestAnswered(trace, RequestState::rejected, 100);
  monitor.requestAnswered(trace, RequestState::failed, 200);
  expectOnly(Invariant::requestAnsweredTwice);
}

TEST_F(InvariantMonitor, ALateAnswerCountsAsMissing) {
  monitor.requestAnswered(trace, RequestState::failed, 5000 + Monitor::kAnswerToleranceMs + 1);
  expectOnly(Invariant::requestUnanswered);
}

TEST_F(InvariantMonitor, AReleasedRequestIsAnsweredOrItsClientHasClosed) {
  monitor.requestReleased(trace, 10);
  expectOnly(Invariant::requestUnanswered);
  RequestTrace closed;
  monitor.clientClosed(closed, 1);
  monitor.requestReleased(closed, 2);
  expectOnly(Invariant::requestUnanswered);
}

TEST_F(InvariantMonitor, NothingIsSentAfterTheClientHasClosed) {
  monitor.clientClosed(trace, 1);
  monitor.attemptSending(trace, kWorker, 2, 100);
  expectOnly(Invariant::attemptAfterClientLeft);
}

TEST_F(InvariantMonitor, NothingIsSentAfterTheAnswer) {
  monitor.requestAnswered(trace, RequestState::failed, 1);
  monitor.attemptSending(trace, kWorker, 2, 100);
  expectOnly(Invariant::attemptAfterAnswer);
}

TEST_F(InvariantMonitor, AttemptsStayWithinTheMaximum) {
  sendAndEnd(AttemptResult::overloaded, 1);
  sendAndEnd(AttemptResult::overloaded, 20);
  sendAndEnd(AttemptResult::overloaded, 40);
  expectOnly(Invariant::attemptsPastCap);
}

TEST_F(InvariantMonitor, NothingIsSentAfterTheDeadline) {
  monitor.attemptSending(trace, kWorker, 5001, 1);
  expectOnly(Invariant::attemptPastDeadline);
}

TEST_F(InvariantMonitor, TheTimeoutSentToAWorkerIsTheClientsRemainingTime) {
  monitor.attemptSending(trace, kWorker, 1000, 4000 + Monitor::kDeadlineToleranceMs);
  EXPECT_EQ(monitor.total(), 0u);
  monitor.attemptEnded(trace, kWorker, AttemptResult::overloaded, 1001);
  monitor.attemptSending(trace, kWorker, 1100, 4000 + Monitor::kDeadlineToleranceMs);
  expectOnly(Invariant::deadlineTooLong);
}

TEST_F(InvariantMonitor, NothingIsSentToADrainingWorkerAfterTheGracePeriod) {
  monitor.workerRetired(kWorker, WorkerPhase::draining, 0);
  sendAndEnd(AttemptResult::overloaded, 1000);
  EXPECT_EQ(monitor.total(), 0u);
  monitor.workerRetired(kWorker, WorkerPhase::draining, 900);  // repeated: only the first call counts
  sendAndEnd(AttemptResult::overloaded, 1100);
  expectOnly(Invariant::sentToDraining);
}

TEST_F(InvariantMonitor, NothingIsSentToARemovedWorkerAfterTheGracePeriod) {
  monitor.workerRetired(kWorker, WorkerPhase::removed, 0);
  sendAndEnd(AttemptResult::overloaded, 1001);
  expectOnly(Invariant::sentToGone);
}

TEST_F(InvariantMonitor, NothingIsSentToAnExcludedWorkerUntilItIsIncluded) {
  monitor.workerExcluded(kWorker, 10);
  monitor.workerReady(kWorker, 0);  // an endpoint list does not end an exclusion
  sendAndEnd(AttemptResult::overloaded, 11);
  expectOnly(Invariant::sentToExcluded);
  monitor.workerIncluded(kWorker);
  sendAndEnd(AttemptResult::overloaded, 12);
  expectOnly(Invariant::sentToExcluded);
}

TEST_F(InvariantMonitor, AWorkerInSlowStartIsSentNoMoreThanTheFleetMaySend) {
  workerRate = 0.01;  // ten requests per second: 2 x 0.2 x 10 calls, plus the tolerance
  monitor.workerReady(kWorker, 100);
  trace.maxAttempts = 1000;
  trace.deadline = 60000;
  const double calls = 4;
  const double maxCalls = calls + 3 * 2 + 3;
  for (int i = 0; i < static_cast<int>(maxCalls); ++i) sendAndEnd(AttemptResult::overloaded, 110 + i);
  EXPECT_EQ(monitor.total(), 0u);
  sendAndEnd(AttemptResult::overloaded, 130);
  expectOnly(Invariant::slowStartExceeded);
  for (int i = 0; i < 20; ++i)
    sendAndEnd(AttemptResult::overloaded, 2000 + 200 * i);  // spread over four windows
  expectOnly(Invariant::slowStartExceeded);
}

TEST_F(InvariantMonitor, ARequestThatMayHaveRunIsNotSentAgain) {
  sendAndEnd(AttemptResult::reset, 1);
  sendAndEnd(AttemptResult::ok, 20);
  expectOnly(Invariant::unsafeRequestResent);
}

TEST_F(InvariantMonitor, ARequestWithAKeyIsSentAgainOnlyWithinItsDeduplicationWindow) {
  trace.idempotency = Idempotency::withKey;
  trace.idempotencyWindowMs = 100;
  trace.maxAttempts = 9;
  sendAndEnd(AttemptResult::timeout, 1);
  sendAndEnd(AttemptResult::timeout, 101);
  EXPECT_EQ(monitor.total(), 0u);
  sendAndEnd(AttemptResult::timeout, 102);
  expectOnly(Invariant::unsafeRequestResent);
}

TEST_F(InvariantMonitor, ARequestThatIsNotIdempotentHasOneAttemptInFlight) {
  monitor.attemptSending(trace, kWorker, 1, 100);
  monitor.attemptSending(trace, kOther, 2, 100);
  expectOnly(Invariant::concurrentAttempts);
}

TEST_F(InvariantMonitor, UnansweredConnectionsAndRemainingRequestsAreCounted) {
  monitor.connectionClosedUnanswered("idle", 1);
  EXPECT_EQ(monitor.count(Invariant::connectionClosedUnanswered), 1u);
  monitor.checkNoneRemaining(2, "2 requests", 2);
  EXPECT_EQ(monitor.count(Invariant::accountsNotZero), 1u);
  EXPECT_EQ(monitor.total(), 2u);
}

// Further violations of the same invariant are counted, but not logged within the log interval.
TEST_F(InvariantMonitor, AViolationIsLoggedOnceWithTheRequestsStates) {
  monitor.workerExcluded(kWorker, 0);
  sendAndEnd(AttemptResult::reset, 10);
  ASSERT_EQ(lines.size(), 1u);
  EXPECT_NE(lines[0].find("sent_to_excluded"), std::string::npos) << lines[0];
  EXPECT_NE(lines[0].find("request=00000000000000a1"), std::string::npos) << lines[0];
  EXPECT_NE(lines[0].find("taken@-10.0,sent@0.0/0000000000000007"), std::string::npos) << lines[0];
  RequestTrace next;
  next.deadline = 5000;
  monitor.attemptSending(next, kWorker, 20, 100);
  EXPECT_EQ(lines.size(), 1u);
  EXPECT_EQ(monitor.count(Invariant::sentToExcluded), 2u);
  EXPECT_NE(monitor.telemetry().find("svc.invariant.sent_to_excluded:2|c\n"), std::string::npos);
}

TEST_F(InvariantMonitor, ATraceStoresOnlyTheLastStates) {
  for (int i = 0; i < 40; ++i) monitor.attemptConnecting(trace, kWorker, i);
  const std::string text = trace.text(40);
  EXPECT_EQ(std::count(text.begin(), text.end(), '@'), static_cast<long>(RequestTrace::kMaxSteps));
}

// Guards against a log that does not tell whether the response of a timed out attempt had begun.
TEST_F(InvariantMonitor, ATraceTellsThatAResponseHadBegun) {
  monitor.attemptSending(trace, kWorker, 10, 1000);
  monitor.responseBegun(trace, 30);
  monitor.attemptEnded(trace, kWorker, AttemptResult::timeout, 400);
  EXPECT_NE(trace.text(400).find("answer_begun@-370.0,ended_timeout@0.0"), std::string::npos)
      << trace.text(400);
  EXPECT_EQ(monitor.total(), 0u);
}

// Of a long response the first bytes are due at the deadline, of a short one the last.
TEST(LongResponses, TheStartOfALongStreamedResponseAndTheEndOfAShortOneAreDue) {
  Monitor monitor([](const std::string&) {}, [] { return 0.0; });
  const auto answer = [&](Time startedAt, Time endedAt, std::size_t bytes) {
    RequestTrace trace;
    trace.deadline = 1000;
    monitor.requestReceived(trace, 0);
    monitor.responseStreaming(trace, startedAt);
    trace.streamedBytes = bytes;
    monitor.requestAnswered(trace, RequestState::answered, endedAt);
    return monitor.count(Invariant::requestUnanswered);
  };
  EXPECT_EQ(answer(900, 9000, Monitor::kMaxTimedResponseBytes + 1), 0u);
  EXPECT_EQ(answer(900, 1400, Monitor::kMaxTimedResponseBytes), 0u);
  EXPECT_EQ(answer(900, 1600, Monitor::kMaxTimedResponseBytes), 1u);
  EXPECT_EQ(answer(1600, 9000, Monitor::kMaxTimedResponseBytes + 1), 2u);
}

}  // namespace
}  // namespace wingslip::invariant
