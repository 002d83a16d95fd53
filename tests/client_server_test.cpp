/// The client server without a gatekeeper: time limits, body limit, connection limit, one response per
/// request.
#include <thread>

#include "loopback.hpp"
#include "recording_handler.hpp"

namespace wingslip::test {
namespace {

using namespace std::chrono_literals;

class ClientConnections : public Loopback {
 protected:
  void open(const ClientServer::Limits& limits) {
    config = parseConfig(configJson("127.0.0.1:1").dump());
    server.emplace(io, config, limits, handler, overloadManager);
    server->start();
  }
  // Connects a client with a short limit for its first request, and lets the limit pass unseen: its timer and
  // whatever the client sends then are due in the same turn of the event loop.
  PeerPtr connectAndLetTheTimeLimitPass() {
    ClientServer::Limits limits;
    limits.firstRequestTimeout = 100ms;
    open(limits);
    const auto client = connectTo(server->address());
    waitUntil([&] { return server->connections() == 1; }, "the accept");
    std::this_thread::sleep_for(limits.firstRequestTimeout + 20ms);
    return client;
  }
  Config config;
  RecordingHandler handler;
  OverloadManager overloadManager{io, budgetSharesFor({std::size_t{64} << 20}), OverloadState::Limits{}};
  std::optional<ClientServer> server;
};

// A client that stops in the middle of a request must not occupy its connection indefinitely.
TEST_F(ClientConnections, AnIncompleteRequestIsTimedOut) {
  ClientServer::Limits limits;
  limits.headerTimeout = 50ms;
  open(limits);
  const auto client = connectTo(server->address());
  client->send(
      "GET /health/ready HTTP/1.1\r\nHost: b\r\n\r\n");  // the first request has a time limit of its own
  waitUntil([&] { return client->has("ready"); }, "the first response");
  client->send(TestRequest().text().substr(0, 40));
  waitUntil([&] { return client->closedByPeer; }, "the connection ends");
  EXPECT_TRUE(client->has("HTTP/1.1 408")) << client->received;
  EXPECT_EQ(handler.lastRequestId, 0u);
}

// The time limit counts from the accept, even if a slow client sends a few bytes at a time.
TEST_F(ClientConnections, AConnectionWithoutACompleteFirstRequestIsClosedWithinTheTimeLimit) {
  EXPECT_LT(ClientServer::Limits().firstRequestTimeout, 3s);
  EXPECT_LT(ClientServer::Limits().headerTimeout, 3s);
  ClientServer::Limits limits;
  limits.firstRequestTimeout = 300ms;
  limits.headerTimeout = 60s;
  open(limits);
  const auto silent = connectTo(server->address());
  const auto trickling = connectTo(server->address());
  trickling->send("GET ");
  waitUntil([&] { return silent->closedByPeer && trickling->closedByPeer; }, "both connections end");
  EXPECT_TRUE(silent->received.empty());
  EXPECT_TRUE(trickling->has("HTTP/1.1 408")) << trickling->received;
  EXPECT_EQ(handler.lastRequestId, 0u);
}

// Guards against a time limit that is lost because unread bytes postpone it: blank lines never begin a
// request.
TEST_F(ClientConnections, APeerThatSendsBlankLinesWithoutEndIsClosedWithinTheTimeLimit) {
  ClientServer::Limits limits;
  limits.firstRequestTimeout = 300ms;
  limits.idleTimeout = 300ms;
  open(limits);
  const auto peer = connectTo(server->address()), keptPeer = connectTo(server->address());
  keptPeer->send("GET /health/ready HTTP/1.1\r\nHost: b\r\n\r\n");
  waitUntil([&] { return keptPeer->has("ready"); }, "the first response");
  for (const auto& sender : {peer, keptPeer}) sender->sendBytes(std::size_t{1} << 40, '\n');
  waitUntil([&] { return peer->closedByPeer && keptPeer->closedByPeer; }, "both connections end");
  EXPECT_TRUE(peer->received.empty()) << peer->received;
  waitUntil([&] { return server->connections() == 0; }, "both connections end");
}

// Guards against a header without a time limit: its first bytes are unread as the limit of the accept passes.
TEST_F(ClientConnections, AHeaderThatBeginsAsTheTimeLimitPassesIsTimedOut) {
  const auto client = connectAndLetTheTimeLimitPass();
  client->send(TestRequest().text().substr(0, 40));
  waitUntil([&] { return client->closedByPeer; }, "the connection ends");
  EXPECT_TRUE(client->has("HTTP/1.1 408")) << client->received;
}

// The same moment, but the request is complete: it is served.
TEST_F(ClientConnections, ARequestThatArrivesAsTheTimeLimitPassesIsServed) {
  const auto client = connectAndLetTheTimeLimitPass();
  client->send(TestRequest().text());
  waitUntil([&] { return handler.lastRequestId == 1 || client->closedByPeer; }, "a request in flight");
  EXPECT_EQ(handler.lastRequestId, 1u);
}

TEST_F(ClientConnections, InputAfterTheLastResponseIsLimited) {
  ClientServer::Limits limits;
  limits.lingerTimeout = 60s;
  limits.maxLingerBytes = 1000;
  open(limits);
  const auto client = connectTo(server->address());
  client->send("POST /order HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n");
  waitUntil([&] { return client->has("HTTP/1.1 413"); }, "a response");
  client->send(std::string(20000, 'x'));
  waitUntil([&] { return server->connections() == 0; }, "the connection ends");
}

TEST_F(ClientConnections, ARequestBeyondTheBodyLimitIsRejectedAtItsHeader) {
  open({});
  const auto client = connectTo(server->address());
  client->send("POST /order HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n" + std::string(500, 'x'));
  waitUntil([&] { return client->has("\r\n\r\n"); }, "a response");
  EXPECT_TRUE(client->has("HTTP/1.1 413")) << client->received;
  EXPECT_EQ(handler.lastRequestId, 0u);
}

TEST_F(ClientConnections, AtTheConnectionLimitTheLongestIdleConnectionIsEvicted) {
  ClientServer::Limits limits;
  limits.maxConnections = 2;
  open(limits);
  const auto first = connectTo(server->address());
  first->send(TestRequest().text());
  waitUntil([&] { return handler.lastRequestId == 1; }, "a request in flight");
  const auto second = connectTo(server->address());
  const auto third = connectTo(server->address());
  third->send("GET /health/ready HTTP/1.1\r\nHost: b\r\n\r\n");
  waitUntil([&] { return third->has("HTTP/1.1 200"); }, "the response on the third connection");
  EXPECT_TRUE(second->closedByPeer);
  EXPECT_FALSE(first->closedByPeer);
}

// While every connection has a request in flight, a new one waits in the kernel's accept queue; it is
// accepted when a connection closes.
TEST_F(ClientConnections, AtTheConnectionLimitWithoutIdleConnectionsANewOneWaits) {
  ClientServer::Limits limits;
  limits.maxConnections = 1;
  open(limits);
  const auto first = connectTo(server->address());
  first->send(TestRequest().text());
  waitUntil([&] { return handler.lastRequestId == 1; }, "a request in flight");
  const auto second = connectTo(server->address());
  second->send(TestRequest().text());
  io.restart();
  io.run_for(50ms);
  EXPECT_EQ(handler.lastRequestId, 1u);
  first->close();
  waitUntil([&] { return handler.lastRequestId == 2; }, "the second request");
  EXPECT_EQ(handler.ends, std::vector{RequestEnd::clientDisconnected});
}

TEST_F(ClientConnections, ARequestGetsOnlyOneFinalResponse) {
  open({});
  const auto client = connectTo(server->address());
  client->send(TestRequest().text());
  waitUntil([&] { return handler.responders.size() == 1; }, "a request in flight");
  for (int i = 0; i < 2; ++i) {
    ClientResponse response;
    response.body = "only";
    handler.responders[0]->respond(std::move(response));
  }
  waitUntil([&] { return client->has("only"); }, "the response");
  client->send("GET /health/ready HTTP/1.1\r\nHost: b\r\n\r\n");
  waitUntil([&] { return client->has("ready"); }, "the next response");
  EXPECT_EQ(client->count("only"), 1u);
}

}  // namespace
}  // namespace wingslip::test
