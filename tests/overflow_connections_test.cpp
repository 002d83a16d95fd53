// Overflow connections: connections accepted while all regular connections are busy.
#include <algorithm>
#include <thread>

#include "loopback.hpp"
#include "recording_handler.hpp"

namespace wingslip::test {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kMiB = std::size_t{1} << 20;

// All regular connections have a request in flight; other clients send nothing, or a malformed or valid
// request.
class OverflowConnections : public Loopback {
 protected:
  void SetUp() override {
    config = parseConfig(configJson("127.0.0.1:1").dump());
    limits.maxConnections = 32;
    limits.overflowDelay = 100ms;
    limits.minOverflowTime = 200ms;
    limits.firstRequestTimeout = 600ms;
    limits.maxMemoryWait = 60s;
    server.emplace(io, config, limits, handler, overloadManager);
    server->start();
    for (std::size_t i = 0; i < 30; ++i) {
      busy.push_back(connectTo(server->address()));
      busy.back()->send(TestRequest().text());
    }
    waitUntil([&] { return handler.responders.size() == 30; },
              "a request in flight on every regular connection");
  }
  OverloadManager overloadManager{io, budgetSharesFor({64 * kMiB}), OverloadState::Limits{}};
  ClientServer::Limits limits;
  Config config;
  RecordingHandler handler;
  std::optional<ClientServer> server;
  std::vector<PeerPtr> busy;
};

TEST_F(OverflowConnections, MalformedAndSilentPeersAreClosedAndRequestsAreRejected) {
  ASSERT_EQ(limits.overflowSlots(), 2u);
  const auto silent = connectTo(server->address()), malformed = connectTo(server->address()),
             valid = connectTo(server->address());
  malformed->send("NONSENSE\r\n\r\n");
  valid->send(TestRequest().text());
  waitUntil([&] { return silent->closedByPeer && malformed->closedByPeer && valid->closedByPeer; },
            "the close of all three connections");
  EXPECT_TRUE(malformed->has("HTTP/1.1 400")) << malformed->received;
  EXPECT_TRUE(valid->has("HTTP/1.1 503")) << valid->received;
  EXPECT_TRUE(valid->has("Retry-After: ") && valid->has("Connection: close")) << valid->received;
  EXPECT_EQ(handler.rejections, 1);
  EXPECT_EQ(handler.responders.size(), 30u);
}

TEST_F(OverflowConnections, ARequestIsServedIfAConnectionBecomesFreeAndAllOthersAreClosed) {
  std::vector<PeerPtr> silent;
  silent.reserve(12);
  for (int i = 0; i < 12; ++i) silent.push_back(connectTo(server->address()));
  waitUntil(
      [&] {
        return std::all_of(silent.begin(), silent.end(), [](const auto& p) { return p->closedByPeer; });
      },
      "the close of all silent connections");
  const auto lateClient = connectTo(server->address());
  waitUntil([&] { return server->connections() == 31; }, "an overflow connection");
  busy.front()->close();
  waitUntil([&] { return server->connections() == 30; }, "room");
  lateClient->send(TestRequest().text());
  waitUntil([&] { return handler.responders.size() == 31; }, "the admission of the request");
  EXPECT_EQ(handler.rejections, 0);
}

// The request arrives in the loop iteration in which its connection would be evicted for another one.
TEST_F(OverflowConnections, ARequestThatArrivesAtTheEvictionOfItsOverflowConnectionIsAnswered) {
  const auto first = connectTo(server->address()), second = connectTo(server->address());
  waitUntil([&] { return server->connections() == 32; }, "two overflow connections");
  std::this_thread::sleep_for(limits.minOverflowTime + 20ms);
  const auto third = connectTo(server->address());
  first->send(TestRequest().text());
  waitUntil([&] { return first->closedByPeer; }, "the close of the first connection");
  EXPECT_TRUE(first->has("HTTP/1.1 503")) << first->received;
  waitUntil([&] { return second->closedByPeer && third->closedByPeer; },
            "the close of the silent connections");
}

// Guards against overflow slots that stay occupied: unread bytes of a connection whose read waits for memory
// are read by no handler, so they must not postpone its eviction.
TEST_F(OverflowConnections, AConnectionThatWaitsForMemoryIsEvictedForTheNext) {
  auto otherConnections = overloadManager.memory().open(Account::clients);
  ASSERT_TRUE(otherConnections.resize(overloadManager.memory().available(Account::clients)));
  TestRequest request;
  request.requestClass = "edit";
  request.body = std::string(60000, 'x');
  std::vector<PeerPtr> waitingClients;
  for (std::size_t i = 0; i < limits.overflowSlots(); ++i) {
    waitingClients.push_back(connectTo(server->address()));
    waitingClients.back()->send(request.text());
  }
  waitUntil(
      [&] { return overloadManager.waitQueues().waiting(WaitQueue::pausedRead) == limits.overflowSlots(); },
      "overflow connections that wait for memory");
  const auto malformed = connectTo(server->address());
  malformed->send("NONSENSE\r\n\r\n");
  waitUntil([&] { return malformed->closedByPeer; }, "the close of the malformed peer");
  EXPECT_TRUE(malformed->has("HTTP/1.1 400")) << malformed->received;
  EXPECT_TRUE(waitingClients.front()->has("HTTP/1.1 503")) << waitingClients.front()->received;
}

}  // namespace
}  // namespace wingslip::test
