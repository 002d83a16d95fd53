// Operators' calls and telemetry, exclusions, and a hot restart on a listening socket inherited from the
// platform.
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "gatekeeper/exclusions.hpp"
#include "gatekeeper/handover.hpp"
#include "loopback.hpp"
#include "net/operator_response.hpp"

namespace wingslip::test {
namespace {

// Responds to `members` with a line for each member of the largest fleet.
struct LargeFleetCalls : OperatorCalls {
  std::string replicationMembers() const override {
    OperatorResponse out("200 alive=1024");
    for (int i = 0; i < 1024; ++i) out.addLine(std::string(200, 'm'));
    return out.text();
  }
  bool readyToServe() const override { return true; }
  std::string telemetry() const override { return ""; }
  ExclusionResult exclude(const std::string&) override { return {ExclusionResult::Status::unknownWorker}; }
  ExclusionResult include(const std::string&) override { return {ExclusionResult::Status::unknownWorker}; }
  std::string leaderTasks() const override { return ""; }
  std::string membershipRecord() const override { return ""; }
  std::string replicationState() const override { return ""; }
};

TEST_F(Loopback, MembersResponseOfALargeFleetIsCompleteIfMemoryIsAvailable) {
  OverloadManager overloadManager{io, budgetSharesFor({std::size_t{32} << 20}), OverloadState::Limits{}};
  LargeFleetCalls calls;
  OpsServer server(io, OpsServer::Limits{}, calls, overloadManager);
  server.start({asio::ip::address_v4::loopback(), 0});
  const auto members = [&] {
    const auto caller = connectTo(server.address());
    caller->send("members\n");
    waitUntil([&] { return caller->closedByPeer; }, "the end of the response");
    return caller->received;
  };
  const std::string complete = members();
  EXPECT_EQ(std::count(complete.begin(), complete.end(), '\n'), 1026);
  EXPECT_EQ(complete.substr(complete.size() - 4), "EOF\n");
  auto otherReservation = overloadManager.memory().open(Account::operators);
  std::size_t reservedBytes = 0;
  while (otherReservation.resize(reservedBytes + 64 * 1024)) reservedBytes += 64 * 1024;
  EXPECT_EQ(members(), "400 no memory for the answer now\n");
  OperatorResponse oversized("200");
  for (int i = 0; i < 100000; ++i) oversized.addLine("a line that is one of many");
  EXPECT_LT(oversized.text().size(), OperatorResponse::kMaxBytes + 100);
  EXPECT_NE(oversized.text().find(" more\nEOF\n"), std::string::npos);
}

class Ops : public Loopback {
 protected:
  void SetUp() override {
    stateDirectory = ::testing::TempDir() + "wingslip-state-" + std::to_string(getpid());
    std::filesystem::create_directory(stateDirectory);
  }
  void TearDown() override { std::filesystem::remove_all(stateDirectory); }
  Config config() {
    json file =
        configJson(discovery.addressText(), json::array({endpointEntryJson("s-1", worker.addressText())}));
    file["ops"] = "127.0.0.1:0";
    Config out = parseConfig(file.dump());
    out.stateDir = stateDirectory;
    return out;
  }
  void open() {
    gatekeeper.emplace(io, config());
    gatekeeper->start();
  }
  std::string call(Gatekeeper& to, const std::string& text) {
    const auto caller = connectTo(to.opsAddress());
    caller->send(text);
    waitUntil([&] { return caller->closedByPeer; }, "the end of the response");
    return caller->received;
  }
  std::string call(const std::string& line) { return call(*gatekeeper, line + "\n"); }
  bool telemetryHas(const std::string& metric) {
    return call("telemetry").find(metric + "\n") != std::string::npos;
  }
  PeerPtr sendRequest(const std::string& id, const std::string& requestClass = "look") {
    TestRequest request;
    request.requestClass = requestClass, request.id = id;
    const auto client = connectTo(gatekeeper->address());
    client->send(request.text());
    return client;
  }
  void waitForRequest(const std::string& id) {
    waitUntil([&] { return worker.count("Req-Id: " + id) == 1; }, "the request at the worker");
  }
  void sendEndpointList(const json& instances, int generation, bool reset = true) {
    waitUntil([&] { return !discovery.peers.empty() && discovery.peers.back()->has("\r\n\r\n"); }, "a watch");
    const std::string line = endpointListJson(generation, reset, instances) + "\n";
    discovery.peers.back()->send("HTTP/1.1 200 OK\r\n\r\n" + line);
  }

