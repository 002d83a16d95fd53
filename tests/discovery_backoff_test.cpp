/// The backoff of gatekeepers whose requests a discovery service has rejected.
#include "gatekeeper/discovery_client.hpp"
#include "loopback.hpp"

namespace wingslip::test {
namespace {

class DiscoveryBackoff : public Loopback {
 protected:
  // Rejects the first requests of ten gatekeepers, and returns the time until the first of them reconnects.
  // `gatekeepers` is the size of the fleet that the limits of their watches are computed for.
  std::chrono::milliseconds timeToFirstReconnect(unsigned gatekeepers) {
    Listener agent(io);
    OverloadManager overloadManager(io, budgetSharesFor({std::size_t{64} << 20}), OverloadState::Limits{});
    std::vector<std::unique_ptr<DiscoveryClient>> clients;
    for (unsigned i = 0; i < 10; ++i) {
      clients.push_back(std::make_unique<DiscoveryClient>(
          io, agent.address(), EndpointList{}, EndpointWatch::limitsFor(2000, gatekeepers), i,
          [](const EndpointList&) {}, overloadManager));
      clients.back()->start();
    }
    waitUntil([&] { return agent.count("GET /registry/instances") == 10; }, "a request of each gatekeeper");
    const auto rejectedAt = std::chrono::steady_clock::now();
    for (const auto& peer : std::vector<PeerPtr>(agent.peers)) peer->send(httpResponse("503 Busy", ""));
    waitUntil([&] { return agent.peers.size() > 10; }, "a reconnect");
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                                 rejectedAt);
  }
};

// Guards against overload of a shared discovery service: a hundred gatekeepers that lose their
// connections to it at the same time would all reconnect within half a second, and then three times in two
// seconds, faster than it can serve them. The backoff grows with the number of gatekeepers.
TEST_F(DiscoveryBackoff, BackoffAfterRejectionGrowsWithTheNumberOfGatekeepers) {
  EXPECT_GE(timeToFirstReconnect(100).count(), 900);
  EXPECT_GE(timeToFirstReconnect(3).count(), 20);
}

}  // namespace
}  // namespace wingslip::test
