/// The clients' side alone: time limits, body limits, connection limit, one response a request.
#include "loopback.hpp"

namespace wingslip::test {
namespace {

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
  OverloadManager pressure{io, sharesOf({std::size_t{64} << 20}), OverloadState::Limits{}};
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
TEST_F(Clients, AClientWithoutACompleteFirstRequestIsClosedInTime) {
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

TEST_F(Clients, AClientThatSendsOnAfterItsLastResponseIsClosed) {
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

TEST_F(Clients, ARequestBeyondTheBodyLimitIsRejectedAtItsHeader) {
  open({});
  const auto client = dial(server->address());
  client->send("POST /order HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n" + std::string(500, 'x'));
  until([&] { return client->has("\r\n\r\n"); }, "an answer");
  EXPECT_TRUE(client->has("HTTP/1.1 413")) << client->got;
  EXPECT_EQ(handler.last, 0u);
}

TEST_F(Clients, AtTheLimitTheOldestIdleConnectionIsClosed) {
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

TEST_F(Clients, ARequestGetsOnlyOneFinalResponse) {
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

}  // namespace
}  // namespace wingslip::test
