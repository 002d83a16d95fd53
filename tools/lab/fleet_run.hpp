/// One run of a scenario: the fleet's processes, stand-ins and load on one event loop. Used by one thread.
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
#include "front.hpp"
#include "gatekeeper_config.hpp"
#include "idle_clients.hpp"
#include "links.hpp"
#include "open_load.hpp"
#include "process.hpp"
#include "rough_clients.hpp"
#include "run_clock.hpp"
#include "run_report.hpp"
#include "stand_in_worker.hpp"
#include "store.hpp"

namespace wingslip::lab {

class Fleet {
 public:
  /// Both must outlive the fleet.
  Fleet(const Scenario& scenario, const RunOptions& options);

  /// Plays the scenario and writes its report.
  /// @return 0 when no rule broke and every expectation held, 1 otherwise.
  int run();

 private:
  // fleet.cpp: building the fleet, the run, its verdict
  void addIdleClients();
  void scheduleIdleClients();
  void addPeerLinks();
  /// The ports of a gatekeeper whose agent runs; adds its links to that and to the store.
  GatekeeperPorts addPorts(int g);
  /// The gatekeeper's files, and its listening socket where the lab holds it.
  Gatekeeper makeGatekeeper(int g);
  int verdict();

  // fleet_steps.cpp: faults and repairs
  void apply(const Step& asked);
  void applyLinkFault(const Step& step, LinkMode mode);
  void callOperator(const Step& step);
  void checkOperatorAnswer(const Step& step, pid_t pid, const std::string& answer);
  void applyGatekeeperFault(const Step& step);
  static void applyAgentFault(Agent& agent, const std::string& what);
  void applyWorkerFault(const Step& step);
  void applyWorkerFault(const std::string& what, int index);
  void applyStoreFault(const std::string& what);
  /// Of one gatekeeper's system, or of all.
  void applySystemFault(const Step& step);
  /// Whether gatekeepers can reach their agents over links in this mode.
  void setDiscoveryReachable(const Step& step, LinkMode mode);
  static std::string labelOf(const Step& step);

  // fleet_processes.cpp: the gatekeepers' processes
  void launch(Gatekeeper& gatekeeper);
  /// A process of the same gatekeeper beside the one that runs; when it says that it is ready, the old one is
  /// told to end.
  void upgrade(Gatekeeper& gatekeeper);
  void awaitReady(int g, pid_t pid);
  /// Reads its configuration file again, with the step's patch.
  void reloadConfig(Gatekeeper& gatekeeper, const std::string& patch);
  /// Held up by its machine for a moment.
  void pauseProcess(Gatekeeper& gatekeeper, double forMs);
  /// Told to end as a platform does it: clients go on coming for a moment, and nothing is excused.
  void shutDownGracefully(Gatekeeper& gatekeeper);
  void sendSignal(Gatekeeper& gatekeeper, int number);
  void endByLab(Gatekeeper& gatekeeper, int signalNumber);
  void stopProcess(Gatekeeper& gatekeeper);
  void continueProcess(Gatekeeper& gatekeeper);
  void restartProcess(Gatekeeper& gatekeeper);
  /// Reaps the gatekeepers that ended; one that ended by itself, not by the lab's fault, crashed.
  void reap();
  void reapOldProcess(Gatekeeper& gatekeeper);
  void reapProcess(Gatekeeper& gatekeeper);
  /// Looks at each gatekeeper in every period: its process, and its health for the front.
  void checkHealth();
  void waitForFront();
  /// Ends all processes and the run.
  void finish();
  static void awaitEnd(int index, Process& process, Clock::time_point limit);

  // fleet_observers.cpp: what is read of the running fleet
  /// The stand-in coordination store; notes each record that is written.
  void startStore();
  /// Whether every gatekeeper tells its operators the roster as last recorded.
  void askRosters();
  /// The copy of the shared state that each gatekeeper tells its operators of.
  void askCopies();
  /// What gatekeepers tell operators of the figures expected: asked of all of them in every period.
  void askFigures();
  /// One line every 10 s of a long run.
  void logProgress();
  /// Calls that the fault library failed, in all gatekeepers.
  std::map<std::string, std::uint64_t> failedCalls() const;
  /// What a gatekeeper that runs has used, from /proc.
  void measure(const Gatekeeper& gatekeeper);

  const Scenario& scenario_;
  const RunOptions& options_;
  asio::io_context io_;
  Judge judge_;
  Ports ports_;
  Links links_;
  RunClock clock_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::vector<std::unique_ptr<Agent>> agents_;
  std::unique_ptr<Store> store_;
  std::vector<Gatekeeper> gatekeepers_;
  std::map<int, std::unique_ptr<IdleClients>> idleClients_;  // by gatekeeper
  Observations observed_;
  Front front_;
  OpenLoad load_;
  RoughClients rough_;
  std::set<int> endedByLab_;      ///< gatekeepers
  std::set<int> stoppedForLong_;  ///< gatekeepers whose process stood still for long
  std::set<int> diskFaults_;      ///< gatekeepers whose writes to files fail
  RunRecord runRecord_;
  std::vector<Claim> claims_;
  std::uint64_t rosterVersion_ = 0;
  int leader_ = 0;      ///< the last gatekeeper that claimed the leader's lock; 0 also where it is unknown
  int roleTarget_ = 0;  ///< the gatekeeper that the last step with the role "holder" meant
  bool runIsEnding_ = false;
};

}  // namespace wingslip::lab
