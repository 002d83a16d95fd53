// The parts of the program one by one: the clients' side, the workers' side, the configuration.
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "gatekeeper/discovery.hpp"
#include "growth.hpp"
#include "loopback.hpp"
#include "upstream_pool_fixture.hpp"

namespace wingslip::test {
namespace {

using decision::AttemptResult;
using namespace std::chrono_literals;

struct Silent : RequestHandler {  // never answers
  bool ready() const override { return true; }
  decision::RequestId nextRequestId() override { return ++last; }
  void onRequest(decision::RequestId, const ParsedRequest&, ClientMessage&&,
                 const std::shared_ptr<Responder>& a) override {
    responder = a;
  }
  void onClientDisconnect(decision::RequestId) override { ++gone; }
  void onRequestRejected(unsigned) override { ++turned; }
  void onClosedUnanswered(CloseReason reason) override {
    ADD_FAILURE() << "closed over a request: " << static_cast<int>(reason);
  }
  int turned = 0;
  decision::RequestId last = 0;
  int gone = 0;
  std::shared_ptr<Responder> responder;
};

class Clients : public Loopback {
 protected:
  void open(const ClientServer::Limits& limits) {
    config = parseConfig(configJson("127.0.0.1:1").dump());
    server.emplace(io, config, limits, handler, pressure);
    server->start();
  }
  Config config;
  Silent handler;
  OverloadManager pressure{io, sharesOf({std::size_t{64} << 20}), Pressure::Limits{}};
  std::optional<ClientServer> server;
};

// A client that stops in the middle must not hold its connection for ever.
TEST_F(Clients, AHalfSentRequestIsTimedOut) {
  ClientServer::Limits limits;
  limits.headerTimeout = 50ms;
  open(limits);
  const auto client = dial(server->address());
  client->send(
      "GET /health/ready HTTP/1.1\r\nHost: b\r\n\r\n");  // a later request: the first has its own limit
  until([&] { return client->has("ready"); }, "the first answer");
  client->send(Ask().text().substr(0, 40));
  until([&] { return client->ended; }, "the connection ends");
  EXPECT_TRUE(client->has("HTTP/1.1 408")) << client->got;
  EXPECT_EQ(handler.last, 0u);
}

// Counted from the connection's start, however its bytes trickle in.
TEST_F(Clients, APeerWithoutAWholeFirstRequestIsEndedInTime) {
  EXPECT_LT(ClientServer::Limits().firstRequestTimeout, 3s);
  EXPECT_LT(ClientServer::Limits().headerTimeout, 3s);
  ClientServer::Limits limits;
  limits.firstRequestTimeout = 300ms;
  limits.headerTimeout = 60s;
  open(limits);
  const auto silent = dial(server->address());
  const auto trickling = dial(server->address());
  trickling->send("GET ");
  until([&] { return silent->ended && trickling->ended; }, "both connections end");
  EXPECT_TRUE(silent->got.empty());
  EXPECT_TRUE(trickling->has("HTTP/1.1 408")) << trickling->got;
  EXPECT_EQ(handler.last, 0u);
}

TEST_F(Clients, APeerThatSendsOnAfterItsLastAnswerIsCutOff) {
  ClientServer::Limits limits;
  limits.lingerTimeout = 60s;
  limits.maxLingerBytes = 1000;
  open(limits);
  const auto client = dial(server->address());
  client->send("POST /order HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n");
  until([&] { return client->has("HTTP/1.1 413"); }, "an answer");
  client->send(std::string(20000, 'x'));
  until([&] { return server->connections() == 0; }, "the connection ends");
}

TEST_F(Clients, ARequestPastTheBodyLimitIsRejectedWithItsHeader) {
  open({});
  const auto client = dial(server->address());
  client->send("POST /order HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n" + std::string(500, 'x'));
  until([&] { return client->has("\r\n\r\n"); }, "an answer");
  EXPECT_TRUE(client->has("HTTP/1.1 413")) << client->got;
  EXPECT_EQ(handler.last, 0u);
}

TEST_F(Clients, AtTheLimitTheOldestIdleConnectionMakesRoom) {
  ClientServer::Limits limits;
  limits.maxConnections = 2;
  open(limits);
  const auto first = dial(server->address());
  first->send(Ask().text());
  until([&] { return handler.last == 1; }, "a held request");
  const auto second = dial(server->address());
  const auto third = dial(server->address());
  third->send("GET /health/ready HTTP/1.1\r\nHost: b\r\n\r\n");
  until([&] { return third->has("HTTP/1.1 200"); }, "the third is served");
  EXPECT_TRUE(second->ended);
  EXPECT_FALSE(first->ended);
}

// Where every connection holds a request the next waits in the machine's queue, and comes in when one ends.
TEST_F(Clients, AtTheLimitWithNoneIdleTheNextWaits) {
  ClientServer::Limits limits;
  limits.maxConnections = 1;
  open(limits);
  const auto first = dial(server->address());
  first->send(Ask().text());
  until([&] { return handler.last == 1; }, "a held request");
  const auto second = dial(server->address());
  second->send(Ask().text());
  io.restart();
  io.run_for(50ms);
  EXPECT_EQ(handler.last, 1u);
  first->end();
  until([&] { return handler.last == 2; }, "the second request");
  EXPECT_EQ(handler.gone, 1);
}

TEST_F(Clients, OneFinalAnswerOnly) {
  open({});
  const auto client = dial(server->address());
  client->send(Ask().text());
  until([&] { return handler.responder != nullptr; }, "a held request");
  for (int i = 0; i < 2; ++i) {
    ClientResponse answer;
    answer.body = "only";
    handler.responder->respond(std::move(answer));
  }
  until([&] { return client->has("only"); }, "the answer");
  client->send("GET /health/ready HTTP/1.1\r\nHost: b\r\n\r\n");
  until([&] { return client->has("ready"); }, "the next answer");
  EXPECT_EQ(client->count("only"), 1u);
}

class Calls : public Loopback {
 protected:
  // The least time from the first calls of some gatekeepers, all turned away, to the first call of them that
  // comes again.
  std::chrono::milliseconds firstAgain(unsigned gatekeepers) {
    Listener agent(io);
    OverloadManager pressure(io, sharesOf({std::size_t{64} << 20}), Pressure::Limits{});
    std::vector<std::unique_ptr<Discovery>> all;
    for (unsigned i = 0; i < 10; ++i) {
      all.push_back(std::make_unique<Discovery>(
          io, agent.address(), Roster{}, Watch::limitsFor(2000, gatekeepers), i, [](const Roster&) {},
          pressure));
      all.back()->start();
    }
    until([&] { return agent.count("GET /registry/instances") == 10; }, "all call");
    const auto refused = std::chrono::steady_clock::now();
    for (const auto& peer : std::vector<PeerPtr>(agent.peers)) peer->send(reply("503 Busy", ""));
    until([&] { return agent.peers.size() > 10; }, "one calls again");
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - refused);
  }
};

// A hundred that lose discovery together would come back within half a second, and then three times in two,
// faster than it can answer them; each waits longer by how many may call with it.
TEST_F(Calls, GatekeepersThatAreManyComeBackToDiscoveryMoreSlowly) {
  EXPECT_GE(firstAgain(100).count(), 900);
  EXPECT_GE(firstAgain(3).count(), 20);
}

class Pool : public UpstreamPoolFixture {};

TEST_F(Pool, TellsTheReportAndTheMeterOfAnAnswer) {
  open({});
  start(1);
  untilSeen(1);
  worker.peers[0]->send(
      reply("200 OK", "body", "Srv-Load: inflight=7,queue=2,util=0.61\r\nX-RateLimit-Used: 85\r\n"));
  untilEnds(1);
  EXPECT_EQ(ends[0].outcome.result, AttemptResult::ok);
  EXPECT_EQ(ends[0].outcome.loadReport, (std::vector<double>{0.61, 2}));
  EXPECT_EQ(ends[0].outcome.quotaUsePercent, 85);
  EXPECT_EQ(ends[0].body, "body");
}

TEST_F(Pool, TellsTheTrueUnitsOfAnAnswer) {
  open({});
  const std::pair<const char*, double> cases[] = {
      {"X-Cost-Units: 3\r\n", 3},  {"X-Cost-Units: 2.5\r\n", 2.5}, {"X-Cost-Units: many\r\n", 0},
      {"X-Cost-Units: -1\r\n", 0}, {"X-Cost-Units: inf\r\n", 0},   {"", 0}};
  for (const auto& [header, units] : cases) {
    ends.clear();
    start(1);
    untilSeen(worker.count("\r\n\r\n") + 1);
    worker.peers[0]->send(reply("200 OK", "", header));
    untilEnds(1);
    EXPECT_EQ(ends[0].outcome.actualUnits, units) << header;
  }
}

TEST_F(Pool, HasNoReportWhereAFigureIsMissingOrMalformed) {
  open({});
  for (const char* load : {"Srv-Load: queue=2\r\n", "Srv-Load: queue=2,util=high\r\n", ""}) {
    ends.clear();
    start(1);
    untilSeen(worker.count("\r\n\r\n") + 1);
    worker.peers[0]->send(reply("200 OK", "", load));
    untilEnds(1);
    EXPECT_TRUE(ends[0].outcome.loadReport.empty()) << load;
    EXPECT_EQ(ends[0].outcome.quotaUsePercent, -1);
  }
}

TEST_F(Pool, AnEarlyTimeOutIsToldOnceAndEndsTheConnection) {
  open({});
  start(1, 50ms);
  untilEnds(1);
  EXPECT_EQ(ends[0].outcome.result, AttemptResult::timeout);
  until([&] { return worker.peers.size() == 1 && worker.peers[0]->ended; }, "the connection ends");
  EXPECT_EQ(pool->connections(), 0u);
  EXPECT_FALSE(pool->cancelAttempt(1, AttemptResult::timeout));
}

TEST_F(Pool, ABrokenAnswerMayHaveRun) {
  open({});
  start(1);
  untilSeen(1);
  worker.peers[0]->send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
  worker.peers[0]->end();
  untilEnds(1);
  EXPECT_EQ(ends[0].outcome.result, AttemptResult::reset);
}

// The size is refused with the header, also where the body's first bytes come in the same read.
TEST_F(Pool, AnAnswerPastTheBodyLimitIsUnreadableAtOnce) {
  open({});
  start(1);
  untilSeen(1);
  worker.peers[0]->send("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + std::string(500, 'x'));
  untilEnds(1);
  EXPECT_EQ(ends[0].outcome.result, AttemptResult::error);
  EXPECT_EQ(pool->connections(), 0u);
}

// What belongs to no body and no header is bounded too: a chunk's extension, and the trailer.
TEST_F(Pool, AnAnswerWithoutEndOutsideItsBodyIsUnreadable) {
  for (const char* prefix : {"5;", "0\r\nX: "}) {
    ends.clear();
    open({});
    start(1);
    const auto seen = worker.peers.size();
    until([&] { return worker.peers.size() > seen && worker.peers.back()->has("\r\n\r\n"); }, "a request");
    worker.peers.back()->send(std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n") + prefix);
    for (int i = 0; i < 20; ++i) worker.peers.back()->send(std::string(1000, 'x'));
    untilEnds(1);
    EXPECT_EQ(ends[0].outcome.result, AttemptResult::error);
    EXPECT_EQ(pool->connections(), 0u);
  }
}

// One that comes up late would otherwise be written to when nothing may go there any more.
TEST_F(Pool, AnAttemptWhoseConnectionIsNotUpDoesNotGoToAWorkerThatLeaves) {
  open({});
  start(1);
  pool->removeWorker(1);
  untilEnds(1);
  EXPECT_EQ(ends[0].outcome.result, AttemptResult::connectFailed);
  EXPECT_EQ(pool->connections(), 0u);
  EXPECT_EQ(worker.count("Req-Id"), 0u);
  pool->setWorkerAddress(1, {worker.address()});
  start(2);
  untilSeen(1);
  pool->removeWorker(1);  // out already: it goes on
  worker.peers.back()->send(reply("200 OK", "done"));
  untilEnds(2);
  EXPECT_EQ(ends[1].outcome.result, AttemptResult::ok);
}

TEST_F(Pool, AnUnknownWorkerCannotBeReachedAndIsToldLater) {
  open({});
  pool->removeWorker(1);
  start(1);
  EXPECT_TRUE(ends.empty());
  untilEnds(1);
  EXPECT_EQ(ends[0].outcome.result, AttemptResult::connectFailed);
}

// Retired before the worker ends it: a request written to it from then on would be lost.
TEST_F(Pool, AnIdleConnectionIsRetiredInTime) {
  UpstreamPool::Limits limits;
  limits.idleTimeout = 50ms;
  open(limits);
  start(1);
  untilSeen(1);
  worker.peers[0]->send(reply("200 OK", ""));
  untilEnds(1);
  EXPECT_EQ(pool->connections(), 1u);
  until([&] { return worker.peers[0]->ended; }, "the connection ends");
  EXPECT_EQ(pool->connections(), 0u);
}

TEST_F(Pool, ARestartedWorkersConnectionsAreDropped) {
  open({});
  start(1);
  untilSeen(1);
  pool->setWorkerAddress(1, {worker.address(), std::chrono::steady_clock::now() +
                                                   1h});  // started after this connection was opened
  EXPECT_TRUE(ends.empty());
  untilEnds(1);
  EXPECT_EQ(ends[0].outcome.result, AttemptResult::reset);
  EXPECT_EQ(pool->connections(), 0u);
}

// Whichever worker's it is, and whatever order the table has them in.
TEST_F(Pool, TheConnectionThatHasStoodIdleLongestMakesRoom) {
  UpstreamPool::Limits limits;
  limits.maxConnections = 8;
  open(limits);
  std::vector<std::unique_ptr<Listener>> others;
  for (decision::WorkerId id = 10; id < 18; ++id) {
    others.push_back(std::make_unique<Listener>(io));
    pool->setWorkerAddress(id, {others.back()->address()});
    pool->startAttempt(static_cast<decision::RequestId>(id), 0, id, plain("GET / HTTP/1.1\r\n\r\n"), {});
    until([&] { return others.back()->count("\r\n\r\n") == 1; }, "a request");
    others.back()->peers[0]->send(reply("200 OK", ""));
    untilEnds(others.size());
  }
  EXPECT_EQ(pool->connections(), 8u);
  for (std::size_t round = 0; round < 3; ++round) {
    start(static_cast<decision::RequestId>(100 + round));
    until([&] { return others[round]->peers[0]->ended; }, "the end of the oldest");
    for (std::size_t i = round + 1; i < others.size(); ++i) EXPECT_FALSE(others[i]->peers[0]->ended) << i;
  }
  EXPECT_EQ(pool->connections(), 8u);
  EXPECT_EQ(pool->localShortages(), 0u);
}

// Where none may stand idle there is nothing to look for, however many workers there are.
TEST_F(Pool, AnAttemptAtTheLimitIsNoWalkOfAllWorkers) {
  UpstreamPool::Limits limits;
  limits.maxConnections = 0;
  const double factor = growth::between(500, [&](std::size_t n) {
    open(limits);
    for (std::size_t i = 0; i < n; ++i) pool->setWorkerAddress(1000 + i, {worker.address()});
    const double before = growth::processorTime();
    for (std::size_t i = 0; i < n; ++i) start(static_cast<decision::RequestId>(i + 1));
    return growth::processorTime() - before;
  });
  EXPECT_LT(factor, growth::kMost);
}

// A restart of one worker ends what is out there, and nothing at the others.
TEST_F(Pool, ARestartEndsTheAttemptsOfItsWorkerAlone) {
  Listener other{io};
  open({});
  pool->setWorkerAddress(2, {other.address()});
  start(1);
  pool->startAttempt(2, 0, 2, plain("GET / HTTP/1.1\r\n\r\n"), {});
  untilSeen(1);
  until([&] { return other.count("\r\n\r\n") == 1; }, "a request at the other");
  pool->setWorkerAddress(1, {worker.address(), std::chrono::steady_clock::now() + 1h});
  untilEnds(1);
  EXPECT_EQ(ends[0].outcome.id, 1u);
  EXPECT_EQ(ends[0].outcome.result, AttemptResult::reset);
  other.peers[0]->send(reply("200 OK", ""));
  untilEnds(2);
  EXPECT_EQ(ends[1].outcome.result, AttemptResult::ok);
  EXPECT_EQ(pool->connections(), 1u);
}

TEST_F(Pool, HoldsNoMoreConnectionsThanItMay) {
  UpstreamPool::Limits limits;
  limits.maxConnections = 1;
  open(limits);
  start(1);
  start(2);
  untilEnds(1);
  EXPECT_EQ(ends[0].outcome.id, 2u);
  EXPECT_EQ(ends[0].outcome.result, AttemptResult::notSent);  // no fault of the worker's
  EXPECT_EQ(pool->localShortages(), 1u);
  Listener second(io);
  pool->setWorkerAddress(2, {second.address()});
  untilSeen(1);
  worker.peers[0]->send(reply("200 OK", ""));
  untilEnds(2);
  pool->startAttempt(3, 0, 2, plain("GET / HTTP/1.1\r\n\r\n"), {});  // the idle one makes room
  until([&] { return second.count("\r\n\r\n") == 1; }, "a request at the other worker");
  EXPECT_EQ(pool->connections(), 1u);
}

TEST(Configuration, ReadsWhatItIsTold) {
  const Config config =
      parseConfig(configJson("127.0.0.1:8500", json::array({entry("s", "127.0.0.1:9")})).dump());
  EXPECT_EQ(config.discovery.port(), 8500);
  EXPECT_EQ(config.seed, 0x8c1f30d27a5be964u);
  EXPECT_EQ(config.sockets, 256u);
  EXPECT_EQ(config.host.classes, (std::vector<std::string>{"look", "edit", "order"}));
  EXPECT_EQ(config.host.zones, (std::vector<std::string>{"a", "b"}));
  EXPECT_EQ(config.settings.classes[1].idempotency, decision::Idempotency::withKey);
  EXPECT_EQ(config.settings.plans[1].rate, 1000);
  EXPECT_EQ(config.settings.loadReportFields, (std::vector<std::string>{"util", "queue"}));
  EXPECT_EQ(parseRoster(config.known).instances.at(0).id, "s");
}

TEST(Configuration, SaysPlainlyWhatIsWrong) {
  for (const char* text : {"", "[]", "{}", R"({"name":"n","listen":"here","discovery":"127.0.0.1:1"})"})
    EXPECT_THROW(parseConfig(text), std::runtime_error) << text;
  json file = configJson("127.0.0.1:1");
  file["settings"]["nInstances"] = "many";
  EXPECT_THROW(parseConfig(file.dump()), std::runtime_error);
}

// The program itself, on a configuration file of the test's.
class Program : public Loopback {
 protected:
  void SetUp() override {
    file = ::testing::TempDir() + "wingslip-config-" + std::to_string(getpid()) + ".json";
  }
  void TearDown() override {
    if (child > 0) kill(child, SIGKILL), waitpid(child, nullptr, 0);
    std::filesystem::remove(file);
  }
  void write(const std::string& text) { std::ofstream(file) << text; }
  void run(const std::string& discoveryVariable) {
    child = fork();
    ASSERT_GE(child, 0);
    if (child > 0) return;
    setenv("BALANCER_CONFIG", file.c_str(), 1);
    setenv("BALANCER_DISCOVERY", discoveryVariable.c_str(), 1);
    execl(WINGSLIP_GATEKEEPER_PROGRAM, WINGSLIP_GATEKEEPER_PROGRAM, static_cast<char*>(nullptr));
    _exit(127);
  }
  bool ended(int& status) const { return waitpid(child, &status, WNOHANG) == child; }

  Listener first{io}, second{io};
  std::string file;
  pid_t child = 0;
};

// What was set at the start names the old address; the file that has changed since names the new one.
TEST_F(Program, ReadsTheFileAgainOnSighupAndGoesOnThroughABadOne) {
  write(configJson(first.text()).dump());
  run(first.text());
  until([&] { return first.count("watch=1") == 1; }, "a watch");
  write("{ half a");
  kill(child, SIGHUP);
  io.restart();
  io.run_for(200ms);
  write(configJson(second.text()).dump());
  kill(child, SIGHUP);
  until([&] { return second.count("watch=1") == 1; }, "a watch at the new address");
  int status = 0;
  EXPECT_FALSE(ended(status));
  kill(child, SIGTERM);
  until([&] { return ended(status); }, "the end");
  child = 0;
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0) << status;
}

// A changed file is taken whole or not at all.
TEST(Configuration, AChangeThatLacksAKeyOrHasAnOddLimitIsTurnedDown) {
  const json good = configJson("127.0.0.1:1");
  const Config before = parseConfig(good.dump());
  checkChange(before, parseConfig(good.dump()));
  const auto turnedDown = [&](const char* at, const json& value) {
    json file = good;
    if (value.is_discarded())
      file.at(json::json_pointer(at).parent_pointer()).erase(json::json_pointer(at).back());
    else
      file[json::json_pointer(at)] = value;
    EXPECT_THROW(checkChange(before, parseConfig(file.dump())), std::runtime_error) << at << " " << value;
  };
  const json gone(json::value_t::discarded);
  for (const char* key :
       {"/name", "/limits", "/seed", "/settings", "/settings/rules/warmUp", "/settings/profiles/1/aim",
        "/settings/profiles/2/repeat", "/settings/profiles/0/name", "/settings/permissions"})
    turnedDown(key, gone);
  for (const char* key : {"/settings/profiles/1/deadline", "/settings/permissions/attemptsCap"})
    for (const json& value :
         {json(0), json(-5), json("6000"), json(nullptr), json(true), json::object(), gone})
      turnedDown(key, value);
  turnedDown("/settings/profiles/0/repeat", "sometimes");
  const std::string text = good.dump();
  EXPECT_THROW(parseConfig(text.substr(0, text.size() / 2)), HalfWritten);
  EXPECT_THROW(parseConfig(""), HalfWritten);
}

TEST(Configuration, TheProgramEndsWithOneLineOnABadOne) {
  const std::string out = ::testing::TempDir() + "wingslip-bad-" + std::to_string(getpid());
  const std::string command =
      "BALANCER_CONFIG=/nonexistent " WINGSLIP_GATEKEEPER_PROGRAM " 2>" + out + " >/dev/null </dev/null";
  const int status = std::system(command.c_str());
  EXPECT_EQ(WEXITSTATUS(status), 1);
  std::ifstream in(out);
  std::string first, second;
  EXPECT_TRUE(std::getline(in, first));
  EXPECT_FALSE(std::getline(in, second)) << second;
  EXPECT_NE(first.find("/nonexistent"), std::string::npos);
}

}  // namespace
}  // namespace wingslip::test
