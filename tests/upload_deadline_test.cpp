// The deadline of a request whose long body is passed on as it arrives: it counts from the last byte, also
// while that byte waits unread in a kernel's buffer.
#include <algorithm>
#include <chrono>

#include "overload_fixture.hpp"

namespace wingslip::test {
namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

constexpr auto kAnswerTolerance = 500ms;               // after the deadline
constexpr std::size_t kUnbufferableBytes = 0x1800000;  // 24 MiB: more than all kernel buffers on the way

enum class Framing { contentLength, chunked };

class UploadDeadline : public OverloadFixture, public ::testing::WithParamInterface<Framing> {
 protected:
  // Starts a gatekeeper with these workers and waits until it serves.
  void openWith(const json& workers) {
    json config = configJson(discovery.addressText(), workers);
    config["ops"] = "127.0.0.1:0";
    config["limits"]["memory_mb"] = 64;
    startGatekeeper(config);
    waitUntilServing();
  }
  void open() { openWith(json::array({endpointEntryJson("s-1", worker.addressText())})); }

  // Header of an upload, and the line of its only chunk.
  std::string uploadHead(std::size_t length, std::chrono::milliseconds deadline) const {
    TestRequest request;
    request.requestClass = "edit";
    request.id = kId;
    request.deadline = std::to_string(deadline.count());
    std::string text = request.text();
    text.erase(text.find("Content-Length: 0\r\n"), 19);
    text.resize(text.size() - 2);
    if (GetParam() == Framing::contentLength)
      return text + "Content-Length: " + std::to_string(length) + "\r\n\r\n";
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", length);
    return text + "Transfer-Encoding: chunked\r\n\r\n" + size;
  }
  std::string uploadEnd() const { return GetParam() == Framing::chunked ? "\r\n0\r\n\r\n" : ""; }

  // Starts an upload that no buffer on the way can take whole, to a worker that stops reading.
  void uploadToAWorkerThatStops(std::chrono::milliseconds deadline) {
    client = sendRequest(uploadHead(kUnbufferableBytes, deadline));
    client->sendBytes(kUnbufferableBytes);
    workerPeer = workerConnection(kId);
    workerPeer->pauseReading();
    waitUntilTheClientIsHeldUp();
  }
  // All buffers on the way are full: the client has sent nothing for a while. `lastSentAt` becomes the time
  // of its last byte.
  void waitUntilTheClientIsHeldUp() {
    std::size_t sent = client->bytesSent;
    lastSentAt = Clock::now();
    waitUntil(
        [&] {
          if (std::exchange(sent, client->bytesSent) != client->bytesSent) lastSentAt = Clock::now();
          return Clock::now() - lastSentAt > 150ms;
        },
        "full buffers");
  }
  // Waits for the response. `lastSentAt` becomes the time of the last byte that the client could send.
  void waitForResponse(const std::function<void()>& onTurn = [] {}) {
    std::size_t sent = client->bytesSent;
    waitUntil(
        [&] {
          onTurn();
          if (std::exchange(sent, client->bytesSent) != client->bytesSent) lastSentAt = Clock::now();
          return client->has("\r\n\r\n");
        },
        "a response");
    answeredAt = Clock::now();
  }
  // The length is enough to look at: counting the body's bytes at each turn of the loop would take longer
  // than the deadline.
  void waitForBody(std::size_t bytes) {
    waitUntil([&] { return workerPeer->received.size() >= bytes + uploadEnd().size(); },
              "the body at the worker");
    waitUntil([&] { return workerPeer->count("x") >= bytes; }, "the complete body at the worker");
  }
  void expectRejectionBy(Clock::time_point deadline) {
    EXPECT_LT(answeredAt, deadline + kAnswerTolerance);
    EXPECT_TRUE(client->has("HTTP/1.1 429") && client->has("Retry-After: ")) << client->received;
    EXPECT_EQ(gatekeeper->requestsInFlight(), 0u);
  }

