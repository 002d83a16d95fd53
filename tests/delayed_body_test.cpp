// Tests of the gatekeeper program: long responses whose header states their length and whose body comes late.
// Sound ones stay whole, and those that never begin are ended.
#include <string>

#include "staging_fixture.hpp"

namespace wingslip::test {
namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

constexpr auto kLimitTolerance = 50ms;  // each time limit is 50 ms longer on sockets

/// A worker that sends the header of a long response at once and its body late.
struct DelayedBody {
  const char* requestClass;  ///< "look" may be repeated, "edit" has a key, "order" may not be repeated
  const char* deadlineMs;
  std::chrono::milliseconds bodyDelay;  ///< from the header to the first piece
  std::chrono::milliseconds interval;   ///< between two pieces
  std::size_t pieceBytes;
  std::size_t pieces;
  std::chrono::milliseconds headInterval{0};  ///< between the pieces of the header; 0: it comes at once
};

class DelayedBodyOfStatedLength : public StagingFaults {
 protected:
  // Plays one request; its response has to reach the client whole, its first byte by the deadline.
  void expectWhole(const DelayedBody& form);

 private:
  void passTime(std::chrono::milliseconds span, const PeerPtr& client) {
    const auto until = Clock::now() + span;
    do {
      runFor(std::min(5ms, std::chrono::ceil<std::chrono::milliseconds>(until - Clock::now())));
      if (!firstByteAt_ && !client->received.empty()) firstByteAt_ = Clock::now();
    } while (Clock::now() < until);
  }
  void sendHead(const std::string& head, std::chrono::milliseconds interval, const PeerPtr& workerPeer,
                const PeerPtr& client) {
    if (interval == 0ms) return workerPeer->send(head);
    constexpr std::size_t kParts = 3;
    for (std::size_t part = 0; part < kParts; ++part) {
      const std::size_t from = part * head.size() / kParts;
      workerPeer->send(head.substr(from, (part + 1) * head.size() / kParts - from));
      passTime(interval, client);
    }
  }
  std::optional<Clock::time_point> firstByteAt_;
};

void DelayedBodyOfStatedLength::expectWhole(const DelayedBody& form) {
  GatekeeperProcess program(folder, stagingConfig(), {});
  waitUntilReady();
  TestRequest request;
  request.requestClass = form.requestClass;
  request.deadline = form.deadlineMs;
  const auto sentAt = Clock::now();
  const auto client = sendRequest(request);
  const auto workerPeer = workerOf(worker, request.id);
  const std::size_t length = form.pieceBytes * form.pieces;
  sendHead("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n", form.headInterval,
           workerPeer, client);
  passTime(form.bodyDelay, client);
  for (std::size_t piece = 0; piece < form.pieces; ++piece) {
    workerPeer->send(std::string(form.pieceBytes, '#'));
    if (piece + 1 < form.pieces) passTime(form.interval, client);
  }
  const auto isWhole = [&] { return client->received.size() > length && client->count("#") == length; };
  waitUntil(
      [&] {
        return isWhole() || client->closedByPeer || client->has("HTTP/1.1 4") || client->has("HTTP/1.1 5");
      },
      "the end of the response");
  EXPECT_EQ(client->received.rfind("HTTP/1.1 200", 0), 0u) << client->received.substr(0, 200);
  EXPECT_TRUE(isWhole()) << client->count("#") << " of " << length << " bytes";
  ASSERT_TRUE(firstByteAt_);
  EXPECT_LT(*firstByteAt_ - sentAt, std::chrono::milliseconds(std::stoi(form.deadlineMs)) + kLimitTolerance);
  EXPECT_NE(runOperatorCommand("telemetry").find("svc.invariant.request_unanswered:0|c"), std::string::npos);
}

// Each guards against cutting off a long response whose header has come, because no byte of its body has come
// yet: at the time-out of its attempt, or at the deadline of its request.
TEST_F(DelayedBodyOfStatedLength, PastTheTimeout) { expectWhole({"look", "1686", 900ms, 50ms, 35924, 5}); }
TEST_F(DelayedBodyOfStatedLength, PastTheTimeoutInLumps) {
  expectWhole({"look", "1656", 1100ms, 1100ms, 50000, 3});
}
TEST_F(DelayedBodyOfStatedLength, PastTheTimeoutWithItsHeaderInPieces) {
  expectWhole({"look", "1686", 700ms, 20ms, 8633, 12, 100ms});
}
TEST_F(DelayedBodyOfStatedLength, PastTheTimeoutJustOver64KiB) {
  expectWhole({"look", "1686", 900ms, 0ms, 65537, 1});
}
// The limit of silence of a streamed response, 10 s, counts from the time-out and ends before the deadline.
TEST_F(DelayedBodyOfStatedLength, PastTheLimitOfSilenceBeforeTheDeadline) {
  expectWhole({"look", "14000", 11500ms, 50ms, 30000, 5});
}
TEST_F(DelayedBodyOfStatedLength, PastTheDeadline) { expectWhole({"look", "600", 900ms, 50ms, 30000, 5}); }
TEST_F(DelayedBodyOfStatedLength, LongPastTheDeadline) {
  expectWhole({"look", "600", 2500ms, 50ms, 30000, 5});
}
TEST_F(DelayedBodyOfStatedLength, PastTheDeadlineOfAKeyedRequest) {
  expectWhole({"edit", "600", 900ms, 50ms, 30000, 5});
}
TEST_F(DelayedBodyOfStatedLength, PastTheDeadlineOfAnUnsafeRequest) {
  expectWhole({"order", "600", 900ms, 50ms, 30000, 5});
}
TEST_F(DelayedBodyOfStatedLength, PastTheDeadlineOfAnUnsafeRequestInLumps) {
  expectWhole({"order", "800", 1500ms, 1500ms, 50000, 3});
}

/// Long responses that their worker does not finish.
class UnfinishedResponseOfStatedLength : public StagingFaults {
 protected:
  static constexpr auto kStallTimeout = 10s;  // of a streamed response
  static constexpr auto kEndTolerance = 1s;

