// Back-pressure on sockets: who waits, who is slowed, and what must go on meanwhile.
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <thread>

#include "gatekeeper/discovery.hpp"
#include "loopback.hpp"

namespace wingslip::test {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kMiB = std::size_t{1} << 20;

class OverloadManagerd : public Loopback {
 protected:
  json file() {
    json workers = json::array();
    for (int i = 1; i <= 20; ++i) workers.push_back(entry("s-" + std::to_string(i), worker.text()));
    json out = configJson(discovery.text(), workers);
    out["ops"] = "127.0.0.1:0";
    out["limits"]["memory_mb"] = 14;  // a budget of 1.5 MiB
    out["limits"]["sockets"] = 1024;
    return out;
  }
  void open(const json& config) {
    node.emplace(io, parseConfig(config.dump()));
    overflow = ledger().held(Account::clients);
    node->start();
  }
  void open() { open(file()); }
  PeerPtr ask(const std::string& text) {
    const auto client = dial(node->address());
    client->send(text);
    return client;
  }
  PeerPtr small(const std::string& id) {
    Ask what;
    what.id = id;
    return ask(what.text());
  }
  std::string longHead(std::size_t length, const std::string& id = "00000000000000b1") {
    Ask what;
    what.klass = "edit", what.id = id;
    std::string text = what.text();
    text.erase(text.find("Content-Length: 0\r\n"), 19);
    return text.substr(0, text.size() - 2) + "Content-Length: " + std::to_string(length) + "\r\n\r\n";
  }
  PeerPtr at(const std::string& id) {  // the worker's end of that request
    PeerPtr found;
    until(
        [&] {
          for (const auto& peer : worker.peers)
            if (peer->has("Req-Id: " + id)) found = peer;
          return found != nullptr;
        },
        "a request at the worker");
    return found;
  }
  std::string call(const std::string& line) {
    const auto caller = dial(node->opsAddress());
    caller->send(line + "\n");
    until([&] { return caller->ended; }, "the end of an operator's answer");
    return caller->got;
  }
  MemoryBudget& ledger() { return node->pressure().ledger(); }
  std::size_t waits(WaitAt place) { return node->pressure().places().waiting(place); }
  std::uint64_t turnedAway(WaitAt place) {
    return node->pressure().places().figures(place, OverloadManager::now()).turnedAway;
  }
  // Takes what is left of the budget, but for `rest`, as other clients would.
  void fill(std::size_t rest, bool stands = false) {
    hog = ledger().open(Account::clients);
    ASSERT_TRUE(hog.resize(ledger().room(Account::clients) - rest));
    if (stands) hog.fix();
  }
  void runFor(std::chrono::milliseconds span) {
    io.restart();
    io.run_for(span);
  }

