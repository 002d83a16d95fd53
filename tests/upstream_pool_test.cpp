/// Unit tests of the upstream pool: attempts and their results, idle connections and limits.
#include "growth.hpp"
#include "upstream_pool_fixture.hpp"

namespace wingslip::test {
namespace {

using decision::AttemptResult;
using namespace std::chrono_literals;

class UpstreamPoolTest : public UpstreamPoolFixture {};

TEST_F(UpstreamPoolTest, ReportsLoadAndQuotaUseOfAResponse) {
  createPool({});
  startAttempt(1);
  waitForRequests(1);
  worker.peers[0]->send(
      httpResponse("200 OK", "body", "Srv-Load: inflight=7,queue=2,util=0.61\r\nX-RateLimit-Used: 85\r\n"));
  waitForEnds(1);
  EXPECT_EQ(attemptEnds[0].outcome.result, AttemptResult::ok);
  EXPECT_EQ(attemptEnds[0].outcome.loadReport, (std::vector<double>{0.61, 2}));
  EXPECT_EQ(attemptEnds[0].outcome.quotaUsePercent, 85);
  EXPECT_EQ(attemptEnds[0].body, "body");
}

TEST_F(UpstreamPoolTest, ReportsTheActualUnitsOfAResponse) {
  createPool({});
  const std::pair<const char*, double> cases[] = {
      {"X-Cost-Units: 3\r\n", 3},  {"X-Cost-Units: 2.5\r\n", 2.5}, {"X-Cost-Units: many\r\n", 0},
      {"X-Cost-Units: -1\r\n", 0}, {"X-Cost-Units: inf\r\n", 0},   {"", 0}};
  for (const auto& [header, units] : cases) {
    attemptEnds.clear();
    startAttempt(1);
    waitForRequests(worker.count("\r\n\r\n") + 1);
    worker.peers[0]->send(httpResponse("200 OK", "", header));
    waitForEnds(1);
    EXPECT_EQ(attemptEnds[0].outcome.actualUnits, units) << header;
  }
}

TEST_F(UpstreamPoolTest, DiscardsALoadReportWithAMissingOrMalformedField) {
  createPool({});
  for (const char* load : {"Srv-Load: queue=2\r\n", "Srv-Load: queue=2,util=high\r\n", ""}) {
    attemptEnds.clear();
    startAttempt(1);
    waitForRequests(worker.count("\r\n\r\n") + 1);
    worker.peers[0]->send(httpResponse("200 OK", "", load));
    waitForEnds(1);
    EXPECT_TRUE(attemptEnds[0].outcome.loadReport.empty()) << load;
    EXPECT_EQ(attemptEnds[0].outcome.quotaUsePercent, -1);
  }
}

TEST_F(UpstreamPoolTest, AnAttemptTimeoutIsReportedOnceAndClosesTheConnection) {
  createPool({});
  startAttempt(1, 50ms);
  waitForEnds(1);
  EXPECT_EQ(attemptEnds[0].outcome.result, AttemptResult::timeout);
  waitUntil([&] { return worker.peers.size() == 1 && worker.peers[0]->closedByPeer; },
            "the connection is closed");
  EXPECT_EQ(pool->connections(), 0u);
  EXPECT_FALSE(pool->cancelAttempt(1, AttemptResult::timeout));
}

TEST_F(UpstreamPoolTest, AnIncompleteResponseEndsTheAttemptAsAReset) {
  createPool({});
  startAttempt(1);
  waitForRequests(1);
  worker.peers[0]->send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
  worker.peers[0]->close();
  waitForEnds(1);
  EXPECT_EQ(attemptEnds[0].outcome.result, AttemptResult::reset);
}

// The header alone must end the attempt, even if the first bytes of the body arrive in the same read.
TEST_F(UpstreamPoolTest, AResponseBeyondTheBodyLimitIsRejectedAtItsHeader) {
  createPool({});
  startAttempt(1);
  waitForRequests(1);
  worker.peers[0]->send("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + std::string(500, 'x'));
  waitForEnds(1);
  EXPECT_EQ(attemptEnds[0].outcome.result, AttemptResult::error);
  EXPECT_EQ(pool->connections(), 0u);
}

// A chunk extension or a trailer, which the limits on body and header do not cover, must not grow without
// bound.
TEST_F(UpstreamPoolTest, AnUnboundedChunkExtensionOrTrailerIsAnError) {
  for (const char* prefix : {"5;", "0\r\nX: "}) {
    attemptEnds.clear();
    createPool({});
    startAttempt(1);
    const auto connectionsBefore = worker.peers.size();
    waitUntil([&] { return worker.peers.size() > connectionsBefore && worker.peers.back()->has("\r\n\r\n"); },
              "a request");
    worker.peers.back()->send(std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n") + prefix);
    for (int i = 0; i < 20; ++i) worker.peers.back()->send(std::string(1000, 'x'));
    waitForEnds(1);
    EXPECT_EQ(attemptEnds[0].outcome.result, AttemptResult::error);
    EXPECT_EQ(pool->connections(), 0u);
  }
}

// The request must not be sent to a removed worker when its connection is established after the removal.
TEST_F(UpstreamPoolTest, AnAttemptStillConnectingEndsWhenItsWorkerIsRemoved) {
  createPool({});
  startAttempt(1);
  pool->retireWorker(1);
  waitForEnds(1);
  EXPECT_EQ(attemptEnds[0].outcome.result, AttemptResult::connectFailed);
  EXPECT_EQ(pool->connections(), 0u);
  EXPECT_EQ(worker.count("Req-Id"), 0u);
  pool->setWorkerAddress(1, {worker.address()});
  startAttempt(2);
  waitForRequests(1);
  pool->retireWorker(1);  // the request has been sent: its attempt continues
  worker.peers.back()->send(httpResponse("200 OK", "done"));
  waitForEnds(2);
  EXPECT_EQ(attemptEnds[1].outcome.result, AttemptResult::ok);
}

TEST_F(UpstreamPoolTest, AnAttemptAtARemovedWorkerFailsAsynchronously) {
  createPool({});
  pool->retireWorker(1);
  startAttempt(1);
  EXPECT_TRUE(attemptEnds.empty());
  waitForEnds(1);
  EXPECT_EQ(attemptEnds[0].outcome.result, AttemptResult::connectFailed);
}

// The pool must close an idle connection before the worker does, because a request written after the worker's
// close would be lost.
TEST_F(UpstreamPoolTest, AnIdleConnectionIsClosedAtItsIdleTimeout) {
  UpstreamPool::Limits limits;
  limits.idleTimeout = 50ms;
  createPool(limits);
  startAttempt(1);
  waitForRequests(1);
  worker.peers[0]->send(httpResponse("200 OK", ""));
  waitForEnds(1);
  EXPECT_EQ(pool->connections(), 1u);
  waitUntil([&] { return worker.peers[0]->closedByPeer; }, "the connection is closed");
  EXPECT_EQ(pool->connections(), 0u);
}

TEST_F(UpstreamPoolTest, AWorkerRestartResetsItsAttempt) {
  createPool({});
  startAttempt(1);
  waitForRequests(1);
  // The new process started after this connection was opened.
  pool->setWorkerAddress(1, {worker.address(), std::chrono::steady_clock::now() + 1h});
  EXPECT_TRUE(attemptEnds.empty());
  waitForEnds(1);
  EXPECT_EQ(attemptEnds[0].outcome.result, AttemptResult::reset);
  EXPECT_EQ(pool->connections(), 0u);
}

// The least recently used connection is selected among those of all workers, independently of the order of
// the workers in the worker table.
TEST_F(UpstreamPoolTest, AtTheLimitTheLeastRecentlyUsedIdleConnectionIsClosed) {
  UpstreamPool::Limits limits;
  limits.maxConnections = 8;
  createPool(limits);
  std::vector<std::unique_ptr<Listener>> others;
  for (decision::WorkerId id = 10; id < 18; ++id) {
    others.push_back(std::make_unique<Listener>(io));
    pool->setWorkerAddress(id, {others.back()->address()});
    pool->startAttempt(static_cast<decision::RequestId>(id), 0, id, bufferedRequest("GET / HTTP/1.1\r\n\r\n"),
                       {});
    waitUntil([&] { return others.back()->count("\r\n\r\n") == 1; }, "a request");
    others.back()->peers[0]->send(httpResponse("200 OK", ""));
    waitForEnds(others.size());
  }
  EXPECT_EQ(pool->connections(), 8u);
  for (std::size_t round = 0; round < 3; ++round) {
    startAttempt(static_cast<decision::RequestId>(100 + round));
    waitUntil([&] { return others[round]->peers[0]->closedByPeer; }, "the oldest connection is closed");
    for (std::size_t i = round + 1; i < others.size(); ++i)
      EXPECT_FALSE(others[i]->peers[0]->closedByPeer) << i;
  }
  EXPECT_EQ(pool->connections(), 8u);
  EXPECT_EQ(pool->localResourceShortages(), 0u);
}

// With no idle connection to evict, the cost of a rejected attempt must not depend on the number of workers.
TEST_F(UpstreamPoolTest, AnAttemptAtTheLimitDoesNotScanAllWorkers) {
  UpstreamPool::Limits limits;
  limits.maxConnections = 0;
  const double factor = growth::growthFactor(500, [&](std::size_t n) {
    createPool(limits);
    for (std::size_t i = 0; i < n; ++i) pool->setWorkerAddress(1000 + i, {worker.address()});
    const double before = growth::threadCpuTimeMs();
    for (std::size_t i = 0; i < n; ++i) startAttempt(static_cast<decision::RequestId>(i + 1));
    return growth::threadCpuTimeMs() - before;
  });
  EXPECT_LT(factor, growth::kMaxFactor);
}

// A worker's restart must not affect the attempts in flight at other workers.
TEST_F(UpstreamPoolTest, AWorkerRestartEndsOnlyTheAttemptsAtThatWorker) {
  Listener other{io};
  createPool({});
  pool->setWorkerAddress(2, {other.address()});
  startAttempt(1);
  pool->startAttempt(2, 0, 2, bufferedRequest("GET / HTTP/1.1\r\n\r\n"), {});
  waitForRequests(1);
  waitUntil([&] { return other.count("\r\n\r\n") == 1; }, "a request at the other worker");
  pool->setWorkerAddress(1, {worker.address(), std::chrono::steady_clock::now() + 1h});
  waitForEnds(1);
  EXPECT_EQ(attemptEnds[0].outcome.id, 1u);
  EXPECT_EQ(attemptEnds[0].outcome.result, AttemptResult::reset);
  other.peers[0]->send(httpResponse("200 OK", ""));
  waitForEnds(2);
  EXPECT_EQ(attemptEnds[1].outcome.result, AttemptResult::ok);
  EXPECT_EQ(pool->connections(), 1u);
}

// Guards against late news of a restart that cuts off a response of the restarted worker itself. The start
// may be told as later than it was, so that the connection counts as older.
TEST_F(UpstreamPoolTest, LateNewsOfARestartDoesNotEndAResponseThatIsArriving) {
  createPool({});
  pool->setStreamHandlers({[](decision::RequestId, const std::string&, std::optional<std::uint64_t>) {},
                           [this](decision::RequestId id, std::string&&) {
                             asio::post(io, [this, id] { pool->resumeResponse(id); });
                           }});
  startAttempt(1);
  startAttempt(2);  // on a second connection, without a byte of its response
  waitForRequests(2);
  const auto told = std::chrono::steady_clock::now();
  worker.peers[0]->send("HTTP/1.1 200 OK\r\nContent-Length: 80000\r\n\r\n" + std::string(40000, 'x'));
  io.restart();
  io.run_for(100ms);
  pool->setWorkerAddress(1, {worker.address(), told});
  waitForEnds(1);
  EXPECT_NE(attemptEnds[0].outcome.id, 1u);
  EXPECT_EQ(attemptEnds[0].outcome.result, AttemptResult::reset);
  worker.peers[0]->send(std::string(40000, 'x'));
  waitForEnds(2);
  EXPECT_EQ(attemptEnds[1].outcome.id, 1u);
  EXPECT_EQ(attemptEnds[1].outcome.result, AttemptResult::ok);
}

TEST_F(UpstreamPoolTest, OpensNoMoreConnectionsThanTheLimit) {
  UpstreamPool::Limits limits;
  limits.maxConnections = 1;
  createPool(limits);
  startAttempt(1);
  startAttempt(2);
  waitForEnds(1);
  EXPECT_EQ(attemptEnds[0].outcome.id, 2u);
  EXPECT_EQ(attemptEnds[0].outcome.result, AttemptResult::notSent);  // must not count against the worker
  EXPECT_EQ(pool->localResourceShortages(), 1u);
  Listener second(io);
  pool->setWorkerAddress(2, {second.address()});
  waitForRequests(1);
  worker.peers[0]->send(httpResponse("200 OK", ""));
  waitForEnds(2);
  pool->startAttempt(3, 0, 2, bufferedRequest("GET / HTTP/1.1\r\n\r\n"), {});  // evicts the idle connection
  waitUntil([&] { return second.count("\r\n\r\n") == 1; }, "a request at the other worker");
  EXPECT_EQ(pool->connections(), 1u);
}

}  // namespace
}  // namespace wingslip::test
