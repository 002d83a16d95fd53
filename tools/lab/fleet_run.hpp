/// A run of a scenario: the fleet's processes, stand-ins and load on one event loop. Not thread-safe.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "discovery_agent.hpp"
#include "expectations.hpp"
#include "fleet.hpp"
#include "gatekeeper_config.hpp"
#include "idle_clients.hpp"
#include "links.hpp"
#include "load_balancer.hpp"
#include "misbehaving_clients.hpp"
#include "open_load.hpp"
#include "process.hpp"
#include "run_clock.hpp"
#include "run_report.hpp"
#include "stand_in_worker.hpp"
#include "store.hpp"

namespace wingslip::lab {

/// Runs one scenario once.
class Fleet {
 public:
  /// Keeps references: both arguments must outlive the fleet.
  Fleet(const Scenario& scenario, const RunOptions& options);

  /// Runs the scenario to its end and writes the report.
  /// @return 0 if no rule was broken and every expectation was met, 1 otherwise.
  int run();

 private:
  // fleet.cpp: construction of the fleet, the run and its report
  void addIdleClients();
  void scheduleIdleClients();
  void addPeerLinks();
  /// Adds the gatekeeper's links to its agent, which must be running, and to the store.
  /// @return all ports of the gatekeeper.
  GatekeeperPorts addPorts(int g);
  /// Prepares the gatekeeper's files, and its listening socket if the lab owns it. Starts no process.
  Gatekeeper makeGatekeeper(int g);
  /// Collects the results, writes the report and prints it; returns the exit status, as `run` does.
  int reportResults();

  // fleet_steps.cpp: faults and repairs
  void apply(const Step& planned);
  void applyLinkFault(const Step& step, LinkMode mode);
  void callOperator(const Step& step);
  void checkOperatorAnswer(const Step& step, pid_t pid, const std::string& answer);
  void applyGatekeeperFault(const Step& step);
  static void applyAgentFault(Agent& agent, const std::string& kind);
  void applyWorkerFault(const Step& step);
  void applyWorkerFault(const std::string& kind, int index);
  void applyStoreFault(const std::string& kind);
  /// Applies a system fault to the step's gatekeeper, or to all if it names none.
  void applySystemFault(const Step& step);
  /// Sets for the agents of the step's gatekeepers whether they are reachable over links in this mode.
  void setDiscoveryReachable(const Step& step, LinkMode mode);
  /// The step's label in the report's plot.
  static std::string labelOf(const Step& step);

  // fleet_processes.cpp: the gatekeepers' processes
  void launch(Gatekeeper& gatekeeper);
  /// Starts a second process of the gatekeeper beside the running one, and sends SIGTERM to the old process
  /// when the new one reports ready.
  void upgrade(Gatekeeper& gatekeeper);
  void awaitReady(int g, pid_t pid);
  /// Applies `patch`, unless empty, to the gatekeeper's configuration file and sends SIGHUP to reload it.
  void reloadConfig(Gatekeeper& gatekeeper, const std::string& patch);
  /// Stops the process and resumes it after `forMs`, to simulate a stall of its machine.
  void pauseProcess(Gatekeeper& gatekeeper, double forMs);
  /// Sends SIGTERM as a platform does: the load balancer sends new connections for a short time after it, and
  /// requests in flight are not exempt from the rules.
  void shutDownGracefully(Gatekeeper& gatekeeper);
  void shutDownAndKill(Gatekeeper& gatekeeper);
  void sendSignal(Gatekeeper& gatekeeper, int number);
  /// Ends the process by a signal, as a fault: requests in flight are exempt, and the exit is not
  /// recorded as a crash.
  void endByLab(Gatekeeper& gatekeeper, int signalNumber);
  void stopProcess(Gatekeeper& gatekeeper);
  void continueProcess(Gatekeeper& gatekeeper);
  void restartProcess(Gatekeeper& gatekeeper);
  /// Reaps processes that exited. An exit that the lab did not cause is recorded as a crash.
  void reap();
  void reapOldProcess(Gatekeeper& gatekeeper);
  void reapProcess(Gatekeeper& gatekeeper);
  /// Reaps exited processes and starts the load balancer's health checks, once per `kHealthCheckPeriod`.
  void checkHealth();
  /// Runs the loop until the load balancer has all gatekeepers in rotation, or until the start timeout.
  void waitForRotation();
  /// Ends all processes and stops the event loop.
  void finish();
  /// Waits for the process to exit until `limit`, then kills it.
  static void awaitEnd(int index, Process& process, Clock::time_point limit);

  // fleet_observers.cpp: monitoring of the running fleet
  /// Starts the stand-in coordination store and observes every record written to it.
  void startStore();
  /// Queries every gatekeeper's operators' port for its roster and counts those equal to the last one
  /// recorded.
  void queryRosters();
  /// Queries every gatekeeper's operators' port for the digest of its copy of the shared state.
  void queryCopies();
  /// Queries every gatekeeper's telemetry periodically for the figures that expectations refer to.
  void pollFigures();
  /// Logs a progress line every 10 s.
  void logProgress();
  /// Number of system calls that the fault library failed in all gatekeepers, by kind of call.
  std::map<std::string, std::uint64_t> failedCalls() const;
  /// Adds the resource usage of a gatekeeper's running process, from /proc, to the run's record.
  void recordUsage(const Gatekeeper& gatekeeper);

  const Scenario& scenario_;
  const RunOptions& options_;
  asio::io_context io_;
  RunVerifier verifier_;
  Ports ports_;
  Links links_;
  RunClock clock_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::vector<std::unique_ptr<Agent>> agents_;
  std::unique_ptr<Store> store_;
  std::vector<Gatekeeper> gatekeepers_;
  std::map<int, std::unique_ptr<IdleClients>> idleClients_;  // by gatekeeper
  Observations observed_;
  LoadBalancer loadBalancer_;
  OpenLoad load_;
  MisbehavingClients misbehavingClients_;
  std::set<int> endedByLab_;   ///< gatekeepers whose process the lab ended on purpose
  std::set<int> longStopped_;  ///< gatekeepers that were stopped, or paused for longer than kShortPauseMs
  std::set<int> diskFaults_;   ///< gatekeepers whose file writes fail
  RunRecord runRecord_;
  std::vector<Claim> claims_;
  std::uint64_t rosterVersion_ = 0;
  int leader_ = 0;      ///< the last gatekeeper that claimed the leader task; also 0 if unknown
  int roleTarget_ = 0;  ///< the gatekeeper that the last step with the role "holder" resolved to
  bool runIsEnding_ = false;
};

}  // namespace wingslip::lab
