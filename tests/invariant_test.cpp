// The monitor of invariants alone: each is counted when it is broken, and not when it holds.
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

class Monitored : public ::testing::Test {
 protected:
  Monitored()
      : monitor([this](const std::string& line) { lines.push_back(line); }, [this] { return warmRate; }) {
    monitor.rules({1000, 2, 0.2, 1000, 10000});
    trace.name = "00000000000000a1";
    trace.deadline = 5000;
    trace.repeat = Idempotency::notIdempotent;
    trace.cap = 2;
    monitor.workerReady(kWorker, 0);
    monitor.workerReady(kOther, 0);
    monitor.taken(trace, 0);
  }
  // Nothing but this one, so often.
  void expect(Invariant invariant, std::uint64_t times = 1) {
    EXPECT_EQ(monitor.count(invariant), times) << nameOf(invariant);
    EXPECT_EQ(monitor.total(), times);
  }
  void sendAndEnd(AttemptResult result, Time at) {
    monitor.sending(trace, kWorker, at, 1000);
    monitor.ended(trace, kWorker, result, at + 10);
  }

  double warmRate = 0;
  std::vector<std::string> lines;
  Monitor monitor;
  RequestTrace trace;
};

TEST_F(Monitored, AnOrdinaryRequestBreaksNone) {
  monitor.connecting(trace, kWorker, 1);
  sendAndEnd(AttemptResult::overloaded, 2);
  sendAndEnd(AttemptResult::ok, 20);
  monitor.answered(trace, RequestState::answered, 40);
  monitor.forgotten(trace, 41);
  monitor.accounts(0, "", 42);
  EXPECT_EQ(monitor.total(), 0u);
  EXPECT_TRUE(lines.empty());
}

TEST_F(Monitored, ARequestHasOneAnswerInTime) {
  monitor.answered(trace, RequestState::refused, 100);
  monitor.answered(trace, RequestState::failed, 200);
  expect(Invariant::request_answered_twice);
}

TEST_F(Monitored, ALateAnswerIsNone) {
  monitor.answered(trace, RequestState::failed, 5000 + Monitor::kAnswerSlack + 1);
  expect(Invariant::request_unanswered);
}

TEST_F(Monitored, ARequestThatIsLetGoOfHasAnAnswerOrNoClient) {
  monitor.forgotten(trace, 10);
  expect(Invariant::request_unanswered);
  RequestTrace left;
  monitor.clientLeft(left, 1);
  monitor.forgotten(left, 2);
  expect(Invariant::request_unanswered);
}

TEST_F(Monitored, NothingIsSentForAClientThatHasGone) {
  monitor.clientLeft(trace, 1);
  monitor.sending(trace, kWorker, 2, 100);
  expect(Invariant::attempt_after_client_left);
}

TEST_F(Monitored, NothingIsSentAfterTheAnswer) {
  monitor.answered(trace, RequestState::failed, 1);
  monitor.sending(trace, kWorker, 2, 100);
  expect(Invariant::attempt_after_answer);
}

TEST_F(Monitored, AttemptsKeepToTheCap) {
  sendAndEnd(AttemptResult::overloaded, 1);
  sendAndEnd(AttemptResult::overloaded, 20);
  sendAndEnd(AttemptResult::overloaded, 40);
  expect(Invariant::attempts_past_cap);
}

TEST_F(Monitored, NoAttemptBeginsPastTheDeadline) {
  monitor.sending(trace, kWorker, 5001, 1);
  expect(Invariant::attempt_past_deadline);
}

TEST_F(Monitored, TheDeadlinePassedOnIsWhatIsLeft) {
  monitor.sending(trace, kWorker, 1000, 4000 + Monitor::kDeadlineSlack);
  EXPECT_EQ(monitor.total(), 0u);
  monitor.ended(trace, kWorker, AttemptResult::overloaded, 1001);
  monitor.sending(trace, kWorker, 1100, 4000 + Monitor::kDeadlineSlack);
  expect(Invariant::deadline_too_long);
}

TEST_F(Monitored, ADrainingWorkerGetsNothingAfterTheGrace) {
  monitor.workerLeaves(kWorker, WorkerPhase::draining, 0);
  sendAndEnd(AttemptResult::overloaded, 1000);
  EXPECT_EQ(monitor.total(), 0u);
  monitor.workerLeaves(kWorker, WorkerPhase::draining, 900);  // told again: the first time counts
  sendAndEnd(AttemptResult::overloaded, 1100);
  expect(Invariant::sent_to_draining);
}

