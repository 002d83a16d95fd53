// Races between events on real connections. Each test forces the critical order deterministically: the peer's
// action is already in the kernel before the next iteration of the event loop, or is delayed until the other
// side has acted.
#include "recording_handler.hpp"
#include "upstream_pool_fixture.hpp"

namespace wingslip::test {
namespace {

using decision::AttemptResult;
using namespace std::chrono_literals;
using Steady = std::chrono::steady_clock;

class UpstreamPoolRaces : public UpstreamPoolFixture {
 protected:
  void SetUp() override { createPool({}); }
  // Sets up one idle connection whose quarantine has ended.
  void makeIdleConnection() {
    startAttempt(1);
    waitUntil([&] { return requestsReceived() == 1; }, "the first request");
    worker.peers[0]->send(httpResponse("200 OK", "first"));
    waitForEnds(1);
    const auto deadline = Steady::now() + 20ms;
    waitUntil([&] { return Steady::now() >= deadline; }, "the end of the quarantine");
  }

  Listener other{io};
};

// The kernel has accepted the complete request, but no completion handler has run: the worker may still
// execute it.
TEST_F(UpstreamPoolRaces, AnAttemptCancelledInTheLoopIterationOfItsLastByteCountsAsSent) {
  makeIdleConnection();
  startAttempt(2);
  const auto end = pool->cancelAttempt(2, AttemptResult::timeout);
  ASSERT_TRUE(end);
  EXPECT_EQ(end->outcome.result, AttemptResult::timeout);
  waitUntil([&] { return requestsReceived() == 2; }, "the request at the worker");
}

// The response is readable and the timeout has expired when the event loop starts its next iteration, as
// after a pause of the process.
TEST_F(UpstreamPoolRaces, AResponseTakesPrecedenceOverATimeoutOfTheSameLoopIteration) {
  makeIdleConnection();
  startAttempt(2, 50ms);
  waitUntil([&] { return requestsReceived() == 2; }, "the request at the worker");
  worker.peers[0]->send(httpResponse("200 OK", "second"));
  for (const auto deadline = Steady::now() + 100ms; Steady::now() < deadline;) {
  }
  waitForEnds(2);
  EXPECT_EQ(attemptEnds[1].outcome.result, AttemptResult::ok);
}

// The first response fills a read exactly, so the second is still unread when the connection becomes idle.
TEST_F(UpstreamPoolRaces, AnExtraResponseInTheSameLoopIterationIsNotDeliveredToTheNextRequest) {
  startAttempt(1);
  waitUntil([&] { return requestsReceived() == 1; }, "the first request");
  const std::string shortResponse = httpResponse("200 OK", std::string(4000, 'x'));
  const std::string readSizedResponse =
      httpResponse("200 OK", std::string(4000 + 4096 - shortResponse.size(), 'x'));
  ASSERT_EQ(readSizedResponse.size(), 4096u);
  onNextEnd = [this] { startAttempt(2); };
  worker.peers[0]->send(readSizedResponse + httpResponse("200 OK", "stray"));
  waitUntil([&] { return requestsReceived() == 2; }, "the next request");
  worker.peers.back()->send(httpResponse("200 OK", "second"));
  waitForEnds(2);
  EXPECT_EQ(attemptEnds[1].body, "second");
  EXPECT_EQ(worker.peers.size(), 2u);
}

// The extra response arrives after the next attempt has been assigned to the connection. The quarantine
// delays that request, so it has not been written yet.
TEST_F(UpstreamPoolRaces, AnExtraResponseSomeMillisecondsLateIsNotDeliveredToTheNextRequest) {
  startAttempt(1);
  waitUntil([&] { return requestsReceived() == 1; }, "the first request");
  onNextEnd = [this] { startAttempt(2); };
  worker.peers[0]->send(httpResponse("200 OK", "first"));
  waitForEnds(1);
  worker.peers[0]->send(httpResponse("200 OK", "stray"));
  waitForEnds(2);
  EXPECT_EQ(attemptEnds[1].outcome.result, AttemptResult::connectFailed);
  EXPECT_EQ(requestsReceived(), 1u);
}

// With Nagle's algorithm the worker's kernel delays a second small write until the first is
// acknowledged. After some exchanges on a connection, the local kernel delays its acknowledgement by 40 ms or
// until it sends data, so the next request would release the extra response.
TEST_F(UpstreamPoolRaces, AnExtraResponseDelayedByNagleIsNotDeliveredToTheNextRequest) {
  constexpr decision::RequestId kExchanges = 40;
  for (decision::RequestId id = 1; id <= kExchanges; ++id) {
    startAttempt(id);
    waitUntil([&] { return requestsReceived() == id; }, "a request");
    if (id == kExchanges) onNextEnd = [this] { startAttempt(kExchanges + 1); };
    worker.peers[0]->send(httpResponse("200 OK", "answer"));
    waitForEnds(id);
  }
  io.restart();
  io.run_for(2ms);
  worker.peers[0]->send(httpResponse("200 OK", "stray"));
  waitUntil([&] { return attemptEnds.size() > kExchanges || requestsReceived() > kExchanges; },
            "the next attempt");
  io.restart();
  io.run_for(20ms);
  for (const AttemptEnd& end : attemptEnds) EXPECT_NE(end.body, "stray");
}

TEST_F(UpstreamPoolRaces, AnAttemptInQuarantineEndsWhenItsWorkerIsRemoved) {
  startAttempt(1);
  waitUntil([&] { return requestsReceived() == 1; }, "the first request");
  onNextEnd = [this] {
    startAttempt(2);
    pool->retireWorker(1);
  };
  worker.peers[0]->send(httpResponse("200 OK", "first"));
  waitForEnds(2);
  EXPECT_EQ(attemptEnds[1].outcome.result, AttemptResult::connectFailed);
  EXPECT_EQ(requestsReceived(), 1u);
}

TEST_F(UpstreamPoolRaces, AnAttemptConnectingToAPreviousAddressEnds) {
  startAttempt(1);
  pool->setWorkerAddress(1, {other.address()});
  waitForEnds(1);
  EXPECT_EQ(attemptEnds[0].outcome.result, AttemptResult::connectFailed);
  startAttempt(2);
  waitUntil([&] { return other.count("\r\n\r\n") == 1; }, "the next request at the new address");
  EXPECT_EQ(requestsReceived(), 0u);
}

TEST_F(UpstreamPoolRaces, AnAttemptWhoseClientDisconnectsDuringConnectIsNotWritten) {
  startAttempt(1, {}, [] { return false; });
  waitForEnds(1);
  EXPECT_EQ(attemptEnds[0].outcome.result, AttemptResult::connectFailed);
  startAttempt(2);
  waitUntil([&] { return requestsReceived() == 1; }, "another request");
  EXPECT_EQ(worker.count("Req-Id: 1\r\n"), 0u);
}

class ClientServerRaces : public Loopback {
 protected:
  void SetUp() override { server.start(); }
  static std::string readinessRequest() { return "GET /health/ready HTTP/1.1\r\nHost: b\r\n\r\n"; }

