/// The gatekeepers' processes: start, signals, health, exit.
#include <signal.h>
#include <spdlog/spdlog.h>
#include <sys/wait.h>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <thread>

#include "fleet_run.hpp"

namespace wingslip::lab {
namespace fs = std::filesystem;
using Error = boost::system::error_code;

namespace {

constexpr double kShortPauseMs = 200;           // a pause of at most this length exempts from no rule
constexpr double kLoadBalancerReactionS = 0.3;  // new connections arrive for this long after SIGTERM
// A platform may send SIGKILL 0.7 s after the longest deadline, of 3 s at most, counted from SIGTERM.
constexpr double kKillAfterDeadlineS = 0.7;
constexpr double kMaxKillDeadlineS = 3;
constexpr double kTermTimeoutS = kKillAfterDeadlineS + kMaxKillDeadlineS;
constexpr double kReadyPollPeriodS = 0.05;  // between two readiness checks of a new process
constexpr std::chrono::seconds kStartTimeout{15};
constexpr std::chrono::seconds kEndTimeout{5};
constexpr std::chrono::milliseconds kEndPoll{20};

}  // namespace

void Fleet::launch(Gatekeeper& gatekeeper) {
  gatekeeper.current = startProcess(gatekeeper, ports_, options_.gatekeeperProgram);
  agents_[gatekeeper.index]->onGatekeeperStart();
  gatekeeper.stopped = false;
  gatekeeper.inRotation = false;
  gatekeeper.shuttingDown = false;
  gatekeeper.failedChecks = 0;
  std::ofstream(fs::path(options_.out) / "pids", std::ios::app) << gatekeeper.current.pid << "\n";
}

void Fleet::upgrade(Gatekeeper& gatekeeper) {
  if (gatekeeper.previous.pid > 0) return;  // an upgrade is in progress
  gatekeeper.previous =
      std::exchange(gatekeeper.current, startProcess(gatekeeper, ports_, options_.gatekeeperProgram));
  std::ofstream(fs::path(options_.out) / "pids", std::ios::app) << gatekeeper.current.pid << "\n";
  awaitReady(gatekeeper.index, gatekeeper.current.pid);
}

void Fleet::awaitReady(int g, pid_t pid) {
  callOperatorsPort(io_, gatekeepers_[g].current.ops, "readyz", [this, g, pid](const std::string& answer) {
    Gatekeeper& gatekeeper = gatekeepers_[g];
    if (runIsEnding_ || gatekeeper.current.pid != pid) return;
    if (answer.rfind("200", 0) == 0) {
      spdlog::info("event=upgraded gatekeeper={} at_ms={:.0f}", g, clock_.nowMs());
      if (gatekeeper.previous.pid > 0) ::kill(gatekeeper.previous.pid, SIGTERM);
      return;
    }
    clock_.at(clock_.nowMs() / 1000 + kReadyPollPeriodS, [this, g, pid] { awaitReady(g, pid); });
  });
}

void Fleet::reloadConfig(Gatekeeper& gatekeeper, const std::string& patch) {
  if (!patch.empty()) patchConfig(gatekeeper.config, patch);
  sendSignal(gatekeeper, SIGHUP);
}

void Fleet::pauseProcess(Gatekeeper& gatekeeper, double forMs) {
  if (gatekeeper.current.pid <= 0 || gatekeeper.stopped) return;
  if (forMs > kShortPauseMs) longStopped_.insert(gatekeeper.index);
  sendSignal(gatekeeper, SIGSTOP);
  clock_.at(clock_.nowMs() / 1000 + forMs / 1000, [this, &gatekeeper, pid = gatekeeper.current.pid] {
    if (gatekeeper.current.pid == pid && !gatekeeper.stopped) sendSignal(gatekeeper, SIGCONT);
  });
}

void Fleet::shutDownGracefully(Gatekeeper& gatekeeper) {
  if (gatekeeper.current.pid <= 0 || gatekeeper.shuttingDown) return;
  endedByLab_.insert(gatekeeper.index);
  gatekeeper.shuttingDown = true;
  sendSignal(gatekeeper, SIGTERM);
  const pid_t pid = gatekeeper.current.pid;
  clock_.at(clock_.nowMs() / 1000 + kLoadBalancerReactionS, [&gatekeeper, pid] {
    if (gatekeeper.current.pid == pid) gatekeeper.inRotation = false;
  });
  clock_.at(clock_.nowMs() / 1000 + kTermTimeoutS, [this, &gatekeeper, pid] {
    if (gatekeeper.current.pid != pid || runIsEnding_) return;
    runRecord_.crashes.push_back("gatekeeper " + std::to_string(gatekeeper.index) + " has not exited " +
                                 std::to_string(kTermTimeoutS) + " s after SIGTERM");
  });
}

// Kills the process as early as a platform may. Clients use its connections until then.
void Fleet::shutDownAndKill(Gatekeeper& gatekeeper) {
  if (gatekeeper.current.pid <= 0 || gatekeeper.shuttingDown) return;
  shutDownGracefully(gatekeeper);
  const double killAfterS = std::min(scenario_.deadlineMs / 1000, kMaxKillDeadlineS) + kKillAfterDeadlineS;
  clock_.at(clock_.nowMs() / 1000 + killAfterS, [this, &gatekeeper, pid = gatekeeper.current.pid] {
    if (gatekeeper.current.pid != pid || runIsEnding_) return;
    runRecord_.crashes.push_back("gatekeeper " + std::to_string(gatekeeper.index) +
                                 " was still running when it was killed after its drain");
    sendSignal(gatekeeper, SIGKILL);
  });
}

void Fleet::sendSignal(Gatekeeper& gatekeeper, int number) {
  if (gatekeeper.current.pid > 0) ::kill(gatekeeper.current.pid, number);
}

void Fleet::reap() {
  for (Gatekeeper& gatekeeper : gatekeepers_) {
    reapOldProcess(gatekeeper);
    reapProcess(gatekeeper);
  }
}

void Fleet::reapOldProcess(Gatekeeper& gatekeeper) {
  int status = 0;
  if (gatekeeper.previous.pid <= 0 ||
      ::waitpid(gatekeeper.previous.pid, &status, WNOHANG) != gatekeeper.previous.pid)
    return;
  gatekeeper.previous = {};
  if (status == 0)
    observed_.events.push_back({"upgrades", gatekeeper.index, clock_.nowMs()});
  else
    runRecord_.crashes.push_back("upgrade of gatekeeper " + std::to_string(gatekeeper.index) +
                                 ": the old process exited with wait status " + std::to_string(status));
}

void Fleet::reapProcess(Gatekeeper& gatekeeper) {
  int status = 0;
  if (gatekeeper.current.pid <= 0 ||
      ::waitpid(gatekeeper.current.pid, &status, WNOHANG) != gatekeeper.current.pid)
    return;
  gatekeeper.current = {};
  if (gatekeeper.shuttingDown) {
    verifier_.gatekeeperDown(gatekeeper.index, clock_.nowMs());
    if (status != 0)
      runRecord_.crashes.push_back("gatekeeper " + std::to_string(gatekeeper.index) +
                                   " exited after SIGTERM with wait status " + std::to_string(status));
  }
  if (endedByLab_.contains(gatekeeper.index) || runIsEnding_) return;
  runRecord_.crashes.push_back("gatekeeper " + std::to_string(gatekeeper.index) +
                               " exited unexpectedly with wait status " + std::to_string(status));
  verifier_.gatekeeperDown(gatekeeper.index, clock_.nowMs());
}

void Fleet::checkHealth() {
  reap();
  loadBalancer_.check();
  if (runIsEnding_) return;
  auto next = std::make_shared<asio::steady_timer>(io_, kHealthCheckPeriod);
  next->async_wait([this, next](const Error&) { checkHealth(); });
}

void Fleet::waitForRotation() {
  const auto limit = Clock::now() + kStartTimeout;
  while (Clock::now() < limit) {
    io_.run_for(std::chrono::milliseconds(100));
    if (loadBalancer_.allInRotation()) return;
  }
  spdlog::warn("event=not_all_ready after_s={}", kStartTimeout.count());
}

void Fleet::finish() {
  runIsEnding_ = true;
  for (const Gatekeeper& gatekeeper : gatekeepers_) recordUsage(gatekeeper);
  for (Gatekeeper& gatekeeper : gatekeepers_) {
    if (gatekeeper.stopped) sendSignal(gatekeeper, SIGCONT);
    sendSignal(gatekeeper, SIGTERM);
  }
  verifier_.endRun(clock_.nowMs());
  const auto limit = Clock::now() + kEndTimeout;
  for (Gatekeeper& gatekeeper : gatekeepers_) {
    awaitEnd(gatekeeper.index, gatekeeper.current, limit);
    awaitEnd(gatekeeper.index, gatekeeper.previous, limit);
  }
  fs::remove(fs::path(options_.out) / "pids");
  io_.stop();
}

void Fleet::awaitEnd(int index, Process& process, Clock::time_point limit) {
  while (process.pid > 0 && Clock::now() < limit && ::waitpid(process.pid, nullptr, WNOHANG) == 0)
    std::this_thread::sleep_for(kEndPoll);
  if (process.pid > 0 && ::waitpid(process.pid, nullptr, WNOHANG) == 0) {
    spdlog::warn("event=kill_at_end gatekeeper={} pid={}", index, process.pid);
    ::kill(process.pid, SIGKILL);
    ::waitpid(process.pid, nullptr, 0);
  }
  process = {};
}

void Fleet::endByLab(Gatekeeper& gatekeeper, int signalNumber) {
  endedByLab_.insert(gatekeeper.index);
  verifier_.gatekeeperDown(gatekeeper.index, clock_.nowMs());
  sendSignal(gatekeeper, signalNumber);
}

void Fleet::stopProcess(Gatekeeper& gatekeeper) {
  verifier_.gatekeeperDown(gatekeeper.index, clock_.nowMs());
  sendSignal(gatekeeper, SIGSTOP);
  gatekeeper.stopped = true;
  longStopped_.insert(gatekeeper.index);
}

void Fleet::continueProcess(Gatekeeper& gatekeeper) {
  sendSignal(gatekeeper, SIGCONT);
  verifier_.gatekeeperUp(gatekeeper.index, clock_.nowMs());
  gatekeeper.stopped = false;
}

void Fleet::restartProcess(Gatekeeper& gatekeeper) {
  if (gatekeeper.current.pid > 0) {
    sendSignal(gatekeeper, SIGKILL);
    ::waitpid(gatekeeper.current.pid, nullptr, 0);
    gatekeeper.current = {};
  }
  endedByLab_.erase(gatekeeper.index);
  verifier_.gatekeeperDown(gatekeeper.index, clock_.nowMs());
  launch(gatekeeper);
  verifier_.gatekeeperUp(gatekeeper.index, clock_.nowMs());
}

}  // namespace wingslip::lab
