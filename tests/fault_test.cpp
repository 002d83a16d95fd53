// The program while system calls fail in the ways that Linux documents (tools/lab/faults).
#include "program_under_faults.hpp"

namespace wingslip::test {
namespace {

using namespace std::chrono_literals;

// A signal that the read of its pipe is interrupted for is still a signal.
TEST_F(UnderFaults, SigtermEndsTheProgramAlthoughReadsAreInterrupted) {
  SystemFaults faults;
  faults.shares[CallFault::interrupted] = 0.5;
  for (int run = 0; run < 6; ++run) {
    ProgramUnderFaults program(folder + "/" + std::to_string(run), config(), faults);
    untilReady();
    program.signalNow(SIGTERM);
    const auto limit = std::chrono::steady_clock::now() + 8s;
    while (!program.ended() && std::chrono::steady_clock::now() < limit) {
      io.restart();
      io.run_for(20ms);
    }
    ASSERT_TRUE(program.ended()) << "run " << run << ": still there 8 s after SIGTERM";
    EXPECT_EQ(program.status, 0);
  }
}

// A client that aborts its connection before it is accepted keeps nobody else waiting.
TEST_F(UnderFaults, AConnectionAbortedInTheQueueDoesNotHoldUpTheOthers) {
  ProgramUnderFaults program(folder, config(), {});
  untilReady();
  const auto client = ask(Ask());
  until([&] { return worker.count("Req-Id: 00000000000000a1") == 1; }, "a request at the worker");
  program.faults->setShare(CallFault::aborted, 1);
  const auto aborted = dial(clients);
  until([&] { return program.faults->injected()[CallFault::aborted] == 1; }, "an aborted connection");
  program.faults->setShare(CallFault::aborted, 0);
  worker.peers.at(0)->send(reply("200 OK", "made by a worker"));
  const auto limit = std::chrono::steady_clock::now() + 5s;
  while (!client->has("made by a worker") && std::chrono::steady_clock::now() < limit) {
    io.restart();
    io.run_for(20ms);
  }
  EXPECT_TRUE(client->has("made by a worker"));
}

// What an operator was told holds while the disk fails and after; what cannot be kept is told so.
TEST_F(UnderFaults, AnExclusionHoldsWhileTheDiskIsFullAndOverAKillLater) {
  ProgramUnderFaults program(folder, config(), {});
  untilReady();
  program.faults->setDiskError(ENOSPC);
  const std::string answer = call("exclude s-1");
  EXPECT_EQ(answer.rfind("400", 0), 0u) << answer;
  EXPECT_NE(answer.find("No space left on device"), std::string::npos) << answer;
  for (int look = 0; look < 8; ++look) {
    io.restart();
    io.run_for(100ms);
    ASSERT_NE(call("telemetry").find("svc.hosts_down:1|g"), std::string::npos) << "look " << look;
  }
  program.faults->setDiskError(0);
  until([&] { return call("exclude s-1").rfind("200", 0) == 0; }, "kept");
  program.killNow();
  program.start();
  untilReady();
  EXPECT_NE(call("telemetry").find("svc.hosts_down:1|g"), std::string::npos);
  program.faults->setDiskError(EIO);
  EXPECT_EQ(call("include s-1").rfind("400", 0), 0u);
  program.faults->setDiskError(0);
  until([&] { return call("include s-1").rfind("200", 0) == 0; }, "kept");
  program.killNow();
  program.start();
  untilReady();
  EXPECT_NE(call("telemetry").find("svc.hosts_down:0|g"), std::string::npos);
}

// Nobody is sent to before it is known who is excluded.
TEST_F(UnderFaults, AStartWaitsForExclusionsThatCannotBeReadYet) {
  ProgramUnderFaults program(folder, config(), {});
  untilReady();
  EXPECT_EQ(call("exclude s-1").rfind("200", 0), 0u);
  program.killNow();
  program.faults->setDiskError(EIO);
  program.start();
  until([&] { return !call("telemetry").empty(); }, "the operators' port");
  for (int look = 0; look < 20; ++look) {
    io.restart();
    io.run_for(100ms);
    ASSERT_EQ(call("readyz").rfind("400", 0), 0u) << "look " << look;
  }
  program.faults->setDiskError(0);
  untilReady();
  EXPECT_NE(call("telemetry").find("svc.hosts_down:1|g"), std::string::npos);
}

// The machine may have no descriptor for a socket in the moment of the start.
TEST_F(UnderFaults, AStartWaitsForDescriptorsThatAreShortForAMoment) {
  SystemFaults faults;
  faults.shares[CallFault::socket] = 1;
  ProgramUnderFaults program(folder, config(), faults);
  until([&] { return program.faults->injected()[CallFault::socket] > 0 || program.ended(); },
        "a failed call");
  io.restart();
  io.run_for(500ms);
  ASSERT_FALSE(program.ended()) << "ended with status " << program.status;
  program.faults->setShare(CallFault::socket, 0);
  untilReady();
}

// A request that stood in the machine's queue has less time left than its client said.
TEST_F(UnderFaults, TheDeadlinePassedOnIsLessByWhatARequestWaitedToBeAccepted) {
  ProgramUnderFaults program(folder, config(), {});
  untilReady();
  program.faults->setShare(CallFault::accept_full, 1);
  Ask what;
  what.deadline = "4000";
  const auto asked = std::chrono::steady_clock::now();
  const auto client = ask(what);
  io.restart();
  io.run_for(1s);
  program.faults->setShare(CallFault::accept_full, 0);
  until([&] { return worker.count("\r\n\r\n") == 1; }, "a request at the worker");
  const std::chrono::duration<double, std::milli> passed = std::chrono::steady_clock::now() - asked;
  const std::string name = "Req-Deadline-Ms: ";
  const std::string& got = worker.peers.at(0)->got;
  ASSERT_NE(got.find(name), std::string::npos) << got;
  EXPECT_LE(std::stod(got.substr(got.find(name) + name.size())), 4000 - passed.count() + 150);
  EXPECT_GE(std::stod(got.substr(got.find(name) + name.size())), 4000 - passed.count() - 150);
}

constexpr double kHourMs = 3600 * 1000;

double unixNow() {
  return std::chrono::duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// The wall clock is stepped, and workers' starts are told as times of the true one.
class UnderWrongClock : public UnderFaults {
 protected:
  void tell(int generation, double startedAtMs) {
    until([&] { return !discovery.peers.empty() && discovery.peers.back()->has("\r\n\r\n"); }, "a watch");
    const std::string line =
        roster(generation, false, json::array({entry("s-1", worker.text(), "Ready", startedAtMs)})) + "\n";
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
  static Ask numbered(int number) {
    Ask out;
    out.id = "00000000000000" + std::to_string(10 + number);
    return out;
  }
  // Whether a request is served; else it is refused.
  bool served(int number) {
    const auto client = ask(numbered(number));
    const std::string id = "Req-Id: " + numbered(number).id;
    until([&] { return client->has("HTTP/1.1") || worker.count(id) == 1; }, "the request's fate");
    if (client->has("HTTP/1.1")) return false;
    for (const auto& peer : worker.peers)
      if (peer->has(id)) peer->send(reply("200 OK", "made by a worker"));
    until([&] { return client->has("made by a worker"); }, "the answer");
    return true;
  }
};

TEST_F(UnderWrongClock, ConnectionsToARestartedWorkerAreKeptAfterAStepBack) {
  ProgramUnderFaults program(folder, config(), {});
  tell(2, 0);
  untilReady();
  program.faults->stepWallClock(-kHourMs);
  tell(3, unixNow());
  runFor(1500ms);  // past the warm-up
  for (int i = 0; i < 5; ++i) {
    ASSERT_TRUE(served(i)) << i;
    runFor(20ms);  // past the time in which a second answer may come
  }
  EXPECT_EQ(worker.peers.size(), 1u);
}

TEST_F(UnderWrongClock, AWorkerIsWarmInTimeAlthoughTheClockWasBehindAtTheStart) {
  SystemFaults faults;
  faults.wallOffsetMs = -kHourMs;
  ProgramUnderFaults program(folder, config(), faults);
  tell(2, unixNow() - 60000);
  untilReady();
  runFor(1500ms);
  for (int i = 0; i < 5; ++i) EXPECT_TRUE(served(i)) << i;
}

TEST_F(UnderWrongClock, AWorkerThatStartsIsColdAlthoughTheClockWasAheadAtTheStart) {
  SystemFaults faults;
  faults.wallOffsetMs = kHourMs;
  ProgramUnderFaults program(folder, config(), faults);
  tell(2, 0);
  untilReady();
  tell(3, unixNow());
  runFor(50ms);
  std::vector<PeerPtr> asking;
  asking.reserve(12);
  for (int i = 0; i < 12; ++i) asking.push_back(ask(numbered(i)));
  runFor(200ms);
  EXPECT_LE(worker.count("Req-Id"), 4u);
}

}  // namespace
}  // namespace wingslip::test
