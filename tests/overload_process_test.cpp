// Overload of a whole gatekeeper: its figures, a handover, and its memory limit.
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

// Guards against a queue that the program never fills or reads.
TEST_F(OverloadedProcess, EveryWaitQueueIsReported) {
  startGatekeeper();
  until([&] { return !discovery.peers.empty() && discovery.peers[0]->has("\r\n\r\n"); }, "a watch");
  discovery.peers[0]->send("HTTP/1.1 200 OK\r\n\r\n{\"generation\":2,");
  const auto body = sendRequest(longRequestHead(200000));
  body->stream(200000);
  workerConnection("00000000000000b1")->send(reply("200 OK", "taken"));
  until([&] { return body->has("taken"); }, "an answer");
  const auto client = sendSmall("00000000000000a1");
  workerConnection("00000000000000a1")
      ->send("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + std::string(100000, 'x'));
  until([&] { return client->got.size() > 100000; }, "a long answer");
  const auto half = sendRequest(longRequestHead(60000));
  fillMemory(8 * 1024, true);
  half->stream(60000);
  const auto late = dial(node->address());
  const auto& queues = node->pressure().waitQueues();
  const auto all = [&] {
    for (std::size_t i = 0; i < kWaitQueues; ++i)
      if (!queues.isReported(static_cast<WaitQueue>(i))) return false;
    return true;
  };
  for (const char* call : {"readyz", "telemetry"}) EXPECT_FALSE(operatorCall(call).empty());
  client->end();
  body->end();  // no idle one is left to make room
  const auto limit = std::chrono::steady_clock::now() + 20s;
  while (!all() && std::chrono::steady_clock::now() < limit) {
    io.restart();
    io.run_one_for(50ms);
  }
  for (std::size_t i = 0; i < kWaitQueues; ++i)
    EXPECT_TRUE(queues.isReported(static_cast<WaitQueue>(i))) << kWaitQueueNames[i];
}

// The next process starts while the old one is overloaded; each has its half of the limit.
TEST_F(OverloadedProcess, AHandoverUnderOverloadCompletes) {
  tcp::acceptor held(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  json config = file();
  config["limits"]["memory_mb"] = 28;
  const auto inherit = [&] {
    Config out = parseConfig(config.dump());
    out.acceptFd = dup(held.native_handle());
    return out;
  };
  node.emplace(io, inherit());
  EXPECT_LT(memory().total(), 2 * kMiB);
  node->start();
  until([&] { return !discovery.peers.empty() && discovery.peers[0]->has("\r\n\r\n"); }, "a watch");
  const std::string list =
      "HTTP/1.1 200 OK\r\n\r\n" + roster(2, true, json::array({entry("s-1", worker.text())})) + "\n";
  discovery.peers[0]->send(list);
  const auto old = dial(held.local_endpoint());
  old->send(Ask().text());
  const auto from = workerConnection("00000000000000a1");
  fillMemory(4 * 1024);
  until([&] { return node->pressure().state().level() != OverloadLevel::none; }, "pressure");
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
  otherClients.release();
  node.reset();
  const auto late = dial(held.local_endpoint());
  late->send("GET /health/ready HTTP/1.1\r\nHost: b\r\n\r\n");
  until([&] { return late->has("HTTP/1.1 200"); }, "the new one serves");
  EXPECT_EQ(next.pressure().state().level(), OverloadLevel::none);
}

// The program itself, under a limit of 24 MB, with 600 MB on their way through clients and workers that
// stall.
TEST_F(OverloadedProcess, TheProcessStaysWithinItsMemoryLimitWithSlowPeers) {
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
    add(longRequestHead(30 * kMiB, id));
    clients.back()->stream(30 * kMiB);
    workerConnection(id)->stall();
    Ask what;
    std::snprintf(id, sizeof id, "%016x", 0xc000 + i);
    what.id = id;
    add(what.text());
    clients.back()->stall();
    const auto from = workerConnection(id);
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
