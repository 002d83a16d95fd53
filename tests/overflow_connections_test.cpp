// Connections beyond those that may be busy.
#include <algorithm>
#include <thread>

#include "loopback.hpp"

namespace wingslip::test {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kMiB = std::size_t{1} << 20;

// All connections are busy, and others send nothing, or something malformed.
class OverflowConnections : public Loopback {
 protected:
  struct RecordingHandler : RequestHandler {
    bool ready() const override { return true; }
    decision::RequestId nextRequestId() override { return ++last; }
    void onRequest(decision::RequestId, const ParsedRequest&, ClientMessage&&,
                   const std::shared_ptr<Responder>& responder) override {
      responders.push_back(responder);
    }
    void onClientDisconnect(decision::RequestId) override {}
    void onRequestRejected(unsigned) override { ++rejections; }
    void onClosedUnanswered(CloseReason reason) override {
      ADD_FAILURE() << "closed over a request: " << static_cast<int>(reason);
    }
    decision::RequestId last = 0;
    int rejections = 0;
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
  OverloadManager pressure{io, sharesOf({64 * kMiB}), OverloadState::Limits{}};
  ClientServer::Limits limits;
  Config config;
  RecordingHandler handler;
  std::optional<ClientServer> server;
  std::vector<PeerPtr> busy;
};

TEST_F(OverflowConnections, MalformedAndSilentPeersAreClosedAndRequestsAreRejected) {
  ASSERT_EQ(limits.overflowSlots(), 2u);
  const auto silent = dial(server->address()), odd = dial(server->address()), real = dial(server->address());
  odd->send("NONSENSE\r\n\r\n");
  real->send(Ask().text());
  until([&] { return silent->ended && odd->ended && real->ended; }, "an end for each");
  EXPECT_TRUE(odd->has("HTTP/1.1 400")) << odd->got;
  EXPECT_TRUE(real->has("HTTP/1.1 503")) << real->got;
  EXPECT_TRUE(real->has("Retry-After: ") && real->has("Connection: close")) << real->got;
  EXPECT_EQ(handler.rejections, 1);
  EXPECT_EQ(handler.responders.size(), 30u);
}

TEST_F(OverflowConnections, ARequestIsServedIfAConnectionBecomesFreeAndAllOthersAreClosed) {
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
  EXPECT_EQ(handler.rejections, 0);
}

// Its connection is wanted in the loop turn in which its request arrives.
TEST_F(OverflowConnections, ARequestThatCrossesTheEndOfItsOverflowConnectionIsAnswered) {
  const auto first = dial(server->address()), second = dial(server->address());
  until([&] { return server->connections() == 32; }, "both on overflow");
  std::this_thread::sleep_for(limits.minOverflowTime + 20ms);
  const auto third = dial(server->address());
  first->send(Ask().text());
  until([&] { return first->ended; }, "its end");
  EXPECT_TRUE(first->has("HTTP/1.1 503")) << first->got;
  until([&] { return second->ended && third->ended; }, "an end for the silent ones");
}

}  // namespace
}  // namespace wingslip::test