  static constexpr const char* kId = "00000000000000b1";
  PeerPtr client, workerPeer;
  Clock::time_point lastSentAt, answeredAt;
};

INSTANTIATE_TEST_SUITE_P(Framings, UploadDeadline,
                         ::testing::Values(Framing::contentLength, Framing::chunked),
                         [](const auto& instance) {
                           return instance.param == Framing::chunked ? "Chunked" : "ContentLength";
                         });

// Guards against an upload that is answered long after its deadline because its worker hangs: the last byte
// then stays unread, and a deadline that begins when it is read never begins.
TEST_P(UploadDeadline, AnUploadToAWorkerThatTakesNothingIsAnsweredAtItsDeadline) {
  open();
  uploadToAWorkerThatStops(800ms);
  waitForResponse();
  expectRejectionBy(lastSentAt + 800ms);
  workerPeer->resumeReading();
  waitUntil([&] { return workerPeer->closedByPeer; }, "the end of the attempt");
}

// Guards against a worker that takes a little now and then, each time starting the stall timeout anew.
TEST_P(UploadDeadline, AnUploadToAWorkerThatTakesALittleNowAndThenIsAnsweredAtItsDeadline) {
  open();
  uploadToAWorkerThatStops(800ms);
  const auto heldUpSince = lastSentAt;
  auto nextReadAt = Clock::now();
  std::size_t readUntil = 0;
  waitForResponse([&] {
    if (Clock::now() >= nextReadAt) {
      nextReadAt = Clock::time_point::max();
      readUntil = workerPeer->received.size() + kMiB;
      workerPeer->resumeReading();
    }
    if (nextReadAt == Clock::time_point::max() && workerPeer->received.size() >= readUntil) {
      nextReadAt = Clock::now() + 200ms;
      workerPeer->pauseReading();
    }
  });
  EXPECT_GE(readUntil, 2 * kMiB);
  EXPECT_LT(workerPeer->count("x"), kUnbufferableBytes);
  expectRejectionBy(heldUpSince + 800ms);
}

// Guards against a worker that begins an answer before the end of the request and then takes nothing more.
TEST_P(UploadDeadline, AnUploadWithAnEarlyUnfinishedResponseIsAnsweredAtItsDeadline) {
  open();
  uploadToAWorkerThatStops(800ms);
  workerPeer->send("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nbegin");
  waitForResponse();
  expectRejectionBy(lastSentAt + 800ms);
}

// Guards against further attempts that outlast the deadline while the body waits for a connection.
TEST_P(UploadDeadline, AnUploadWhoseWorkerConnectionNeverComesUpIsAnsweredAtItsDeadline) {
  ListenerWithFullBacklog unreachable(io);
  openWith(json::array({endpointEntryJson("s-1", unreachable.addressText()),
                        endpointEntryJson("s-2", unreachable.addressText())}));
  client = sendRequest(uploadHead(kUnbufferableBytes, 800ms));
  client->sendBytes(kUnbufferableBytes);
  lastSentAt = Clock::now();
  waitForResponse();
  expectRejectionBy(lastSentAt + 800ms);
}

// Guards against a drain that leaves an upload to its end, 3.4 s after SIGTERM, past a shorter deadline.
TEST_P(UploadDeadline, AnUploadToAWorkerThatTakesNothingIsAnsweredAtItsDeadlineInADrain) {
  open();
  uploadToAWorkerThatStops(800ms);
  bool drained = false;
  gatekeeper->drain([&] { drained = true; });
  waitForResponse();
  expectRejectionBy(lastSentAt + 800ms);
  EXPECT_TRUE(client->has("Connection: close")) << client->received;
  client->close();
  waitUntil([&] { return drained; }, "the end of the drain");
}

// Guards against a deadline that begins anew when a held-up last byte is read.
TEST_P(UploadDeadline, TheTimeForWhichTheLastByteWasUnreadCountsAgainstTheDeadline) {
  open();
  fillMemory(14 * 1024, true);
  client = sendRequest(uploadHead(200000, 2500ms) + std::string(200000, 'x') + uploadEnd());
  lastSentAt = Clock::now();
  waitUntil([&] { return waiting(WaitQueue::pausedRead) == 1; }, "a paused read");
  runFor(800ms);
  otherClientsCharge.release();
  workerPeer = workerConnection(kId);
  waitForBody(200000);
  EXPECT_LT(Clock::now(), lastSentAt + 2500ms);
  waitForResponse();
  EXPECT_LT(answeredAt, lastSentAt + 2500ms + kAnswerTolerance);
}

// Guards against waits for memory that are short, each within its limit, and outlast the deadline together.
TEST_P(UploadDeadline, AnUploadThatWaitsForMemoryAgainAndAgainIsAnsweredAtItsDeadline) {
  open();
  client = sendRequest(uploadHead(kUnbufferableBytes, 1200ms));
  client->sendBytes(kUnbufferableBytes);
  const auto sentAt = Clock::now();
  workerPeer = workerConnection(kId);
  auto releaseAt = sentAt;
  waitForResponse([&] {
    const bool isPaused = waiting(WaitQueue::pausedRead) > 0;
    if (isPaused && Clock::now() >= releaseAt) otherClientsCharge.release();
    if (isPaused || otherClientsCharge.bytes() > 0) return;
    fillMemory(0);
    releaseAt = Clock::now() + 400ms;
  });
  EXPECT_LT(workerPeer->count("x"), kUnbufferableBytes);
  expectRejectionBy(sentAt + 1200ms);
}

// Guards against a wait for memory that outlasts the deadline of a request whose short body is still read.
TEST_P(UploadDeadline, AShortBodyThatWaitsForMemoryIsRejectedAtItsDeadline) {
  open();
  fillMemory(14 * 1024, true);
  client = sendRequest(uploadHead(30000, 300ms) + std::string(30000, 'x') + uploadEnd());
  lastSentAt = Clock::now();
  waitForResponse();
  EXPECT_LT(answeredAt, lastSentAt + 300ms + kAnswerTolerance);
  EXPECT_TRUE(client->has("HTTP/1.1 503") && client->has("Retry-After: ")) << client->received;
}

// Guards against a deadline that counts while the client itself is slow.
TEST_P(UploadDeadline, ASlowUploadThroughAHealthyWorkerIsServedThoughItTakesLongerThanItsDeadline) {
  constexpr std::size_t kPieceBytes = 20000, kPieces = 45;
  open();
  client = sendRequest(uploadHead(kPieces * kPieceBytes, 800ms));
  const auto startedAt = Clock::now();
  for (std::size_t i = 0; i < kPieces; ++i) {
    client->send(std::string(kPieceBytes, 'x'));
    runFor(60ms);
  }
  client->send(uploadEnd());
  EXPECT_GT(Clock::now(), startedAt + 3 * 800ms);
  workerPeer = workerConnection(kId);
  waitForBody(kPieces * kPieceBytes);
  workerPeer->send(httpResponse("200 OK", "taken"));
  waitUntil([&] { return client->has("taken"); }, "the response");
}

// The worker stops for less than the deadline several times, and the client sends on all the while.
TEST_P(UploadDeadline, AWorkerThatPausesBrieflyDoesNotEndASlowUpload) {
  constexpr std::size_t kPieceBytes = 20000, kPieces = 60;
  open();
  client = sendRequest(uploadHead(kPieces * kPieceBytes, 2000ms));
  for (std::size_t i = 0; i < kPieces; ++i) {
    client->send(std::string(kPieceBytes, 'x'));
    runFor(60ms);
    workerPeer = i == 5 ? workerConnection(kId) : workerPeer;
    if (workerPeer && i % 10 == 5) workerPeer->pauseReading();
    if (workerPeer && i % 10 == 9) workerPeer->resumeReading();
  }
  client->send(uploadEnd());
  waitForBody(kPieces * kPieceBytes);
  workerPeer->send(httpResponse("200 OK", "taken"));
  waitUntil([&] { return client->has("taken"); }, "the response");
}

}  // namespace
}  // namespace wingslip::test
