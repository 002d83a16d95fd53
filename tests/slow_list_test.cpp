// Tests of the gatekeeper program: endpoint lists that take longer to arrive than discovery may take to
// begin.
#include <string>

#include "staging_fixture.hpp"

namespace wingslip::test {
namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

class SlowEndpointList : public StagingFaults {
 protected:
  static constexpr std::size_t kWorkers = 1500;
  static constexpr std::size_t kPieceBytes = 4000;
  static constexpr auto kPieceInterval = 40ms;

  json workers() {
    json out = json::array();
    for (std::size_t i = 1; i <= kWorkers; ++i)
      out.push_back(endpointEntryJson("s-" + std::to_string(i), worker.addressText()));
    return out;
  }
  // Sends what a watch is answered with to the newest connection, `bytes` of the list in pieces.
  void sendListSlowly(const std::string& list, std::size_t bytes) {
    const PeerPtr watch = discovery.peers.back();
    watch->send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (std::size_t sent = 0; sent < bytes && !watch->closedByPeer; sent += kPieceBytes) {
      std::string chunk;
      appendChunk(chunk, list.substr(sent, std::min(kPieceBytes, bytes - sent)), false);
      watch->send(chunk);
      runFor(kPieceInterval);
    }
  }
  bool listsWorkers(std::size_t count) {
    return runOperatorCommand("telemetry").find("svc.hosts_listed:" + std::to_string(count) + "|g") !=
           std::string::npos;
  }
};

// Guards against giving up an endpoint list that is arriving, and asking for it again without end, because it
// takes longer to arrive than its beginning may take.
TEST_F(SlowEndpointList, IsReadThoughItTakesSecondsToArrive) {
  GatekeeperProcess program(folder, stagingConfig(), {});
  waitUntil([&] { return discovery.count("\r\n\r\n") == 1; }, "a watch");
  const std::string list = endpointListJson(2, true, workers()) + "\n";
  const auto startedAt = Clock::now();
  sendListSlowly(list, list.size());
  EXPECT_GT(Clock::now() - startedAt, 2s);
  EXPECT_FALSE(discovery.peers.front()->closedByPeer) << "the list was given up while it was arriving";
  EXPECT_EQ(discovery.peers.size(), 1u);
  waitUntil([&] { return listsWorkers(kWorkers); }, "the list");
}

// Guards against waiting without end for the rest of a list that has stopped in the middle.
TEST_F(SlowEndpointList, IsAskedForAgainOnceItStops) {
  GatekeeperProcess program(folder, stagingConfig(), {});
  waitUntil([&] { return discovery.count("\r\n\r\n") == 1; }, "a watch");
  const std::string list = endpointListJson(2, true, workers()) + "\n";
  sendListSlowly(list, list.size() / 2);
  const auto stoppedAt = Clock::now();
  waitUntil([&] { return discovery.peers.size() == 2 && discovery.count("\r\n\r\n") == 2; }, "a new watch");
  EXPECT_LT(Clock::now() - stoppedAt, 2s);
}

}  // namespace
}  // namespace wingslip::test
