// The rare orders of events, on real connections: each test makes the bad order happen every time. What a
// peer does lies ready in the kernel before the loop takes its next turn, or is held back until the other
// side has done its step.
#include "upstream_pool_fixture.hpp"

namespace wingslip::test {
namespace {

using decision::AttemptResult;
using namespace std::chrono_literals;
using Steady = std::chrono::steady_clock;

class PoolRaces : public UpstreamPoolFixture {
 protected:
  void SetUp() override { open({}); }
  // One connection stands idle, and what could come late on it has come.
  void rest() {
    start(1);
    until([&] { return seen() == 1; }, "the first request");
    worker.peers[0]->send(reply("200 OK", "first"));
    untilEnds(1);
    const auto at = Steady::now() + 20ms;
    until([&] { return Steady::now() >= at; }, "it has settled");
  }

  Listener other{io};
};

// The kernel has the whole request, and the loop has not yet told: it may run all the same.
TEST_F(PoolRaces, AnAttemptCancelledInTheTurnOfItsLastByteCountsAsSent) {
  rest();
  start(2);
  const auto end = pool->cancelAttempt(2, AttemptResult::timeout);
  ASSERT_TRUE(end);
  EXPECT_EQ(end->outcome.result, AttemptResult::timeout);
  until([&] { return seen() == 2; }, "the request at the worker");
}

// Answer and time-out are both due when the loop takes its next turn, as after a pause of the process.
TEST_F(PoolRaces, AResponseIsReadBeforeATimeoutOfTheSameTurn) {
  rest();
  start(2, 50ms);
  until([&] { return seen() == 2; }, "the request at the worker");
  worker.peers[0]->send(reply("200 OK", "second"));
  for (const auto at = Steady::now() + 100ms; Steady::now() < at;) {
  }
  untilEnds(2);
  EXPECT_EQ(ends[1].outcome.result, AttemptResult::ok);
}

// The first answer fills a read to the byte, so that the second is still to be read when the connection
// rests.
TEST_F(PoolRaces, ASecondAnswerInTheSameTurnIsNeverTheNextRequests) {
  start(1);
  until([&] { return seen() == 1; }, "the first request");
  const std::string head = reply("200 OK", std::string(4000, 'x'));
  const std::string whole = reply("200 OK", std::string(4000 + 4096 - head.size(), 'x'));
  ASSERT_EQ(whole.size(), 4096u);
  onEnd = [this] { start(2); };
  worker.peers[0]->send(whole + reply("200 OK", "stray"));
  until([&] { return seen() == 2; }, "the next request");
  worker.peers.back()->send(reply("200 OK", "second"));
  untilEnds(2);
  EXPECT_EQ(ends[1].body, "second");
  EXPECT_EQ(worker.peers.size(), 2u);
}

// It comes when the next request has been given to the connection: that is not written before it would have
// come.
TEST_F(PoolRaces, ASecondAnswerSomeMillisecondsLateIsNeverTheNextRequests) {
  start(1);
  until([&] { return seen() == 1; }, "the first request");
  onEnd = [this] { start(2); };
  worker.peers[0]->send(reply("200 OK", "first"));
  untilEnds(1);
  worker.peers[0]->send(reply("200 OK", "stray"));
  untilEnds(2);
  EXPECT_EQ(ends[1].outcome.result, AttemptResult::connectFailed);
  EXPECT_EQ(seen(), 1u);
}

// The worker's machine holds a second small write back until the first is acknowledged (Nagle), and this
// machine, once a connection has carried some exchanges, acknowledges only after 40 ms or with what it sends:
// the next request would let the second answer go.
TEST_F(PoolRaces, ASecondAnswerThatTheWorkersMachineHeldBackIsNeverTheNextRequests) {
  constexpr decision::RequestId kExchanges = 40;
  for (decision::RequestId id = 1; id <= kExchanges; ++id) {
    start(id);
    until([&] { return seen() == id; }, "a request");
    if (id == kExchanges) onEnd = [this] { start(kExchanges + 1); };
    worker.peers[0]->send(reply("200 OK", "answer"));
    untilEnds(id);
  }
  io.restart();
  io.run_for(2ms);
  worker.peers[0]->send(reply("200 OK", "stray"));
  until([&] { return ends.size() > kExchanges || seen() > kExchanges; }, "the next attempt");
  io.restart();
  io.run_for(20ms);
  for (const AttemptEnd& end : ends) EXPECT_NE(end.body, "stray");
}

TEST_F(PoolRaces, AnAttemptInQuarantineEndsWhenItsWorkerIsRemoved) {
  start(1);
  until([&] { return seen() == 1; }, "the first request");
  onEnd = [this] {
    start(2);
    pool->retireWorker(1);
  };
  worker.peers[0]->send(reply("200 OK", "first"));
  untilEnds(2);
  EXPECT_EQ(ends[1].outcome.result, AttemptResult::connectFailed);
  EXPECT_EQ(seen(), 1u);
}

TEST_F(PoolRaces, AnAttemptConnectingToAFormerAddressEnds) {
  start(1);
  pool->setWorkerAddress(1, {other.address()});
  untilEnds(1);
  EXPECT_EQ(ends[0].outcome.result, AttemptResult::connectFailed);
  start(2);
  until([&] { return other.count("\r\n\r\n") == 1; }, "the next at the new address");
  EXPECT_EQ(seen(), 0u);
}

TEST_F(PoolRaces, AnAttemptWhoseClientDisconnectsDuringConnectIsNotWritten) {
  start(1, {}, [] { return false; });
  untilEnds(1);
  EXPECT_EQ(ends[0].outcome.result, AttemptResult::connectFailed);
  start(2);
  until([&] { return seen() == 1; }, "another request");
  EXPECT_EQ(worker.count("Req-Id: 1\r\n"), 0u);
}

class ClientRaces : public Loopback {
 protected:
  struct Kept : RequestHandler {
    bool ready() const override { return true; }
    decision::RequestId nextRequestId() override { return ++last; }
    void onRequest(decision::RequestId, const ParsedRequest&, ClientMessage&&,
                   const std::shared_ptr<Responder>& a) override {
      responders.push_back(a);
    }
    void onClientDisconnect(decision::RequestId) override { ++gone; }
    void onRequestRejected(unsigned) override {}
    void onClosedUnanswered(CloseReason reason) override {
      ADD_FAILURE() << "closed over a request: " << static_cast<int>(reason);
    }
    decision::RequestId last = 0;
    int gone = 0;
    std::vector<std::shared_ptr<Responder>> responders;
  };
  void SetUp() override { server.start(); }
  static std::string readiness() { return "GET /health/ready HTTP/1.1\r\nHost: b\r\n\r\n"; }

