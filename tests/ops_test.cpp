// Operators' calls and figures, exclusions, and a hot restart on a socket that the platform holds.
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "gatekeeper/exclusions.hpp"
#include "gatekeeper/handover.hpp"
#include "loopback.hpp"
#include "net/operator_response.hpp"

namespace wingslip::test {
namespace {

// As many lines as the largest fleet has members.
struct ManyLines : OperatorCalls {
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

TEST_F(Loopback, OperatorsGetAllMembersOfALargeFleetIfThereIsMemory) {
  OverloadManager pressure{io, sharesOf({std::size_t{32} << 20}), OverloadState::Limits{}};
  ManyLines fleet;
  OpsServer server(io, OpsServer::Limits{}, fleet, pressure);
  server.start({asio::ip::address_v4::loopback(), 0});
  const auto members = [&] {
    const auto caller = dial(server.address());
    caller->send("members\n");
    until([&] { return caller->ended; }, "the end of the answer");
    return caller->got;
  };
  const std::string complete = members();
  EXPECT_EQ(std::count(complete.begin(), complete.end(), '\n'), 1026);
  EXPECT_EQ(complete.substr(complete.size() - 4), "EOF\n");
  auto otherCallers = pressure.memory().open(Account::operators);
  std::size_t taken = 0;
  while (otherCallers.resize(taken + 64 * 1024)) taken += 64 * 1024;
  EXPECT_EQ(members(), "400 no memory for the answer now\n");
  OperatorResponse endless("200");
  for (int i = 0; i < 100000; ++i) endless.addLine("a line that is one of many");
  EXPECT_LT(endless.text().size(), OperatorResponse::kMaxBytes + 100);
  EXPECT_NE(endless.text().find(" more\nEOF\n"), std::string::npos);
}

class Ops : public Loopback {
 protected:
  void SetUp() override {
    folder = ::testing::TempDir() + "wingslip-state-" + std::to_string(getpid());
    std::filesystem::create_directory(folder);
  }
  void TearDown() override { std::filesystem::remove_all(folder); }
  Config config() {
    json file = configJson(discovery.text(), json::array({entry("s-1", worker.text())}));
    file["ops"] = "127.0.0.1:0";
    Config out = parseConfig(file.dump());
    out.stateDir = folder;
    return out;
  }
  void open() {
    node.emplace(io, config());
    node->start();
  }
  std::string call(Gatekeeper& to, const std::string& text) {
    const auto caller = dial(to.opsAddress());
    caller->send(text);
    until([&] { return caller->ended; }, "the end of the answer");
    return caller->got;
  }
  std::string call(const std::string& line) { return call(*node, line + "\n"); }
  bool shows(const std::string& figure) { return call("telemetry").find(figure + "\n") != std::string::npos; }
  PeerPtr ask(const std::string& id, const std::string& klass = "look") {
    Ask what;
    what.klass = klass, what.id = id;
    const auto client = dial(node->address());
    client->send(what.text());
    return client;
  }
  void untilSeen(const std::string& id) {
    until([&] { return worker.count("Req-Id: " + id) == 1; }, "a request at the worker");
  }
  void tell(const json& instances, int generation, bool reset = true) {
    until([&] { return !discovery.peers.empty() && discovery.peers.back()->has("\r\n\r\n"); }, "a watch");
    const std::string line = roster(generation, reset, instances) + "\n";
    discovery.peers.back()->send("HTTP/1.1 200 OK\r\n\r\n" + line);
  }