  std::string stateDirectory;
  Listener discovery{io}, worker{io};
  std::optional<Gatekeeper> gatekeeper;
};

TEST_F(Ops, RespondsToOneCallPerConnectionAndRejectsMalformedCalls) {
  open();
  sendEndpointList(json::array({endpointEntryJson("s-1", worker.addressText())}), 2);
  waitUntil([&] { return call("readyz").substr(0, 3) == "200"; }, "ready");
  EXPECT_EQ(call(*gatekeeper, "readyz\r\n").substr(0, 3), "200");
  for (const char* malformed : {"", "reaDyz", "readyz now", "exclude", "exclude ", "exclude s-1 s-2",
                                "include never", "exclude never", "GET / HTTP/1.1"})
    EXPECT_EQ(call(malformed).substr(0, 3), "400") << malformed;
  EXPECT_EQ(call(*gatekeeper, std::string(600, 'x')).substr(0, 3), "400");
  EXPECT_TRUE(telemetryHas("svc.hosts_down:0|g"));
}

TEST_F(Ops, IdleConnectionsDoNotDelayOtherCalls) {
  open();
  std::vector<PeerPtr> idle;
  for (int i = 0; i < 40; ++i) {
    idle.push_back(connectTo(gatekeeper->opsAddress()));
    if (i % 2) idle.back()->send("teleme");
  }
  EXPECT_NE(call("telemetry").find("\nEOF\n"), std::string::npos);
  EXPECT_TRUE(idle.front()->closedByPeer);  // the oldest connection was closed for a new one
}

TEST_F(Ops, IsNotReadyBeforeTheFirstEndpointList) {
  json file = configJson(discovery.addressText());
  file["ops"] = "127.0.0.1:0";
  gatekeeper.emplace(io, parseConfig(file.dump()));
  gatekeeper->start();
  EXPECT_EQ(call("readyz").substr(0, 3), "400");
  sendEndpointList(json::array({endpointEntryJson("s-1", worker.addressText())}), 2);
  waitUntil([&] { return call("readyz").substr(0, 3) == "200"; }, "ready");
}

TEST_F(Ops, TelemetryCountsFinalResponsesAndAttemptsByClass) {
  open();
  const auto served = sendRequest("00000000000000a1");
  waitForRequest("00000000000000a1");
  EXPECT_TRUE(telemetryHas("svc.inflight:1|g"));
  worker.peers.back()->send(httpResponse("200 OK", "done"));
  waitUntil([&] { return served->has("done"); }, "the response");
  const auto failed = sendRequest("00000000000000a2", "order");
  waitForRequest("00000000000000a2");
  worker.peers.back()->close();
  waitUntil([&] { return failed->has("502"); }, "the response to a failed request");
  TestRequest overQuota;
  overQuota.plan = "small", overQuota.query = "client=0000000000000007";
  const auto rejected = connectTo(gatekeeper->address());
  rejected->send(overQuota.text());
  waitUntil([&] { return rejected->has("429"); }, "the rejection");
  for (const char* metric :
       {"svc.success.look:1|c", "svc.busy.look:1|c", "svc.failure.look:0|c", "svc.failure.order:1|c",
        "svc.success.edit:0|c", "svc.backend_calls:2|c", "svc.inflight:0|g", "svc.hosts_listed:1|g"})
    EXPECT_TRUE(telemetryHas(metric)) << metric << "\n" << call("telemetry");
}

TEST_F(Ops, AnExclusionIsNotChangedByEndpointLists) {
  open();
  EXPECT_EQ(call("exclude s-1").substr(0, 3), "200");
  EXPECT_EQ(call("exclude s-1").substr(0, 3), "200");
  EXPECT_TRUE(telemetryHas("svc.hosts_down:1|g"));
  sendEndpointList(json::array({endpointEntryJson("s-1", worker.addressText(), "Gone"),
                                endpointEntryJson("s-1", worker.addressText(), "Ready", 4e12)}),
                   2);
  waitUntil([&] { return call("readyz").substr(0, 3) == "200"; }, "ready with the new list");
  const auto rejected = sendRequest("00000000000000a1");
  waitUntil([&] { return rejected->has("429"); }, "the rejection");
  EXPECT_EQ(worker.count("Req-Id"), 0u);
  EXPECT_EQ(call("include s-1").substr(0, 3), "200");
  EXPECT_EQ(call("include s-1").substr(0, 3), "200");
  EXPECT_TRUE(telemetryHas("svc.hosts_down:0|g"));
}

// Guards against requests to an excluded worker during an upgrade: the new process applies the persisted
// exclusions before its first request, and each of the two processes applies the changes that operators make
// at the other one.
TEST_F(Ops, ExclusionsPersistAcrossAHotRestartAndAreSharedByBothProcesses) {
  open();
  EXPECT_EQ(call("exclude s-1").substr(0, 3), "200");
  Gatekeeper next(io, config());
  next.start();
  EXPECT_NE(call(next, "telemetry\n").find("svc.hosts_down:1|g"), std::string::npos);
  EXPECT_EQ(call(next, "include s-1\n").substr(0, 3), "200");
  waitUntil([&] { return telemetryHas("svc.hosts_down:0|g"); }, "the inclusion in the old process");
}

TEST_F(Ops, AMalformedExclusionsFileIsIgnored) {
  Exclusions exclusions(stateDirectory);
  EXPECT_FALSE(exclusions.set("s-1", true));  // returns no error
  const std::string file = stateDirectory + "/burlwind-excluded.json";
  for (const char* malformedText : {"", "{\"excluded\":[\"s-", "[]", "{\"excluded\":[1]}"}) {
    std::ofstream(file) << malformedText;
    EXPECT_FALSE(exclusions.sync()) << malformedText;
    EXPECT_EQ(exclusions.ids().count("s-1"), 1u) << malformedText;
    EXPECT_TRUE(Exclusions(stateDirectory).ids().empty()) << malformedText;
  }
  EXPECT_FALSE(exclusions.set("s-2", true));  // replaces the malformed file
  EXPECT_EQ(Exclusions(stateDirectory).ids().size(), 2u);
}

TEST_F(Ops, ChangedSettingsApplyToNewRequestsOnly) {
  open();
  const auto oldRequest = sendRequest("00000000000000a1", "order");  // unsafe: never retried
  waitForRequest("00000000000000a1");
  json file = configJson(discovery.addressText());
  file["ops"] = "127.0.0.1:0";
  json& classes = file["settings"]["profiles"];
  classes.push_back(classes[2]);
  classes[3]["name"] = "order-v2", classes[3]["repeat"] = "safe";
  classes.erase(2);
  classes.erase(0);
  gatekeeper->reload(parseConfig(file.dump()));
  EXPECT_TRUE(telemetryHas("svc.reconfig_ok:1|c"));
  EXPECT_TRUE(telemetryHas("svc.success.order-v2:0|c"));
  const auto removedClassRequest = sendRequest("00000000000000a2", "order");
  waitUntil([&] { return removedClassRequest->has("HTTP/1.1 400"); }, "the rejection of the removed class");
  TestRequest request;
  request.id = "00000000000000a3";
  std::string text = request.text();
  text.replace(0, 9, "GET /order-v2");
  const auto newClassRequest = connectTo(gatekeeper->address());
  newClassRequest->send(text);
  waitForRequest("00000000000000a3");
  worker.peers.back()->close();  // safe in the new settings: retried
  waitUntil([&] { return worker.count("Req-Id: 00000000000000a3") == 2; }, "a retry");
  worker.peers.back()->send(httpResponse("200 OK", "new"));
  waitUntil([&] { return newClassRequest->has("new"); }, "the response");
  worker.peers.front()->close();
  waitUntil([&] { return oldRequest->has("HTTP/1.1 502"); },
            "the failure of the old request by the rules of its class");
  EXPECT_EQ(worker.count("Req-Id: 00000000000000a1"), 1u);
  EXPECT_TRUE(telemetryHas("svc.failure.order:1|c"));
  gatekeeper->reloadFailed();
  EXPECT_TRUE(telemetryHas("svc.reconfig_failed:1|c"));
}

// Guards against a drain that is cut short by a reload (SIGTERM, then SIGHUP) with a file that no longer
// names a store: the drain still waits for the store operations in progress.
TEST_F(Ops, RemovingTheStoreInAReloadDoesNotCutADrainShort) {
  Listener store(io);
  json file =
      configJson(discovery.addressText(), json::array({endpointEntryJson("s-1", worker.addressText())}));
  file["coordination"] = {
      {"store", store.addressText()}, {"prefix", "wingslip"}, {"ttl_ms", 10000}, {"lock_delay_ms", 0}};
  gatekeeper.emplace(io, parseConfig(file.dump()));
  gatekeeper->start();
  waitUntil([&] { return store.count("\r\n\r\n") > 0; }, "a request at the store");
  bool done = false;
  gatekeeper->drain([&] { done = true; });
  file.erase("coordination");
  gatekeeper->reload(parseConfig(file.dump()));
  EXPECT_NE(gatekeeper->config().coordination, std::nullopt);
  waitUntil([&] { return done; }, "the end of the drain");
}

TEST_F(Ops, AWrittenHandoverIsReadBackAndAMalformedOneIsIgnored) {
  EXPECT_FALSE(readHandover(stateDirectory));
  writeHandover(stateDirectory, {1e12, 0.01, -5e11});
  ASSERT_TRUE(readHandover(stateDirectory));
  EXPECT_EQ(readHandover(stateDirectory)->warmWorkerRatePerMs, 0.01);
  EXPECT_EQ(readHandover(stateDirectory)->clockOffsetMs, -5e11);
  for (const char* malformedText :
       {"", "{", "[]", "{\"at\":1}", "{\"at\":1,\"warmRate\":-1,\"clockOffset\":0}",
        "{\"at\":1,\"warmRate\":\"much\",\"clockOffset\":0}", "{\"at\":1,\"warmRate\":1}"}) {
    std::ofstream(stateDirectory + "/burlwind-handover.json") << malformedText;
    EXPECT_FALSE(readHandover(stateDirectory)) << malformedText;
  }
}

// Guards against clients that are rejected during a hot restart. Two processes share a listening socket: the
// draining one does not close it, no longer accepts connections, and still serves requests on its own
// connections.
TEST_F(Ops, AHotRestartRejectsNoClient) {
  tcp::acceptor platformAcceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  const auto inheritedConfig = [&] {
    Config out = config();
    out.inheritedListenFd = dup(platformAcceptor.native_handle());
    return out;
  };
  gatekeeper.emplace(io, inheritedConfig());
  gatekeeper->start();
  const auto connectClient = [&] { return connectTo(platformAcceptor.local_endpoint()); };
  const std::string readinessRequest = "GET /health/ready HTTP/1.1\r\nHost: b\r\n\r\n";
  const auto oldClient = connectClient();
  sendEndpointList(json::array({endpointEntryJson("s-1", worker.addressText())}),
                   2);  // ready, and accepts connections from now on
  oldClient->send(readinessRequest);
  waitUntil([&] { return oldClient->has("HTTP/1.1 200"); }, "the response of the old process");

  Gatekeeper next(io, inheritedConfig());
  next.start();
  waitUntil([&] { return discovery.peers.size() == 2 && discovery.peers[1]->has("\r\n\r\n"); },
            "the watch of the new process");
  sendEndpointList(json::array({endpointEntryJson("s-1", worker.addressText())}), 2);
  waitUntil([&] { return call(next, "readyz\n").substr(0, 3) == "200"; }, "the new process is ready");
  bool done = false;
  gatekeeper->drain([&] { done = true; });
  EXPECT_EQ(call("readyz").substr(0, 3), "400");
  oldClient->send(TestRequest().text());
  waitForRequest("00000000000000a1");
  const auto newClient = connectClient();
  newClient->send(readinessRequest);
  waitUntil([&] { return newClient->has("HTTP/1.1 200"); }, "the response of the new process");
  EXPECT_FALSE(newClient->has("Connection: close"));
  worker.peers.back()->send(httpResponse("200 OK", "done"));
  waitUntil([&] { return oldClient->has("done") && oldClient->closedByPeer; },
            "the old process responds and closes the connection");
  EXPECT_TRUE(oldClient->has("Connection: close\r\n"));
  waitUntil([&] { return done; }, "the end of the drain");
  gatekeeper.reset();
  const auto laterClient = connectClient();
  laterClient->send(readinessRequest);
  waitUntil([&] { return laterClient->has("HTTP/1.1 200"); }, "a response on the shared socket");
}

}  // namespace
}  // namespace wingslip::test
