// Tests overload control on sockets: backpressure, throttling, load shedding, and the requests that must
// still be served.
#include <algorithm>

#include "overload_fixture.hpp"

namespace wingslip::test {
namespace {

using namespace std::chrono_literals;

class OverloadManagement : public OverloadFixture {};

// Sends small requests while the worker does not read long request bodies that are together far larger than
// the budget. Guards against long bodies that use the memory which small requests need.
TEST_F(OverloadManagement, SmallRequestsAreServedWhileLongBodiesExceedTheBudget) {
  json config = configuration();
  config["limits"]["memory_mb"] = 20;  // a budget of 6 MiB
  startGatekeeper(config);
  std::vector<PeerPtr> senders;
  for (int i = 0; i < 110; ++i) {
    char id[17];
    std::snprintf(id, sizeof id, "%016x", 0xb000 + i);
    senders.push_back(sendRequest(longRequestHeader(4 * kMiB, id)));
    senders.back()->sendBytes(4 * kMiB);
  }
  waitUntil(
      [&] {
        for (const auto& peer : worker.peers)
          if (peer->has("POST /edit")) peer->pauseReading();
        return gatekeeper->overloadManager().state().enteredCount(OverloadLevel::throttling) > 0;
      },
      "throttling for lack of memory");
  for (int i = 0; i < 20; ++i) {
    char id[17];
    std::snprintf(id, sizeof id, "%016x", 0xa000 + i);
    const auto client = sendSmallRequest(id);
    waitUntil([&] { return worker.count(std::string("Req-Id: ") + id) > 0 || client->has("\r\n\r\n"); },
              "the request at the worker or its rejection");
    ASSERT_EQ(client->received, "") << i << "\n" << operatorCall("telemetry");
    workerConnection(id)->send(httpResponse("200 OK", "small " + std::to_string(i)));
    waitUntil([&] { return client->has("small " + std::to_string(i)); }, "the response to a small request");
    client->close();
  }
  EXPECT_LE(memory().peak(), memory().total());
  std::size_t sent = 0;
  for (const auto& sender : senders) sent += sender->bytesSent;
  EXPECT_GT(sent, 4 * memory().total());  // buffered in the kernel, not in the gatekeeper
  const std::string metrics = operatorCall("telemetry");
  EXPECT_NE(metrics.find("svc.memory.budget:" + std::to_string(memory().total()) + "|g\n"),
            std::string::npos);
  for (const auto& sender : senders) sender->close();
  worker.peers.clear();
  waitUntil(
      [&] {
        return gatekeeper->requestsInFlight() == 0 &&
               memory().used(Account::clients) == overflowConnectionBytes;
      },
      "the release of all clients' memory");
}

// Guards against reading a response ahead of its client, which would fill the memory.
TEST_F(OverloadManagement, BackpressureOfAClientPausesTheWorkerUntilTheClientReads) {
  startGatekeeper();
  const auto client = sendSmallRequest("00000000000000a1");
  const auto workerPeer = workerConnection("00000000000000a1");
  client->pauseReading();
  workerPeer->send("HTTP/1.1 200 OK\r\nContent-Length: 33000000\r\n\r\n");
  workerPeer->sendBytes(33000000);
  std::size_t lastBytes = 0;
  waitUntil(
      [&] {
        const bool isPaused = waiting(WaitQueue::responseBodyWindow) == 1 && workerPeer->bytesSent > 0 &&
                              workerPeer->bytesSent == lastBytes;
        lastBytes = workerPeer->bytesSent;
        if (!isPaused) runFor(50ms);
        return isPaused;
      },
      "a worker that is no longer read from");
  EXPECT_LT(workerPeer->bytesSent, 33000000u);
  EXPECT_LT(memory().used(), 400000u);
  client->resumeReading();
  waitUntil([&] { return client->received.size() > 33000000; }, "the complete response");
  waitUntil([&] { return gatekeeper->requestsInFlight() == 0; }, "the end of the request");
  EXPECT_LE(memory().used(Account::workers), 11 * 1024u);
}

TEST_F(OverloadManagement, APausedReadDetectsThatItsPeerHasClosed) {
  startGatekeeper();
  const auto client = sendRequest(longRequestHeader(8 * kMiB));
  client->sendBytes(8 * kMiB);
  workerConnection("00000000000000b1")->pauseReading();
  std::size_t lastBytes = 0;
  waitUntil(
      [&] {
        const bool isPaused = waiting(WaitQueue::requestBodyWindow) == 1 && client->bytesSent > 0 &&
                              client->bytesSent == lastBytes;
        lastBytes = client->bytesSent;
        if (!isPaused) runFor(50ms);
        return isPaused;
      },
      "a client that is no longer read from");
  // Resets the connection: an orderly close with unread bytes before it is indistinguishable from a client
  // that waits, because its end of stream follows the unread bytes.
  client->reset();
  waitUntil([&] { return gatekeeper->requestsInFlight() == 0; }, "the detection of the reset");
  EXPECT_EQ(memory().used(Account::clients), overflowConnectionBytes);
  // The request did not end by the timeout of the unresponsive worker, which is longer.
  EXPECT_EQ(rejections(WaitQueue::requestBodyWindow), 0u);
}

// Without memory an incomplete request is rejected with Retry-After. Small requests are still served from the
// memory that each connection has from its start.
TEST_F(OverloadManagement, ABodyWithoutMemoryIsRejectedWithRetryAfter) {
  startGatekeeper();
  fillMemory(14 * 1024, true);
  const auto client = sendRequest(longRequestHeader(60000));
  client->sendBytes(30000);
  waitUntil([&] { return waiting(WaitQueue::pausedRead) == 1; }, "a paused read");
  const std::string busy = operatorCall("readyz");  // operators have a reserve of their own
  EXPECT_FALSE(busy.empty());
  waitUntil([&] { return client->has("\r\n\r\n"); }, "a response");
  EXPECT_TRUE(client->has("HTTP/1.1 503")) << client->received;
  EXPECT_TRUE(client->has("Retry-After: ")) << client->received;
  EXPECT_EQ(rejections(WaitQueue::pausedRead), 1u);
  EXPECT_NE(operatorCall("telemetry").find("svc.busy.edit:1|c\n"), std::string::npos);
  waitUntil([&] { return memory().available(Account::clients) >= 12 * 1024; }, "the release of its memory");
  const auto other = sendSmallRequest("00000000000000a2");
  workerConnection("00000000000000a2")->send(httpResponse("200 OK", "served"));
  waitUntil([&] { return other->has("served"); }, "the response to the small request");
}

TEST_F(OverloadManagement, APausedBodyResumesWhenMemoryIsFreed) {
  startGatekeeper();
  fillMemory(14 * 1024, true);
  const auto client = sendRequest(longRequestHeader(60000));
  client->sendBytes(60000);
  waitUntil([&] { return waiting(WaitQueue::pausedRead) == 1; }, "a paused read");
  otherClientsCharge.release();
  const auto bodyReceiver = workerConnection("00000000000000b1");
  waitUntil(
      [&] { return std::count(bodyReceiver->received.begin(), bodyReceiver->received.end(), 'x') >= 60000; },
      "the complete body at the worker");
  EXPECT_EQ(waiting(WaitQueue::pausedRead), 0u);
}

// Nothing is sent, the attempt does not count as a failure of the worker, and the client may retry.
TEST_F(OverloadManagement, AnAttemptWithoutMemoryIsNoFailureOfTheWorker) {
  startGatekeeper();
  auto workers = memory().open(Account::workers);
  ASSERT_TRUE(workers.resize(memory().available(Account::workers) - 15 * 1024));
  workers.markPermanent();  // as idle connections would
  for (int i = 0; i < 5; ++i) {
    const auto client = sendSmallRequest("00000000000000a1");
    if (i > 0) {
      waitUntil([&] { return client->has("HTTP/1.1 429"); }, "a rejection");
      continue;
    }
    workerConnection("00000000000000a1");  // uses the remaining memory
  }
  EXPECT_EQ(worker.count("Req-Id"), 1u);
  EXPECT_NE(operatorCall("telemetry").find("svc.hosts_down:0|g\n"), std::string::npos);
  workers.release();
  const auto after = sendSmallRequest("00000000000000a7");
  workerConnection("00000000000000a7")->send(httpResponse("200 OK", "served"));
  waitUntil([&] { return after->has("served"); }, "the response to the next request");
}

// A long attempt that would exceed the high watermark is not started; a small attempt still is.
TEST_F(OverloadManagement, OnlySmallAttemptsUseMemoryAboveTheHighWatermark) {
  startGatekeeper();
  auto workers = memory().open(Account::workers);
  ASSERT_TRUE(workers.resize(memory().available(Account::workers) * 74 / 100));
  ASSERT_LT(memory().highestUsage().share(), 0.75);
  const auto client = sendRequest(longRequestHeader(200000));
  client->sendBytes(200000);
  waitUntil([&] { return client->has("\r\n\r\n"); }, "the response to the long request");
  EXPECT_TRUE(client->has("HTTP/1.1 429")) << client->received;
  EXPECT_EQ(worker.count("Req-Id: 00000000000000b1"), 0u);
  EXPECT_NE(operatorCall("telemetry").find("svc.backend_short:1|c\n"), std::string::npos);
  const auto other = sendSmallRequest("00000000000000a1");
  workerConnection("00000000000000a1")->send(httpResponse("200 OK", "served"));
  waitUntil([&] { return other->has("served"); }, "the response to the small request");
}

// A response without memory is not read. Guards against a request whose deadline does not expire while its
// response is paused.
TEST_F(OverloadManagement, ADeadlineExpiresWhileTheResponseIsPaused) {
  startGatekeeper();
  TestRequest request;
  // Discovery is silent, so the gatekeeper serves the configured endpoint list only 688 ms after its start.
  request.deadline = "2000";
  const auto client = sendRequest(request.text());
  const auto workerPeer = workerConnection(request.id);
  auto workers = memory().open(Account::workers);
  ASSERT_TRUE(workers.resize(memory().available(Account::workers)));
  workers.markPermanent();  // as idle connections would
  workerPeer->send("HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n");
  workerPeer->sendBytes(60000);
  waitUntil([&] { return waiting(WaitQueue::pausedRead) == 1; }, "a paused response");
  waitUntil([&] { return client->has("HTTP/1.1 "); }, "the final response");
  EXPECT_FALSE(client->has("HTTP/1.1 200"));
  waitUntil([&] { return gatekeeper->requestsInFlight() == 0 && waiting(WaitQueue::pausedRead) == 0; },
            "the end of the request");
}

TEST_F(OverloadManagement, SustainedOverloadShedsTheLargestRequestFirst) {
  json config = configuration();
  for (auto& profile : config["settings"]["profiles"]) profile["aim"] = 100.0;  // the interval
  startGatekeeper(config);
  const auto sender = sendRequest(longRequestHeader(8 * kMiB));
  sender->sendBytes(8 * kMiB);
  workerConnection("00000000000000b1")->pauseReading();
  const auto smallClient = sendSmallRequest("00000000000000a1");
  const auto workerPeer = workerConnection("00000000000000a1");
  fillMemory(memory().available(Account::clients) / 5);
  waitUntil([&] { return sender->has("HTTP/1.1 "); }, "the rejection of the long request");
  // The worker has received the attempt incompletely. Whether it has run is unknown, so the answer must not
  // state that a retry is safe: the request class is deduplicated within one zone only.
  EXPECT_TRUE(sender->has("HTTP/1.1 502")) << sender->received;
  EXPECT_NE(operatorCall("telemetry").find("svc.pressure.shed:1|c\n"), std::string::npos);
  otherClientsCharge.release();
  waitUntil([&] { return gatekeeper->overloadManager().state().isNormal(); }, "the end of the overload");
  if (smallClient->received.empty()) {
    workerPeer->send(httpResponse("200 OK", "served"));
    waitUntil([&] { return smallClient->has("served"); }, "the response to the small request");
  }
  EXPECT_TRUE(smallClient->has("served") || smallClient->has("HTTP/1.1 429")) << smallClient->received;
}

TEST_F(OverloadManagement, DrainAndReloadWorkUnderOverload) {
  startGatekeeper();
  const auto sender = sendRequest(longRequestHeader(8 * kMiB));
  sender->sendBytes(8 * kMiB);
  workerConnection("00000000000000b1")->pauseReading();
  fillMemory(14 * 1024);
  waitUntil([&] { return gatekeeper->overloadManager().state().level() != OverloadLevel::none; }, "pressure");
  gatekeeper->reload(parseConfig(configuration().dump()));
  EXPECT_NE(operatorCall("telemetry").find("svc.reconfig_ok:1|c\n"), std::string::npos);
  bool done = false;
  gatekeeper->drain([&] { done = true; });
  waitUntil([&] { return done; }, "the end of the drain");
}

// Many endpoint lists arrive during an overload. Guards against requests sent to a worker that is draining in
// the latest list.
TEST_F(OverloadManagement, TheLatestOfManyEndpointListsAppliesUnderOverload) {
  json config = configuration();
  config["known"]["instances"] = json::array({endpointEntryJson("s-1", worker.addressText())});
  startGatekeeper(config);
  waitUntil([&] { return !discovery.peers.empty() && discovery.peers[0]->has("\r\n\r\n"); }, "a watch");
  fillMemory(14 * 1024);
  waitUntil([&] { return gatekeeper->overloadManager().state().level() != OverloadLevel::none; }, "pressure");
  std::string lines = "HTTP/1.1 200 OK\r\n\r\n";
  for (int i = 2; i < 500; ++i)
    lines +=
        endpointListJson(
            i, false,
            json::array({endpointEntryJson("s-1", worker.addressText(), i % 2 ? "Terminating" : "Ready")})) +
        "\n";
  lines += endpointListJson(500, false,
                            json::array({endpointEntryJson("s-1", worker.addressText(), "Terminating"),
                                         endpointEntryJson("s-2", worker.addressText(), "Terminating")})) +
           "\n";
  discovery.peers[0]->send(lines);
  waitUntil([&] { return operatorCall("telemetry").find("svc.hosts_listed:2|g\n") != std::string::npos; },
            "the processing of the latest list");
  EXPECT_NE(operatorCall("telemetry").find("svc.hosts_down:2|g\n"), std::string::npos);
  const auto client = sendSmallRequest("00000000000000a1");
  waitUntil([&] { return client->has("HTTP/1.1 429"); }, "a rejection");
  EXPECT_EQ(worker.count("Req-Id"), 0u);
}

}  // namespace
}  // namespace wingslip::test
