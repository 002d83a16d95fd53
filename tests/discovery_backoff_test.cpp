/// How soon gatekeepers that were turned away call discovery again.
#include "gatekeeper/discovery_client.hpp"
#include "loopback.hpp"

namespace wingslip::test {
namespace {

class DiscoveryBackoff : public Loopback {
 protected:
  // The least time from the first calls of some gatekeepers, all turned away, to the first call of them that
  // comes again.
  std::chrono::milliseconds firstAgain(unsigned gatekeepers) {
    Listener agent(io);
    OverloadManager pressure(io, sharesOf({std::size_t{64} << 20}), OverloadState::Limits{});
    std::vector<std::unique_ptr<DiscoveryClient>> all;
    for (unsigned i = 0; i < 10; ++i) {
      all.push_back(std::make_unique<DiscoveryClient>(
          io, agent.address(), EndpointList{}, EndpointWatch::limitsFor(2000, gatekeepers), i,
          [](const EndpointList&) {}, pressure));
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
TEST_F(DiscoveryBackoff, GrowsWithTheNumberOfGatekeepers) {
  EXPECT_GE(firstAgain(100).count(), 900);
  EXPECT_GE(firstAgain(3).count(), 20);
}

}  // namespace
}  // namespace wingslip::test
