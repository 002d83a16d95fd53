// Responses that their worker never ends: the request gets its end in time, whatever the response's framing
// and size, and whether the worker is silent or sends a byte now and then. Long ones written slowly stay
// whole.
#include <map>
#include <string>

#include "overload_fixture.hpp"
#include "upstream_pool_fixture.hpp"

namespace wingslip::test {
namespace {

using decision::AttemptResult;
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

// A request's final answer is due half a second after its deadline, and each time limit is 50 ms longer.
constexpr auto kFinalAnswerTolerance = 550ms;

enum class ResponseFraming { chunked, untilClose, length };

/// How a worker begins a response that it does not end.
struct UnfinishedResponse {
  const char* name;
  ResponseFraming framing;
  std::size_t bytes;                  ///< of the body, sent at once
  const char* requestClass;           ///< "look" may be repeated, "order" may not
  std::chrono::milliseconds drip{0};  ///< interval of the single bytes that follow; 0: none
  const char* deadlineMs = "1000";
};

std::ostream& operator<<(std::ostream& out, const UnfinishedResponse& response) {
  return out << response.name;
}

class ResponsesWithoutEnd : public OverloadFixture, public ::testing::WithParamInterface<UnfinishedResponse> {
 protected:
  void SetUp() override {
    json config = configuration();
    config["limits"]["memory_mb"] = 64;
    for (json& requestClass : config["settings"]["profiles"]) {
      requestClass["aim"] = 400.0;
      requestClass["deadline"] = 3000.0;
    }
    startGatekeeper(config);
    waitUntilServing();
  }
  static std::string piece(std::size_t bytes) {
    const std::string text(bytes, 'x');
    if (GetParam().framing != ResponseFraming::chunked) return text;
    std::string chunk;
    appendChunk(chunk, text, false);
    return chunk;
  }
  static std::string beginning() {
    const UnfinishedResponse& form = GetParam();
    std::string head = "HTTP/1.1 200 OK\r\n";
    if (form.framing == ResponseFraming::chunked) head += "Transfer-Encoding: chunked\r\n";
    if (form.framing == ResponseFraming::untilClose) head += "Connection: close\r\n";
    if (form.framing == ResponseFraming::length) head += "Content-Length: 60000\r\n";
    return head + "\r\n" + piece(form.bytes);
  }
  // Begins a response on each connection that has a request, and drips on.
  void workOnce() {
    for (const PeerPtr& peer : worker.peers) {
      if (peer->closedByPeer || !peer->has("\r\n\r\n")) continue;
      const auto [begun, isNew] = nextDripAt_.try_emplace(peer.get(), Clock::now() + GetParam().drip);
      if (isNew) peer->send(beginning());
      if (GetParam().drip == 0ms || Clock::now() < begun->second) continue;
      begun->second += GetParam().drip;
      peer->send(piece(1));
    }
  }

