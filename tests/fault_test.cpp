// Tests of the gatekeeper program while its system calls fail in the ways that Linux documents. The faults
// are injected by tools/lab/faults.
#include "program_under_faults.hpp"

namespace wingslip::test {
namespace {

using namespace std::chrono_literals;

// The program reads signals from a pipe. A signal must not be lost when that read is interrupted (EINTR).
TEST_F(GatekeeperUnderFaults, SigtermEndsTheProgramDespiteInterruptedReads) {
  SystemFaults faults;
  faults.shares[CallFault::interrupted] = 0.5;
  for (int run = 0; run < 6; ++run) {
    GatekeeperProcess program(folder + "/" + std::to_string(run), config(), faults);
    waitUntilReady();
    program.sendSignal(SIGTERM);
    const auto deadline = std::chrono::steady_clock::now() + 8s;
    while (!program.hasEnded() && std::chrono::steady_clock::now() < deadline) {
      io.restart();
      io.run_for(20ms);
    }
    ASSERT_TRUE(program.hasEnded()) << "run " << run << ": still running 8 s after SIGTERM";
    EXPECT_EQ(program.waitStatus, 0);
  }
}

// A client that aborts its connection before it is accepted must not delay other clients.
TEST_F(GatekeeperUnderFaults, AConnectionAbortedInTheAcceptQueueDoesNotDelayOthers) {
  GatekeeperProcess program(folder, config(), {});
  waitUntilReady();
  const auto client = sendRequest(TestRequest());
  waitUntil([&] { return worker.count("Req-Id: 00000000000000a1") == 1; }, "a request at the worker");
  program.faults->setShare(CallFault::aborted, 1);
  tcp::socket aborted(io);
  Error connectError;
  aborted.connect(clientsAddress, connectError);  // fails if the reset arrives before it returns
  EXPECT_TRUE(!connectError || connectError == asio::error::connection_reset) << connectError.message();
  waitUntil([&] { return program.faults->injected()[CallFault::aborted] == 1; }, "an aborted connection");
  program.faults->setShare(CallFault::aborted, 0);
  worker.peers.at(0)->send(httpResponse("200 OK", "made by a worker"));
  const auto deadline = std::chrono::steady_clock::now() + 5s;
  while (!client->has("made by a worker") && std::chrono::steady_clock::now() < deadline) {
    io.restart();
    io.run_for(20ms);
  }
  EXPECT_TRUE(client->has("made by a worker"));
}

// An exclusion applies even while it cannot be stored, and the operator's command is then answered with the
// error. A stored exclusion or inclusion survives a kill of the process.
TEST_F(GatekeeperUnderFaults, AnExclusionAppliesWhileTheDiskIsFullAndSurvivesALaterKill) {
  GatekeeperProcess program(folder, config(), {});
  waitUntilReady();
  program.faults->setDiskError(ENOSPC);
  const std::string answer = runOperatorCommand("exclude s-1");
  EXPECT_EQ(answer.rfind("400", 0), 0u) << answer;
  EXPECT_NE(answer.find("No space left on device"), std::string::npos) << answer;
  for (int poll = 0; poll < 8; ++poll) {
    io.restart();
    io.run_for(100ms);
    ASSERT_NE(runOperatorCommand("telemetry").find("svc.hosts_down:1|g"), std::string::npos)
        << "poll " << poll;
  }
  program.faults->setDiskError(0);
  waitUntil([&] { return runOperatorCommand("exclude s-1").rfind("200", 0) == 0; }, "kept");
  program.killProcess();
  program.start();
  waitUntilReady();
  EXPECT_NE(runOperatorCommand("telemetry").find("svc.hosts_down:1|g"), std::string::npos);
  program.faults->setDiskError(EIO);
  EXPECT_EQ(runOperatorCommand("include s-1").rfind("400", 0), 0u);
  program.faults->setDiskError(0);
  waitUntil([&] { return runOperatorCommand("include s-1").rfind("200", 0) == 0; }, "kept");
  program.killProcess();
  program.start();
  waitUntilReady();
  EXPECT_NE(runOperatorCommand("telemetry").find("svc.hosts_down:0|g"), std::string::npos);
}

// No request may be sent to a worker before the stored exclusions have been read.
TEST_F(GatekeeperUnderFaults, StartupWaitsUntilTheExclusionsAreReadable) {
  GatekeeperProcess program(folder, config(), {});
  waitUntilReady();
  EXPECT_EQ(runOperatorCommand("exclude s-1").rfind("200", 0), 0u);
  program.killProcess();
  program.faults->setDiskError(EIO);
  program.start();
  waitUntil([&] { return !runOperatorCommand("telemetry").empty(); }, "an answer from the operators' port");
  for (int poll = 0; poll < 20; ++poll) {
    io.restart();
    io.run_for(100ms);
    ASSERT_EQ(runOperatorCommand("readyz").rfind("400", 0), 0u) << "poll " << poll;
  }
  program.faults->setDiskError(0);
  waitUntilReady();
  EXPECT_NE(runOperatorCommand("telemetry").find("svc.hosts_down:1|g"), std::string::npos);
}

// If creating a socket fails for lack of descriptors during startup, the program must retry instead of
// exiting.
TEST_F(GatekeeperUnderFaults, StartupWaitsOutATemporaryDescriptorShortage) {
  SystemFaults faults;
  faults.shares[CallFault::socket] = 1;
  GatekeeperProcess program(folder, config(), faults);
  waitUntil([&] { return program.faults->injected()[CallFault::socket] > 0 || program.hasEnded(); },
            "a failed socket call");
  io.restart();
  io.run_for(500ms);
  ASSERT_FALSE(program.hasEnded()) << "ended with status " << program.waitStatus;
  program.faults->setShare(CallFault::socket, 0);
  waitUntilReady();
}

// The time that a request waited in the kernel's accept queue reduces its remaining deadline.
TEST_F(GatekeeperUnderFaults, TheForwardedDeadlineExcludesTheWaitInTheAcceptQueue) {
  GatekeeperProcess program(folder, config(), {});
  waitUntilReady();
  program.faults->setShare(CallFault::accept_full, 1);
  TestRequest request;
  request.deadline = "4000";
  const auto sentAt = std::chrono::steady_clock::now();
  const auto client = sendRequest(request);
  io.restart();
  io.run_for(1s);
  program.faults->setShare(CallFault::accept_full, 0);
  waitUntil([&] { return worker.count("\r\n\r\n") == 1; }, "a request at the worker");
  const std::chrono::duration<double, std::milli> elapsed = std::chrono::steady_clock::now() - sentAt;
  const std::string field = "Req-Deadline-Ms: ";
  const std::string& received = worker.peers.at(0)->received;
  ASSERT_NE(received.find(field), std::string::npos) << received;
  EXPECT_LE(std::stod(received.substr(received.find(field) + field.size())), 4000 - elapsed.count() + 150);
  EXPECT_GE(std::stod(received.substr(received.find(field) + field.size())), 4000 - elapsed.count() - 150);
}

constexpr double kHourMs = 3600 * 1000;

double unixNowMs() {
  return std::chrono::duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// The program's wall clock is wrong, while the workers' start times are reported by the correct clock.
class GatekeeperUnderWrongWallClock : public GatekeeperUnderFaults {
 protected:
  void sendEndpointList(int generation, double startedAtMs) {
    waitUntil([&] { return !discovery.peers.empty() && discovery.peers.back()->has("\r\n\r\n"); },
              "a watch request");
    const std::string line =
        endpointListJson(
            generation, false,
            json::array({endpointEntryJson("s-1", worker.addressText(), "Ready", startedAtMs)})) +
        "\n";
    std::ostringstream size;
    size << std::hex << line.size();
    if (generation == 2)
      discovery.peers.back()->send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    discovery.peers.back()->send(size.str() + "\r\n" + line + "\r\n");
  }
  void runFor(std::chrono::milliseconds span) {
    io.restart();
    io.run_for(span);
  }
  static TestRequest requestWithNumber(int number) {
    TestRequest request;
    request.id = "00000000000000" + std::to_string(10 + number);
    return request;
  }
  // Sends a request; returns true if it is served, false if it is rejected.
  bool isServed(int number) {
    const auto client = sendRequest(requestWithNumber(number));
    const std::string id = "Req-Id: " + requestWithNumber(number).id;
    waitUntil([&] { return client->has("HTTP/1.1") || worker.count(id) == 1; },
              "a rejection or the request at the worker");
    if (client->has("HTTP/1.1")) return false;
    for (const auto& peer : worker.peers)
      if (peer->has(id)) peer->send(httpResponse("200 OK", "made by a worker"));
    waitUntil([&] { return client->has("made by a worker"); }, "the response");
    return true;
  }
};

// After the clock is stepped back, the worker's start time lies in the future of the program's clock.
// Connections opened since the restart must not be taken for connections to its previous process and closed.
TEST_F(GatekeeperUnderWrongWallClock, ConnectionsToARestartedWorkerAreReusedAfterABackwardClockStep) {
  GatekeeperProcess program(folder, config(), {});
  sendEndpointList(2, 0);
  waitUntilReady();
  program.faults->stepWallClock(-kHourMs);
  sendEndpointList(3, unixNowMs());
  runFor(1500ms);  // longer than slow start, which lasts 1000 ms
  for (int i = 0; i < 5; ++i) {
    ASSERT_TRUE(isServed(i)) << i;
    runFor(20ms);  // longer than the quarantine for a late second response
  }
  EXPECT_EQ(worker.peers.size(), 1u);
}

// With the program's clock one hour behind, a worker that has been running for 60 s must not stay in slow
// start until the clock has passed its start time.
TEST_F(GatekeeperUnderWrongWallClock, AWorkerCompletesSlowStartOnTimeWithTheClockBehindAtStartup) {
  SystemFaults faults;
  faults.wallOffsetMs = -kHourMs;
  GatekeeperProcess program(folder, config(), faults);
  sendEndpointList(2, unixNowMs() - 60000);
  waitUntilReady();
  runFor(1500ms);
  for (int i = 0; i < 5; ++i) EXPECT_TRUE(isServed(i)) << i;
}

// With the program's clock one hour ahead, a worker that has just started must not look as if it had started
// an hour ago, which would skip its slow start.
TEST_F(GatekeeperUnderWrongWallClock, AStartingWorkerIsInSlowStartWithTheClockAheadAtStartup) {
  SystemFaults faults;
  faults.wallOffsetMs = kHourMs;
  GatekeeperProcess program(folder, config(), faults);
  sendEndpointList(2, 0);
  waitUntilReady();
  sendEndpointList(3, unixNowMs());
  runFor(50ms);
  std::vector<PeerPtr> pendingClients;
  pendingClients.reserve(12);
  for (int i = 0; i < 12; ++i) pendingClients.push_back(sendRequest(requestWithNumber(i)));
  runFor(200ms);
  EXPECT_LE(worker.count("Req-Id"), 4u);
}

}  // namespace
}  // namespace wingslip::test
