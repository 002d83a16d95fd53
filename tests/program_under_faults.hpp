/// Runs the gatekeeper program with the fault library preloaded. Its clients, its workers and its discovery
/// agent are sockets that the test controls.
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

/// A process of the gatekeeper program with fault injection. The destructor kills it if it is still running.
class GatekeeperProcess {
 public:
  /// What the processes of an upgrade have in common.
  struct Upgrade {
    int listeningSocket;
    std::string stateFolder;
  };

  /// `folder` contains its configuration, its fault control file and its $TMPDIR. `initialFaults`: the faults
  /// that apply at start.
  /// `upgrade`: the listening socket and the folder of the state that the process shares with others.
  GatekeeperProcess(const std::string& folder, const json& config, const SystemFaults& initialFaults,
                    const std::optional<Upgrade>& upgrade = std::nullopt)
      : folder_(folder), upgrade_(upgrade) {
    std::filesystem::create_directories(folder);
    std::filesystem::create_directories(stateFolder());
    faults.emplace(folder + "/faults", initialFaults);
    std::ofstream(folder + "/config.json") << config.dump();
    start();
  }
  ~GatekeeperProcess() { killProcess(); }
  GatekeeperProcess(const GatekeeperProcess&) = delete;
  GatekeeperProcess& operator=(const GatekeeperProcess&) = delete;

  /// Starts the process, also again after `killProcess`.
  void start() {
    pid_ = fork();
    if (pid_ != 0) return;
    setenv("LD_PRELOAD", FAULT_LIBRARY, 1);
    setenv(wingslip::lab::kFaultFileVariable, faults->path().c_str(), 1);
    setenv(wingslip::lab::kFaultSeedVariable, "1", 1);
    const char* options = getenv("ASAN_OPTIONS");
    setenv("ASAN_OPTIONS", (std::string(options ? options : "") + ":verify_asan_link_order=0").c_str(), 1);
    setenv("BALANCER_CONFIG", (folder_ + "/config.json").c_str(), 1);
    setenv("TMPDIR", stateFolder().c_str(), 1);
    if (upgrade_) {
      dup2(upgrade_->listeningSocket, kInheritedDescriptor);
      setenv("BALANCER_ACCEPT_FD", std::to_string(kInheritedDescriptor).c_str(), 1);
    }
    execl(WINGSLIP_GATEKEEPER_PROGRAM, WINGSLIP_GATEKEEPER_PROGRAM, static_cast<char*>(nullptr));
    _exit(127);
  }
  pid_t processId() const { return pid_; }
  void sendSignal(int signalNumber) const { kill(pid_, signalNumber); }
  void killProcess() {
    if (pid_ > 0) kill(pid_, SIGKILL), waitpid(pid_, nullptr, 0);
    pid_ = 0;
  }
  /// Whether the process has ended; `waitStatus` is then valid.
  bool hasEnded() {
    if (pid_ > 0 && waitpid(pid_, &waitStatus, WNOHANG) == pid_) pid_ = 0;
    return pid_ == 0;
  }

  std::optional<FaultFile> faults;
  int waitStatus = 0;  ///< as reported by waitpid

 private:
  static constexpr int kInheritedDescriptor = 7;
  std::string stateFolder() const { return upgrade_ ? upgrade_->stateFolder : folder_ + "/state"; }

  const std::string folder_;
  const std::optional<Upgrade> upgrade_;
  pid_t pid_ = 0;
};

/// Fixture with a discovery agent, a worker, and the configuration of a gatekeeper program. The program's
/// addresses are chosen before it starts, so that they stay the same over a restart.
class GatekeeperUnderFaults : public Loopback {
 protected:
  void SetUp() override {
    folder = ::testing::TempDir() + "wingslip-faults-" + std::to_string(getpid());
    std::filesystem::remove_all(folder);
  }
  void TearDown() override { std::filesystem::remove_all(folder); }

  json config() {
    json configuration =
        configJson(discovery.addressText(), json::array({endpointEntryJson("s-1", worker.addressText())}));
    configuration["listen"] = "127.0.0.1:" + std::to_string(clientsAddress.port());
    configuration["ops"] = "127.0.0.1:" + std::to_string(operatorsAddress.port());
    return configuration;
  }

  /// Sends a command to the operators' port and returns the answer; empty if the connection is refused.
  std::string runOperatorCommand(const std::string& command) {
    tcp::socket socket(io);
    Error error;
    socket.connect(operatorsAddress, error);
    if (error) return "";
    const auto caller = std::make_shared<Peer>(std::move(socket));
    caller->read();
    caller->send(command + "\n");
    waitUntil([&] { return caller->closedByPeer; }, "the end of the operators' answer");
    return caller->received;
  }

  void waitUntilReady() {
    waitUntil([&] { return runOperatorCommand("readyz").rfind("200", 0) == 0; }, "ready");
  }

  PeerPtr sendRequest(const TestRequest& request) {
    const auto client = connectTo(clientsAddress);
    client->send(request.text());
    return client;
  }

  std::string folder;
  Listener discovery{io}, worker{io};
  const ReservedPort clientsPort{io}, operatorsPort{io};
  const tcp::endpoint clientsAddress = clientsPort.address(), operatorsAddress = operatorsPort.address();
};

}  // namespace wingslip::test
