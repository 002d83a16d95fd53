// Requests and responses that stop before their end: what ends them, and within which time.
#include <algorithm>
#include <chrono>

#include "overload_fixture.hpp"
#include "upstream_pool_fixture.hpp"

namespace wingslip::test {
namespace {

using decision::AttemptResult;
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

constexpr auto kBadClientTimeout = 3s;  // from the connect to an error or a close

class IncompleteMessages : public OverloadFixture {
 protected:
  void SetUp() override {
    json config = configuration();
    config["limits"]["memory_mb"] = 64;
    startGatekeeper(config);
  }
  // A POST with a chunked body, whose chunk lines and trailer are part of `body`.
  std::string chunkedRequest(const std::string& body) {
    TestRequest request;
    request.requestClass = "edit";
    char id[17];
    std::snprintf(id, sizeof id, "%016x", nextId_++);
    lastId_ = request.id = id;
    request.extra = "Transfer-Encoding: chunked\r\n";
    std::string text = request.text();
    text.erase(text.find("Content-Length: 0\r\n"), 19);
    return text + body;
  }
  // The connection of the last request that `chunkedRequest` has made.
  PeerPtr lastWorkerConnection() { return workerConnection(lastId_); }
  static std::string longChunk() { return "13880\r\n" + std::string(80000, 'y') + "\r\n"; }
  // The beginning of a chunk line or a trailer, `bytes` bytes long and without an end.
  static std::string unfinishedChunkLine(std::size_t bytes) {
    return "3;note=" + std::string(bytes - 7, 'x');
  }
  static std::string unfinishedTrailer(std::size_t bytes) {
    return "0\r\nNote: " + std::string(bytes - 9, 'x');
  }
  static bool allAnswered(const std::vector<PeerPtr>& clients) {
    return std::all_of(clients.begin(), clients.end(), [](const PeerPtr& client) {
      return client->has("HTTP/1.1 ") || client->closedByPeer;
    });
  }

