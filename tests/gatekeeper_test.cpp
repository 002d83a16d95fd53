// End-to-end tests of the complete gatekeeper over loopback sockets: forwarding of requests and responses,
// retries, endpoint lists, and faults of clients, workers and the discovery agent.
#include "loopback.hpp"

namespace wingslip::test {
namespace {

class GatekeeperEndToEnd : public Loopback {
 protected:
  void startGatekeeper(const json& known) {
    gatekeeper.emplace(io, parseConfig(configJson(discovery.addressText(), known).dump()));
    gatekeeper->start();
  }
  void startWithWorker() { startGatekeeper(json::array({endpointEntryJson("s-1", worker.addressText())})); }
  // Sends an endpoint list of this generation on the first watch: a delta, or a snapshot if `reset`.
  void sendEndpointList(int generation, const json& changes, bool reset = false) {
    const std::string line = endpointListJson(generation, reset, changes) + "\n";
    std::ostringstream size;
    size << std::hex << line.size();
    discovery.peers[0]->send(size.str() + "\r\n" + line + "\r\n");
  }
  void startWithWatch() {
    startWithWorker();
    waitUntil([&] { return discovery.count("\r\n\r\n") == 1; }, "a watch");
    discovery.peers[0]->send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    sendEndpointList(1, json::array());
    waitUntil([&] { return gatekeeper->ready(); }, "ready");
  }
  PeerPtr sendRequest(const TestRequest& request) {
    const auto client = connectTo(gatekeeper->address());
    client->send(request.text());
    return client;
  }
  void waitForRequestAtWorker(const std::string& id, std::size_t times = 1) {
    waitUntil([&] { return worker.count("Req-Id: " + id) >= times && worker.count("\r\n\r\n") >= times; },
              "a request at the worker");
  }
  void waitForResponse(const PeerPtr& client, const std::string& text) {
    waitUntil([&] { return client->has(text); }, text.c_str());
  }