  Listener discovery{io}, worker{io};
  std::optional<Gatekeeper> node;
  MemoryBudget::Charge hog;
  std::size_t overflow = 0;  // what is set aside for overflow connections
  void TearDown() override { hog.release(); }
};

// Many slow bodies that the worker does not take, far more than the budget, and small requests all along.
TEST_F(OverloadManagerd, SmallRequestsAreServedWhileLongBodiesWouldFillTheMemory) {
  json config = file();
  config["limits"]["memory_mb"] = 20;  // a budget of 6 MiB
  open(config);
  std::vector<PeerPtr> senders;
  for (int i = 0; i < 110; ++i) {
    char id[17];
    std::snprintf(id, sizeof id, "%016x", 0xb000 + i);
    senders.push_back(ask(longHead(4 * kMiB, id)));
    senders.back()->stream(4 * kMiB);
  }
  until(
      [&] {
        for (const auto& peer : worker.peers)
          if (peer->has("POST /edit")) peer->stall();
        return node->pressure().pressure().entered(Stage::slow) > 0;
      },
      "memory that fills");
  for (int i = 0; i < 20; ++i) {
    char id[17];
    std::snprintf(id, sizeof id, "%016x", 0xa000 + i);
    const auto client = small(id);
    until([&] { return worker.count(std::string("Req-Id: ") + id) > 0 || client->has("\r\n\r\n"); },
          "what comes of it");
    ASSERT_EQ(client->got, "") << i << "\n" << call("telemetry");
    at(id)->send(reply("200 OK", "small " + std::to_string(i)));
    until([&] { return client->has("small " + std::to_string(i)); }, "a small answer");
    client->end();
  }
  EXPECT_LE(ledger().most(), ledger().total());
  std::size_t sent = 0;
  for (const auto& sender : senders) sent += sender->streamed;
  EXPECT_GT(sent, 4 * ledger().total());  // in the kernel's buffers, not in ours
  const std::string figures = call("telemetry");
  EXPECT_NE(figures.find("svc.memory.budget:" + std::to_string(ledger().total()) + "|g\n"),
            std::string::npos);
  for (const auto& sender : senders) sender->end();
  worker.peers.clear();
  until([&] { return node->requestsInFlight() == 0 && ledger().held(Account::clients) == overflow; },
        "all given back");
}

// Neither side is read ahead of the other.
TEST_F(OverloadManagerd, AClientThatStopsReadingStopsTheWorkerAndBothGoOn) {
  open();
  const auto client = small("00000000000000a1");
  const auto from = at("00000000000000a1");
  client->stall();
  from->send("HTTP/1.1 200 OK\r\nContent-Length: 33000000\r\n\r\n");
  from->stream(33000000);
  std::size_t last = 0;
  until(
      [&] {
        const bool stands = waits(WaitAt::answerWindow) == 1 && from->streamed > 0 && from->streamed == last;
        last = from->streamed;
        if (!stands) runFor(50ms);
        return stands;
      },
      "a worker that is not read on");
  EXPECT_LT(from->streamed, 33000000u);
  EXPECT_LT(ledger().held(), 400000u);
  client->goOn();
  until([&] { return client->got.size() > 33000000; }, "the whole answer");
  until([&] { return node->requestsInFlight() == 0; }, "its end");
  EXPECT_LE(ledger().held(Account::workers), 11 * 1024u);
}

TEST_F(OverloadManagerd, APausedReaderNoticesThatItsPeerHasLeft) {
  open();
  const auto client = ask(longHead(8 * kMiB));
  client->stream(8 * kMiB);
  at("00000000000000b1")->stall();
  std::size_t last = 0;
  until(
      [&] {
        const bool stands =
            waits(WaitAt::bodyWindow) == 1 && client->streamed > 0 && client->streamed == last;
        last = client->streamed;
        if (!stands) runFor(50ms);
        return stands;
      },
      "a client that is not read on");
  // One that ends with more than we take cannot be told from one that waits: its end comes behind the rest.
  client->reset();
  until([&] { return node->requestsInFlight() == 0; }, "its leaving is noticed");
  EXPECT_EQ(ledger().held(Account::clients), overflow);
  EXPECT_EQ(turnedAway(WaitAt::bodyWindow), 0u);  // not by the worker's silence, which takes longer
}

// Without room a request that is still coming is turned away in time, with advice, and the connection's own
// part still serves small ones.
TEST_F(OverloadManagerd, ABodyThatFindsNoRoomIsTurnedAwayInTime) {
  open();
  fill(14 * 1024, true);
  const auto client = ask(longHead(60000));
  client->stream(30000);
  until([&] { return waits(WaitAt::pausedRead) == 1; }, "a paused read");
  const std::string busy = call("readyz");  // operators have their own part
  EXPECT_FALSE(busy.empty());
  until([&] { return client->has("\r\n\r\n"); }, "an answer");
  EXPECT_TRUE(client->has("HTTP/1.1 503")) << client->got;
  EXPECT_TRUE(client->has("Retry-After: ")) << client->got;
  EXPECT_EQ(turnedAway(WaitAt::pausedRead), 1u);
  EXPECT_NE(call("telemetry").find("svc.busy.edit:1|c\n"), std::string::npos);
  until([&] { return ledger().room(Account::clients) >= 12 * 1024; }, "its room given back");
  const auto other = small("00000000000000a2");
  at("00000000000000a2")->send(reply("200 OK", "served"));
  until([&] { return other->has("served"); }, "a small request");
}

TEST_F(OverloadManagerd, APausedBodyGoesOnWhenThereIsRoom) {
  open();
  fill(14 * 1024, true);
  const auto client = ask(longHead(60000));
  client->stream(60000);
  until([&] { return waits(WaitAt::pausedRead) == 1; }, "a paused read");
  hog.release();
  const auto got = at("00000000000000b1");
  until([&] { return std::count(got->got.begin(), got->got.end(), 'x') >= 60000; }, "the whole body");
  EXPECT_EQ(waits(WaitAt::pausedRead), 0u);
}

// The attempt cannot be held: nothing goes out, the worker is not blamed, and the client may come again.
TEST_F(OverloadManagerd, AnAttemptWithoutRoomIsNoFaultOfTheWorker) {
  open();
  auto workers = ledger().open(Account::workers);
  ASSERT_TRUE(workers.resize(ledger().room(Account::workers) - 15 * 1024));
  workers.fix();  // as idle connections would
  for (int i = 0; i < 5; ++i) {
    const auto client = small("00000000000000a1");
    if (i > 0) {
      until([&] { return client->has("HTTP/1.1 429"); }, "a refusal");
      continue;
    }
    at("00000000000000a1");  // takes what was left
  }
  EXPECT_EQ(worker.count("Req-Id"), 1u);
  EXPECT_NE(call("telemetry").find("svc.hosts_down:0|g\n"), std::string::npos);
  workers.release();
  const auto after = small("00000000000000a7");
  at("00000000000000a7")->send(reply("200 OK", "served"));
  until([&] { return after->has("served"); }, "the next one");
}

// A long attempt would take what is left over the high mark: it is not begun, and a small one still is.
TEST_F(OverloadManagerd, TheLastOfTheMemoryIsLeftToSmallAttempts) {
  open();
  auto workers = ledger().open(Account::workers);
  ASSERT_TRUE(workers.resize(ledger().room(Account::workers) * 74 / 100));
  ASSERT_LT(ledger().fullest().part(), 0.75);
  const auto client = ask(longHead(200000));
  client->stream(200000);
  until([&] { return client->has("\r\n\r\n"); }, "an answer to the long one");
  EXPECT_TRUE(client->has("HTTP/1.1 429")) << client->got;
  EXPECT_EQ(worker.count("Req-Id: 00000000000000b1"), 0u);
  EXPECT_NE(call("telemetry").find("svc.backend_short:1|c\n"), std::string::npos);
  const auto other = small("00000000000000a1");
  at("00000000000000a1")->send(reply("200 OK", "served"));
  until([&] { return other->has("served"); }, "the small one");
}

// An answer that finds no room is not read; its request's deadline fires all the same.
TEST_F(OverloadManagerd, ADeadlineFiresWhileTheAnswerIsPaused) {
  open();
  Ask what;
  what.deadline = "700";
  const auto client = ask(what.text());
  const auto from = at(what.id);
  auto workers = ledger().open(Account::workers);
  ASSERT_TRUE(workers.resize(ledger().room(Account::workers)));
  workers.fix();  // as idle connections would
  from->send("HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n");
  from->stream(60000);
  until([&] { return waits(WaitAt::pausedRead) == 1; }, "a paused answer");
  until([&] { return client->has("HTTP/1.1 "); }, "the final answer");
  EXPECT_FALSE(client->has("HTTP/1.1 200"));
  until([&] { return node->requestsInFlight() == 0 && waits(WaitAt::pausedRead) == 0; }, "its end");
}

TEST_F(OverloadManagerd, StandingPressureShedsWhatHoldsMostAndTellsWhenToComeBack) {
  json config = file();
  for (auto& klass : config["settings"]["profiles"]) klass["aim"] = 100.0;  // the interval
  open(config);
  const auto sender = ask(longHead(8 * kMiB));
  sender->stream(8 * kMiB);
  at("00000000000000b1")->stall();
  const auto held = small("00000000000000a1");
  const auto from = at("00000000000000a1");
  fill(ledger().room(Account::clients) / 5);
  until([&] { return sender->has("HTTP/1.1 "); }, "the long one is shed");
  // Its attempt was not whole at the worker; whether it has run is not known here, so it may not be called
  // harmless: its class drops repeats in one zone only.
  EXPECT_TRUE(sender->has("HTTP/1.1 502")) << sender->got;
  EXPECT_NE(call("telemetry").find("svc.pressure.shed:1|c\n"), std::string::npos);
  hog.release();
  until([&] { return node->pressure().pressure().calm(); }, "the end of the pressure");
  if (held->got.empty()) {
    from->send(reply("200 OK", "served"));
    until([&] { return held->has("served"); }, "the small one");
  }
  EXPECT_TRUE(held->has("served") || held->has("HTTP/1.1 429")) << held->got;
}

TEST_F(OverloadManagerd, ADrainEndsAndReloadsHoldUnderPressure) {
  open();
  const auto sender = ask(longHead(8 * kMiB));
  sender->stream(8 * kMiB);
  at("00000000000000b1")->stall();
  fill(14 * 1024);
  until([&] { return node->pressure().pressure().stage() != Stage::none; }, "pressure");
  node->reload(parseConfig(file().dump()));
  EXPECT_NE(call("telemetry").find("svc.reconfig_ok:1|c\n"), std::string::npos);
  bool done = false;
  node->drain([&] { done = true; });
  until([&] { return done; }, "the end of the drain");
}

// A place in which nothing ever shows is one that the program does not report.
TEST_F(OverloadManagerd, TheProgramReportsEveryPlace) {
  open();
  until([&] { return !discovery.peers.empty() && discovery.peers[0]->has("\r\n\r\n"); }, "a watch");
  discovery.peers[0]->send("HTTP/1.1 200 OK\r\n\r\n{\"generation\":2,");
  const auto body = ask(longHead(200000));
  body->stream(200000);
  at("00000000000000b1")->send(reply("200 OK", "taken"));
  until([&] { return body->has("taken"); }, "an answer");
  const auto client = small("00000000000000a1");
  at("00000000000000a1")
      ->send("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + std::string(100000, 'x'));
  until([&] { return client->got.size() > 100000; }, "a long answer");
  const auto half = ask(longHead(60000));
  fill(8 * 1024, true);
  half->stream(60000);
  const auto late = dial(node->address());
  const auto& places = node->pressure().places();
  const auto all = [&] {
    for (std::size_t i = 0; i < kPlaces; ++i)
      if (!places.reports(static_cast<WaitAt>(i))) return false;
    return true;
  };
  for (const char* call : {"readyz", "telemetry"}) EXPECT_FALSE(this->call(call).empty());
  client->end();
  body->end();  // no idle one is left to make room
  const auto limit = std::chrono::steady_clock::now() + 20s;
  while (!all() && std::chrono::steady_clock::now() < limit) {
    io.restart();
    io.run_one_for(50ms);
  }
  for (std::size_t i = 0; i < kPlaces; ++i)
    EXPECT_TRUE(places.reports(static_cast<WaitAt>(i))) << kPlaceNames[i];
}

// The next process starts while the old one is pressed; each has its half, and the old one's end frees
// nobody's.
TEST_F(OverloadManagerd, AnUpgradeUnderPressureHandsOver) {
  tcp::acceptor held(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  json config = file();
  config["limits"]["memory_mb"] = 28;
  const auto inherit = [&] {
    Config out = parseConfig(config.dump());
    out.acceptFd = dup(held.native_handle());
    return out;
  };
  node.emplace(io, inherit());
  EXPECT_LT(ledger().total(), 2 * kMiB);
  node->start();
  until([&] { return !discovery.peers.empty() && discovery.peers[0]->has("\r\n\r\n"); }, "a watch");
  const std::string list =
      "HTTP/1.1 200 OK\r\n\r\n" + roster(2, true, json::array({entry("s-1", worker.text())})) + "\n";
  discovery.peers[0]->send(list);
  const auto old = dial(held.local_endpoint());
  old->send(Ask().text());
  const auto from = at("00000000000000a1");
  fill(4 * 1024);
  until([&] { return node->pressure().pressure().stage() != Stage::none; }, "pressure");
  Gatekeeper next(io, inherit());
  next.start();
  until([&] { return discovery.peers.size() == 2 && discovery.peers[1]->has("\r\n\r\n"); }, "its watch");
  discovery.peers[1]->send(list);
  until([&] { return next.ready(); }, "its list");
  bool done = false;
  node->drain([&] { done = true; });
  from->send(reply("200 OK", "done"));
  until([&] { return old->has("\r\n\r\n") && old->ended; }, "an answer of the old one");
  until([&] { return done; }, "the old one's end");
  hog.release();
  node.reset();
  const auto late = dial(held.local_endpoint());
  late->send("GET /health/ready HTTP/1.1\r\nHost: b\r\n\r\n");
  until([&] { return late->has("HTTP/1.1 200"); }, "the new one serves");
  EXPECT_EQ(next.pressure().pressure().stage(), Stage::none);
}

// All connections are busy; others come and say nothing, or nonsense.
class Overflow : public OverloadManagerd {
 protected:
  struct Silent : RequestHandler {
    bool ready() const override { return true; }
    decision::RequestId nextRequestId() override { return ++last; }
    void onRequest(decision::RequestId, const ParsedRequest&, ClientMessage&&,
                   const std::shared_ptr<Responder>& a) override {
      responders.push_back(a);
    }
    void onClientDisconnect(decision::RequestId) override {}
    void onRequestRejected(unsigned) override { ++turned; }
    void onClosedUnanswered(CloseReason reason) override {
      ADD_FAILURE() << "closed over a request: " << static_cast<int>(reason);
    }
    decision::RequestId last = 0;
    int turned = 0;
    std::vector<std::shared_ptr<Responder>> responders;
  };
  void SetUp() override {
    config = parseConfig(configJson("127.0.0.1:1").dump());
    limits.maxConnections = 32;
    limits.overflowDelay = 100ms;
    limits.minOverflowTime = 200ms;
    limits.firstRequestTimeout = 600ms;
    server.emplace(io, config, limits, handler, pressure);
    server->start();
    for (std::size_t i = 0; i < 30; ++i) {
      busy.push_back(dial(server->address()));
      busy.back()->send(Ask().text());
    }
    until([&] { return handler.responders.size() == 30; }, "all are busy");
  }
  OverloadManager pressure{io, sharesOf({64 * kMiB}), Pressure::Limits{}};
  ClientServer::Limits limits;
  Config config;
  Silent handler;
  std::optional<ClientServer> server;
  std::vector<PeerPtr> busy;
};

TEST_F(Overflow, MalformedAndSilentPeersGetTheirEndAndRealOnesARefusal) {
  ASSERT_EQ(limits.overflowSlots(), 2u);
  const auto silent = dial(server->address()), odd = dial(server->address()), real = dial(server->address());
  odd->send("NONSENSE\r\n\r\n");
  real->send(Ask().text());
  until([&] { return silent->ended && odd->ended && real->ended; }, "an end for each");
  EXPECT_TRUE(odd->has("HTTP/1.1 400")) << odd->got;
  EXPECT_TRUE(real->has("HTTP/1.1 503")) << real->got;
  EXPECT_TRUE(real->has("Retry-After: ") && real->has("Connection: close")) << real->got;
  EXPECT_EQ(handler.turned, 1);
  EXPECT_EQ(handler.responders.size(), 30u);
}

TEST_F(Overflow, OneThatFindsRoomAfterAllIsServedAndMoreThanTheOverflowHoldsAllEnd) {
  std::vector<PeerPtr> silent;
  silent.reserve(12);
  for (int i = 0; i < 12; ++i) silent.push_back(dial(server->address()));
  until([&] { return std::all_of(silent.begin(), silent.end(), [](const auto& p) { return p->ended; }); },
        "an end for each");
  const auto late = dial(server->address());
  until([&] { return server->connections() == 31; }, "one on overflow");
  busy.front()->end();
  until([&] { return server->connections() == 30; }, "room");
  late->send(Ask().text());
  until([&] { return handler.responders.size() == 31; }, "it is taken");
  EXPECT_EQ(handler.turned, 0);
}

// Its place is wanted in the turn in which its request comes: what has been sent is answered.
TEST_F(Overflow, ARequestThatCrossesTheEndOfItsOverflowPlaceIsAnswered) {
  const auto first = dial(server->address()), second = dial(server->address());
  until([&] { return server->connections() == 32; }, "both on overflow");
  std::this_thread::sleep_for(limits.minOverflowTime + 20ms);
  const auto third = dial(server->address());
  first->send(Ask().text());
  until([&] { return first->ended; }, "its end");
  EXPECT_TRUE(first->has("HTTP/1.1 503")) << first->got;
  until([&] { return second->ended && third->ended; }, "an end for the silent ones");
}

TEST(PiledLists, SayTheLatestOfEachWorker) {
  const auto list = [](int generation, bool reset, const json& entries) {
    return parseRoster(roster(generation, reset, entries));
  };
  Roster sum = list(2, false, json::array({entry("a", "127.0.0.1:1"), entry("b", "127.0.0.1:2")}));
  addTo(sum,
        list(3, false, json::array({entry("a", "127.0.0.1:1", "Terminating"), entry("c", "127.0.0.1:3")})));
  ASSERT_EQ(sum.instances.size(), 3u);
  EXPECT_EQ(sum.generation, 3);
  EXPECT_EQ(sum.instances[0].phase, decision::WorkerPhase::draining);
  EXPECT_EQ(sum.instances[2].id, "c");
  addTo(sum, list(4, true, json::array({entry("d", "127.0.0.1:4")})));
  EXPECT_TRUE(sum.reset);
  ASSERT_EQ(sum.instances.size(), 1u);
  addTo(sum, list(5, false, json::array({entry("d", "127.0.0.1:4", "Gone")})));
  EXPECT_TRUE(sum.reset);  // still the whole list
  EXPECT_EQ(sum.instances[0].phase, decision::WorkerPhase::removed);
}

// A flood of news while it is pressed: a worker that drains in its last line gets nothing more.
TEST_F(OverloadManagerd, NewsThatPilesUpUnderPressureEndsInTheLatest) {
  json config = file();
  config["known"]["instances"] = json::array({entry("s-1", worker.text())});
  open(config);
  until([&] { return !discovery.peers.empty() && discovery.peers[0]->has("\r\n\r\n"); }, "a watch");
  fill(14 * 1024);
  until([&] { return node->pressure().pressure().stage() != Stage::none; }, "pressure");
  std::string lines = "HTTP/1.1 200 OK\r\n\r\n";
  for (int i = 2; i < 500; ++i)
    lines +=
        roster(i, false, json::array({entry("s-1", worker.text(), i % 2 ? "Terminating" : "Ready")})) + "\n";
  lines += roster(500, false,
                  json::array({entry("s-1", worker.text(), "Terminating"),
                               entry("s-2", worker.text(), "Terminating")})) +
           "\n";
  discovery.peers[0]->send(lines);
  until([&] { return call("telemetry").find("svc.hosts_listed:2|g\n") != std::string::npos; },
        "the last line");
  EXPECT_NE(call("telemetry").find("svc.hosts_down:2|g\n"), std::string::npos);
  const auto client = small("00000000000000a1");
  until([&] { return client->has("HTTP/1.1 429"); }, "a refusal");
  EXPECT_EQ(worker.count("Req-Id"), 0u);
}

TEST(MemoryLimit, IsANumberAboveZeroAndLargeEnoughOrTurnedDown) {
  const auto with = [](const json& value) {
    json file = configJson("127.0.0.1:1");
    file["limits"]["memory_mb"] = value;
    return file.dump();
  };
  EXPECT_EQ(parseConfig(configJson("127.0.0.1:1").dump()).memoryMb, 32);  // missing
  for (const json& odd : {json(0), json(-1), json("64"), json(true), json(nullptr), json::array({64})})
    EXPECT_THROW(parseConfig(with(odd)), std::runtime_error) << odd;
  EXPECT_THROW(parseConfig("{\"limits\":{\"memory_mb\":1e999}}"), std::runtime_error);
  EXPECT_EQ(parseConfig(with(48.5)).memoryMb, 48.5);
  asio::io_context io;
  for (const double small : {0.001, 1.0, 13.0}) {
    try {
      Gatekeeper node(io, parseConfig(with(small)));
      ADD_FAILURE() << small;
    } catch (const std::runtime_error& error) {
      EXPECT_NE(std::string(error.what()).find("limits.memory_mb is too small"), std::string::npos);
    }
  }
  Gatekeeper huge(io, parseConfig(with(1e300)));
  EXPECT_GT(huge.pressure().ledger().total(), kMiB);
  // At SIGHUP: what is malformed turns the file down, what is well-formed changes nothing.
  const Config before = parseConfig(with(64));
  Gatekeeper node(io, before);
  const std::size_t total = node.pressure().ledger().total();
  node.reload(parseConfig(with(1)));
  EXPECT_EQ(node.pressure().ledger().total(), total);
  EXPECT_THROW(checkChange(before, parseConfig(configJson("127.0.0.1:1").dump())), std::runtime_error);
}

// The program itself, under a limit of 24 MB, with 600 MB on their way through clients and workers that
// stall.
TEST_F(OverloadManagerd, TheProgramStaysWithinItsLimitWhateverSlowPeersHold) {
  json config = file();
  config["limits"]["memory_mb"] = 24;
  tcp::acceptor free(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  const tcp::endpoint listen = free.local_endpoint();
  free.close();
  config["listen"] = "127.0.0.1:" + std::to_string(listen.port());
  config.erase("ops");
  const std::string path = ::testing::TempDir() + "wingslip-pressed-" + std::to_string(getpid()) + ".json";
  std::ofstream(path) << config.dump();
  const pid_t child = fork();
  ASSERT_GE(child, 0);
  if (child == 0) {
    setenv("BALANCER_CONFIG", path.c_str(), 1);
    execl(WINGSLIP_GATEKEEPER_PROGRAM, WINGSLIP_GATEKEEPER_PROGRAM, static_cast<char*>(nullptr));
    _exit(127);
  }
  until([&] { return discovery.count("watch=1") == 1; }, "a watch");
  std::vector<PeerPtr> clients;
  const auto add = [&](const std::string& text) {
    clients.push_back(dial(listen));
    clients.back()->send(text);
  };
  for (int i = 0; i < 10; ++i) {
    char id[17];
    std::snprintf(id, sizeof id, "%016x", 0xb000 + i);
    add(longHead(30 * kMiB, id));
    clients.back()->stream(30 * kMiB);
    at(id)->stall();
    Ask what;
    std::snprintf(id, sizeof id, "%016x", 0xc000 + i);
    what.id = id;
    add(what.text());
    clients.back()->stall();
    const auto from = at(id);
    from->send("HTTP/1.1 200 OK\r\nContent-Length: 31457280\r\n\r\n");
    from->stream(30 * kMiB);
  }
  runFor(500ms);
  for (int i = 0; i < 20; i += 2) {
    EXPECT_LT(clients[static_cast<std::size_t>(i)]->streamed, 30 * kMiB) << "read without a taker";
  }
  std::ifstream status("/proc/" + std::to_string(child) + "/status");
  std::size_t peak = 0;
  for (std::string line; std::getline(status, line);)
    if (line.rfind("VmHWM:", 0) == 0) peak = std::stoul(line.substr(6)) * 1024;
  EXPECT_GT(peak, kMiB);
#if !defined(__SANITIZE_ADDRESS__)
  EXPECT_LT(peak, 24 * kMiB);
#endif
  kill(child, SIGTERM);
  int code = 0;
  until([&] { return waitpid(child, &code, WNOHANG) == child; }, "the end");
  EXPECT_TRUE(WIFEXITED(code) && WEXITSTATUS(code) == 0) << code;
  std::filesystem::remove(path);
}

}  // namespace
}  // namespace wingslip::test