  Config config = parseConfig(configJson("127.0.0.1:1").dump());
  Kept handler;
  OverloadManager pressure{io, sharesOf({std::size_t{64} << 20}), OverloadState::Limits{}};
  ClientServer server{io, config, {}, handler, pressure};
};

// Two stand in the machine's queue as accepting stops: one has been taken from it in that turn, one has not.
TEST_F(ClientRaces, AConnectionThatArrivesAsAcceptingStopsIsServed) {
  const auto first = dial(server.address()), second = dial(server.address());
  until([&] { return server.connections() == 1; }, "the first is taken");
  server.stopAccepting();
  for (const auto& one : {first, second}) one->send(readiness());
  until([&] { return first->has("HTTP/1.1 200") && second->has("HTTP/1.1 200"); }, "an answer for each");
}

// Its request lies in the kernel as the drain ends what rests.
TEST_F(ClientRaces, ARequestThatArrivesAsTheDrainClosesIdleConnectionsIsAnswered) {
  const auto client = dial(server.address());
  client->send(readiness());
  server.stopAccepting();
  server.closeIdle();
  until([&] { return client->has("\r\n\r\n") || client->ended; }, "an answer or an end");
  EXPECT_TRUE(client->has("HTTP/1.1 200")) << client->got;
}

// The next request crosses the end of a connection whose last answer the client is still reading: a close
// would answer it with a reset, and what the system holds of the answer would go with it.
TEST_F(ClientRaces, ACloseThatCrossesARequestLosesNothingOfTheLastResponse) {
  const auto client = dial(server.address());
  client->stall();
  client->send(Ask().text());
  until([&] { return handler.responders.size() == 1; }, "the request");
  ClientResponse answer;
  answer.body = std::string(300000, 'z');
  handler.responders[0]->respond(std::move(answer));
  server.stopAccepting();
  const auto idle = [&] { return pressure.waitQueues().waiting(WaitQueue::responseWrite) == 0; };
  until(idle, "the answer is the system's");
  server.closeIdle();
  client->send(Ask().text());
  client->goOn();
  until([&] { return client->ended; }, "the end");
  EXPECT_EQ(client->count("z"), 300000u);
  EXPECT_EQ(handler.responders.size(), 1u) << "read after the shutdown, and sent on";
}

// At the limit the one that has rested longest would make room, but its next request has come unread.
TEST_F(ClientRaces, AConnectionWithAnUnreadRequestIsNotEvicted) {
  ClientServer::Limits limits;
  limits.maxConnections = 1;
  ClientServer small{io, config, limits, handler, pressure};
  small.start();
  const auto first = dial(small.address());
  first->send(readiness());
  until([&] { return first->has("HTTP/1.1 200"); }, "an answer");
  const auto second = dial(small.address());
  first->send(readiness());
  until([&] { return first->count("HTTP/1.1 200") == 2 || first->ended; }, "its second answer");
  EXPECT_EQ(first->count("HTTP/1.1 200"), 2u);
}

class GateRaces : public Loopback {
 protected:
  void SetUp() override {
    node.emplace(
        io, parseConfig(configJson(discovery.text(), json::array({entry("s-1", worker.text())})).dump()));
    node->start();
  }
  // One whose fate tells that everything before it has had its turn.
  void serveAnother(const std::string& id = "00000000000000ff") {
    Ask what;
    what.id = id;
    const auto client = dial(node->address());
    client->send(what.text());
    until([&] { return worker.count("Req-Id: " + what.id) == 1; }, "another request at the worker");
    worker.peers.back()->send(reply("200 OK", "another"));
    until([&] { return client->has("another"); }, "its answer");
  }