 private:
  std::map<const Peer*, Clock::time_point> nextDripAt_;
};

// Guards against a request that is held far past its deadline by a response that never ends.
TEST_P(ResponsesWithoutEnd, EndTheirRequestInTime) {
  TestRequest request;
  request.requestClass = GetParam().requestClass;
  request.id = "00000000000000e1";
  request.deadline = GetParam().deadlineMs;
  const auto client = sendRequest(request.text());
  const auto dueAt =
      Clock::now() + std::chrono::milliseconds(std::stoi(GetParam().deadlineMs)) + kFinalAnswerTolerance;
  const auto isFinal = [&] {
    return client->closedByPeer || client->has("HTTP/1.1 429") || client->has("HTTP/1.1 502");
  };
  while (!isFinal() && Clock::now() < dueAt + 3s) {
    runFor(5ms);
    workOnce();
  }
  EXPECT_LT(Clock::now(), dueAt) << client->received.substr(0, 200);
  EXPECT_FALSE(client->has("0\r\n\r\n")) << "the response is passed on as a whole one";
  EXPECT_EQ(gatekeeper->requestsInFlight(), 0u);
}

INSTANTIATE_TEST_SUITE_P(
    Forms, ResponsesWithoutEnd,
    ::testing::Values(
        UnfinishedResponse{"ChunkedEmpty", ResponseFraming::chunked, 0, "order"},
        UnfinishedResponse{"Chunked5Bytes", ResponseFraming::chunked, 5, "order"},
        UnfinishedResponse{"Chunked16000", ResponseFraming::chunked, 16000, "order"},
        UnfinishedResponse{"Chunked20000", ResponseFraming::chunked, 20000, "order"},
        UnfinishedResponse{"Chunked20000Repeatable", ResponseFraming::chunked, 20000, "look"},
        UnfinishedResponse{"Chunked65000", ResponseFraming::chunked, 65000, "order"},
        UnfinishedResponse{"Chunked65000Repeatable", ResponseFraming::chunked, 65000, "look"},
        UnfinishedResponse{"UntilClose20000", ResponseFraming::untilClose, 20000, "order"},
        UnfinishedResponse{"UntilClose65000Repeatable", ResponseFraming::untilClose, 65000, "look"},
        UnfinishedResponse{"Length20000", ResponseFraming::length, 20000, "order"},
        UnfinishedResponse{"Length59999Repeatable", ResponseFraming::length, 59999, "look"},
        UnfinishedResponse{"ChunkedDripping", ResponseFraming::chunked, 0, "order", 40ms},
        UnfinishedResponse{"Chunked20000Dripping", ResponseFraming::chunked, 20000, "order", 40ms},
        UnfinishedResponse{"Chunked60000Dripping", ResponseFraming::chunked, 60000, "look", 90ms},
        UnfinishedResponse{"UntilClose20000Dripping", ResponseFraming::untilClose, 20000, "look", 40ms},
        UnfinishedResponse{"UntilClose60000Dripping", ResponseFraming::untilClose, 60000, "order", 300ms},
        UnfinishedResponse{"Length20000Dripping", ResponseFraming::length, 20000, "order", 40ms},
        UnfinishedResponse{"Chunked20000ShortDeadline", ResponseFraming::chunked, 20000, "order", 0ms, "500"},
        UnfinishedResponse{"UntilClose20000ShortDeadline", ResponseFraming::untilClose, 20000, "look", 30ms,
                           "500"},
        UnfinishedResponse{"Chunked60000LongDeadline", ResponseFraming::chunked, 60000, "order", 100ms,
                           "2500"}),
    [](const auto& tested) { return std::string(tested.param.name); });

class StreamedResponseProgress : public UpstreamPoolFixture {
 protected:
  static constexpr auto kStallTimeout = 600ms;