  std::string folder;
  Listener discovery{io}, worker{io};
  std::optional<Gatekeeper> node;
};

TEST_F(Ops, AnswersOneLineAConnectionAndRejectsTheRest) {
  open();
  tell(json::array({entry("s-1", worker.text())}), 2);
  until([&] { return call("readyz").substr(0, 3) == "200"; }, "ready");
  EXPECT_EQ(call(*node, "readyz\r\n").substr(0, 3), "200");
  for (const char* wrong : {"", "reaDyz", "readyz now", "exclude", "exclude ", "exclude s-1 s-2",
                            "include never", "exclude never", "GET / HTTP/1.1"})
    EXPECT_EQ(call(wrong).substr(0, 3), "400") << wrong;
  EXPECT_EQ(call(*node, std::string(600, 'x')).substr(0, 3), "400");
  EXPECT_TRUE(shows("svc.hosts_down:0|g"));
}

TEST_F(Ops, SilentCallersDelayNobody) {
  open();
  std::vector<PeerPtr> silent;
  for (int i = 0; i < 40; ++i) {
    silent.push_back(dial(node->opsAddress()));
    if (i % 2) silent.back()->send("teleme");
  }
  EXPECT_NE(call("telemetry").find("\nEOF\n"), std::string::npos);
  EXPECT_TRUE(silent.front()->ended);  // the oldest made room
}

TEST_F(Ops, IsNotReadyBeforeTheListIsKnown) {
  json file = configJson(discovery.text());
  file["ops"] = "127.0.0.1:0";
  node.emplace(io, parseConfig(file.dump()));
  node->start();
  EXPECT_EQ(call("readyz").substr(0, 3), "400");
  tell(json::array({entry("s-1", worker.text())}), 2);
  until([&] { return call("readyz").substr(0, 3) == "200"; }, "ready");
}

TEST_F(Ops, CountsFinalAnswersAndAttemptsByClass) {
  open();
  const auto served = ask("00000000000000a1");
  untilSeen("00000000000000a1");
  EXPECT_TRUE(shows("svc.inflight:1|g"));
  worker.peers.back()->send(reply("200 OK", "done"));
  until([&] { return served->has("done"); }, "the answer");
  const auto failed = ask("00000000000000a2", "order");
  untilSeen("00000000000000a2");
  worker.peers.back()->end();
  until([&] { return failed->has("502"); }, "the failure");
  Ask beyond;
  beyond.plan = "small", beyond.query = "client=0000000000000007";
  const auto refused = dial(node->address());
  refused->send(beyond.text());
  until([&] { return refused->has("429"); }, "the refusal");
  for (const char* figure :
       {"svc.success.look:1|c", "svc.busy.look:1|c", "svc.failure.look:0|c", "svc.failure.order:1|c",
        "svc.success.edit:0|c", "svc.backend_calls:2|c", "svc.inflight:0|g", "svc.hosts_listed:1|g"})
    EXPECT_TRUE(shows(figure)) << figure << "\n" << call("telemetry");
}

TEST_F(Ops, AnExcludedWorkerStaysExcludedWhateverDiscoverySays) {
  open();
  EXPECT_EQ(call("exclude s-1").substr(0, 3), "200");
  EXPECT_EQ(call("exclude s-1").substr(0, 3), "200");
  EXPECT_TRUE(shows("svc.hosts_down:1|g"));
  tell(json::array({entry("s-1", worker.text(), "Gone"), entry("s-1", worker.text(), "Ready", 4e12)}), 2);
  until([&] { return call("readyz").substr(0, 3) == "200"; }, "the list");
  const auto refused = ask("00000000000000a1");
  until([&] { return refused->has("429"); }, "the refusal");
  EXPECT_EQ(worker.count("Req-Id"), 0u);
  EXPECT_EQ(call("include s-1").substr(0, 3), "200");
  EXPECT_EQ(call("include s-1").substr(0, 3), "200");
  EXPECT_TRUE(shows("svc.hosts_down:0|g"));
}

// The process that an upgrade starts has the exclusion before its first request, and each of the two follows
// what the other is told.
TEST_F(Ops, ExclusionsOutliveAHotRestartAndBothProcessesFollow) {
  open();
  EXPECT_EQ(call("exclude s-1").substr(0, 3), "200");
  Gatekeeper next(io, config());
  next.start();
  EXPECT_NE(call(next, "telemetry\n").find("svc.hosts_down:1|g"), std::string::npos);
  EXPECT_EQ(call(next, "include s-1\n").substr(0, 3), "200");
  until([&] { return shows("svc.hosts_down:0|g"); }, "the older process follows");
}

TEST_F(Ops, ADamagedExclusionsFileChangesNothing) {
  Exclusions mine(folder);
  EXPECT_FALSE(mine.set("s-1", true));  // no error
  const std::string file = folder + "/burlwind-excluded.json";
  for (const char* damage : {"", "{\"excluded\":[\"s-", "[]", "{\"excluded\":[1]}"}) {
    std::ofstream(file) << damage;
    EXPECT_FALSE(mine.sync()) << damage;
    EXPECT_EQ(mine.ids().count("s-1"), 1u) << damage;
    EXPECT_TRUE(Exclusions(folder).ids().empty()) << damage;
  }
  EXPECT_FALSE(mine.set("s-2", true));  // writes it anew
  EXPECT_EQ(Exclusions(folder).ids().size(), 2u);
}

TEST_F(Ops, ChangedSettingsApplyToNewRequestsOnly) {
  open();
  const auto old = ask("00000000000000a1", "order");  // unsafe: never sent again
  untilSeen("00000000000000a1");
  json file = configJson(discovery.text());
  file["ops"] = "127.0.0.1:0";
  json& classes = file["settings"]["profiles"];
  classes.push_back(classes[2]);
  classes[3]["name"] = "order-v2", classes[3]["repeat"] = "safe";
  classes.erase(2);
  classes.erase(0);
  node->reload(parseConfig(file.dump()));
  EXPECT_TRUE(shows("svc.reconfig_ok:1|c"));
  EXPECT_TRUE(shows("svc.success.order-v2:0|c"));
  const auto dropped = ask("00000000000000a2", "order");
  until([&] { return dropped->has("HTTP/1.1 400"); }, "the dropped class is unknown");
  Ask what;
  what.id = "00000000000000a3";
  std::string text = what.text();
  text.replace(0, 9, "GET /order-v2");
  const auto added = dial(node->address());
  added->send(text);
  untilSeen("00000000000000a3");
  worker.peers.back()->end();  // safe by now: sent again
  until([&] { return worker.count("Req-Id: 00000000000000a3") == 2; }, "another attempt");
  worker.peers.back()->send(reply("200 OK", "new"));
  until([&] { return added->has("new"); }, "the answer");
  worker.peers.front()->end();
  until([&] { return old->has("HTTP/1.1 502"); }, "the old request fails by its old class");
  EXPECT_EQ(worker.count("Req-Id: 00000000000000a1"), 1u);
  EXPECT_TRUE(shows("svc.failure.order:1|c"));
  node->reloadFailed();
  EXPECT_TRUE(shows("svc.reconfig_failed:1|c"));
}

// SIGTERM, then SIGHUP with a file that names no store any more: the end still waits for what it had begun.
TEST_F(Ops, RemovingTheStoreDuringADrainEndsNothingEarly) {
  Listener store(io);
  json file = configJson(discovery.text(), json::array({entry("s-1", worker.text())}));
  file["coordination"] = {
      {"store", store.text()}, {"prefix", "wingslip"}, {"ttl_ms", 10000}, {"lock_delay_ms", 0}};
  node.emplace(io, parseConfig(file.dump()));
  node->start();
  until([&] { return store.count("\r\n\r\n") > 0; }, "a call at the store");
  bool done = false;
  node->drain([&] { done = true; });
  file.erase("coordination");
  node->reload(parseConfig(file.dump()));
  EXPECT_NE(node->config().coordination, std::nullopt);
  until([&] { return done; }, "the end of the drain");
}

TEST_F(Ops, TheHandoverIsReadBackOrMissing) {
  EXPECT_FALSE(readHandover(folder));
  writeHandover(folder, {1e12, 0.01, -5e11});
  ASSERT_TRUE(readHandover(folder));
  EXPECT_EQ(readHandover(folder)->warmRate, 0.01);
  EXPECT_EQ(readHandover(folder)->clockOffset, -5e11);
  for (const char* damage :
       {"", "{", "[]", "{\"at\":1}", "{\"at\":1,\"warmRate\":-1,\"clockOffset\":0}",
        "{\"at\":1,\"warmRate\":\"much\",\"clockOffset\":0}", "{\"at\":1,\"warmRate\":1}"}) {
    std::ofstream(folder + "/burlwind-handover.json") << damage;
    EXPECT_FALSE(readHandover(folder)) << damage;
  }
}

// Two processes on one listening socket. The old one leaves it listening and unanswered connections to the
// new one, and still hears what comes on the connections that it has.
TEST_F(Ops, AHotRestartRejectsNobody) {
  tcp::acceptor held(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  const auto inherit = [&] {
    Config out = config();
    out.acceptFd = dup(held.native_handle());
    return out;
  };
  node.emplace(io, inherit());
  node->start();
  const auto dialled = [&] { return dial(held.local_endpoint()); };
  const std::string question = "GET /health/ready HTTP/1.1\r\nHost: b\r\n\r\n";
  const auto kept = dialled();
  tell(json::array({entry("s-1", worker.text())}), 2);  // accepts from here on
  kept->send(question);
  until([&] { return kept->has("HTTP/1.1 200"); }, "the old process has the connection");

  Gatekeeper next(io, inherit());
  next.start();
  until([&] { return discovery.peers.size() == 2 && discovery.peers[1]->has("\r\n\r\n"); }, "its watch");
  tell(json::array({entry("s-1", worker.text())}), 2);
  until([&] { return call(next, "readyz\n").substr(0, 3) == "200"; }, "its yes");
  bool done = false;
  node->drain([&] { done = true; });
  EXPECT_EQ(call("readyz").substr(0, 3), "400");
  kept->send(Ask().text());
  untilSeen("00000000000000a1");
  const auto late = dialled();
  late->send(question);
  until([&] { return late->has("HTTP/1.1 200"); }, "the new process serves");
  EXPECT_FALSE(late->has("Connection: close"));
  worker.peers.back()->send(reply("200 OK", "done"));
  until([&] { return kept->has("done") && kept->ended; }, "the old process answers and ends it");
  EXPECT_TRUE(kept->has("Connection: close\r\n"));
  until([&] { return done; }, "the old process's end");
  node.reset();
  const auto after = dialled();
  after->send(question);
  until([&] { return after->has("HTTP/1.1 200"); }, "the socket still listens");
}

}  // namespace
}  // namespace wingslip::test