  Listener discovery{io}, worker{io}, other{io};
  std::optional<Gatekeeper> node;
};

// Request and close lie in the kernel together, and a connection to the worker stands ready.
TEST_F(GateRaces, AClientThatHasGoneStartsNoFirstAttempt) {
  serveAnother("00000000000000f0");
  const auto at = Steady::now() + 20ms;
  until([&] { return Steady::now() >= at; }, "the connection has settled");
  const auto client = dial(node->address());
  client->send(Ask().text());
  client->end();
  serveAnother();
  EXPECT_EQ(worker.count("Req-Id: 00000000000000a1"), 0u);
  EXPECT_EQ(node->requestsInFlight(), 0u);
}

// What it has sent ahead fills all that is read ahead, so that its close is behind bytes that nobody reads.
TEST_F(GateRaces, AClientThatHasGoneBehindWhatItSentAheadStartsNoFurtherAttempt) {
  const auto client = dial(node->address());
  client->send(Ask().text());
  until([&] { return worker.count("Req-Id: 00000000000000a1") == 1 && worker.count("\r\n\r\n") == 1; },
        "its request at the worker");
  Ask ahead;
  ahead.id = "00000000000000a2";
  for (int i = 0; i < 200; ++i) client->send(ahead.text());
  for (int i = 0; i < 20; ++i) io.restart(), io.poll();
  client->end();
  worker.peers[0]->reset();
  until([&] { return node->requestsInFlight() == 0; }, "it is let go");
  serveAnother();
  EXPECT_EQ(worker.count("Req-Id: 00000000000000a1"), 1u);
}

// Settings that name zones in another order mean the same by each name; so does what the lists had told
// before.
TEST_F(GateRaces, ZoneIndexesStayValidAcrossAReload) {
  const auto config = [&](const char* first, const char* second, int own) {
    json elsewhere = entry("s-2", other.text());
    elsewhere["zone"] = "b";
    json out = configJson(discovery.text(), json::array({entry("s-1", worker.text()), elsewhere}));
    out["settings"]["localities"] = {first, second};
    out["settings"]["locality"] = own;
    out["settings"]["prices"]["crossZone"] = 100.0;
    return parseConfig(out.dump());
  };
  Gatekeeper zoned(io, config("a", "b", 0));
  zoned.start();
  zoned.reload(config("b", "a", 1));  // this gatekeeper is in zone a as before
  for (int i = 0; i < 4; ++i) {
    Ask what;
    what.id = "00000000000000b" + std::to_string(i);
    const auto client = dial(zoned.address());
    client->send(what.text());
    until([&] { return worker.count("Req-Id: " + what.id) + other.count("Req-Id: " + what.id) == 1; },
          "a request");
    ASSERT_EQ(other.count("Req-Id: "), 0u) << "sent to the other zone";
    worker.peers.back()->send(reply("200 OK", "done"));
    until([&] { return client->has("done"); }, "an answer");
  }
}

// A request that waits for the first list while the settings change has the class and plan that it named.
TEST_F(GateRaces, ARequestBeforeTheFirstListKeepsItsClassAndPlanAcrossAReload) {
  json file = configJson(discovery.text(), json::array({entry("s-1", worker.text())}));
  Gatekeeper early(io, parseConfig(file.dump()));
  early.start();
  const auto client = dial(early.address());
  client->send(Ask().text());
  until([&] { return early.requestsInFlight() == 1; }, "it is held");
  std::swap(file["settings"]["profiles"][0], file["settings"]["profiles"][2]);
  std::swap(file["settings"]["plans"][0], file["settings"]["plans"][1]);
  early.reload(parseConfig(file.dump()));
  until([&] { return worker.count("Req-Id: 00000000000000a1") == 1; }, "the attempt");
  worker.peers[0]->end();  // safe to repeat, as the class that it named
  until([&] { return worker.count("Req-Id: 00000000000000a1") == 2; }, "another attempt");
}

}  // namespace
}  // namespace wingslip::test
