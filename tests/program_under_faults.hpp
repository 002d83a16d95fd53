// The program itself, started with the fault library, between peers of the test's own.
#pragma once

#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "faults/system_faults.hpp"
#include "loopback.hpp"

namespace wingslip::test {

using wingslip::lab::CallFault;
using wingslip::lab::FaultFile;
using wingslip::lab::SystemFaults;

// A process of the program; killed at the end of the test if it still runs.
class ProgramUnderFaults {
 public:
  // `folder` holds its configuration, its control file and its $TMPDIR.
  ProgramUnderFaults(const std::string& folder, const json& config, const SystemFaults& first)
      : folder_(folder) {
    std::filesystem::create_directories(folder + "/state");
    faults.emplace(folder + "/faults", first);
    std::ofstream(folder + "/config.json") << config.dump();
    start();
  }
  ~ProgramUnderFaults() { killNow(); }
  ProgramUnderFaults(const ProgramUnderFaults&) = delete;
  ProgramUnderFaults& operator=(const ProgramUnderFaults&) = delete;

  void start() {
    pid_ = fork();
    if (pid_ != 0) return;
    setenv("LD_PRELOAD", FAULT_LIBRARY, 1);
    setenv(wingslip::lab::kFaultFileVariable, faults->path().c_str(), 1);
    setenv(wingslip::lab::kFaultSeedVariable, "1", 1);
    const char* options = getenv("ASAN_OPTIONS");
    setenv("ASAN_OPTIONS", (std::string(options ? options : "") + ":verify_asan_link_order=0").c_str(), 1);
    setenv("BALANCER_CONFIG", (folder_ + "/config.json").c_str(), 1);
    setenv("TMPDIR", (folder_ + "/state").c_str(), 1);
    execl(WINGSLIP_GATEKEEPER_PROGRAM, WINGSLIP_GATEKEEPER_PROGRAM, static_cast<char*>(nullptr));
    _exit(127);
  }
  void signalNow(int number) const { kill(pid_, number); }
  void killNow() {
    if (pid_ > 0) kill(pid_, SIGKILL), waitpid(pid_, nullptr, 0);
    pid_ = 0;
  }
  // Whether it has ended; how, is in `status`.
  bool ended() {
    if (pid_ > 0 && waitpid(pid_, &status, WNOHANG) == pid_) pid_ = 0;
    return pid_ == 0;
  }

  std::optional<FaultFile> faults;
  int status = 0;

 private:
  const std::string folder_;
  pid_t pid_ = 0;
};

// Peers, and a program whose address is known before it starts.
class UnderFaults : public Loopback {
 protected:
  void SetUp() override {
    folder = ::testing::TempDir() + "wingslip-faults-" + std::to_string(getpid());
    std::filesystem::remove_all(folder);
  }
  void TearDown() override { std::filesystem::remove_all(folder); }

  // A port that is free now.
  static tcp::endpoint freePort(asio::io_context& io) { return Listener(io).address(); }

  json config() {
    json out = configJson(discovery.text(), json::array({entry("s-1", worker.text())}));
    out["listen"] = "127.0.0.1:" + std::to_string(clients.port());
    out["ops"] = "127.0.0.1:" + std::to_string(operators.port());
    return out;
  }

  // One call to the operators' port; empty where nobody answers.
  std::string call(const std::string& line) {
    tcp::socket socket(io);
    Error error;
    socket.connect(operators, error);
    if (error) return "";
    const auto caller = std::make_shared<Peer>(std::move(socket));
    caller->read();
    caller->send(line + "\n");
    until([&] { return caller->ended; }, "the end of the answer");
    return caller->got;
  }

  void untilReady() {
    until([&] { return call("readyz").rfind("200", 0) == 0; }, "ready");
  }

  PeerPtr ask(const Ask& what) {
    const auto client = dial(clients);
    client->send(what.text());
    return client;
  }

  std::string folder;
  Listener discovery{io}, worker{io};
  const tcp::endpoint clients = freePort(io), operators = freePort(io);
};

}  // namespace wingslip::test