  // A request whose response has only a header, and then a byte every `drip`; 0: none.
  void expectEnd(std::chrono::milliseconds drip) {
    GatekeeperProcess program(folder, stagingConfig(), {});
    waitUntilReady();
    TestRequest request;
    request.deadline = "1000";
    const auto sentAt = Clock::now();
    const auto client = sendRequest(request);
    const auto workerPeer = workerOf(worker, request.id);
    workerPeer->send("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n");
    const auto hasEnd = [&] { return client->closedByPeer || client->has("HTTP/1.1 429"); };
    while (!hasEnd() && Clock::now() - sentAt < 20s) {
      runFor(drip > 0ms ? drip : 50ms);
      if (drip > 0ms) workerPeer->send("#");
    }
    EXPECT_TRUE(hasEnd());
    EXPECT_LT(Clock::now() - sentAt, 1000ms + kStallTimeout + kEndTolerance);
    EXPECT_LT(client->count("#"), 200000u);
    waitUntil([&] { return workerPeer->closedByPeer; }, "the end of the attempt");
  }
};

// Guards against a refusal whose reason no figure tells: the attempt timed out while its response was
// arriving.
TEST_F(UnfinishedResponseOfStatedLength, AShortOneThatStopsIsRefusedAndCounted) {
  GatekeeperProcess program(folder, stagingConfig(), {});
  waitUntilReady();
  TestRequest request;
  request.deadline = "1000";
  const auto client = sendRequest(request);
  const auto workerPeer = workerOf(worker, request.id);
  workerPeer->send("HTTP/1.1 200 OK\r\nContent-Length: 20000\r\n\r\nbegin");
  waitUntil([&] { return client->has("HTTP/1.1 429"); }, "the refusal");
  const std::string figures = runOperatorCommand("telemetry");
  EXPECT_NE(figures.find("svc.refused_after.timeout:1|c"), std::string::npos) << figures;
  EXPECT_NE(figures.find("svc.answers.cut:0|c"), std::string::npos) << figures;
}

// Guards against a long response that never begins and holds its request and its connections for ever.
TEST_F(UnfinishedResponseOfStatedLength, OneThatNeverBeginsIsEnded) { expectEnd(0ms); }

// Guards against single bytes that put off the end of a long response for ever.
TEST_F(UnfinishedResponseOfStatedLength, OneThatDripsIsEnded) { expectEnd(200ms); }

// Guards against passing on the header of a long response at once: a worker that resets its connection behind
// the header can be replaced by another as long as the client has received nothing.
TEST_F(UnfinishedResponseOfStatedLength, AResetBehindTheHeaderIsRetriedElsewhere) {
  Listener otherWorker(io);
  json configuration = stagingConfig();
  configuration["known"] =
      json::parse(endpointListJson(1, true,
                                   json::array({endpointEntryJson("s-1", worker.addressText()),
                                                endpointEntryJson("s-2", otherWorker.addressText())})));
  GatekeeperProcess program(folder, configuration, {});
  waitUntilReady();
  TestRequest request;
  request.deadline = "1686";
  const auto client = sendRequest(request);
  const auto findIn = [&](Listener& listener) -> PeerPtr {
    for (const PeerPtr& peer : listener.peers)
      if (peer->has(request.id)) return peer;
    return nullptr;
  };
  waitUntil([&] { return findIn(worker) || findIn(otherWorker); }, "the first attempt");
  const bool firstAtWorker = findIn(worker) != nullptr;
  const PeerPtr first = findIn(firstAtWorker ? worker : otherWorker);
  first->send("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n");
  runFor(100ms);
  EXPECT_TRUE(client->received.empty()) << client->received.substr(0, 200);
  first->reset();
  Listener& second = firstAtWorker ? otherWorker : worker;
  waitUntil([&] { return findIn(second) != nullptr; }, "the second attempt");
  findIn(second)->send(httpResponse("200 OK", "whole"));
  waitUntil([&] { return client->has("whole"); }, "the response");
}

}  // namespace
}  // namespace wingslip::test
