// The program while system calls fail in the ways that Linux documents (tools/lab/faults).
#include "program_under_faults.hpp"

namespace burlwind::test {
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

}  // namespace
}  // namespace burlwind::test
