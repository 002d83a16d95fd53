/// The upstream pool alone: attempts, their results, idle connections and limits.
#include "growth.hpp"
#include "upstream_pool_fixture.hpp"

namespace wingslip::test {
namespace {

using decision::AttemptResult;
using namespace std::chrono_literals;

class Pool : public UpstreamPoolFixture {};

TEST_F(Pool, ReportsLoadAndQuotaUseOfAResponse) {
  open({});
  start(1);
  untilSeen(1);
  worker.peers[0]->send(
      reply("200 OK", "body", "Srv-Load: inflight=7,queue=2,util=0.61\r\nX-RateLimit-Used: 85\r\n"));
  untilEnds(1);
  EXPECT_EQ(ends[0].outcome.result, AttemptResult::ok);
  EXPECT_EQ(ends[0].outcome.loadReport, (std::vector<double>{0.61, 2}));
  EXPECT_EQ(ends[0].outcome.quotaUsePercent, 85);
  EXPECT_EQ(ends[0].body, "body");
}

TEST_F(Pool, ReportsTheActualUnitsOfAResponse) {
  open({});
  const std::pair<const char*, double> cases[] = {
      {"X-Cost-Units: 3\r\n", 3},  {"X-Cost-Units: 2.5\r\n", 2.5}, {"X-Cost-Units: many\r\n", 0},
      {"X-Cost-Units: -1\r\n", 0}, {"X-Cost-Units: inf\r\n", 0},   {"", 0}};
  for (const auto& [header, units] : cases) {
    ends.clear();
    start(1);
    untilSeen(worker.count("\r\n\r\n") + 1);
    worker.peers[0]->send(reply("200 OK", "", header));
    untilEnds(1);
    EXPECT_EQ(ends[0].outcome.actualUnits, units) << header;
  }
}

TEST_F(Pool, HasNoLoadReportWhereAFieldIsMissingOrMalformed) {
  open({});
  for (const char* load : {"Srv-Load: queue=2\r\n", "Srv-Load: queue=2,util=high\r\n", ""}) {
    ends.clear();
    start(1);
    untilSeen(worker.count("\r\n\r\n") + 1);
    worker.peers[0]->send(reply("200 OK", "", load));
    untilEnds(1);
    EXPECT_TRUE(ends[0].outcome.loadReport.empty()) << load;
    EXPECT_EQ(ends[0].outcome.quotaUsePercent, -1);
  }
}

TEST_F(Pool, AnAttemptTimeoutIsReportedOnceAndClosesTheConnection) {
  open({});
  start(1, 50ms);
  untilEnds(1);
  EXPECT_EQ(ends[0].outcome.result, AttemptResult::timeout);
  until([&] { return worker.peers.size() == 1 && worker.peers[0]->ended; }, "the connection ends");
  EXPECT_EQ(pool->connections(), 0u);
  EXPECT_FALSE(pool->cancelAttempt(1, AttemptResult::timeout));
}

TEST_F(Pool, AnIncompleteResponseIsAReset) {
  open({});
  start(1);
  untilSeen(1);
  worker.peers[0]->send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
  worker.peers[0]->end();
  untilEnds(1);
  EXPECT_EQ(ends[0].outcome.result, AttemptResult::reset);
}

// The size is refused with the header, also where the body's first bytes come in the same read.
TEST_F(Pool, AResponseBeyondTheBodyLimitIsAnErrorAtItsHeader) {
  open({});
  start(1);
  untilSeen(1);
  worker.peers[0]->send("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + std::string(500, 'x'));
  untilEnds(1);
  EXPECT_EQ(ends[0].outcome.result, AttemptResult::error);
  EXPECT_EQ(pool->connections(), 0u);
}

// What belongs to no body and no header is bounded too: a chunk's extension, and the trailer.
TEST_F(Pool, AnEndlessChunkExtensionOrTrailerIsAnError) {
  for (const char* prefix : {"5;", "0\r\nX: "}) {
    ends.clear();
    open({});
    start(1);
    const auto seen = worker.peers.size();
    until([&] { return worker.peers.size() > seen && worker.peers.back()->has("\r\n\r\n"); }, "a request");
    worker.peers.back()->send(std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n") + prefix);
    for (int i = 0; i < 20; ++i) worker.peers.back()->send(std::string(1000, 'x'));
    untilEnds(1);
    EXPECT_EQ(ends[0].outcome.result, AttemptResult::error);
    EXPECT_EQ(pool->connections(), 0u);
  }
}

// One that comes up late would otherwise be written to when nothing may go there any more.
TEST_F(Pool, AnAttemptStillConnectingEndsWhenItsWorkerIsRemoved) {
  open({});
  start(1);
  pool->retireWorker(1);
  untilEnds(1);
  EXPECT_EQ(ends[0].outcome.result, AttemptResult::connectFailed);
  EXPECT_EQ(pool->connections(), 0u);
  EXPECT_EQ(worker.count("Req-Id"), 0u);
  pool->setWorkerAddress(1, {worker.address()});
  start(2);
  untilSeen(1);
  pool->retireWorker(1);  // out already: it goes on
  worker.peers.back()->send(reply("200 OK", "done"));
  untilEnds(2);
  EXPECT_EQ(ends[1].outcome.result, AttemptResult::ok);
}

TEST_F(Pool, AnAttemptAtARemovedWorkerFailsAndIsReportedLater) {
  open({});
  pool->retireWorker(1);
  start(1);
  EXPECT_TRUE(ends.empty());
  untilEnds(1);
  EXPECT_EQ(ends[0].outcome.result, AttemptResult::connectFailed);
}

// Retired before the worker ends it: a request written to it from then on would be lost.
TEST_F(Pool, AnIdleConnectionIsClosedAtItsIdleTimeout) {
  UpstreamPool::Limits limits;
  limits.idleTimeout = 50ms;
  open(limits);
  start(1);
  untilSeen(1);
  worker.peers[0]->send(reply("200 OK", ""));
  untilEnds(1);
  EXPECT_EQ(pool->connections(), 1u);
  until([&] { return worker.peers[0]->ended; }, "the connection ends");
  EXPECT_EQ(pool->connections(), 0u);
}

TEST_F(Pool, ARestartOfTheWorkerResetsItsAttempt) {
  open({});
  start(1);
  untilSeen(1);
  pool->setWorkerAddress(1, {worker.address(), std::chrono::steady_clock::now() +
                                                   1h});  // started after this connection was opened
  EXPECT_TRUE(ends.empty());
  untilEnds(1);
  EXPECT_EQ(ends[0].outcome.result, AttemptResult::reset);
  EXPECT_EQ(pool->connections(), 0u);
}

// Whichever worker's it is, and whatever order the table has them in.
TEST_F(Pool, AtTheLimitTheLeastRecentlyUsedIdleConnectionIsClosed) {
  UpstreamPool::Limits limits;
  limits.maxConnections = 8;
  open(limits);
  std::vector<std::unique_ptr<Listener>> others;
  for (decision::WorkerId id = 10; id < 18; ++id) {
    others.push_back(std::make_unique<Listener>(io));
    pool->setWorkerAddress(id, {others.back()->address()});
    pool->startAttempt(static_cast<decision::RequestId>(id), 0, id, plain("GET / HTTP/1.1\r\n\r\n"), {});
    until([&] { return others.back()->count("\r\n\r\n") == 1; }, "a request");
    others.back()->peers[0]->send(reply("200 OK", ""));
    untilEnds(others.size());
  }
  EXPECT_EQ(pool->connections(), 8u);
  for (std::size_t round = 0; round < 3; ++round) {
    start(static_cast<decision::RequestId>(100 + round));
    until([&] { return others[round]->peers[0]->ended; }, "the end of the oldest");
    for (std::size_t i = round + 1; i < others.size(); ++i) EXPECT_FALSE(others[i]->peers[0]->ended) << i;
  }
  EXPECT_EQ(pool->connections(), 8u);
  EXPECT_EQ(pool->localShortages(), 0u);
}

// Where none may stand idle there is nothing to look for, however many workers there are.
TEST_F(Pool, AnAttemptAtTheLimitDoesNotScanAllWorkers) {
  UpstreamPool::Limits limits;
  limits.maxConnections = 0;
  const double factor = growth::between(500, [&](std::size_t n) {
    open(limits);
    for (std::size_t i = 0; i < n; ++i) pool->setWorkerAddress(1000 + i, {worker.address()});
    const double before = growth::processorTime();
    for (std::size_t i = 0; i < n; ++i) start(static_cast<decision::RequestId>(i + 1));
    return growth::processorTime() - before;
  });
  EXPECT_LT(factor, growth::kMost);
}

// A restart of one worker ends what is out there, and nothing at the others.
TEST_F(Pool, ARestartEndsOnlyTheAttemptsAtItsWorker) {
  Listener other{io};
  open({});
  pool->setWorkerAddress(2, {other.address()});
  start(1);
  pool->startAttempt(2, 0, 2, plain("GET / HTTP/1.1\r\n\r\n"), {});
  untilSeen(1);
  until([&] { return other.count("\r\n\r\n") == 1; }, "a request at the other");
  pool->setWorkerAddress(1, {worker.address(), std::chrono::steady_clock::now() + 1h});
  untilEnds(1);
  EXPECT_EQ(ends[0].outcome.id, 1u);
  EXPECT_EQ(ends[0].outcome.result, AttemptResult::reset);
  other.peers[0]->send(reply("200 OK", ""));
  untilEnds(2);
  EXPECT_EQ(ends[1].outcome.result, AttemptResult::ok);
  EXPECT_EQ(pool->connections(), 1u);
}

TEST_F(Pool, OpensNoMoreConnectionsThanTheLimit) {
  UpstreamPool::Limits limits;
  limits.maxConnections = 1;
  open(limits);
  start(1);
  start(2);
  untilEnds(1);
  EXPECT_EQ(ends[0].outcome.id, 2u);
  EXPECT_EQ(ends[0].outcome.result, AttemptResult::notSent);  // no fault of the worker's
  EXPECT_EQ(pool->localShortages(), 1u);
  Listener second(io);
  pool->setWorkerAddress(2, {second.address()});
  untilSeen(1);
  worker.peers[0]->send(reply("200 OK", ""));
  untilEnds(2);
  pool->startAttempt(3, 0, 2, plain("GET / HTTP/1.1\r\n\r\n"), {});  // the idle one makes room
  until([&] { return second.count("\r\n\r\n") == 1; }, "a request at the other worker");
  EXPECT_EQ(pool->connections(), 1u);
}

}  // namespace
}  // namespace wingslip::test
