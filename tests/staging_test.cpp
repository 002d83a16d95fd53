// Tests of the gatekeeper program against the faults of the staging run: slow responses without a length,
// connections to workers that are established late, and clients that leave.
#include <set>

#include "staging_fixture.hpp"

namespace wingslip::test {
namespace {

using namespace std::chrono_literals;
using Steady = std::chrono::steady_clock;

/// How a worker writes a response that has no Content-Length.
struct SlowResponse {
  const char* name;
  bool chunked;
  std::chrono::milliseconds headDelay;  ///< from the request to the header
  std::chrono::milliseconds bodyDelay;  ///< from the header to the first piece
  std::chrono::milliseconds interval;   ///< between two pieces
  std::size_t pieceBytes;
  std::size_t pieces;
  const char* clientDeadlineMs;
};

class SlowResponseWithoutLength : public StagingFaults, public ::testing::WithParamInterface<SlowResponse> {};

// Guards against cutting off a response of unknown length that the worker is still writing when its attempt
// or its request runs out of time.
TEST_P(SlowResponseWithoutLength, IsNotCutOffWhileTheWorkerIsWriting) {
  const SlowResponse& slow = GetParam();
  GatekeeperProcess program(folder, stagingConfig(), {});
  waitUntilReady();
  TestRequest request;
  request.deadline = slow.clientDeadlineMs;
  const auto sentAt = Steady::now();
  const auto client = sendRequest(request);
  const auto workerPeer = workerOf(worker, request.id);
  std::optional<Steady::time_point> firstByteAt;
  const auto passTime = [&](std::chrono::milliseconds span) {
    const auto until = Steady::now() + span;
    while (Steady::now() < until) {
      runFor(std::min(5ms, std::chrono::ceil<std::chrono::milliseconds>(until - Steady::now())));
      if (!firstByteAt && !client->received.empty()) firstByteAt = Steady::now();
    }
  };
  passTime(slow.headDelay);
  workerPeer->send(slow.chunked ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                : "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
  passTime(slow.bodyDelay);
  for (std::size_t piece = 0; piece < slow.pieces; ++piece) {
    std::string bytes(slow.pieceBytes, static_cast<char>('a' + piece % 26));
    if (slow.chunked) {
      std::string chunk;
      appendChunk(chunk, bytes, piece + 1 == slow.pieces);
      bytes = std::move(chunk);
    }
    workerPeer->send(bytes);
    if (piece + 1 < slow.pieces) passTime(slow.interval);
  }
  if (!slow.chunked) workerPeer->close();
  waitUntil([&] { return client->has("0\r\n\r\n") || client->has("HTTP/1.1 429") || client->closedByPeer; },
            "the end of the response");
  EXPECT_EQ(client->received.rfind("HTTP/1.1 200", 0), 0u) << client->received.substr(0, 200);
  std::size_t bodyBytes = 0;
  for (std::size_t letter = 0; letter < std::min<std::size_t>(26, slow.pieces); ++letter)
    bodyBytes += static_cast<std::size_t>(
        std::count(client->received.begin() + static_cast<std::ptrdiff_t>(client->received.find("\r\n\r\n")),
                   client->received.end(), static_cast<char>('a' + letter)));
  EXPECT_GE(bodyBytes, slow.pieceBytes * slow.pieces);
  EXPECT_TRUE(client->has("0\r\n\r\n")) << "the response is not complete";
  EXPECT_NE(runOperatorCommand("telemetry").find("svc.invariant.request_unanswered:0|c"), std::string::npos);
  ASSERT_TRUE(firstByteAt);
  EXPECT_LT(*firstByteAt - sentAt, std::chrono::milliseconds(std::stoi(slow.clientDeadlineMs)) + 50ms);
}

INSTANTIATE_TEST_SUITE_P(
    Forms, SlowResponseWithoutLength,
    ::testing::Values(SlowResponse{"SteadyUntilClose", false, 15ms, 0ms, 50ms, 4000, 42, "881"},
                      SlowResponse{"SteadyInChunks", true, 27ms, 0ms, 50ms, 5000, 32, "552"},
                      SlowResponse{"LumpsInChunks", true, 13ms, 0ms, 1100ms, 50000, 3, "800"},
                      SlowResponse{"LumpsUntilClose", false, 13ms, 0ms, 1100ms, 50000, 3, "626"},
                      SlowResponse{"LateBody", true, 21ms, 900ms, 100ms, 19000, 5, "1656"},
                      SlowResponse{"LateBodyWithALongDeadline", false, 21ms, 1500ms, 100ms, 19000, 5,
                                   "2900"}),
    [](const auto& tested) { return std::string(tested.param.name); });

// Guards against a response of unknown length that never ends and keeps its client waiting: the request gets
// its end, visibly incomplete, within half a second after its deadline.
TEST_F(StagingFaults, AShortResponseThatNeverEndsIsEndedAtTheDeadline) {
  GatekeeperProcess program(folder, stagingConfig(), {});
  waitUntilReady();
  for (const char* text : {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
                           "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello"}) {
    TestRequest request;
    request.deadline = "1000";
    const auto sentAt = Steady::now();
    const auto client = sendRequest(request);
    waitUntil([&] { return !worker.peers.empty() && worker.peers.back()->has(request.id); }, "a request");
    const PeerPtr workerPeer = worker.peers.back();
    workerPeer->send(text);
    waitUntil([&] { return client->closedByPeer || client->has("HTTP/1.1 429"); }, "the end");
    EXPECT_LT(Steady::now() - sentAt, 1550ms) << client->received;
    EXPECT_FALSE(client->has("0\r\n\r\n"));
    workerPeer->close();
  }
}

// Guards against cutting off a long response whose client takes it slowly but all the time: the kernel's
// buffer takes longer than the write timeout to become writable again.
TEST_F(StagingFaults, ALongResponseIsNotCutOffWhileItsClientTakesItSlowly) {
  GatekeeperProcess program(folder, stagingConfig(), {});
  waitUntilReady();
  constexpr std::size_t kBodyBytes = 12'000'000;
  constexpr std::size_t kReadBytesPerStep = 4000;
  tcp::socket client(io);
  client.connect(clientsAddress);
  client.non_blocking(true);
  const TestRequest request;
  asio::write(client, asio::buffer(request.text()));
  const auto workerPeer = workerOf(worker, request.id);
  workerPeer->send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kBodyBytes) + "\r\n\r\n");
  workerPeer->sendBytes(kBodyBytes);
  runFor(500ms);
  std::array<char, kReadBytesPerStep> bytes;
  const auto until = Steady::now() + 13s;
  while (Steady::now() < until) {
    Error error;
    client.read_some(asio::buffer(bytes), error);
    runFor(100ms);
  }
  EXPECT_FALSE(workerPeer->closedByPeer) << "cut off while its client was taking it";
  EXPECT_NE(runOperatorCommand("telemetry").find("svc.close.write_timeout:0|c"), std::string::npos);
}

// Guards against sending a keyed request again after its idempotency window, on a connection that was chosen
// within the window and established after it.
TEST_F(StagingFaults, AKeyedRequestIsNotRepeatedAfterItsWindowOverALateConnection) {
  ListenerWithFullBacklog lateWorker(io);
  json configuration = stagingConfig();
  configuration["known"] =
      json::parse(endpointListJson(1, true,
                                   json::array({endpointEntryJson("s-1", worker.addressText()),
                                                endpointEntryJson("s-2", lateWorker.addressText())})));
  GatekeeperProcess program(folder, configuration, {});
  waitUntilReady();
  int repeatsTried = 0;
  for (int i = 0; i < 12 && repeatsTried < 3; ++i) {
    TestRequest request;
    request.requestClass = "edit";
    char id[17];
    std::snprintf(id, sizeof id, "%016x", 0xd00 + i);
    request.id = id;
    request.deadline = "3000";
    const std::size_t before = worker.count("\r\n\r\n");
    const auto client = sendRequest(request);
    runFor(100ms);
    if (worker.count("\r\n\r\n") == before) {  // the late worker was chosen first
      client->close();
      continue;
    }
    const PeerPtr workerPeer = workerOf(worker, request.id);
    runFor(300ms);
    workerPeer->reset();
    ++repeatsTried;
    runFor(250ms);        // the repeat is chosen within the window of 700 ms
    lateWorker.accept();  // the kernel repeats its SYN one second after the first one
    waitUntil([&] { return client->has("\r\n\r\n") || client->closedByPeer; }, "the final answer");
    for (const PeerPtr& peer : lateWorker.peers)
      EXPECT_FALSE(peer->has(request.id)) << "sent again after the window";
    break;
  }
  EXPECT_EQ(repeatsTried, 1);
  EXPECT_EQ(
      runOperatorCommand("telemetry").find("svc.invariant.unsafe_request_resent:0|c") != std::string::npos,
      true);
}

}  // namespace
}  // namespace wingslip::test