  void SetUp() override {
    UpstreamPool::Limits limits;
    limits.streamStallTimeout = kStallTimeout;
    createPool(limits);
    pool->setStreamHandlers(
        {[this](decision::RequestId, const std::string&, std::optional<std::uint64_t>) { started = true; },
         [this](decision::RequestId, std::string&& piece) {
           receivedBytes += piece.size();
           asio::post(io, [this] { pool->resumeResponse(1); });
         }});
    startAttempt(1);
    waitForRequests(1);
  }
  // Sends `bytes` every `interval` until the attempt ends or `total` bytes are sent.
  void writeSlowly(std::size_t bytes, std::chrono::milliseconds interval, std::size_t total) {
    std::size_t sent = 0;
    auto nextAt = Clock::now();
    const auto limit = Clock::now() + 20s;
    while (attemptEnds.empty() && Clock::now() < limit) {
      io.restart();
      io.run_for(2ms);
      if (sent >= total || Clock::now() < nextAt) continue;
      worker.peers[0]->send(std::string(bytes, 'x'));
      sent += bytes;
      nextAt += interval;
    }
  }
  bool started = false;
  std::size_t receivedBytes = 0;
};

// Guards against a long response of which a byte comes now and then, so that the limit of silence never
// passes.
TEST_F(StreamedResponseProgress, AStatedLengthThatDripsIsEnded) {
  worker.peers[0]->send("HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n" + std::string(80000, 'x'));
  const auto startedAt = Clock::now();
  writeSlowly(1, 50ms, 300000);
  ASSERT_EQ(attemptEnds.size(), 1u);
  EXPECT_EQ(attemptEnds[0].outcome.result, AttemptResult::reset);
  EXPECT_LT(Clock::now() - startedAt, 2 * kStallTimeout + 200ms);
}

TEST_F(StreamedResponseProgress, OneUntilTheCloseThatDripsIsEnded) {
  worker.peers[0]->send("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + std::string(80000, 'x'));
  const auto startedAt = Clock::now();
  writeSlowly(1, 50ms, 300000);
  ASSERT_EQ(attemptEnds.size(), 1u);
  EXPECT_EQ(attemptEnds[0].outcome.result, AttemptResult::reset);
  EXPECT_LT(Clock::now() - startedAt, 2 * kStallTimeout + 200ms);
}

// Guards against a limit that cuts off a long response whose worker writes slowly, but all the time.
TEST_F(StreamedResponseProgress, OneThatIsWrittenSlowlyStaysWhole) {
  worker.peers[0]->send("HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n");
  writeSlowly(4000, 30ms, 400000);  // five times the limit, in all
  ASSERT_EQ(attemptEnds.size(), 1u);
  EXPECT_EQ(attemptEnds[0].outcome.result, AttemptResult::ok);
  EXPECT_EQ(receivedBytes + attemptEnds[0].body.size(), 400000u);
}

// Guards against a limit of silence that ends a response before its request's deadline, which may be longer.
TEST_F(StreamedResponseProgress, OneThatPausesIsNotEndedBeforeTheDeadline) {
  pool->setStreamHandlers({[](decision::RequestId, const std::string&, std::optional<std::uint64_t>) {},
                           [this](decision::RequestId id, std::string&&) {
                             asio::post(io, [this, id] { pool->resumeResponse(id); });
                           }});
  AttemptRequest request = bufferedRequest("GET / HTTP/1.1\r\nReq-Id: 2\r\n\r\n");
  const auto deadline = Clock::now() + 4 * kStallTimeout;
  request.remainingTime = [deadline] { return deadline - Clock::now(); };
  pool->startAttempt(2, 0, 1, std::move(request), std::nullopt);
  waitForRequests(2);
  const PeerPtr connection = worker.peers.back();
  connection->send("HTTP/1.1 200 OK\r\nContent-Length: 80000\r\n\r\nx");
  io.restart();
  io.run_for(3 * kStallTimeout);
  EXPECT_FALSE(connection->closedByPeer);
  waitUntil([&] { return connection->closedByPeer; }, "the end of the attempt");
  EXPECT_LT(Clock::now() - deadline, kStallTimeout);
}

// Guards against the time that the client takes being counted as the worker's.
TEST_F(StreamedResponseProgress, TheTimeThatTheClientTakesIsNotTheWorkers) {
  pool->setStreamHandlers(
      {[this](decision::RequestId, const std::string&, std::optional<std::uint64_t>) { started = true; },
       [this](decision::RequestId, std::string&& piece) {
         receivedBytes += piece.size();
         const auto timer = std::make_shared<asio::steady_timer>(io, kStallTimeout);
         timer->async_wait([this, timer](const Error&) { pool->resumeResponse(1); });
       }});
  worker.peers[0]->send("HTTP/1.1 200 OK\r\nContent-Length: 80000\r\n\r\n");
  writeSlowly(10000, 10ms, 80000);
  ASSERT_EQ(attemptEnds.size(), 1u);
  EXPECT_EQ(attemptEnds[0].outcome.result, AttemptResult::ok);
  EXPECT_EQ(receivedBytes + attemptEnds[0].body.size(), 80000u);
}

// Guards against a response that counts as started, and so has no deadline, though no byte of its body came.
TEST_F(StreamedResponseProgress, AHeaderWithoutABodyDoesNotStartAResponse) {
  worker.peers[0]->send("HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n");
  io.restart();
  io.run_for(100ms);
  EXPECT_FALSE(started);
  worker.peers[0]->send("x");
  waitUntil([&] { return started && receivedBytes == 1; }, "the start of the response");
}

}  // namespace
}  // namespace wingslip::test