TEST_F(Monitored, AGoneWorkerGetsNothingAfterTheGrace) {
  monitor.workerLeaves(kWorker, WorkerPhase::removed, 0);
  sendAndEnd(AttemptResult::overloaded, 1001);
  expect(Invariant::sent_to_gone);
}

TEST_F(Monitored, AnExcludedWorkerGetsNothingUntilItIsIncluded) {
  monitor.workerExcluded(kWorker, 10);
  monitor.workerReady(kWorker, 0);  // whatever a list says
  sendAndEnd(AttemptResult::overloaded, 11);
  expect(Invariant::sent_to_excluded);
  monitor.workerIncluded(kWorker);
  sendAndEnd(AttemptResult::overloaded, 12);
  expect(Invariant::sent_to_excluded);
}

TEST_F(Monitored, AWorkerInSlowStartKeepsItsBudget) {
  warmRate = 0.01;  // a warm worker answers ten requests a second: 2 x 0.2 x 10 calls, and scatter
  monitor.workerReady(kWorker, 100);
  trace.cap = 1000;
  trace.deadline = 60000;
  const double calls = 4, most = calls + 3 * 2 + 3;
  for (int i = 0; i < static_cast<int>(most); ++i) sendAndEnd(AttemptResult::overloaded, 110 + i);
  EXPECT_EQ(monitor.total(), 0u);
  sendAndEnd(AttemptResult::overloaded, 130);
  expect(Invariant::slow_start_exceeded);
  for (int i = 0; i < 20; ++i)
    sendAndEnd(AttemptResult::overloaded, 2000 + 200 * i);  // spread over four spans
  expect(Invariant::slow_start_exceeded);
}

TEST_F(Monitored, WhatMayHaveRunIsNotSentAgain) {
  sendAndEnd(AttemptResult::reset, 1);
  sendAndEnd(AttemptResult::ok, 20);
  expect(Invariant::unsafe_request_resent);
}

TEST_F(Monitored, AKeyedRequestIsSentAgainWithinItsWindowAlone) {
  trace.repeat = Idempotency::withKey;
  trace.window = 100;
  trace.cap = 9;
  sendAndEnd(AttemptResult::timeout, 1);
  sendAndEnd(AttemptResult::timeout, 101);
  EXPECT_EQ(monitor.total(), 0u);
  sendAndEnd(AttemptResult::timeout, 102);
  expect(Invariant::unsafe_request_resent);
}

TEST_F(Monitored, AnUnsafeRequestHasOneAttemptOut) {
  monitor.sending(trace, kWorker, 1, 100);
  monitor.sending(trace, kOther, 2, 100);
  expect(Invariant::concurrent_attempts);
}

TEST_F(Monitored, ConnectionsAndAccounts) {
  monitor.closedUnanswered("idle", 1);
  EXPECT_EQ(monitor.count(Invariant::connection_closed_unanswered), 1u);
  monitor.accounts(2, "2 requests", 2);
  EXPECT_EQ(monitor.count(Invariant::accounts_not_zero), 1u);
  EXPECT_EQ(monitor.total(), 2u);
}

// The line has the request's id and its last states; more of one kind are counted and not said at once.
TEST_F(Monitored, AViolationIsLoggedOnceWithTheRequestsStates) {
  monitor.workerExcluded(kWorker, 0);
  sendAndEnd(AttemptResult::reset, 10);
  ASSERT_EQ(lines.size(), 1u);
  EXPECT_NE(lines[0].find("sent_to_excluded"), std::string::npos) << lines[0];
  EXPECT_NE(lines[0].find("request=00000000000000a1"), std::string::npos) << lines[0];
  EXPECT_NE(lines[0].find("taken@-10.0,sent@0.0/0000000000000007"), std::string::npos) << lines[0];
  RequestTrace next;
  next.deadline = 5000;
  monitor.sending(next, kWorker, 20, 100);
  EXPECT_EQ(lines.size(), 1u);
  EXPECT_EQ(monitor.count(Invariant::sent_to_excluded), 2u);
  EXPECT_NE(monitor.telemetry().find("svc.invariant.sent_to_excluded:2|c\n"), std::string::npos);
}

TEST_F(Monitored, ATraceKeepsItsLastStatesAlone) {
  for (int i = 0; i < 40; ++i) monitor.connecting(trace, kWorker, i);
  const std::string text = trace.text(40);
  EXPECT_EQ(std::count(text.begin(), text.end(), '@'), static_cast<long>(RequestTrace::kSteps));
}

}  // namespace
}  // namespace wingslip::invariant