  Listener discovery{io}, worker{io}, other{io};
  std::optional<Gatekeeper> gatekeeper;
};

TEST_F(GatekeeperEndToEnd, ForwardsARequestUnchangedAndItsResponseBack) {
  startWithWorker();
  TestRequest request;
  request.requestClass = "edit", request.body = "{\"a\": 1}";
  const auto client = sendRequest(request);
  waitUntil([&] { return worker.count(request.body) == 1; }, "the body at the worker");
  const Peer& connection = *worker.peers.at(0);
  EXPECT_TRUE(connection.has("POST /edit?client=00000000b4d65521 HTTP/1.1\r\n")) << connection.received;
  EXPECT_TRUE(connection.has("Req-Id: 00000000000000a1\r\n"));
  EXPECT_TRUE(connection.has("Idempotency-Key: 5c0f6e1a2b3d4c59a8b7c6d5e4f30211\r\n"));
  EXPECT_EQ(connection.count("Req-Deadline-Ms: "), 1u);
  // The forwarded deadline is shorter than the client's by the time reserved for returning the response.
  EXPECT_FALSE(connection.has("Req-Deadline-Ms: 60000\r\n"));
  worker.peers[0]->send(httpResponse("200 OK", "made by a worker"));
  waitForResponse(client, "made by a worker");
  EXPECT_TRUE(client->has("HTTP/1.1 200 OK\r\n"));
  EXPECT_EQ(gatekeeper->requestsInFlight(), 0u);
}

TEST_F(GatekeeperEndToEnd, ReusesConnectionsOnBothSides) {
  startWithWorker();
  const auto client = connectTo(gatekeeper->address());
  for (int i = 1; i <= 3; ++i) {
    client->send(TestRequest().text());
    waitForRequestAtWorker("00000000000000a1", static_cast<std::size_t>(i));
    worker.peers.at(0)->send(httpResponse("200 OK", "answer " + std::to_string(i)));
    waitForResponse(client, "answer " + std::to_string(i));
  }
  EXPECT_EQ(worker.peers.size(), 1u);
}

TEST_F(GatekeeperEndToEnd, AnswersPipelinedRequestsInOrder) {
  startWithWorker();
  const auto client = connectTo(gatekeeper->address());
  TestRequest second;
  second.id = "00000000000000a2";
  client->send(TestRequest().text() + second.text());
  waitForRequestAtWorker("00000000000000a1");
  EXPECT_EQ(worker.count("Req-Id: 00000000000000a2"), 0u);
  worker.peers.at(0)->send(httpResponse("200 OK", "one"));
  waitForRequestAtWorker("00000000000000a2");
  worker.peers.at(0)->send(httpResponse("200 OK", "two"));
  waitForResponse(client, "two");
  EXPECT_LT(client->received.find("one"), client->received.find("two"));
}

// Guards against requests that wait behind others on their connection and get a whole deadline from when
// their turn comes, long after their client has given up.
TEST_F(GatekeeperEndToEnd, TheTimeBehindOtherPipelinedRequestsCountsAgainstTheDeadline) {
  startWithWatch();
  const auto client = connectTo(gatekeeper->address());
  std::string text;
  for (const char* id : {"00000000000000a1", "00000000000000a2", "00000000000000a3"}) {
    TestRequest request;
    request.requestClass = "order";
    request.id = id;
    request.deadline = "600";
    text += request.text();
  }
  client->send(text);
  const auto sentAt = std::chrono::steady_clock::now();
  for (const char* id : {"00000000000000a1", "00000000000000a2"}) {
    waitForRequestAtWorker(id);
    const auto answerAt = std::chrono::steady_clock::now() + std::chrono::milliseconds(350);
    waitUntil([&] { return std::chrono::steady_clock::now() >= answerAt || client->count("HTTP/1.1 ") == 3; },
              "the time that the worker takes");
    for (const PeerPtr& peer : worker.peers) peer->send(httpResponse("200 OK", "served"));
  }
  waitUntil([&] { return client->count("HTTP/1.1 ") == 3; }, "all answers");
  EXPECT_LT(std::chrono::steady_clock::now() - sentAt, std::chrono::milliseconds(600 + 550));
  EXPECT_EQ(client->count("HTTP/1.1 200"), 1u) << client->received;
  EXPECT_EQ(worker.count("Req-Id: 00000000000000a3"), 0u);
}

// A malformed request must get a client error (4xx) instead of a rejection, since a rejection invites the
// client to repeat the same request later.
TEST_F(GatekeeperEndToEnd, MalformedRequestsGetClientErrorsAndAreNotSent) {
  startWithWorker();
  std::vector<std::pair<std::string, std::string>> cases;
  const auto with = [&](const std::function<void(TestRequest&)>& change, const std::string& status) {
    TestRequest request;
    change(request);
    cases.emplace_back(request.text(), status);
  };
  with([](TestRequest& request) { request.requestClass = "unheard"; }, "400");
  with([](TestRequest& request) { request.plan = "unheard"; }, "400");
  with([](TestRequest& request) { request.id = "not-an-id"; }, "400");
  with([](TestRequest& request) { request.extra = "Req-Id: 00000000000000a2\r\n"; }, "400");
  with([](TestRequest& request) { request.extra = "X-Tier: small\r\n"; }, "400");
  with([](TestRequest& request) { request.query = "client=xyz"; }, "400");
  with([](TestRequest& request) { request.query = "client=0000000200000000"; },
       "400");  // 2^33, the first invalid id
  with([](TestRequest& request) { request.query = "other=1"; }, "400");
  with([](TestRequest& request) { request.deadline = "soon"; }, "400");
  with([](TestRequest& request) { request.deadline = "0"; }, "400");
  with([](TestRequest& request) { request.deadline = "-5"; }, "400");
  with([](TestRequest& request) { request.callTerms = "units=1,spread=2"; }, "400");
  with([](TestRequest& request) { request.callTerms = "units=nan,spread=2,first=0"; }, "400");
  with([](TestRequest& request) { request.callTerms = "units=1,spread=9,first=0"; }, "400");
  with([](TestRequest& request) { request.extra = "Big: " + std::string(20000, 'x') + "\r\n"; }, "431");
  cases.emplace_back("GET /nowhere HTTP/1.1\r\nHost: b\r\n\r\n", "404");
  cases.emplace_back("GET /health/live HTTP/1.1\r\nHost: b\r\n\r\n", "404");
  cases.emplace_back("what is this\r\n\r\n", "400");
  for (const auto& [text, status] : cases) {
    const auto client = connectTo(gatekeeper->address());
    client->send(text);
    waitUntil([&] { return client->has("\r\n\r\n"); }, "an answer");
    EXPECT_EQ(client->received.substr(0, 12), "HTTP/1.1 " + status) << text.substr(0, 300);
  }
  EXPECT_TRUE(worker.peers.empty());
}

TEST_F(GatekeeperEndToEnd, RejectsBeyondTheQuotaWithRetryAfter) {
  startWithWorker();
  TestRequest request;
  request.plan = "small";
  const auto client = connectTo(gatekeeper->address());
  // A customer that is new to this gatekeeper starts with half of its bucket of one unit, so already its
  // first request exceeds the quota.
  client->send(request.text());
  waitForResponse(client, "\r\n\r\n");
  EXPECT_TRUE(client->has("HTTP/1.1 429")) << client->received;
  EXPECT_TRUE(client->has("Retry-After: 1.000\r\n")) << client->received;
  EXPECT_TRUE(worker.peers.empty());
}

TEST_F(GatekeeperEndToEnd, ANonIdempotentRequestThatMayHaveRunIsNotRetried) {
  startWithWorker();
  TestRequest request;
  request.requestClass = "order", request.body = "x";
  const auto client = sendRequest(request);
  waitUntil([&] { return worker.count("\r\n\r\nx") == 1; }, "the request at the worker");
  worker.peers[0]->close();
  waitForResponse(client, "\r\n\r\n");
  EXPECT_TRUE(client->has("HTTP/1.1 502")) << client->received;
  EXPECT_EQ(worker.peers.size(), 1u);
}

TEST_F(GatekeeperEndToEnd, ANonIdempotentRequestIsRetriedAfterAConnectFailure) {
  startGatekeeper(json::array(
      {endpointEntryJson("s-1", unusedAddress()), endpointEntryJson("s-2", worker.addressText())}));
  for (int i = 0; i < 4; ++i) {  // several requests, so that either worker is tried first
    TestRequest request;
    request.requestClass = "order", request.id = "00000000000000b" + std::to_string(i);
    const auto client = sendRequest(request);
    waitForRequestAtWorker(request.id);
    worker.peers.back()->send(httpResponse("200 OK", "done"));
    waitForResponse(client, "done");
  }
}

TEST_F(GatekeeperEndToEnd, ANonIdempotentRequestIsRetriedAfterAnOverloadResponse) {
  startGatekeeper(json::array(
      {endpointEntryJson("s-1", worker.addressText()), endpointEntryJson("s-2", other.addressText())}));
  TestRequest request;
  request.requestClass = "order";
  const auto client = sendRequest(request);
  const auto total = [&] { return worker.count("\r\n\r\n") + other.count("\r\n\r\n"); };
  waitUntil([&] { return total() == 1; }, "the first attempt");
  Listener& first = worker.count("\r\n\r\n") == 1 ? worker : other;
  Listener& second = &first == &worker ? other : worker;
  first.peers[0]->send(httpResponse("503 Service Unavailable", "", "Srv-Declined: 1\r\n"));
  waitUntil([&] { return second.count("\r\n\r\n") == 1; }, "the second attempt");
  second.peers[0]->send(httpResponse("200 OK", "done"));
  waitForResponse(client, "done");
  EXPECT_EQ(total(), 2u);
}

TEST_F(GatekeeperEndToEnd, A503WithoutSrvDeclinedIsNotRetried) {
  startGatekeeper(json::array({endpointEntryJson("s-1", worker.addressText())}));
  TestRequest request;
  request.requestClass = "order";
  const auto client = sendRequest(request);
  waitForRequestAtWorker(request.id);
  worker.peers[0]->send(httpResponse("503 Service Unavailable", ""));
  waitForResponse(client, "HTTP/1.1 502");
}

// A worker that sends nothing must not delay the final response beyond the deadline.
TEST_F(GatekeeperEndToEnd, AnswersAtTheDeadlineAndCancelsTheAttempt) {
  startWithWatch();
  TestRequest request;
  request.requestClass = "order", request.deadline = "400";
  const auto client = sendRequest(request);
  waitForResponse(client, "\r\n\r\n");
  EXPECT_TRUE(client->has("HTTP/1.1 502")) << client->received;
  waitUntil([&] { return !worker.peers.empty() && worker.peers[0]->closedByPeer; },
            "the attempt's connection ends");
  EXPECT_EQ(gatekeeper->requestsInFlight(), 0u);
}

// A request whose deadline is too short for a response must not be sent to a worker, whose work would be
// wasted. It is rejected, not failed, since a repeat is harmless.
TEST_F(GatekeeperEndToEnd, ARequestWithNoTimeRemainingIsRejectedAndNotSent) {
  startWithWorker();
  TestRequest request;
  request.requestClass = "order", request.deadline = "1";
  const auto client = sendRequest(request);
  waitForResponse(client, "\r\n\r\n");
  EXPECT_TRUE(client->has("HTTP/1.1 429")) << client->received;
  io.restart();
  io.poll();
  EXPECT_TRUE(worker.peers.empty());
}

TEST_F(GatekeeperEndToEnd, AClientDisconnectCancelsItsAttempt) {
  startWithWorker();
  const auto client = sendRequest(TestRequest());
  waitForRequestAtWorker("00000000000000a1");
  EXPECT_EQ(gatekeeper->requestsInFlight(), 1u);
  client->close();
  waitUntil([&] { return worker.peers[0]->closedByPeer; }, "the attempt's connection ends");
  EXPECT_EQ(gatekeeper->requestsInFlight(), 0u);
}

// Bytes after a worker's response would be taken for the response to the next request on the connection, so
// the connection must be closed.
TEST_F(GatekeeperEndToEnd, AConnectionWithBytesAfterTheResponseIsNotReused) {
  startWithWorker();
  const auto client = sendRequest(TestRequest());
  waitForRequestAtWorker("00000000000000a1");
  worker.peers[0]->send(httpResponse("200 OK", "first") + httpResponse("200 OK", "stray"));
  waitForResponse(client, "first");
  waitUntil([&] { return worker.peers[0]->closedByPeer; }, "the connection ends");
  client->send(TestRequest().text());
  waitForRequestAtWorker("00000000000000a1", 2);
  ASSERT_EQ(worker.peers.size(), 2u);
  worker.peers[1]->send(httpResponse("200 OK", "second"));
  waitForResponse(client, "second");
  EXPECT_FALSE(client->has("stray"));
}

TEST_F(GatekeeperEndToEnd, AnIdleConnectionThatTheWorkerClosesIsNotReused) {
  startWithWorker();
  const auto client = sendRequest(TestRequest());
  waitForRequestAtWorker("00000000000000a1");
  worker.peers[0]->send(httpResponse("200 OK", "first"));
  waitForResponse(client, "first");
  worker.peers[0]->close();
  TestRequest request;  // a class that must not be retried after it may have run
  request.requestClass = "order", request.id = "00000000000000a2";
  client->send(request.text());
  waitForRequestAtWorker(request.id);
  EXPECT_EQ(worker.peers.size(), 2u);
  worker.peers[1]->send(httpResponse("200 OK", "second"));
  waitForResponse(client, "second");
}

TEST_F(GatekeeperEndToEnd, IsReadyAfterTheFirstListAndParsesListsSplitAcrossChunks) {
  startGatekeeper(nullptr);
  const auto client = connectTo(gatekeeper->address());
  const std::string readinessRequest = "GET /health/ready HTTP/1.1\r\nHost: b\r\n\r\n";
  client->send(readinessRequest);
  waitForResponse(client, "HTTP/1.1 503");
  waitUntil([&] { return discovery.count("\r\n\r\n") == 1; }, "a watch");
  EXPECT_TRUE(discovery.peers[0]->has("GET /registry/instances?watch=1 HTTP/1.1\r\n"));
  const auto chunk = [](const std::string& text) {
    std::ostringstream size;
    size << std::hex << text.size();
    return size.str() + "\r\n" + text + "\r\n";
  };
  const std::string line =
      endpointListJson(7, true, json::array({endpointEntryJson("s-1", worker.addressText())})) + "\n";
  discovery.peers[0]->send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("\n") +
                           chunk(line.substr(0, 30)));
  client->send(readinessRequest);
  waitUntil([&] { return client->count("HTTP/1.1 503") == 2; }, "still not ready");
  discovery.peers[0]->send(chunk(line.substr(30)));
  waitUntil([&] { return gatekeeper->ready(); }, "ready");
  client->send(readinessRequest);
  waitForResponse(client, "HTTP/1.1 200");
  discovery.peers[0]->close();  // the next watch requests the changes since generation 7
  waitUntil([&] { return discovery.count("watch=1&from=7 HTTP/1.1\r\n") == 1; }, "another watch");
}

TEST_F(GatekeeperEndToEnd, AMovedWorkerGetsRequestsAtItsNewAddressAndADrainingOneGetsNone) {
  startWithWatch();
  const auto client = sendRequest(TestRequest());
  waitForRequestAtWorker("00000000000000a1");
  worker.peers[0]->send(httpResponse("200 OK", "old"));
  waitForResponse(client, "old");
  sendEndpointList(2, json::array({endpointEntryJson("s-1", other.addressText())}));
  waitUntil([&] { return worker.peers[0]->closedByPeer; }, "the old connection ends");
  client->send(TestRequest().text());
  waitUntil([&] { return other.count("\r\n\r\n") == 1; }, "a request at the new address");
  other.peers[0]->send(httpResponse("200 OK", "new"));
  waitForResponse(client, "new");
  sendEndpointList(3, json::array({endpointEntryJson("s-1", other.addressText(), "Terminating")}));
  waitUntil([&] { return other.peers[0]->closedByPeer; }, "the draining worker's connection ends");
  client->send(TestRequest().text());
  waitForResponse(client, "HTTP/1.1 429");
  EXPECT_EQ(other.count("\r\n\r\n"), 1u);
  sendEndpointList(4, json::array({endpointEntryJson("s-1", other.addressText(), "Gone")}));
  // The worker returns with the same id at another address.
  sendEndpointList(5, json::array({endpointEntryJson("s-1", worker.addressText())}));
  const auto next = sendRequest(TestRequest());
  waitUntil([&] { return worker.peers.back()->count("\r\n\r\n") == 1 && !worker.peers.back()->closedByPeer; },
            "a request at the worker that returned");
  sendEndpointList(6, json::array({endpointEntryJson("s-2", other.addressText())}),
                   true);  // a snapshot without it
  sendRequest(TestRequest());
  waitUntil([&] { return other.count("\r\n\r\n") == 2; }, "a request at the other worker");
  worker.peers.back()->send(httpResponse("200 OK", "out already"));
  waitForResponse(next, "out already");
}

// A malformed or outdated list must not change the endpoints, nor make a removed worker ready again. A
// snapshot is requested, and only the first such list is logged.
TEST_F(GatekeeperEndToEnd, AMalformedListIsIgnoredAndASnapshotIsRequested) {
  startWithWatch();
  sendEndpointList(2, json::array({endpointEntryJson("s-1", worker.addressText(), "Terminating"),
                                   endpointEntryJson("s-2", other.addressText())}));
  testing::internal::CaptureStderr();
  discovery.peers[0]->close();
  waitUntil([&] { return discovery.count("from=2 HTTP/1.1\r\n") == 1; }, "the next watch");
  std::size_t rejectedLists = 0;
  for (const std::string& line :
       {endpointListJson(1, true, json::array({endpointEntryJson("s-1", worker.addressText())})),
        std::string("[]"),
        endpointListJson(3, false, json::array({endpointEntryJson("s-1", worker.addressText(), "Resting")})),
        endpointListJson(3, false,
                         json::array({endpointEntryJson("s-1", worker.addressText()),
                                      endpointEntryJson("s-1", worker.addressText())})),
        std::string("{\"generation\":3}")}) {
    discovery.peers.back()->send("HTTP/1.1 200 OK\r\n\r\n" + line + "\n");
    ++rejectedLists;
    waitUntil([&] { return discovery.count("watch=1 HTTP/1.1\r\n") == rejectedLists; },
              "a request for a snapshot");
  }
  const std::string logOutput = testing::internal::GetCapturedStderr();
  // The two lines are the end of the watch and the first rejected list.
  EXPECT_EQ(std::count(logOutput.begin(), logOutput.end(), '\n'), 2) << logOutput;
  EXPECT_NE(logOutput.find("list: older than what is known"), std::string::npos);
  sendRequest(TestRequest());
  waitUntil([&] { return other.count("Req-Id: ") == 1; }, "a request at the ready worker");
  EXPECT_EQ(worker.count("Req-Id: "), 0u);
}

// The largest fleet must fit the smallest memory limit: a list of 1,024 workers, indented and sent in pieces,
// in a fleet of 1,024 gatekeepers.
TEST_F(GatekeeperEndToEnd, ReadsAListOf1024WorkersWithTheSmallestMemoryLimit) {
  json file = configJson(discovery.addressText());
  file["limits"]["memory_mb"] = 32;
  file["settings"]["nInstances"] = 1024;
  file["ops"] = "127.0.0.1:0";
  gatekeeper.emplace(io, parseConfig(file.dump()));
  gatekeeper->start();
  waitUntil([&] { return discovery.count("\r\n\r\n") == 1; }, "a watch");
  json all = json::array();
  for (int i = 0; i < 1024; ++i)
    all.push_back(endpointEntryJson("s-" + std::string(24, 'x') + std::to_string(i), worker.addressText()));
  const std::string list = json::parse(endpointListJson(1, true, all)).dump(4) + "\n";
  EXPECT_GT(list.size(), 250000u);
  discovery.peers[0]->send("HTTP/1.1 200 OK\r\n\r\n");
  for (std::size_t from = 0; from < list.size(); from += 50001)
    discovery.peers[0]->send(list.substr(from, 50001));
  waitUntil([&] { return gatekeeper->ready(); }, "ready");
  const auto operatorCall = connectTo(gatekeeper->opsAddress());
  operatorCall->send("telemetry\n");
  waitUntil([&] { return operatorCall->closedByPeer; }, "the end of the telemetry");
  EXPECT_TRUE(operatorCall->has("svc.hosts_listed:1024|g\n"));
  sendRequest(TestRequest());
  waitUntil([&] { return worker.count("Req-Id: ") == 1; }, "a request at a worker");
}

// The agent's list applies to a process from its start on, and the configured list may be older: no request
// may be sent before the agent's first list has been received. If the agent sends none for some seconds, the
// configured list is used.
TEST_F(GatekeeperEndToEnd, SendsNothingBeforeTheFirstListUnlessDiscoveryIsSilent) {
  startGatekeeper(json::array(
      {endpointEntryJson("s-1", worker.addressText()), endpointEntryJson("s-2", other.addressText())}));
  const auto client = sendRequest(TestRequest());
  const auto readinessProbe = connectTo(gatekeeper->address());
  readinessProbe->send("GET /health/ready HTTP/1.1\r\nHost: b\r\n\r\n");
  waitForResponse(readinessProbe, "HTTP/1.1 503");
  waitUntil(
      [&] {
        return gatekeeper->requestsInFlight() == 1 && discovery.count("watch=1&from=1 HTTP/1.1\r\n") == 1;
      },
      "a watch");
  EXPECT_EQ(worker.peers.size() + other.peers.size(), 0u);
  discovery.peers[0]->send(
      "HTTP/1.1 200 OK\r\n\r\n" +
      endpointListJson(2, false,
                       json::array({endpointEntryJson("s-1", worker.addressText(), "Terminating")})) +
      "\n");
  waitUntil([&] { return other.count("Req-Id: ") == 1; }, "the request at the ready worker");
  EXPECT_EQ(worker.peers.size(), 0u);
  EXPECT_TRUE(gatekeeper->ready());
  Gatekeeper withSilentAgent(
      io, parseConfig(configJson(discovery.addressText(),
                                 json::array({endpointEntryJson("s-1", worker.addressText())}))
                          .dump()));
  withSilentAgent.start();
  EXPECT_FALSE(withSilentAgent.ready());
  waitUntil([&] { return withSilentAgent.ready(); }, "ready with the configured list");
}

// A change of the endpoint list must be followed within some seconds even if the agent is silent on the
// watch, so the watch must be reopened within that time.
TEST_F(GatekeeperEndToEnd, TheWatchOnASilentAgentIsReopenedWithinFiveSeconds) {
  startWithWorker();
  waitUntil([&] { return discovery.count("watch=1") == 1; }, "a watch");
  const auto requestedAt = std::chrono::steady_clock::now();
  waitUntil([&] { return discovery.count("watch=1") == 2; }, "another watch");
  EXPECT_LT(std::chrono::steady_clock::now() - requestedAt, std::chrono::seconds(5));
}

TEST_F(GatekeeperEndToEnd, AReloadReconnectsTheWatchAndRetainsTheEndpoints) {
  startWithWatch();
  Listener second(io);
  gatekeeper->reload(parseConfig(configJson(second.addressText()).dump()));
  waitUntil([&] { return second.count("watch=1&from=1 HTTP/1.1\r\n") == 1; }, "a watch at the new address");
  waitUntil([&] { return discovery.peers[0]->closedByPeer; }, "the old watch's end");
  EXPECT_TRUE(gatekeeper->ready());
  second.peers[0]->send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  const std::string line =
      endpointListJson(2, false,
                       json::array({endpointEntryJson("s-1", worker.addressText(), "Terminating"),
                                    endpointEntryJson("s-2", other.addressText())})) +
      "\n";
  std::ostringstream size;
  size << std::hex << line.size();
  second.peers[0]->send(size.str() + "\r\n" + line + "\r\n");
  second.peers[0]->close();
  waitUntil([&] { return second.count("from=2 HTTP/1.1\r\n") == 1; }, "the next watch");
  sendRequest(TestRequest());
  waitUntil([&] { return other.count("Req-Id: ") == 1; }, "a request at the worker that the new agent lists");
  EXPECT_EQ(worker.count("Req-Id: "), 0u);
}

TEST_F(GatekeeperEndToEnd, DrainFinishesRequestsInFlightAndServesNewOnes) {
  startWithWorker();
  const auto early = sendRequest(TestRequest());
  waitForRequestAtWorker("00000000000000a1");
  bool done = false;
  gatekeeper->drain([&] { done = true; });
  TestRequest request;
  request.id = "00000000000000a2";
  const auto late = sendRequest(request);
  waitForRequestAtWorker(request.id);
  ASSERT_EQ(worker.peers.size(), 2u);
  worker.peers[0]->send(httpResponse("200 OK", "early"));
  worker.peers[1]->send(httpResponse("200 OK", "late"));
  waitForResponse(early, "early");
  waitForResponse(late, "late");
  EXPECT_TRUE(early->has("Connection: close\r\n"));
  early->close();
  late->close();
  waitUntil([&] { return done; }, "the drain's end");
}

// The deadline sent to a worker must be the client's remaining time when the request is written. Computed
// when the connection is requested, it would be too long by the time that connecting takes.
TEST_F(GatekeeperEndToEnd, TheDeadlineSentToAWorkerExcludesTheTimeToConnect) {
  ListenerWithFullBacklog slow(io);
  startGatekeeper(json::array({endpointEntryJson("s-1", slow.addressText())}));
  waitUntil([&] { return discovery.count("\r\n\r\n") == 1; }, "a watch");
  discovery.peers[0]->send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  sendEndpointList(1, json::array());
  waitUntil([&] { return gatekeeper->ready(); }, "ready");
  TestRequest request;
  request.deadline = "4000";
  const auto requestedAt = std::chrono::steady_clock::now();
  const auto client = sendRequest(request);
  io.restart();
  io.run_for(std::chrono::milliseconds(300));
  slow.accept();
  const std::string name = "Req-Deadline-Ms: ";
  const auto forwardedRequest = [&] {
    return std::find_if(slow.peers.begin(), slow.peers.end(),
                        [&](const PeerPtr& peer) { return peer->has(name) && peer->has("\r\n\r\n"); });
  };
  waitUntil([&] { return forwardedRequest() != slow.peers.end(); }, "a request at the worker");
  const std::chrono::duration<double, std::milli> elapsed = std::chrono::steady_clock::now() - requestedAt;
  ASSERT_GT(elapsed.count(), 500) << "the connection was established immediately";
  const std::string& received = (*forwardedRequest())->received;
  EXPECT_LE(std::stod(received.substr(received.find(name) + name.size())), 4000 - elapsed.count() + 150);
}

}  // namespace
}  // namespace wingslip::test