 private:
  unsigned nextId_ = 0xa100;  // each request has an id of its own
  std::string lastId_;
};

// Guards against peers that stop in the middle of a long chunk line or trailer and keep their connections for
// ever, until no other client gets one.
TEST_F(IncompleteMessages, APeerThatStopsInAChunkLineOrTrailerGetsAnErrorInTime) {
  std::vector<PeerPtr> peers;
  const auto connectedAt = Clock::now();
  for (const std::size_t bytes : {std::size_t{1000}, kMaxHeaderBytes - 1, kMaxHeaderBytes,
                                  kMaxHeaderBytes + 1, std::size_t{18000}, std::size_t{40000}}) {
    peers.push_back(sendRequest(chunkedRequest(unfinishedChunkLine(bytes))));
    peers.push_back(sendRequest(chunkedRequest("3\r\nbuy\r\n" + unfinishedTrailer(bytes))));
    peers.push_back(sendRequest(chunkedRequest(longChunk() + unfinishedChunkLine(bytes))));
    peers.push_back(sendRequest(chunkedRequest(longChunk() + unfinishedTrailer(bytes))));
  }
  waitUntil([&] { return allAnswered(peers); }, "an error or a close for every peer");
  EXPECT_LT(Clock::now() - connectedAt, kBadClientTimeout);
  for (const PeerPtr& peer : peers) EXPECT_TRUE(peer->has("HTTP/1.1 4")) << peer->received;
  waitUntil([&] { return gatekeeper->requestsInFlight() == 0; }, "the end of every request");
}

// Guards against a chunk line or trailer without an end that fills the memory after a streamed part of a
// body.
TEST_F(IncompleteMessages, AChunkLineOrTrailerBeyondTheLimitIsRejectedWhileItArrives) {
  std::vector<PeerPtr> peers;
  for (const std::string& beginning : {std::string("3\r\nbuy\r\n"), longChunk()})
    for (const std::string& end : {unfinishedChunkLine(40000), unfinishedTrailer(40000)})
      for (const std::string& rest : {std::string(), std::string("\r\nbuy\r\n0\r\n\r\n")})
        peers.push_back(sendRequest(chunkedRequest(beginning + end + rest)));
  waitUntil([&] { return allAnswered(peers); }, "a rejection of every request");
  for (const PeerPtr& peer : peers) EXPECT_TRUE(peer->has("HTTP/1.1 431")) << peer->received;
}

TEST_F(IncompleteMessages, ChunkExtensionsAndTrailersWithinTheLimitAreServed) {
  for (const std::string& beginning : {std::string(), longChunk()}) {
    const auto client = sendRequest(chunkedRequest(beginning));
    client->send(unfinishedChunkLine(12000) + "\r\nbuy\r\n" + unfinishedTrailer(12000) + "\r\n\r\n");
    const auto workerPeer = lastWorkerConnection();
    waitUntil([&] { return workerPeer->has("buy"); }, "the end of the body at the worker");
    workerPeer->send(httpResponse("200 OK", "taken"));
    waitUntil([&] { return client->has("taken"); }, "the response");
    workerPeer->received.clear();
  }
}

// Guards against a reset that cuts off the response to a request whose remaining body is turned down.
TEST_F(IncompleteMessages, AStartedResponseIsCompletedThoughTheRestOfItsRequestIsRejected) {
  const auto client = sendRequest(chunkedRequest(longChunk()));
  const auto workerPeer = lastWorkerConnection();
  workerPeer->send("HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n" + std::string(100000, 'z'));
  waitUntil([&] { return client->count("z") > 0; }, "the beginning of the response");
  client->send(unfinishedChunkLine(40000));
  runFor(50ms);
  workerPeer->sendBytes(300000, 'z');
  waitUntil([&] { return client->closedByPeer; }, "the close");
  EXPECT_EQ(client->count("z"), 400000u);
}

// Guards against a long body that waits for memory without a limit of time: neither its client nor its worker
// has one then, and the request's deadline begins with its last byte.
TEST_F(IncompleteMessages, AStreamedBodyWithoutMemoryIsRejectedInTime) {
  const auto firstClient = sendSmallRequest("00000000000000a1");  // its response shows that attempts are made
  workerConnection("00000000000000a1")->send(httpResponse("200 OK", "served"));
  waitUntil([&] { return firstClient->has("served"); }, "the response to a small request");
  fillMemory(14 * 1024, true);
  const auto client = sendRequest(longRequestHeader(200000));
  client->sendBytes(200000);
  waitUntil([&] { return waiting(WaitQueue::pausedRead) == 1; }, "a paused read");
  const auto pausedAt = Clock::now();
  const auto workerPeer = workerConnection("00000000000000b1");
  waitUntil([&] { return client->has("\r\n\r\n"); }, "a response");
  EXPECT_LT(Clock::now() - pausedAt, kBadClientTimeout);
  EXPECT_TRUE(client->has("HTTP/1.1 503") && client->has("Retry-After: ")) << client->received;
  EXPECT_EQ(rejections(WaitQueue::pausedRead), 1u);
  const std::string metrics = operatorCall("telemetry");
  EXPECT_NE(metrics.find("svc.busy.edit:1|c\n"), std::string::npos);
  EXPECT_NE(metrics.find("svc.failure.edit:0|c\n"), std::string::npos);
  waitUntil([&] { return workerPeer->closedByPeer; }, "the end of the attempt");
  EXPECT_EQ(gatekeeper->requestsInFlight(), 0u);
}

TEST_F(IncompleteMessages, AStreamedBodyContinuesWhenMemoryIsFreed) {
  fillMemory(14 * 1024, true);
  const auto client = sendRequest(longRequestHeader(200000));
  client->sendBytes(200000);
  waitUntil([&] { return waiting(WaitQueue::pausedRead) == 1; }, "a paused read");
  otherClientsCharge.release();
  const auto workerPeer = workerConnection("00000000000000b1");
  waitUntil([&] { return workerPeer->count("x") >= 200000; }, "the complete body at the worker");
  workerPeer->send(httpResponse("200 OK", "taken"));
  waitUntil([&] { return client->has("taken"); }, "the response");
}

class IncompleteResponses : public UpstreamPoolFixture {
 protected:
  // Creates the pool with a short stall timeout. The pieces of streamed responses are counted.
  void SetUp() override {
    UpstreamPool::Limits limits;
    limits.streamStallTimeout = 100ms;
    createPool(limits);
    pool->setStreamHandlers({[](decision::RequestId, const std::string&, std::optional<std::uint64_t>) {},
                             [this](decision::RequestId, std::string&& piece) {
                               ++pieces;
                               receivedBytes += piece.size();
                             }});
  }
  // A request whose body is streamed; `requestPiece` is set each time the attempt needs the next piece.
  AttemptRequest streamedRequest() {
    AttemptRequest request = bufferedRequest("POST / HTTP/1.1\r\nContent-Length: 33000000\r\n\r\n");
    request.readBody = [this](AttemptRequest::BodyPieceHandler onPiece) { sendPiece = std::move(onPiece); };
    return request;
  }
  // Resumes the response after each piece, as a client that reads does. Returns whether it has begun.
  bool takePieces() {
    for (; takenPieces < pieces; ++takenPieces) pool->resumeResponse(1);
    return takenPieces > 0;
  }
  std::size_t pieces = 0, takenPieces = 0, receivedBytes = 0;
  AttemptRequest::BodyPieceHandler sendPiece;
};

// Guards against a streamed response that waits for memory without a limit of time; the request's deadline
// ends when its response starts.
TEST_F(IncompleteResponses, AStreamedResponseWithoutMemoryEndsAtTheStallTimeout) {
  startAttempt(1);
  waitForRequests(1);
  worker.peers[0]->send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n13880\r\n" +
                        std::string(80000, 'x') + "\r\n5;note=" + std::string(15000, 'x'));
  auto others = overloadManager.memory().open(Account::workers);
  while (attemptEnds.empty() && overloadManager.waitQueues().waiting(WaitQueue::pausedRead) == 0) {
    const std::size_t piecesBefore = pieces;
    waitUntil([&] { return pieces > piecesBefore || !attemptEnds.empty(); }, "the next piece");
    ASSERT_TRUE(others.resize(others.bytes() + overloadManager.memory().available(Account::workers)));
    pool->resumeResponse(1);
  }
  ASSERT_EQ(overloadManager.waitQueues().waiting(WaitQueue::pausedRead), 1u);
  waitForEnds(1);
  EXPECT_EQ(attemptEnds[0].outcome.result, AttemptResult::reset);
  EXPECT_TRUE(attemptEnds[0].streamed);
}

// Guards against a worker that answers before the request's end, takes the rest and then stops in its
// response: the wait for a next piece of the body, which nobody sends any more, must not end the time limit
// of the response.
TEST_F(IncompleteResponses, AnEarlyResponseThatStopsEndsAtTheStallTimeout) {
  pool->startAttempt(1, 0, 1, streamedRequest(), std::nullopt);
  waitUntil([&] { return sendPiece != nullptr; }, "the request for a piece");
  waitForRequests(1);
  worker.peers[0]->pauseReading();
  std::exchange(sendPiece, nullptr)(std::string(16 << 20, 'x'), false);
  worker.peers[0]->send("HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n" + std::string(80000, 'x'));
  waitUntil([&] { return takePieces() && receivedBytes == 80000; }, "the beginning of the response");
  worker.peers[0]->resumeReading();
  waitUntil([&] { return takePieces() && !attemptEnds.empty(); }, "the end of the attempt");
  EXPECT_TRUE(attemptEnds[0].streamed);
  // The worker has not received the request's last byte.
  EXPECT_EQ(attemptEnds[0].outcome.result, AttemptResult::connectFailed);
}

}  // namespace
}  // namespace wingslip::test