  Config config = parseConfig(configJson("127.0.0.1:1").dump());
  RecordingHandler handler;
  OverloadManager overloadManager{io, budgetSharesFor({std::size_t{64} << 20}), OverloadState::Limits{}};
  ClientServer server{io, config, {}, handler, overloadManager};
};

// Two connections are pending when accepting stops: one was accepted in that loop iteration, the other is
// still in the kernel's accept queue.
TEST_F(ClientServerRaces, AConnectionThatArrivesAsAcceptingStopsIsServed) {
  const auto first = connectTo(server.address()), second = connectTo(server.address());
  waitUntil([&] { return server.connections() == 1; }, "the first connection is accepted");
  server.stopAccepting();
  for (const auto& client : {first, second}) client->send(readinessRequest());
  waitUntil([&] { return first->has("HTTP/1.1 200") && second->has("HTTP/1.1 200"); }, "a response to each");
}

// The request is in the kernel's receive buffer when the drain closes idle connections.
TEST_F(ClientServerRaces, ARequestThatArrivesAsTheDrainClosesIdleConnectionsIsAnswered) {
  const auto client = connectTo(server.address());
  client->send(readinessRequest());
  server.stopAccepting();
  server.closeIdleConnections();
  waitUntil([&] { return client->has("\r\n\r\n") || client->closedByPeer; }, "a response or a close");
  EXPECT_TRUE(client->has("HTTP/1.1 200")) << client->received;
}

// The client sends its next request while the server closes the connection and the client is still reading
// the last response. A full close would answer that request with a reset, which discards the part of the
// response that is still buffered in the kernel.
TEST_F(ClientServerRaces, ACloseConcurrentWithARequestDoesNotTruncateTheLastResponse) {
  const auto client = connectTo(server.address());
  client->pauseReading();
  client->send(TestRequest().text());
  waitUntil([&] { return handler.responders.size() == 1; }, "the request");
  ClientResponse response;
  response.body = std::string(300000, 'z');
  handler.responders[0]->respond(std::move(response));
  server.stopAccepting();
  const auto responseWritten = [&] {
    return overloadManager.waitQueues().waiting(WaitQueue::responseWrite) == 0;
  };
  waitUntil(responseWritten, "the kernel has accepted the response");
  server.closeIdleConnections();
  client->send(TestRequest().text());
  client->resumeReading();
  waitUntil([&] { return client->closedByPeer; }, "the close");
  EXPECT_EQ(client->count("z"), 300000u);
  EXPECT_EQ(handler.responders.size(), 1u) << "a request was read after the shutdown and forwarded";
}

// At the connection limit the connection that has been idle longest would be evicted, but its next request
// has already arrived and is unread.
TEST_F(ClientServerRaces, AConnectionWithAnUnreadRequestIsNotEvicted) {
  ClientServer::Limits limits;
  limits.maxConnections = 1;
  ClientServer limitedServer{io, config, limits, handler, overloadManager};
  limitedServer.start();
  const auto first = connectTo(limitedServer.address());
  first->send(readinessRequest());
  waitUntil([&] { return first->has("HTTP/1.1 200"); }, "a response");
  const auto second = connectTo(limitedServer.address());
  first->send(readinessRequest());
  waitUntil([&] { return first->count("HTTP/1.1 200") == 2 || first->closedByPeer; }, "its second response");
  EXPECT_EQ(first->count("HTTP/1.1 200"), 2u);
}

class GatekeeperRaces : public Loopback {
 protected:
  void SetUp() override {
    gatekeeper.emplace(io,
                       parseConfig(configJson(discovery.addressText(),
                                              json::array({endpointEntryJson("s-1", worker.addressText())}))
                                       .dump()));
    gatekeeper->start();
  }
  // Serves another request, as a barrier: its response shows that all earlier events have been processed.
  void serveBarrierRequest(const std::string& id = "00000000000000ff") {
    TestRequest request;
    request.id = id;
    const auto client = connectTo(gatekeeper->address());
    client->send(request.text());
    waitUntil([&] { return worker.count("Req-Id: " + request.id) == 1; },
              "the barrier request at the worker");
    worker.peers.back()->send(httpResponse("200 OK", "another"));
    waitUntil([&] { return client->has("another"); }, "the response to the barrier request");
  }

