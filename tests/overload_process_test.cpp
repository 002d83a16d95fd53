// Tests a complete gatekeeper under overload: wait queue statistics, a handover, and the memory limit.
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "overload_fixture.hpp"

namespace wingslip::test {
namespace {

using namespace std::chrono_literals;

class OverloadedProcess : public OverloadFixture {};

// Guards against a wait queue that the program never enters and that has no external source.
TEST_F(OverloadedProcess, EveryWaitQueueIsReported) {
  startGatekeeper();
  waitUntil([&] { return !discovery.peers.empty() && discovery.peers[0]->has("\r\n\r\n"); }, "a watch");
  discovery.peers[0]->send("HTTP/1.1 200 OK\r\n\r\n{\"generation\":2,");
  const auto bodyClient = sendRequest(longRequestHeader(200000));
  bodyClient->sendBytes(200000);
  workerConnection("00000000000000b1")->send(httpResponse("200 OK", "taken"));
  waitUntil([&] { return bodyClient->has("taken"); }, "a response");
  const auto client = sendSmallRequest("00000000000000a1");
  workerConnection("00000000000000a1")
      ->send("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + std::string(100000, 'x'));
  waitUntil([&] { return client->received.size() > 100000; }, "a long response");
  const auto pipeliningClient = sendSmallRequest("00000000000000a2");
  pipeliningClient->sendBytes(32 * 1024);
  waitUntil([&] { return waiting(WaitQueue::fullBuffer) == 1; },
            "a client that sends more than is read ahead");
  const auto incompleteClient = sendRequest(longRequestHeader(60000));
  fillMemory(8 * 1024, true);
  incompleteClient->sendBytes(60000);
  const auto lateClient = connectTo(gatekeeper->address());
  const auto& queues = gatekeeper->overloadManager().waitQueues();
  const auto allReported = [&] {
    for (std::size_t i = 0; i < kWaitQueues; ++i)
      if (!queues.isReported(static_cast<WaitQueue>(i))) return false;
    return true;
  };
  for (const char* call : {"readyz", "telemetry"}) EXPECT_FALSE(operatorCall(call).empty());
  client->close();
  pipeliningClient->reset();
  bodyClient->close();  // now no idle connection can be closed for a new one
  const auto deadline = std::chrono::steady_clock::now() + 20s;
  while (!allReported() && std::chrono::steady_clock::now() < deadline) {
    io.restart();
    io.run_one_for(50ms);
  }
  for (std::size_t i = 0; i < kWaitQueues; ++i)
    EXPECT_TRUE(queues.isReported(static_cast<WaitQueue>(i))) << kWaitQueueNames[i];
}

// The new process starts while the old one is overloaded; each may use half of the memory limit. Guards
// against a handover that an overload delays forever.
TEST_F(OverloadedProcess, AHandoverUnderOverloadCompletes) {
  tcp::acceptor listeningSocket(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  json config = configuration();
  config["limits"]["memory_mb"] = 28;
  const auto inheritedConfig = [&] {
    Config out = parseConfig(config.dump());
    out.inheritedListenFd = dup(listeningSocket.native_handle());
    return out;
  };
  gatekeeper.emplace(io, inheritedConfig());
  EXPECT_LT(memory().total(), 2 * kMiB);
  gatekeeper->start();
  waitUntil([&] { return !discovery.peers.empty() && discovery.peers[0]->has("\r\n\r\n"); }, "a watch");
  const std::string list =
      "HTTP/1.1 200 OK\r\n\r\n" +
      endpointListJson(2, true, json::array({endpointEntryJson("s-1", worker.addressText())})) + "\n";
  discovery.peers[0]->send(list);
  const auto oldClient = connectTo(listeningSocket.local_endpoint());
  oldClient->send(TestRequest().text());
  const auto workerPeer = workerConnection("00000000000000a1");
  fillMemory(4 * 1024);
  waitUntil([&] { return gatekeeper->overloadManager().state().level() != OverloadLevel::none; }, "pressure");
  Gatekeeper nextGatekeeper(io, inheritedConfig());
  nextGatekeeper.start();
  waitUntil([&] { return discovery.peers.size() == 2 && discovery.peers[1]->has("\r\n\r\n"); },
            "the new process's watch");
  discovery.peers[1]->send(list);
  waitUntil([&] { return nextGatekeeper.ready(); }, "the new process's endpoint list");
  bool done = false;
  gatekeeper->drain([&] { done = true; });
  workerPeer->send(httpResponse("200 OK", "done"));
  waitUntil([&] { return oldClient->has("\r\n\r\n") && oldClient->closedByPeer; },
            "the old process's response");
  waitUntil([&] { return done; }, "the end of the old process's drain");
  otherClientsCharge.release();
  gatekeeper.reset();
  const auto lateClient = connectTo(listeningSocket.local_endpoint());
  lateClient->send("GET /health/ready HTTP/1.1\r\nHost: b\r\n\r\n");
  waitUntil([&] { return lateClient->has("HTTP/1.1 200"); }, "the new process's response");
  EXPECT_EQ(nextGatekeeper.overloadManager().state().level(), OverloadLevel::none);
}

// Runs the program with a limit of 24 MB while 600 MB are sent by clients and workers whose peers do not
// read. Guards against memory outside the budget that grows with the load.
TEST_F(OverloadedProcess, TheProcessStaysWithinItsMemoryLimitWithSlowPeers) {
  json config = configuration();
  config["limits"]["memory_mb"] = 24;
  const ReservedPort reservedPort(io);
  const tcp::endpoint listen = reservedPort.address();
  config["listen"] = reservedPort.addressText();
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
  waitUntil([&] { return discovery.count("watch=1") == 1; }, "a watch");
  std::vector<PeerPtr> clients;
  const auto addClient = [&](const std::string& text) {
    clients.push_back(connectTo(listen));
    clients.back()->send(text);
  };
  for (int i = 0; i < 10; ++i) {
    char id[17];
    std::snprintf(id, sizeof id, "%016x", 0xb000 + i);
    addClient(longRequestHeader(30 * kMiB, id));
    clients.back()->sendBytes(30 * kMiB);
    workerConnection(id)->pauseReading();
    TestRequest request;
    std::snprintf(id, sizeof id, "%016x", 0xc000 + i);
    request.id = id;
    addClient(request.text());
    clients.back()->pauseReading();
    const auto workerPeer = workerConnection(id);
    workerPeer->send("HTTP/1.1 200 OK\r\nContent-Length: 31457280\r\n\r\n");
    workerPeer->sendBytes(30 * kMiB);
  }
  runFor(500ms);
  for (int i = 0; i < 20; i += 2) {
    EXPECT_LT(clients[static_cast<std::size_t>(i)]->bytesSent, 30 * kMiB)
        << "read although the receiving peer does not read";
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
  int exitStatus = 0;
  waitUntil([&] { return waitpid(child, &exitStatus, WNOHANG) == child; }, "the end of the process");
  EXPECT_TRUE(WIFEXITED(exitStatus) && WEXITSTATUS(exitStatus) == 0) << exitStatus;
  std::filesystem::remove(path);
}

}  // namespace
}  // namespace wingslip::test