  Listener discovery{io}, worker{io}, other{io};
  std::optional<Gatekeeper> gatekeeper;
};

// The request and the client's close are in the kernel together, while an idle connection to the worker is
// available.
TEST_F(GatekeeperRaces, ADisconnectedClientStartsNoFirstAttempt) {
  serveBarrierRequest("00000000000000f0");
  const auto deadline = Steady::now() + 20ms;
  waitUntil([&] { return Steady::now() >= deadline; }, "the end of the quarantine");
  const auto client = connectTo(gatekeeper->address());
  client->send(TestRequest().text());
  client->close();
  serveBarrierRequest();
  EXPECT_EQ(worker.count("Req-Id: 00000000000000a1"), 0u);
  EXPECT_EQ(gatekeeper->requestsInFlight(), 0u);
}

// The client's pipelined requests fill the read-ahead buffer, so that its close is queued behind bytes
// that are not read.
TEST_F(GatekeeperRaces, AClientDisconnectedBehindPipelinedRequestsStartsNoFurtherAttempt) {
  const auto client = connectTo(gatekeeper->address());
  client->send(TestRequest().text());
  waitUntil([&] { return worker.count("Req-Id: 00000000000000a1") == 1 && worker.count("\r\n\r\n") == 1; },
            "its request at the worker");
  TestRequest pipelined;
  pipelined.id = "00000000000000a2";
  for (int i = 0; i < 200; ++i) client->send(pipelined.text());
  for (int i = 0; i < 20; ++i) io.restart(), io.poll();
  client->close();
  worker.peers[0]->reset();
  waitUntil([&] { return gatekeeper->requestsInFlight() == 0; }, "no request in flight");
  serveBarrierRequest();
  EXPECT_EQ(worker.count("Req-Id: 00000000000000a1"), 1u);
}

// Settings that list the zones in another order must not change the zone of any worker, including workers of
// endpoint lists received before the reload.
TEST_F(GatekeeperRaces, ZoneIndexesStayValidAcrossAReload) {
  const auto config = [&](const char* first, const char* second, int ownZone) {
    json otherZoneEntry = endpointEntryJson("s-2", other.addressText());
    otherZoneEntry["zone"] = "b";
    json configuration =
        configJson(discovery.addressText(),
                   json::array({endpointEntryJson("s-1", worker.addressText()), otherZoneEntry}));
    configuration["settings"]["localities"] = {first, second};
    configuration["settings"]["locality"] = ownZone;
    configuration["settings"]["prices"]["crossZone"] = 100.0;
    return parseConfig(configuration.dump());
  };
  Gatekeeper zoned(io, config("a", "b", 0));
  zoned.start();
  zoned.reload(config("b", "a", 1));  // this gatekeeper is still in zone a
  for (int i = 0; i < 4; ++i) {
    TestRequest request;
    request.id = "00000000000000b" + std::to_string(i);
    const auto client = connectTo(zoned.address());
    client->send(request.text());
    waitUntil(
        [&] { return worker.count("Req-Id: " + request.id) + other.count("Req-Id: " + request.id) == 1; },
        "a request");
    ASSERT_EQ(other.count("Req-Id: "), 0u) << "sent to the other zone";
    worker.peers.back()->send(httpResponse("200 OK", "done"));
    waitUntil([&] { return client->has("done"); }, "a response");
  }
}

// A request that waits for the first endpoint list must retain the class and plan it named when a reload
// reorders them.
TEST_F(GatekeeperRaces, ARequestBeforeTheFirstEndpointListRetainsItsClassAndPlanAcrossAReload) {
  json configuration =
      configJson(discovery.addressText(), json::array({endpointEntryJson("s-1", worker.addressText())}));
  Gatekeeper gatekeeperWithoutList(io, parseConfig(configuration.dump()));
  gatekeeperWithoutList.start();
  const auto client = connectTo(gatekeeperWithoutList.address());
  client->send(TestRequest().text());
  waitUntil([&] { return gatekeeperWithoutList.requestsInFlight() == 1; }, "the request is in flight");
  std::swap(configuration["settings"]["profiles"][0], configuration["settings"]["profiles"][2]);
  std::swap(configuration["settings"]["plans"][0], configuration["settings"]["plans"][1]);
  gatekeeperWithoutList.reload(parseConfig(configuration.dump()));
  waitUntil([&] { return worker.count("Req-Id: 00000000000000a1") == 1; }, "the attempt");
  worker.peers[0]->close();  // a retry is allowed, because its class is safe to repeat
  waitUntil([&] { return worker.count("Req-Id: 00000000000000a1") == 2; }, "another attempt");
}

}  // namespace
}  // namespace wingslip::test
